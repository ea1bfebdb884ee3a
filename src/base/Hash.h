#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvildoor {

/** Returns the 64-bit xxHash of aText. Thread-safe. */
uint64_t Hash64(const std::string& aText);

/** Returns the 128-bit xxHash of aText as 32 hexadecimal digits. Thread-safe. */
std::string HexDigest(const std::string& aText);

/**
 * Returns aNodes ordered by their rendezvous weight for aKey, highest first. Removing a
 * node reassigns only the keys that it owned. Thread-safe.
 */
std::vector<std::string> RendezvousOrder(const std::string& aKey,
                                         const std::vector<std::string>& aNodes);

/**
 * Returns the node with the highest rendezvous weight for aKey, or "" if aNodes is
 * empty. Thread-safe.
 */
std::string RendezvousOwner(const std::string& aKey,
                            const std::vector<std::string>& aNodes);

} // namespace anvildoor
