#include "runs/WorkerHealth.h"

#include <algorithm>

namespace anvildoor {

namespace {

/**
 * Failures of one job may be caused by the job. Failures of two jobs with no success in
 * between are attributed to the worker.
 */
constexpr size_t kFailedJobsUntilSuspension = 2;
/** About half the time that a faulty worker remains faulty. */
constexpr duration kFailureSuspension{ 3'000 };
/** The worker gets a new run only after the deadline of the unanswered request. */
constexpr duration kStartFailureSuspension{ 2'000 };
/**
 * Exceeds the core equivalents of a whole worker of eight accelerators and 32 cores, so
 * that a failure outweighs any difference in placement fit.
 */
constexpr double kPenaltyCoresPerFailedJob = 200.0;

} // namespace

void worker_health::OnDone()
{
  mFailedJobs.clear();
  mOnTrial = false;
}

void worker_health::OnFailed(const std::string& aJob, time_point aNow)
{
  mFailedJobs.insert(aJob);
  if (mFailedJobs.size() >= kFailedJobsUntilSuspension) {
    mSuspendedUntil = aNow + kFailureSuspension;
    mOnTrial = true;
  }
}

void worker_health::OnStartFailed(time_point aNow)
{
  mSuspendedUntil = std::max(mSuspendedUntil, aNow + kStartFailureSuspension);
}

bool worker_health::AcceptsRuns(time_point aNow, size_t aRunning) const
{
  return aNow >= mSuspendedUntil && (!mOnTrial || aRunning == 0);
}

double worker_health::PlacementPenalty() const
{
  return kPenaltyCoresPerFailedJob * static_cast<double>(mFailedJobs.size());
}

} // namespace anvildoor
