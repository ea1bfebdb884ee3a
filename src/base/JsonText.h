#pragma once

#include <nlohmann/json.hpp>

namespace anvildoor {

/**
 * Error handler for json::dump. Replaces invalid UTF-8 in external text (a path, an
 * upstream's answer) by U+FFFD instead of throwing an exception.
 */
inline constexpr auto kReplaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;

} // namespace anvildoor
