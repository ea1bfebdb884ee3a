#pragma once

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "jobs/JobState.h"

#include <map>
#include <string>

namespace anvildoor {

/** Why a task whose turn has come does not run. */
enum class idle_cause
{
  kNotPlaced,     ///< The planner has not placed it.
  kHeldBack,      ///< Its job is not offered to the planner for a while.
  kUnrecordedRun, ///< A run of it that no record shows must end first.
  kStarting,      ///< Its start has not been confirmed.
  kStopping,      ///< Its run is being stopped.
  kSilentWorker,  ///< Its worker does not answer; its lease must lapse first.
  kNoRun          ///< It counts as placed, and its worker has no run of it.
};

const char* ToString(idle_cause aCause);

/** A task whose turn has come, of a job that has nothing running. */
struct idle_task
{
  task_ref mTask;
  uint32_t mRuns = 0; ///< Runs so far.
  idle_cause mCause = idle_cause::kNotPlaced;
  std::string mWorker;           ///< Where it is placed; empty: nowhere.
  duration mLeaseRemaining{ 0 }; ///< Of mWorker, at most.

  auto operator<=>(const idle_task&) const = default;
};

/**
 * Logs and counts the open jobs that have nothing running although a task's turn has
 * come. Reads no clock; not thread-safe.
 */
class idle_job_monitor
{
public:
  /** Both references must outlive the monitor. */
  idle_job_monitor(event_log& aLog, metrics& aMetrics)
    : mLog(aLog)
    , mMetrics(aMetrics)
  {
  }

  /**
   * Replaces what is known by aIdle, one task of each idle job by the job's id. Logs
   * the job that has been idle longest if that is a second or more.
   */
  void Observe(const std::map<std::string, idle_task>& aIdle, time_point aNow);

  /** Forgets all jobs, as the term has ended. */
  void End();

private:
  event_log& mLog;
  metrics& mMetrics;
  std::map<std::string, time_point> mIdleSince; ///< By job.
};

} // namespace anvildoor
