#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <map>
#include <string>

namespace anvildoor {

/** A blocking HTTP/1.1 request, as sent by the command line. */
struct http_call
{
  std::string mAddress; ///< "IP:port".
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  duration mTimeout{ 10'000 };

  auto operator<=>(const http_call&) const = default;
};

struct http_reply
{
  uint32_t mStatus = 0;
  std::string mBody;

  auto operator<=>(const http_reply&) const = default;
};

/**
 * Sends a request on a new connection and waits for the response. kInvalid: the address
 * is malformed. kUnavailable: nothing was sent. kUnknownEffect: no complete response
 * was received. Thread-safe.
 */
result<http_reply> CallHttp(const http_call& aCall);

} // namespace anvildoor
