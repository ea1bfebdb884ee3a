#pragma once

#include "planner/PlannerTypes.h"

#include <functional>
#include <optional>

namespace anvildoor {

/** The borrowers to stop for one gang and the work that this loses. */
struct victim_choice
{
  std::vector<std::string> mJobs;
  int64_t mCost = 0;

  auto operator<=>(const victim_choice&) const = default;
};

/** The gangs of each worker, as indices into a vector of gangs. */
using gang_index = std::vector<std::vector<size_t>>;

/** What a choice of victims depends on. */
struct victim_search
{
  const fleet_view& mFleet;
  const std::vector<running_gang>& mRunning;
  const gang_index& mByWorker;
  const worker_amounts& mCommitted; ///< In use, gangs that are stopping left out.
  std::function<bool(const running_gang&)> mMayStop;
  time_point mNow{};
};

/** Returns the gangs of each worker of aFleet. Pure. */
gang_index IndexGangs(const fleet_view& aFleet,
                      const std::vector<running_gang>& aRunning);

/**
 * Returns what stopping aGang costs: the accelerator time that is lost, weighted by
 * its class. A checkpoint keeps the work, so it costs little. Pure.
 */
int64_t StopCost(const running_gang& aGang, time_point aNow);

/**
 * Chooses borrowers to stop so that aShape fits at aPlacement, cheapest first for
 * what they free there. Returns nothing if even all of them do not suffice. Pure.
 */
std::optional<victim_choice> ChooseVictims(const victim_search& aSearch,
                                           const gang_shape& aShape,
                                           const placement& aPlacement);

} // namespace anvildoor
