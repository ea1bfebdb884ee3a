#pragma once

#include <cstddef>
#include <string>

namespace anvildoor {

/** Returns aCount bytes as lower-case hexadecimal digits. Thread-safe. */
inline std::string ToHex(const unsigned char* aBytes, size_t aCount)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aCount);
  for (size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4U];
    text += kDigits[aBytes[i] & 15U];
  }
  return text;
}

} // namespace anvildoor
