#pragma once

#include "planner/TaskPlacement.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvildoor {

/** The load that the tasks of one priority put on a pool, in units of its workers. */
struct priority_load
{
  double mRunning = 0.0;
  double mWaiting = 0.0; ///< Tasks that could start now if there were capacity.

  auto operator<=>(const priority_load&) const = default;
};

/** The load on one pool of workers. */
struct pool_load
{
  double mCapacity = 0.0; ///< Workers that accept tasks.
  std::map<int64_t, priority_load> mByPriority;
  double mMeanUrgent = 0.0; ///< Recent mean of the load of urgent tasks.

  auto operator<=>(const pool_load&) const = default;
};

/**
 * Returns the capacity and the running load of each pool that has workers which accept
 * tasks, by its name. Other workers don't count: their load takes nothing of the
 * capacity that is left. The waiting and the mean urgent loads are 0. Pure;
 * thread-safe.
 */
std::map<std::string, pool_load> RunningLoads(
  const std::vector<placement_worker>& aWorkers);

/** Returns the running load of all priorities, in workers. Pure; thread-safe. */
double RunningLoadOf(const pool_load& aLoad);

} // namespace anvildoor
