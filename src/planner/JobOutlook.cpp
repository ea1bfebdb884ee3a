#include "planner/JobOutlook.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** A late job keeps some value up to this multiple of its on-time span. */
constexpr int kLateTimes = 3;
/**
 * Applied to the remaining critical path. Estimates are off by 20 to 50 percent, and a
 * job that may still be on time must not be classified as late.
 */
constexpr double kTrustInEstimates = 0.7;

} // namespace

duration ChainOf(const job_state& aJob,
                 uint32_t aOccurrence,
                 bool aOnlyLeft,
                 const duration_model& aModel)
{
  const auto& queue = aJob.Job().mQueue;
  const auto& steps = aJob.Job().mSpec.mSteps;
  std::vector<duration> until(steps.size(), duration::zero());
  duration longest{ 0 };
  for (uint32_t step = 0; step < steps.size(); ++step) {
    duration before{ 0 };
    for (const auto earlier : steps[step].mDependsOn) {
      before = std::max(before, until[earlier]);
    }
    const bool counts = !aOnlyLeft || !aJob.IsDone(aOccurrence, step);
    const auto expected = aModel.Expected(queue, steps[step].mEstimate);
    until[step] = before + (counts ? expected : duration::zero());
    longest = std::max(longest, until[step]);
  }
  return longest;
}

job_deadlines DeadlinesOf(const job_state& aJob,
                          uint32_t aOccurrence,
                          const duration_model& aModel)
{
  const auto& job = aJob.Job();
  const auto due = aJob.DueMs(aOccurrence);
  const auto from = due == 0 ? job.mAcceptedAtMs : due;
  const auto chain =
    static_cast<double>(ChainOf(aJob, aOccurrence, false, aModel).count());
  const auto span = static_cast<int64_t>(job.mStretch * chain) + job.mObjective.count();
  return { from + span, from + kLateTimes * span };
}

job_outlook OutlookOf(const job_state& aJob,
                      uint32_t aOccurrence,
                      int64_t aUnixMs,
                      const duration_model& aModel)
{
  const auto deadlines = DeadlinesOf(aJob, aOccurrence, aModel);
  const auto left =
    static_cast<double>(ChainOf(aJob, aOccurrence, true, aModel).count());
  const auto end = aUnixMs + static_cast<int64_t>(kTrustInEstimates * left);
  if (end <= deadlines.mOnTimeMs) {
    return job_outlook::kOnTime;
  }
  return end <= deadlines.mLateMs ? job_outlook::kLate : job_outlook::kHopeless;
}

} // namespace anvildoor
