#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvildoor {

/** One call to the service's HTTP interface. */
struct client_call
{
  std::string mMethod = "GET";
  std::string mTarget; ///< Path and query, such as "/v1/jobs".
  std::string mBody;   ///< JSON.
  std::string mIdempotencyKey;
  std::string mIfMatch; ///< Version that a configuration change is based on.

  auto operator<=>(const client_call&) const = default;
};

struct client_reply
{
  uint32_t mStatus = 0;
  std::string mBody;

  auto operator<=>(const client_reply&) const = default;
};

/**
 * Client of the HTTP interface, for callers and operators. Tries its servers in order,
 * and the next one only if nothing was sent to the previous ones. Immutable.
 * Thread-safe.
 */
class client
{
public:
  /** Returns kInvalid if aServers is empty or holds an entry that is not "IP:port". */
  static result<client> Make(std::vector<std::string> aServers, std::string aToken);

  /**
   * Makes one call and waits for its answer, for at most aTimeout (> 0 ms) per server.
   * Errors: kUnavailable if nothing was sent, kUnknownEffect if no complete answer
   * arrived.
   */
  result<client_reply> Call(const client_call& aCall, duration aTimeout) const;

private:
  client(std::vector<std::string> aServers, std::string aToken);

  std::vector<std::string> mServers;
  std::string mToken;
};

} // namespace anvildoor
