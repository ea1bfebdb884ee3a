#pragma once

#include "planner/PoolLoad.h"
#include "planner/TaskPlacement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvildoor {

/**
 * Returns how much more of the pool, in workers, tasks of aPriority may take; nothing
 * if there is no limit. What tasks of higher priority use and wait for is left to them,
 * and to urgent ones also what they took lately with a margin. A minimum share of the
 * pool is left to all others. A pool with little load has no limits. Pure; thread-safe.
 */
std::optional<double> AllowanceOf(const pool_load& aLoad, int64_t aPriority);

/**
 * Decides how much of each pool the tasks of a priority may take, so that preemption
 * stays rare. It answers a load close to the capacity of the fleet, on which many small
 * tasks wait beside larger gangs of higher priority: without a limit the small tasks
 * take all capacity as it becomes free, larger gangs find none, and urgent ones have to
 * preempt what has just started. Reads no clock; not thread-safe.
 */
class capacity_headroom
{
public:
  /**
   * Sets the allowances of aInput from its workers and groups. aNow must not be before
   * the last call.
   */
  void SetAllowances(placement_input& aInput, time_point aNow);

private:
  void Observe(const std::map<std::string, pool_load>& aLoads, time_point aNow);

  std::map<std::string, double> mMeanUrgent; ///< By pool; weighted to recent load.
  std::optional<time_point> mObservedAt;
};

} // namespace anvildoor
