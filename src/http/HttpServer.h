#pragma once

#include "anvildoor/Error.h"
#include "http/ApiTypes.h"

#include <memory>
#include <string>

namespace anvildoor {

/** Limits on the resources that clients may use. */
struct http_limits
{
  size_t mBodyBytes = 65'536;
  /** From the first byte of a request to its last. Also applies to the response. */
  duration mReadTimeout{ 5'000 };
  duration mIdleTimeout{ 60'000 }; ///< Between requests on one connection.
  size_t mConnections = 2'048;     ///< Further connections are closed at once.

  auto operator<=>(const http_limits&) const = default;
};

/**
 * HTTP/1.1 server with its own threads. A request that is malformed, too large or too
 * slow is rejected with a matching status and does not reach the handler. Thread-safe.
 */
class http_server
{
public:
  http_server(api_handler aHandler, const http_limits& aLimits);
  ~http_server();

  /**
   * Listens on aAddress ("IP:port"). kInvalid if it is malformed, kUnavailable if it
   * cannot be bound.
   */
  status Listen(const std::string& aAddress);

  /** Stops accepting connections. Closes idle ones, and others after their response. */
  void StopAccepting();

  /** Returns the number of requests whose response has not been written completely. */
  size_t Active() const;

  /** Stops all I/O and joins the threads. */
  void Stop();

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
