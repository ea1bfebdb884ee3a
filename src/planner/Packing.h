#pragma once

#include "planner/FleetView.h"

#include <functional>
#include <optional>

namespace anvildoor {

/** Returns the resources of a worker that a gang may use. */
using spare_of = std::function<resources(size_t aWorker)>;

/** Returns the cost of using a rack, which takes precedence over its fit. */
using rack_cost = std::function<int64_t(size_t aRack)>;

/** The gang to place, the usable resources, and the preferences for racks. */
struct packing_request
{
  gang_shape mShape;
  spare_of mSpare;
  rack_cost mCost;            ///< If empty, all racks have equal cost.
  bool mSpreadEvenly = false; ///< Spread over workers with the most spare capacity.
};

/**
 * Places a gang by best fit. Selects the cheapest rack, then the one with the least
 * spare capacity, and in this rack the workers that the gang fills best. With
 * mSpreadEvenly the tasks are distributed evenly instead. A gang without adjacency uses
 * one rack if possible, otherwise several, starting with the least spare capacity.
 * Returns nothing if the gang does not fit. Pure.
 */
std::optional<placement> PackGang(const fleet_view& aFleet,
                                  const packing_request& aRequest);

/** Returns how many tasks of aShape fit into the given workers. Pure. */
int64_t CountTasks(const std::vector<size_t>& aWorkers,
                   const gang_shape& aShape,
                   const spare_of& aSpare);

} // namespace anvildoor
