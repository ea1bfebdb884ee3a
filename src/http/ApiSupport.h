#pragma once

#include "anvildoor/Error.h"
#include "config/FleetConfig.h"
#include "http/ApiTypes.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** The path of a call in segments, and its query. */
struct api_path
{
  std::vector<std::string> mSegments;
  std::string mQuery;

  auto operator<=>(const api_path&) const = default;

  /** Returns the segment at aIndex, or "". */
  std::string At(size_t aIndex) const;
};

/** Splits a target. Pure. */
api_path SplitTarget(const std::string& aTarget);

/** Returns a whole-number query parameter; kInvalid names it when it is out of range.
 */
result<int64_t> QueryNumber(const api_path& aPath,
                            const std::string& aName,
                            int64_t aDefault,
                            int64_t aMax);

/** Returns the answer for an error: status, "error", "field", "step", "peer". Pure. */
api_answer ErrorAnswer(const error& aError);

/**
 * Returns aAnswer for a call whose key may have been sent before: "not_run" would speak
 * for the earlier call too, so it becomes "unknown". Pure.
 */
api_answer AsRepeat(const api_answer& aAnswer);

/** Returns an error answer without its "outcome"; others as they are. Pure. */
api_answer WithoutOutcome(const api_answer& aAnswer);

/** Returns an answer with a JSON error object; the call itself did nothing. Pure. */
api_answer Refusal(uint32_t aStatus,
                   const std::string& aError,
                   const std::string& aField);

/** Checks tokens against hashes. Immutable; thread-safe. */
class token_check
{
public:
  /** aOperatorHashes are SHA-256 digests in hexadecimal digits. */
  explicit token_check(std::set<std::string> aOperatorHashes);

  bool IsOperator(const std::string& aToken) const;

  /** Returns whether aToken may act for aWorkspace; operators may for any. */
  bool MayActFor(const std::string& aToken,
                 const std::string& aWorkspace,
                 const fleet_config& aConfig) const;

private:
  std::set<std::string> mOperatorHashes;
};

} // namespace anvildoor
