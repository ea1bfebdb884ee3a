#include "runs/WorkerHealth.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** One job's failure may be its own fault; those of two in a row are the worker's. */
constexpr size_t kJobsUntilClosed = 2;
/** About half the time for which the letter says that workers misbehave. */
constexpr duration kClosedFor{ 3'000 };
/** A worker that left an order unanswered is tried again after the order's deadline. */
constexpr duration kUnansweredPause{ 2'000 };
/** A failure outweighs any tight fit: eight accelerators and 32 cores are 96. */
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
