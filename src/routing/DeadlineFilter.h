#pragma once

#include "base/EventLoop.h"
#include "routing/RequestFilter.h"

namespace anvildoor {

/**
 * Answers when the deadline passes first: "not run" if the request could still be
 * called back, "unknown" if it may be running. Turns a "not run" into "unknown" for as
 * long as an earlier call with the same key may have run. Thread-safe.
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
