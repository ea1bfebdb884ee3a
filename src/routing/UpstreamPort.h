#pragma once

#include "anvildoor/Error.h"
#include "routing/Request.h"

#include <functional>
#include <string>

namespace anvildoor {

/** An upstream's answer. */
struct upstream_reply
{
  uint32_t mStatus = 0;
  std::string mBody;
  bool mLeaving = false; ///< The upstream says that it takes no new work.

  auto operator<=>(const upstream_reply&) const = default;
};

/** One request as it is sent to an upstream. */
struct upstream_call
{
  std::string mRequestId;
  std::string mWorkspace;
  std::string mClass;
  std::string mPayload;
  duration mTimeout{}; ///< What is left of the caller's deadline.
  duration mWait{};    ///< How long to wait for the answer; may exceed the deadline.
  bool mFreshConnection = false; ///< Needed to tell "never sent" from "may have run".

  auto operator<=>(const upstream_call&) const = default;
};

/**
 * Sends requests to upstreams. Answers once, on the event loop and never inside the
 * call: kUnavailable if nothing was sent, kUnknownEffect if no whole answer came.
 * Thread-safe.
 */
class upstream_port
{
public:
  using done = std::function<void(result<upstream_reply>)>;

  virtual ~upstream_port() = default;

  void Execute(const std::string& aAddress, const upstream_call& aCall, done aDone)
  {
    OnExecute(aAddress, aCall, std::move(aDone));
  }

protected:
  virtual void OnExecute(const std::string& aAddress,
                         const upstream_call& aCall,
                         done aDone) = 0;
};

} // namespace anvildoor
