#include "planner/PoolLoad.h"

namespace anvildoor {

std::map<std::string, pool_load> RunningLoads(
  const std::vector<placement_worker>& aWorkers)
{
  std::map<std::string, pool_load> loads;
  for (const auto& worker : aWorkers) {
    if (!worker.mAcceptsTasks) {
      continue;
    }
    auto& load = loads[worker.mPool];
    load.mCapacity += 1.0;
    for (const auto& [priority, share] : worker.mLoadByPriority) {
      load.mByPriority[priority].mRunning += share;
    }
  }
  return loads;
}

double RunningLoadOf(const pool_load& aLoad)
{
  double running = 0.0;
  for (const auto& [priority, load] : aLoad.mByPriority) {
    running += load.mRunning;
  }
  return running;
}

} // namespace anvildoor
