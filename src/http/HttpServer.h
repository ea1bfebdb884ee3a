#pragma once

#include "anvildoor/Error.h"
#include "http/ApiTypes.h"

#include <memory>
#include <string>

namespace anvildoor {

/** Bounds on what a caller may cost. */
struct http_limits
{
  size_t mBodyBytes = 65'536;
  duration mReadTimeout{ 5'000 };  ///< From the first byte of a call to its last.
  duration mIdleTimeout{ 60'000 }; ///< Between calls on one connection.
  size_t mConnections = 2'048;

  auto operator<=>(const http_limits&) const = default;
};

/**
 * Serves calls over HTTP/1.1. A call that is malformed, too large or too slow gets its
 * own status and never reaches the handler. Thread-safe.
 */
class http_server
{
public:
  http_server(api_handler aHandler, const http_limits& aLimits);
  ~http_server();

  /** Listens on aAddress ("IP:port"); kUnavailable if it cannot be bound. */
  status Listen(const std::string& aAddress);

  /** Takes no new connections and closes those that are idle. */
  void StopAccepting();

  /** Returns the calls that are being served or whose answer is being written. */
  size_t Active() const;

  /** Ends everything and waits for the threads. */
  void Stop();

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
