#include "entry/LoopMonitor.h"

namespace anvildoor {

namespace {

/** Period of the checks, by which a standstill may be measured too short. */
constexpr duration kCheckPeriod{ 200 };
constexpr const char* kLongestMetric = "loop_held_up_longest_seconds";

} // namespace

void loop_monitor::Begin()
{
  mMetrics.Set(kLongestMetric, 0.0);
  ScheduleCheck();
}

void loop_monitor::ScheduleCheck()
{
  const auto dueAt = mLoop.Now() + kCheckPeriod;
  mLoop.RunAfter(kCheckPeriod, [this, dueAt] { Check(dueAt); });
}

void loop_monitor::Check(time_point aDueAt)
{
  const auto late = mLoop.Now() - aDueAt;
  if (late > mLongest) {
    mLongest = late;
    mMetrics.Set(kLongestMetric, ToSeconds(late));
  }
  if (late > kHeldUpAfter) {
    mLog.Write(log_event("loop_held_up").Add("ms", late.count()));
  }
  ScheduleCheck();
}

} // namespace anvildoor
