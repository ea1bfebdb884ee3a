#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"

namespace anvildoor {

/**
 * Logs when the event loop was held up, or the whole process stood still, so that a
 * timer was late. Changes nothing else. Not thread-safe.
 */
class loop_monitor
{
public:
  /** A timer that is later than this is logged. */
  static constexpr duration kHeldUpAfter{ 500 };

  /** All references must outlive the monitor and the tasks of aLoop. */
  loop_monitor(event_loop& aLoop, event_log& aLog, metrics& aMetrics)
    : mLoop(aLoop)
    , mLog(aLog)
    , mMetrics(aMetrics)
  {
  }

  /** Begins the checks, for as long as the loop runs tasks; call it once. */
  void Begin();

private:
  void ScheduleCheck();
  void Check(time_point aDueAt);

  event_loop& mLoop;
  event_log& mLog;
  metrics& mMetrics;
  duration mLongest{ 0 };
};

} // namespace anvildoor
