#pragma once

#include "anvildoor/Error.h"
#include "routing/Request.h"

#include <functional>
#include <string>

namespace anvildoor {

/** An upstream's reply. */
struct upstream_reply
{
  uint32_t mStatus = 0;
  std::string mBody;
  bool mLeaving = false; ///< The upstream accepts no new requests.

  auto operator<=>(const upstream_reply&) const = default;
};

/** One attempt to execute a request at an upstream. */
struct upstream_call
{
  std::string mRequestId;
  std::string mWorkspace;
  std::string mClass;
  std::string mPayload;
  duration mTimeout{};      ///< Time left until the caller's deadline.
  duration mReplyTimeout{}; ///< Maximum wait for the reply; may exceed mTimeout.
  /** Uses a new connection, to distinguish "never sent" from "may have run". */
  bool mFreshConnection = false;

  auto operator<=>(const upstream_call&) const = default;
};

/**
 * Sends requests to upstreams. The callback runs once, on the event loop and never
 * inside the call. It receives kUnavailable if nothing was sent and kUnknownEffect if
 * no complete reply arrived. Thread-safe.
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
