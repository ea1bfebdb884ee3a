#pragma once

#include <cstdint>

namespace anvildoor {

/** Returns the number of heap allocations of this process so far. Thread-safe. */
uint64_t CountAllocations();

} // namespace anvildoor
