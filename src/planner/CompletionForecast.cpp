#include "planner/CompletionForecast.h"

#include <algorithm>
#include <limits>

namespace anvildoor {

namespace {

/** A late job keeps some value up to this multiple of its on-time span. */
constexpr int kLateSpanFactor = 3;
/**
 * Factor on the remaining critical path. Estimates are off by 20 to 50 percent, and a
 * job that may still be on time must not be classified as late.
 */
constexpr double kRemainingPathFactor = 0.7;

} // namespace

duration CriticalPathDuration(const job_state& aJob,
                              uint32_t aOccurrence,
                              bool aOnlyRemaining,
                              const duration_model& aModel)
{
  const auto& queue = aJob.Job().mQueue;
  const auto& steps = aJob.Job().mSpec.mSteps;
  std::vector<duration> finishTimes(steps.size(), duration::zero());
  duration longest{ 0 };
  for (uint32_t step = 0; step < steps.size(); ++step) {
    duration startTime{ 0 };
    for (const auto earlier : steps[step].mDependsOn) {
      startTime = std::max(startTime, finishTimes[earlier]);
    }
    const bool isCounted = !aOnlyRemaining || !aJob.IsDone(aOccurrence, step);
    const auto expected = aModel.ExpectedDuration(queue, steps[step].mEstimate);
    finishTimes[step] = startTime + (isCounted ? expected : duration::zero());
    longest = std::max(longest, finishTimes[step]);
  }
  return longest;
}

job_deadlines DeadlinesOf(const job_state& aJob,
                          uint32_t aOccurrence,
                          const duration_model& aModel)
{
  const auto& job = aJob.Job();
  const auto due = aJob.DueMs(aOccurrence);
  const auto startMs = due == 0 ? job.mAcceptedAtMs : due;
  const auto criticalPath =
    static_cast<double>(CriticalPathDuration(aJob, aOccurrence, false, aModel).count());
  const auto onTimeSpanMs =
    static_cast<int64_t>(job.mStretch * criticalPath) + job.mObjective.count();
  return { startMs + onTimeSpanMs, startMs + kLateSpanFactor * onTimeSpanMs };
}

completion_forecast ForecastCompletion(const job_state& aJob,
                                       uint32_t aOccurrence,
                                       int64_t aUnixMs,
                                       const duration_model& aModel)
{
  const auto deadlines = DeadlinesOf(aJob, aOccurrence, aModel);
  const auto remaining =
    static_cast<double>(CriticalPathDuration(aJob, aOccurrence, true, aModel).count());
  const auto end = aUnixMs + static_cast<int64_t>(kRemainingPathFactor * remaining);
  if (end <= deadlines.mOnTimeUntilMs) {
    return completion_forecast::kOnTime;
  }
  return end <= deadlines.mLateUntilMs ? completion_forecast::kLate
                                       : completion_forecast::kTooLate;
}

duration SlackOf(const job_state& aJob,
                 uint32_t aOccurrence,
                 int64_t aUnixMs,
                 const duration_model& aModel,
                 completion_forecast aForecast)
{
  if (aForecast == completion_forecast::kTooLate) {
    return duration::zero();
  }
  const auto deadlines = DeadlinesOf(aJob, aOccurrence, aModel);
  const auto until = aForecast == completion_forecast::kOnTime
                       ? deadlines.mOnTimeUntilMs
                       : deadlines.mLateUntilMs;
  return duration(until - aUnixMs) -
         CriticalPathDuration(aJob, aOccurrence, true, aModel);
}

double RequiredPace(const job_state& aJob,
                    uint32_t aOccurrence,
                    int64_t aUnixMs,
                    const duration_model& aModel)
{
  const auto timeLeft = DeadlinesOf(aJob, aOccurrence, aModel).mOnTimeUntilMs - aUnixMs;
  const auto remaining = CriticalPathDuration(aJob, aOccurrence, true, aModel);
  return timeLeft > 0
           ? static_cast<double>(remaining.count()) / static_cast<double>(timeLeft)
           : std::numeric_limits<double>::infinity();
}

} // namespace anvildoor
