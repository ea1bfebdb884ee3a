#pragma once

#include "anvildoor/Error.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvildoor {

/**
 * What a scheduler whose term has ended tells its successor: knowledge that the store
 * does not have, because it was away.
 */
struct term_summary
{
  uint64_t mFence = 0; ///< Fencing token of the ended term.
  /** Progress records that were not yet durable, by job ID. */
  std::map<std::string, std::string> mRecords;

  auto operator<=>(const term_summary&) const = default;
};

/** Encodes a summary as JSON. Thread-safe. */
std::string EncodeSummary(const term_summary& aSummary);

/** Decodes the output of EncodeSummary; kInvalid if malformed. Thread-safe. */
result<term_summary> DecodeSummary(const std::string& aText);

} // namespace anvildoor
