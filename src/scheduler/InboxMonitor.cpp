#include "scheduler/InboxMonitor.h"

namespace anvildoor {

namespace {

constexpr const char* kAgeMetric = "inbox_age_seconds";

} // namespace

const char* ToString(inbox_source aSource)
{
  static constexpr const char* kNames[] = { "takeover", "watch", "list", "peer" };
  return kNames[static_cast<size_t>(aSource)];
}

void inbox_monitor::Begin(time_point aNow)
{
  mLastRead = inbox_read();
  mAnsweredAt = aNow;
  mIsSilent = false;
}

void inbox_monitor::End()
{
  mIsSilent = false;
  mMetrics.Set(kAgeMetric, 0.0);
}

void inbox_monitor::OnAnswer(inbox_source aSource, time_point aNow)
{
  mLastRead = { aSource, aNow - mAnsweredAt };
  mAnsweredAt = aNow;
  if (mIsSilent) {
    mIsSilent = false;
    mLog.Write(log_event("inbox_read_again")
                 .Add("source", ToString(aSource))
                 .Add("silent_ms", mLastRead.mGap.count()));
  }
}

void inbox_monitor::Check(time_point aNow)
{
  const auto age = aNow - mAnsweredAt;
  mMetrics.Set(kAgeMetric, ToSeconds(age));
  if (age > kSilentAfter && !mIsSilent) {
    mIsSilent = true;
    mLog.Write(log_event("inbox_silent")
                 .Add("age_ms", age.count())
                 .Add("last_source", ToString(mLastRead.mSource)));
  }
}

} // namespace anvildoor
