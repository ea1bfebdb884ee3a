#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <map>
#include <string>

namespace anvildoor {

/** One blocking call over HTTP/1.1, as the command line makes it. */
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
 * Makes one call and waits for the answer. kUnavailable: nothing was sent;
 * kUnknownEffect: sent, but no whole answer. Thread-safe.
 */
result<http_reply> CallHttp(const http_call& aCall);

} // namespace anvildoor
