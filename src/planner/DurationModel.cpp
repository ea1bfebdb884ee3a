#include "planner/DurationModel.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/** With fewer samples the caller's estimate is used. */
constexpr int kMinSamples = 5;
/** Lower bound for the weight of a new sample, so that the mean follows changes. */
constexpr double kMinLearningRate = 0.05;
/**
 * Log estimates deviate from the actual duration about twice as much as the tasks of a
 * queue deviate from their mean, so the mean gets four fifths of the weight.
 */
constexpr double kMeanWeight = 0.8;

} // namespace

void duration_model::Learn(const std::string& aQueue, duration aActual)
{
  assert(aActual > duration::zero());
  auto& statistics = mQueues[aQueue];
  ++statistics.mCount;
  const auto learningRate = std::max(kMinLearningRate, 1.0 / statistics.mCount);
  const auto log = std::log(static_cast<double>(aActual.count()));
  statistics.mMeanLog += learningRate * (log - statistics.mMeanLog);
}

duration duration_model::ExpectedDuration(const std::string& aQueue,
                                          duration aEstimate) const
{
  const auto found = mQueues.find(aQueue);
  if (found == mQueues.end() || found->second.mCount < kMinSamples) {
    return aEstimate;
  }
  const auto mean = found->second.mMeanLog;
  const auto logEstimate = aEstimate > duration::zero()
                             ? std::log(static_cast<double>(aEstimate.count()))
                             : mean;
  const auto log = kMeanWeight * mean + (1.0 - kMeanWeight) * logEstimate;
  return duration(std::llround(std::exp(log)));
}

} // namespace anvildoor
