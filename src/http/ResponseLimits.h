#pragma once

#include <cstddef>

namespace anvildoor {

/** Limit of what is read of a response but not parsed, such as a header or trailers. */
inline constexpr size_t kMaxUnparsedResponseBytes = 131'072;

} // namespace anvildoor
