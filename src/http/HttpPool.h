#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace anvildoor {

/** An HTTP/1.1 request on a pooled connection. */
struct pooled_call
{
  std::string mAddress; ///< "IP:port".
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mBody; ///< Sent as application/json unless empty.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  duration mTimeout{ 1'000 }; ///< Until the complete response, > 0 ms.
  bool mIdempotent = false;   ///< Retried once if a reused connection breaks.
  bool mMayReuse = true;      ///< False: on a new connection, which is kept then.

  auto operator<=>(const pooled_call&) const = default;
};

struct pooled_response
{
  unsigned mStatus = 0;
  std::string mBody;

  auto operator<=>(const pooled_response&) const = default;
};

/**
 * HTTP client with a pool of persistent connections per address. A request fails with
 * kInvalid if its address is malformed, with kUnavailable if nothing was sent, and with
 * kUnknownEffect if something was sent and no complete response arrived in time; its
 * connection is then closed. If that connection timed out or broke without any data of
 * a response, so are the idle ones to its address that were idle when the request was
 * sent; those in use and those that were answered since are kept. Not thread-safe: use
 * it on the context's thread, where the callbacks run too.
 */
class http_pool
{
public:
  using done = std::function<void(result<pooled_response>)>;

  /** aContext must outlive the pool. */
  explicit http_pool(boost::asio::io_context& aContext);
  ~http_pool();

  /** Sends aCall. aDone runs exactly once, never before Call returns. */
  void Call(const pooled_call& aCall, done aDone);

  /** Returns the number of connections opened so far. The platform measures this cost.
   */
  uint64_t ConnectionsOpened() const;

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
