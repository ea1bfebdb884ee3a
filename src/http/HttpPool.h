#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace anvildoor {

/** One call over HTTP/1.1 on a kept-alive connection. */
struct pooled_call
{
  std::string mAddress; ///< "IP:port".
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mBody; ///< Sent as application/json unless empty.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  duration mTimeout{ 1'000 }; ///< From the call to its whole answer, > 0 ms.
  bool mRepeatable = false;   ///< Sent once more if a reused connection breaks.

  auto operator<=>(const pooled_call&) const = default;
};

struct http_answer
{
  unsigned mStatus = 0;
  std::string mBody;

  auto operator<=>(const http_answer&) const = default;
};

/**
 * Makes calls from one thread over a pool of connections per address. A call fails with
 * kUnavailable when nothing was sent, and with kUnknownEffect when something was sent
 * and no whole answer came in time; its connection is then closed, never used again.
 * Not thread-safe: every call and every callback runs on the context's thread.
 */
class http_pool
{
public:
  using done = std::function<void(result<http_answer>)>;

  /** aContext must outlive the pool. */
  explicit http_pool(boost::asio::io_context& aContext);
  ~http_pool();

  /** Makes aCall; aDone runs exactly once and never inside this call. */
  void Call(const pooled_call& aCall, done aDone);

  /** Returns the connections opened so far; a cost that the platform counts. */
  uint64_t Opened() const;

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
