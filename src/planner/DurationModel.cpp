#include "planner/DurationModel.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/** With fewer samples the caller's estimate is used. */
constexpr int kLeastSeen = 5;
/** Lower bound for the weight of a new sample, so that the mean follows changes. */
constexpr double kNewest = 0.05;
/**
 * Log estimates deviate from the actual duration about twice as much as the tasks of a
 * queue deviate from their mean, so the mean gets four fifths of the weight.
 */
constexpr double kWeightOfMean = 0.8;

} // namespace

void duration_model::Learn(const std::string& aQueue, duration aTaken)
{
  assert(aTaken > duration::zero());
  auto& seen = mQueues[aQueue];
  ++seen.mCount;
  const auto part = std::max(kNewest, 1.0 / seen.mCount);
  const auto log = std::log(static_cast<double>(aTaken.count()));
  seen.mMeanLog += part * (log - seen.mMeanLog);
}

duration duration_model::Expected(const std::string& aQueue, duration aEstimate) const
{
  const auto found = mQueues.find(aQueue);
  if (found == mQueues.end() || found->second.mCount < kLeastSeen) {
    return aEstimate;
  }
  const auto mean = found->second.mMeanLog;
  const auto own = aEstimate > duration::zero()
                     ? std::log(static_cast<double>(aEstimate.count()))
                     : mean;
  const auto log = kWeightOfMean * mean + (1.0 - kWeightOfMean) * own;
  return duration(std::llround(std::exp(log)));
}

} // namespace anvildoor
