#pragma once

#include <string>

namespace anvildoor {

/**
 * Returns whether aText is "IP:port", with an IPv4 address and a port from 1 to 65535.
 * Thread-safe.
 */
bool IsAddress(const std::string& aText);

} // namespace anvildoor
