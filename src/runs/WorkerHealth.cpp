#include "runs/WorkerHealth.h"

#include <algorithm>

namespace anvildoor {

namespace {

/**
 * Failures of one job may be caused by the job. Failures of two jobs with no success in
 * between are attributed to the worker.
 */
constexpr size_t kJobsUntilClosed = 2;
/** About half as long as worker faults are specified to last. */
constexpr duration kClosedFor{ 3'000 };
/** A worker is retried only after the deadline of the unanswered request. */
constexpr duration kUnansweredPause{ 2'000 };
/**
 * A failure outweighs any difference in placement fit: eight accelerators and 32 cores
 * score 96.
 */
constexpr double kFailureWeight = 200.0;

} // namespace

void worker_health::OnDone()
{
  mFailedJobs.clear();
  mOnTrial = false;
}

void worker_health::OnFailed(const std::string& aJob, time_point aNow)
{
  mFailedJobs.insert(aJob);
  if (mFailedJobs.size() >= kJobsUntilClosed) {
    mClosedUntil = aNow + kClosedFor;
    mOnTrial = true;
  }
}

void worker_health::OnNoAnswer(time_point aNow)
{
  mClosedUntil = std::max(mClosedUntil, aNow + kUnansweredPause);
}

bool worker_health::IsOpen(time_point aNow, size_t aRunning) const
{
  return aNow >= mClosedUntil && (!mOnTrial || aRunning == 0);
}

double worker_health::Reluctance() const
{
  return kFailureWeight * static_cast<double>(mFailedJobs.size());
}

} // namespace anvildoor
