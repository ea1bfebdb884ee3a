#pragma once

#include <chrono>

namespace anvildoor {

using duration = std::chrono::milliseconds;

/** Milliseconds since the Unix epoch; never decreases within one process. */
using time_point = std::chrono::milliseconds;

} // namespace anvildoor
