#pragma once

#include "planner/FleetView.h"

namespace anvildoor {

/**
 * Returns the share of free accelerators (0 to 1) that cannot serve aShape for lack of
 * adjacency: 1 minus what whole gangs could use, over what is free on usable workers.
 * 0 when nothing is free. Pure.
 */
double FragmentationFor(const fleet_view& aFleet,
                        const worker_amounts& aUsed,
                        const gang_shape& aShape);

} // namespace anvildoor
