#pragma once

#include "anvildoor/Error.h"
#include "config/FleetConfig.h"
#include "http/ApiTypes.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** The path segments and the query of a request target. */
struct api_path
{
  std::vector<std::string> mSegments;
  std::string mQuery;

  auto operator<=>(const api_path&) const = default;

  /** Returns the segment at aIndex, or "". */
  std::string At(size_t aIndex) const;
};

/** Splits a request target. Empty segments are dropped. Pure. */
api_path SplitTarget(const std::string& aTarget);

/**
 * Returns an integer query parameter, or aDefault if it is missing. kInvalid, with the
 * parameter's name, if it is not an integer from 0 to aMax.
 */
result<int64_t> QueryNumber(const api_path& aPath,
                            const std::string& aName,
                            int64_t aDefault,
                            int64_t aMax);

/**
 * Returns the response for an error: its status, and "error", "code", "field", "step",
 * "peer" and "outcome" as JSON. Pure.
 */
api_response ErrorResponse(const error& aError);

/**
 * Adapts aResponse to a request whose idempotency key may have been used before. The
 * outcome "not_run" becomes "unknown" and status 503 becomes 504, because the earlier
 * request may have run. Pure.
 */
api_response WithUnknownOutcome(const api_response& aResponse);

/** Removes "outcome" from an error response. Returns others unchanged. Pure. */
api_response WithoutOutcome(const api_response& aResponse);

/** Returns an error response for a request that had no effect. Pure. */
api_response RejectionResponse(uint32_t aStatus,
                               const std::string& aError,
                               const std::string& aField);

/** Checks bearer tokens against stored hashes. Immutable and thread-safe. */
class token_verifier
{
public:
  /** aOperatorHashes are SHA-256 digests of operators' tokens in hexadecimal digits. */
  explicit token_verifier(std::set<std::string> aOperatorHashes);

  bool IsOperator(const std::string& aToken) const;

  /** Returns whether aToken may act for aWorkspace. Operators may act for any. */
  bool MayActFor(const std::string& aToken,
                 const std::string& aWorkspace,
                 const fleet_config& aConfig) const;

private:
  std::set<std::string> mOperatorHashes;
};

} // namespace anvildoor
