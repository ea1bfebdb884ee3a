#pragma once

#include <cstdint>

namespace anvildoor {

/** Returns how many allocations this process has made so far. Thread-safe. */
uint64_t CountAllocations();

} // namespace anvildoor
