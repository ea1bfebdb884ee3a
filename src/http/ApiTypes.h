#pragma once

#include "base/EventLoop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace anvildoor {

/** One call of a caller or operator, free of transport. */
struct api_call
{
  std::string mMethod;
  std::string mTarget; ///< Path and query.
  std::string mBody;
  std::string mToken; ///< From "Authorization: Bearer ...".
  std::string mIdempotencyKey;
  std::string mIfMatch;
  std::string mRequestId;
  bool mForwarded = false; ///< Another entry VM sent it here: do not send it on.

  auto operator<=>(const api_call&) const = default;
};

struct api_answer
{
  uint32_t mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
  duration mRetryAfter{ 0 }; ///< 0 ms: no Retry-After header.
  bool mLeaving = false;     ///< Adds the header "X-Leaving: 1".

  auto operator<=>(const api_answer&) const = default;
};

using api_done = std::function<void(const api_answer&)>;

/** Serves calls. Implementations are thread-safe and answer each call once. */
using api_handler = std::function<void(const api_call&, api_done)>;

} // namespace anvildoor
