#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace anvildoor {

/**
 * Error handler for json::dump. Replaces invalid UTF-8 in external text (a path, an
 * upstream's answer) by U+FFFD instead of throwing an exception.
 */
inline constexpr auto kReplaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;

/** Arrays and objects inside each other in text of others, at most. */
inline constexpr size_t kMaxJsonDepth = 64;

/** Returns whether JSON text nests deeper than kMaxJsonDepth. Thread-safe. */
inline bool IsNestedTooDeeply(const std::string& aText)
{
  size_t depth = 0;
  bool inString = false;
  for (size_t at = 0; at < aText.size(); ++at) {
    const char each = aText[at];
    if (inString) {
      at += each == '\\' ? 1 : 0;
      inString = each != '"';
    } else if (each == '"') {
      inString = true;
    } else if (each == '[' || each == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((each == ']' || each == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

/**
 * Parses JSON text of others. Returns a discarded value if it is malformed or nested
 * too deeply: copies of a value use stack by its depth. Thread-safe.
 */
inline nlohmann::json ParseJson(const std::string& aText)
{
  return IsNestedTooDeeply(aText) ? nlohmann::json(nlohmann::json::value_t::discarded)
                                  : nlohmann::json::parse(aText, nullptr, false);
}

} // namespace anvildoor
