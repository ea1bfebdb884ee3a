#pragma once

#include "planner/PlannerTypes.h"

#include <functional>
#include <optional>

namespace anvildoor {

/** The borrowers to stop for one gang, and the total cost; see StopCost. */
struct victim_choice
{
  std::vector<std::string> mJobs;
  int64_t mCost = 0;

  auto operator<=>(const victim_choice&) const = default;
};

/** The gangs of each worker, as indices into a vector of gangs. */
using gang_index = std::vector<std::vector<size_t>>;

/** The input of ChooseVictims. */
struct victim_search
{
  const fleet_view& mFleet;
  const std::vector<running_gang>& mRunning;
  const gang_index& mByWorker;
  const worker_amounts& mCommitted; ///< Used by gangs that are not stopping.
  std::function<bool(const running_gang&)> mMayStop;
  time_point mNow{};
};

/** Returns the gangs of each worker of aFleet. Pure. */
gang_index IndexGangs(const fleet_view& aFleet,
                      const std::vector<running_gang>& aRunning);

/**
 * Returns the cost of stopping aGang: the lost accelerator time in ms, weighted by its
 * class. The cost is low for checkpointable gangs because they keep their work. Pure.
 */
int64_t StopCost(const running_gang& aGang, time_point aNow);

/**
 * Chooses borrowers to stop so that aShape fits at aPlacement, the cheapest first on
 * each worker. Returns nothing if stopping all candidates is not enough. Pure.
 */
std::optional<victim_choice> ChooseVictims(const victim_search& aSearch,
                                           const gang_shape& aShape,
                                           const placement& aPlacement);

} // namespace anvildoor
