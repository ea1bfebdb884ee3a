#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvildoor {

/** Returns the 64-bit xxHash of aText. Thread-safe. */
uint64_t HashOf(const std::string& aText);

/** Returns 32 hexadecimal digits of the 128-bit xxHash of aText. Thread-safe. */
std::string HexDigest(const std::string& aText);

/** Returns the SHA-256 of aText in 64 hexadecimal digits. Thread-safe. */
std::string Sha256Hex(const std::string& aText);

/**
 * Orders aNodes by their rendezvous weight for aKey, heaviest first. The removal of
 * one node moves only the keys that it held. Thread-safe.
 */
std::vector<std::string> RendezvousOrder(const std::string& aKey,
                                         const std::vector<std::string>& aNodes);

/** Returns the heaviest node for aKey, or "" if aNodes is empty. Thread-safe. */
std::string RendezvousOwner(const std::string& aKey,
                            const std::vector<std::string>& aNodes);

} // namespace anvildoor
