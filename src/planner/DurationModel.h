#pragma once

#include "anvildoor/Time.h"

#include <map>
#include <string>

namespace anvildoor {

/**
 * How long tasks take, by what those of the same queue took before. Estimates that
 * callers hand in are off by up to ten times, while the tasks of a queue are much
 * alike: once some were seen, their mean counts for more than an estimate. Not
 * thread-safe.
 */
class duration_model
{
public:
  /** Notes that a task of aQueue takes aTaken on a sound worker; must be positive. */
  void Learn(const std::string& aQueue, duration aTaken);

  /** Returns the time that a task of aQueue with this estimate is expected to take. */
  duration Expected(const std::string& aQueue, duration aEstimate) const;

private:
  struct seen_times
  {
    int mCount = 0;
    double mMeanLog = 0.0; ///< Of the times in ms; newer ones count for more.
  };

  std::map<std::string, seen_times> mQueues;
};

} // namespace anvildoor
