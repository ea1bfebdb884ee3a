#pragma once

#include "routing/Request.h"

#include <memory>
#include <vector>

namespace anvildoor {

/**
 * One step of the filter chain. A filter answers itself or hands on to the next one,
 * and may change the answer on its way back. Implementations are thread-safe.
 */
class request_filter
{
public:
  virtual ~request_filter() = default;

  /** Handles a request; aDone is called exactly once. */
  void Handle(const shared_request& aRequest, answer_done aDone)
  {
    OnHandle(aRequest, std::move(aDone));
  }

  /** Sets the following filter, which must outlive this one's requests. */
  void SetNext(request_filter* aNext) { mNext = aNext; }

protected:
  virtual void OnHandle(const shared_request& aRequest, answer_done aDone) = 0;

  void HandOn(const shared_request& aRequest, answer_done aDone)
  {
    mNext->Handle(aRequest, std::move(aDone));
  }

private:
  request_filter* mNext = nullptr;
};

/** Owns filters in their order. The last one must answer itself. */
class filter_chain
{
public:
  /** aFilters must not be empty. */
  explicit filter_chain(std::vector<std::unique_ptr<request_filter>> aFilters);

  /** Sends a request through the chain. Thread-safe. */
  void Handle(const shared_request& aRequest, answer_done aDone);

private:
  std::vector<std::unique_ptr<request_filter>> mFilters;
};

} // namespace anvildoor
