#pragma once

#include "routing/Request.h"

#include <memory>
#include <vector>

namespace anvildoor {

/**
 * One step of the filter chain. A filter either answers the request or passes it to
 * the next filter, and may modify the answer on its way back. Implementations must be
 * thread-safe.
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

  /** Sets the next filter, which must outlive all requests of this one. */
  void SetNext(request_filter* aNext) { mNext = aNext; }

protected:
  virtual void OnHandle(const shared_request& aRequest, answer_done aDone) = 0;

  void PassToNext(const shared_request& aRequest, answer_done aDone)
  {
    mNext->Handle(aRequest, std::move(aDone));
  }

private:
  request_filter* mNext = nullptr;
};

/** Owns the filters in order. The last filter must answer every request. */
class filter_chain
{
public:
  /** aFilters must not be empty. */
  explicit filter_chain(std::vector<std::unique_ptr<request_filter>> aFilters);

  /** Sends a request through the chain; aDone is called once. Thread-safe. */
  void Handle(const shared_request& aRequest, answer_done aDone);

private:
  std::vector<std::unique_ptr<request_filter>> mFilters;
};

} // namespace anvildoor
