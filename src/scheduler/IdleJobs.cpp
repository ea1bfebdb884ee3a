#include "scheduler/IdleJobs.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Jobs are often idle for less, between the end of a step and the next one's start. */
constexpr duration kReportedAfter{ 1'000 };

constexpr const char* kCountMetric = "idle_jobs";
constexpr const char* kLongestMetric = "idle_jobs_longest_seconds";

/** Returns "cause:count" of all causes that aIdle has, separated by commas. */
std::string CountCauses(const std::map<std::string, idle_task>& aIdle)
{
  std::map<idle_cause, size_t> counts;
  for (const auto& [job, task] : aIdle) {
    ++counts[task.mCause];
  }
  std::string text;
  for (const auto& [cause, count] : counts) {
    text += text.empty() ? "" : ",";
    text += std::string(ToString(cause)) + ":" + std::to_string(count);
  }
  return text;
}

} // namespace

const char* ToString(idle_cause aCause)
{
  static constexpr const char* kNames[] = { "not_placed", "held_back", "unrecorded_run",
                                            "starting",   "stopping",  "silent_worker",
                                            "no_run" };
  return kNames[static_cast<size_t>(aCause)];
}

void idle_job_monitor::Observe(const std::map<std::string, idle_task>& aIdle,
                               time_point aNow)
{
  std::map<std::string, time_point> since;
  for (const auto& [job, task] : aIdle) {
    const auto known = mIdleSince.find(job);
    since[job] = known == mIdleSince.end() ? aNow : known->second;
  }
  mIdleSince = std::move(since);
  const auto oldest = std::min_element(
    mIdleSince.begin(), mIdleSince.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  const auto longest = oldest == mIdleSince.end() ? duration(0) : aNow - oldest->second;
  mMetrics.Set(kCountMetric, static_cast<double>(mIdleSince.size()));
  mMetrics.Set(kLongestMetric, ToSeconds(longest));
  if (longest < kReportedAfter) {
    return;
  }
  const auto& task = aIdle.at(oldest->first);
  mLog.Write(log_event("jobs_idle")
               .Add("jobs", static_cast<int64_t>(aIdle.size()))
               .Add("causes", CountCauses(aIdle))
               .Add("longest_ms", longest.count())
               .Add("job", oldest->first)
               .Add("step", task.mTask.mStep)
               .Add("index", task.mTask.mIndex)
               .Add("runs", task.mRuns)
               .Add("cause", ToString(task.mCause))
               .Add("worker", task.mWorker)
               .Add("lease_remaining_ms", task.mLeaseRemaining.count()));
}

void idle_job_monitor::End()
{
  mIdleSince.clear();
  mMetrics.Set(kCountMetric, 0.0);
  mMetrics.Set(kLongestMetric, 0.0);
}

} // namespace anvildoor
