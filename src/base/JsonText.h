#pragma once

#include <nlohmann/json.hpp>

namespace anvildoor {

/**
 * For json::dump: text from outside that is not UTF-8 (a path, an upstream's answer) is
 * replaced by U+FFFD where it is wrong, instead of an exception.
 */
inline constexpr auto kReplaceBadText = nlohmann::json::error_handler_t::replace;

} // namespace anvildoor
