#pragma once

#include "base/EventLoop.h"
#include "routing/RequestFilter.h"

namespace anvildoor {

/**
 * Answers a request when its deadline passes: "not run" if the request was not yet
 * dispatched, "unknown" if it may be running. Also changes "not run" to "unknown" while
 * an earlier call with the same key may have run. Thread-safe.
 */
class deadline_filter : public request_filter
{
public:
  /** aLoop must outlive the filter. */
  explicit deadline_filter(event_loop& aLoop);

protected:
  void OnHandle(const shared_request& aRequest, answer_done aDone) override;

private:
  event_loop& mLoop;
};

} // namespace anvildoor
