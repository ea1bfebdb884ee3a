#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvildoor {

/** One call to the service, as client makes it. */
struct client_call
{
  std::string mMethod = "GET";
  std::string mTarget; ///< Path and query, such as "/v1/jobs".
  std::string mBody;   ///< JSON.
  std::string mIdempotencyKey;
  std::string mIfMatch; ///< The version that a change of configuration builds on.

  auto operator<=>(const client_call&) const = default;
};

struct client_reply
{
  uint32_t mStatus = 0;
  std::string mBody;

  auto operator<=>(const client_reply&) const = default;
};

/**
 * A caller's or operator's side of the HTTP interface. Tries its servers in order and
 * moves on only while nothing was sent. Immutable; thread-safe.
 */
class client
{
public:
  /** aServers are "IP:port" and must not be empty; kInvalid if one is not. */
  static result<client> Make(std::vector<std::string> aServers, std::string aToken);

  /**
   * Makes one call and waits for its answer, for at most aTimeout (> 0 ms) per server.
   * Errors: kUnavailable if nothing was sent, kUnknownEffect if no whole answer came.
   */
  result<client_reply> Call(const client_call& aCall, duration aTimeout) const;

private:
  client(std::vector<std::string> aServers, std::string aToken);

  std::vector<std::string> mServers;
  std::string mToken;
};

} // namespace anvildoor
