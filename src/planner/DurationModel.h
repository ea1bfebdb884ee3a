#pragma once

#include "anvildoor/Time.h"

#include <map>
#include <string>

namespace anvildoor {

/**
 * Predicts task durations from earlier tasks of the same queue. Estimates given by
 * callers are off by up to a factor of ten, whereas the tasks of a queue are similar.
 * Once there are enough samples, their mean outweighs the estimate. Not thread-safe.
 */
class duration_model
{
public:
  /** Adds a sample from a healthy worker; aActual must be positive. */
  void Learn(const std::string& aQueue, duration aActual);

  /** Returns the expected duration of a task of aQueue with this estimate. */
  duration ExpectedDuration(const std::string& aQueue, duration aEstimate) const;

private:
  struct queue_statistics
  {
    int mCount = 0;
    double mMeanLog = 0.0; ///< Mean of log(duration in ms), weighted to newer samples.
  };

  std::map<std::string, queue_statistics> mQueues;
};

} // namespace anvildoor
