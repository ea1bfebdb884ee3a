#pragma once

#include "base/EventLoop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace anvildoor {

/** A request by a caller or operator, independent of the transport. */
struct api_call
{
  std::string mMethod;
  std::string mTarget; ///< Path and query.
  std::string mBody;
  std::string mToken; ///< From "Authorization: Bearer ...".
  std::string mIdempotencyKey;
  std::string mIfMatch;
  std::string mRequestId;
  bool mForwarded = false; ///< Sent by another entry VM; must not be forwarded again.

  auto operator<=>(const api_call&) const = default;
};

struct api_response
{
  uint32_t mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
  duration mRetryAfter{ 0 }; ///< 0 ms: no Retry-After header.
  /** The sender accepts no new requests. Adds the header "X-Leaving: 1". */
  bool mLeaving = false;

  auto operator<=>(const api_response&) const = default;
};

using api_done = std::function<void(const api_response&)>;

/** Serves a request. Implementations are thread-safe and run api_done exactly once. */
using api_handler = std::function<void(const api_call&, api_done)>;

} // namespace anvildoor
