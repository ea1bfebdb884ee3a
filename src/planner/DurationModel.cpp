#include "planner/DurationModel.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/** Fewer tasks than this tell little. */
constexpr int kLeastSeen = 5;
/** The newest counts for this part once there are many, so that changes are followed.
 */
constexpr double kNewest = 0.05;
/**
 * The logarithms of estimates scatter about twice as far around the truth as the tasks
 * of a queue around their mean, so the mean has four fifths of the weight.
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
