#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "http/HttpPool.h"
#include "http/ReceiveBudget.h"

#include <functional>
#include <memory>
#include <string>

namespace anvildoor {

/** A received request. Header names are matched case-insensitively. */
struct server_request
{
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  std::string mApiKey;    ///< Header X-Api-Key; empty if missing.
  duration mTimeout{ 0 }; ///< Header X-Timeout-Ms; 0 if missing.
  std::string mBody;
  uint64_t mConnection = 0; ///< Counts the server's connections, from 1.

  auto operator<=>(const server_request&) const = default;
};

struct server_reply
{
  unsigned mStatus = 200;
  std::string mBody;
  int64_t mRetryAfterSeconds = 0; ///< Sent as Retry-After when > 0.
  std::string mContentType = "application/json";

  auto operator<=>(const server_reply&) const = default;
};

/** Limits on the resources that one connection may use. */
struct server_limits
{
  /** Of the header, and of what follows a chunked body or stands in a chunk's line. */
  size_t mHeaderBytes = 16'384;
  size_t mBodyBytes = 262'144;
  /** For the header, from its first byte, and again for the body. */
  duration mReadTimeout{ 3'000 };
  duration mIdleTimeout{ 15'000 }; ///< Between requests on one connection.

  auto operator<=>(const server_limits&) const = default;
};

/**
 * HTTP/1.1 server on the thread of an Asio context. Unlike http_server, which has two
 * threads of its own, it does not switch threads for each request. A malformed or
 * oversized request is rejected with a matching status. A request that gives way to
 * others (see receive_budget) is refused with 503 and Retry-After, as far as its client
 * still reads; the handler has not seen it. Not thread-safe: all calls come from the
 * context's thread.
 */
class single_thread_server
{
public:
  using respond = std::function<void(const server_reply&)>;
  using handler = std::function<void(const server_request&, respond)>;

  /**
   * aContext must outlive the server. Servers may share aBudget; without one, the
   * server has one of its own with the default limits.
   */
  single_thread_server(boost::asio::io_context& aContext,
                       handler aHandler,
                       std::shared_ptr<receive_budget> aBudget = nullptr);
  ~single_thread_server();

  /**
   * Listens on aAddress ("IP:port"). kInvalid if it is malformed, kUnavailable if it
   * cannot be bound.
   */
  status Listen(const std::string& aAddress);

  /** Sets the limits for requests that are read from now on. */
  void SetLimits(const server_limits& aLimits);

  /** Closes each connection after its next response. Still accepts new connections. */
  void DisableKeepAlive();

  /** Stops accepting connections and closes idle ones. */
  void StopAccepting();

  /** Returns the number of requests whose response has not been written completely. */
  size_t Active() const;

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
