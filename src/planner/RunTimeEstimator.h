#pragma once

#include "planner/PlannerTypes.h"

#include <map>
#include <string>
#include <utility>

namespace anvildoor {

/**
 * Corrects declared run times by the observed run times of the same workspace and
 * class. Estimates only affect scheduling order and backfilling, so that no guarantee
 * depends on them. Not thread-safe.
 */
class run_time_estimator
{
public:
  /** Returns the expected run time; aDeclared of 0 ms means unknown. */
  duration ExpectedRunTime(const std::string& aWorkspace,
                           work_class aClass,
                           duration aDeclared) const;

  /** Updates the correction with one completed run. */
  void Learn(const std::string& aWorkspace,
             work_class aClass,
             duration aDeclared,
             duration aActual);

private:
  using key = std::pair<std::string, work_class>;

  std::map<key, double> mLogRatio;
};

} // namespace anvildoor
