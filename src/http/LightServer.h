#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "http/HttpPool.h"

#include <functional>
#include <memory>
#include <string>

namespace anvildoor {

/** A call as it arrived. Header names are compared without case. */
struct light_request
{
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  std::string mApiKey;    ///< Header X-Api-Key; empty if there is none.
  duration mTimeout{ 0 }; ///< Header X-Timeout-Ms; 0 if there is none.
  std::string mBody;

  auto operator<=>(const light_request&) const = default;
};

struct light_reply
{
  unsigned mStatus = 200;
  std::string mBody;
  int64_t mRetryAfterSeconds = 0; ///< Sent as Retry-After when > 0.
  std::string mContentType = "application/json";

  auto operator<=>(const light_reply&) const = default;
};

/** What one connection may cost. */
struct light_limits
{
  size_t mHeaderBytes = 16'384;
  size_t mBodyBytes = 262'144;
  duration mReadTimeout{ 3'000 };  ///< From the first byte of a call to its last.
  duration mIdleTimeout{ 15'000 }; ///< Between calls on one connection.

  auto operator<=>(const light_limits&) const = default;
};

/**
 * Serves HTTP/1.1 from the one thread of an Asio context, where http_server spends two
 * threads and a hand-over a call. A malformed or oversized call is answered with its
 * own status. Not thread-safe.
 */
class light_server
{
public:
  using respond = std::function<void(const light_reply&)>;
  using handler = std::function<void(const light_request&, respond)>;

  /** aContext must outlive the server. */
  light_server(boost::asio::io_context& aContext, handler aHandler);
  ~light_server();

  /** Listens on aAddress ("IP:port"); kUnavailable if it cannot be bound. */
  status Listen(const std::string& aAddress);

  /** Sets the bounds of calls read from now on. */
  void SetLimits(const light_limits& aLimits);

  /** From now on each answer closes its connection; new connections still come in. */
  void AskToLeave();

  /** Takes no new connections and closes those that are idle. */
  void StopAccepting();

  /** Returns the calls without a complete answer. */
  size_t Active() const;

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
