#pragma once

#include "planner/PlannerTypes.h"

#include <map>
#include <string>
#include <utility>

namespace anvildoor {

/**
 * Corrects declared run times by what a workspace's jobs of a class really took. No
 * promise rests on the estimate; it only orders and backfills. Not thread-safe.
 */
class run_time_estimator
{
public:
  /** Returns the expected run time for a declared one; 0 ms declared means unknown. */
  duration Expect(const std::string& aWorkspace,
                  work_class aClass,
                  duration aDeclared) const;

  /** Learns from one completed run. */
  void Learn(const std::string& aWorkspace,
             work_class aClass,
             duration aDeclared,
             duration aActual);

private:
  using key = std::pair<std::string, work_class>;

  std::map<key, double> mLogRatio;
};

} // namespace anvildoor
