#pragma once

#include <string>

namespace anvildoor {

/** Returns the SHA-256 of aText as 64 hexadecimal digits. Thread-safe. */
std::string Sha256Hex(const std::string& aText);

} // namespace anvildoor
