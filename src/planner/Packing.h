#pragma once

#include "planner/FleetView.h"

#include <functional>
#include <optional>

namespace anvildoor {

/** Returns the amount of a worker that a gang may take. */
using spare_of = std::function<resources(size_t aWorker)>;

/** Returns the cost of placing in a rack besides its fit; lower is better. */
using rack_cost = std::function<int64_t(size_t aRack)>;

/** Whether a small gang is spread over racks or must share one, and what it costs. */
struct packing_request
{
  gang_shape mShape;
  spare_of mSpare;
  rack_cost mCost;      ///< May be empty: every rack costs the same.
  bool mSpread = false; ///< Spread over the workers with most to spare instead.
};

/**
 * Places a gang by best fit: the cheapest rack, then the one with the least capacity
 * left, and in it the workers that the gang fills most, or evenly if asked. A gang
 * without adjacency takes one rack if it can and otherwise the racks with the least
 * spare capacity. Returns nothing when it does not fit. Pure.
 */
std::optional<placement> PackGang(const fleet_view& aFleet,
                                  const packing_request& aRequest);

/** Returns how many tasks of aShape fit into the given workers. Pure. */
int64_t CountTasks(const std::vector<size_t>& aWorkers,
                   const gang_shape& aShape,
                   const spare_of& aSpare);

} // namespace anvildoor
