#pragma once

#include "planner/FleetView.h"

namespace anvildoor {

/**
 * Returns the share (0 to 1) of free accelerators on usable workers that no complete
 * gang of aShape within one rack could use. 0 when nothing is free. Pure.
 */
double FragmentationFor(const fleet_view& aFleet,
                        const worker_amounts& aUsed,
                        const gang_shape& aShape);

} // namespace anvildoor
