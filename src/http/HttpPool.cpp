#include "http/HttpPool.h"

#include "http/ResponseLimits.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
#include <cassert>
#include <map>
#include <netinet/tcp.h>
#include <optional>

namespace anvildoor {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/** Limit of a response body. A page of a store listing is about 1 MB. */
constexpr uint64_t kMaxResponseBytes = 8'000'000;
/** Idle connections kept per address. The one that was idle longest is closed first. */
constexpr size_t kMaxIdlePerAddress = 8;
/** Peers may close a connection that has been idle for longer. */
constexpr duration kMaxIdle{ 8'000 };

std::optional<tcp::endpoint> ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code failed;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), failed);
  const auto port = std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10);
  constexpr uint64_t kMaxPort = 65'535;
  if (failed || port == 0 || port > kMaxPort) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

struct idle_connection
{
  std::unique_ptr<beast::tcp_stream> mStream;
  std::chrono::steady_clock::time_point mIdleSince;
};

} // namespace

struct http_pool::state
{
  explicit state(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  /** Returns the most recently used idle connection that is still open, or null. */
  std::unique_ptr<beast::tcp_stream> TakeIdle(const std::string& aAddress);
  void ReturnIdle(const std::string& aAddress,
                  std::unique_ptr<beast::tcp_stream> aStream);
  /** Closes the connections to aAddress that have been idle since aTime or longer. */
  void CloseIdleSince(const std::string& aAddress,
                      std::chrono::steady_clock::time_point aTime);

  asio::io_context& mContext;
  std::map<std::string, std::vector<idle_connection>> mIdle;
  uint64_t mConnectionsOpened = 0;
};

std::unique_ptr<beast::tcp_stream> http_pool::state::TakeIdle(
  const std::string& aAddress)
{
  auto& idle = mIdle[aAddress];
  while (!idle.empty()) {
    auto last = std::move(idle.back());
    idle.pop_back();
    boost::system::error_code failed;
    // Unexpected data or end of stream on an idle connection: the peer is closing it.
    char byte = 0;
    last.mStream->socket().non_blocking(true, failed);
    const auto received =
      ::recv(last.mStream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (isOpen && std::chrono::steady_clock::now() - last.mIdleSince < kMaxIdle) {
      return std::move(last.mStream);
    }
  }
  return nullptr;
}

void http_pool::state::ReturnIdle(const std::string& aAddress,
                                  std::unique_ptr<beast::tcp_stream> aStream)
{
  auto& idle = mIdle[aAddress];
  if (idle.size() >= kMaxIdlePerAddress) {
    idle.erase(idle.begin());
  }
  aStream->expires_never();
  idle.push_back({ std::move(aStream), std::chrono::steady_clock::now() });
}

void http_pool::state::CloseIdleSince(const std::string& aAddress,
                                      std::chrono::steady_clock::time_point aTime)
{
  std::erase_if(mIdle[aAddress], [&](const idle_connection& aIdle) {
    return aIdle.mIdleSince <= aTime;
  });
}

namespace {

/** One request: connects, writes, reads the response and runs the callback. */
template<typename Pool>
class pooled_exchange : public std::enable_shared_from_this<pooled_exchange<Pool>>
{
public:
  pooled_exchange(std::shared_ptr<Pool> aPool,
                  const pooled_call& aCall,
                  http_pool::done aDone)
    : mPool(std::move(aPool))
    , mAddress(aCall.mAddress)
    , mTarget(aCall.mTarget)
    , mIdempotent(aCall.mIdempotent)
    , mDone(std::move(aDone))
    , mDeadline(std::chrono::steady_clock::now() + aCall.mTimeout)
  {
    mRequest.method_string(aCall.mMethod);
    mRequest.target(aCall.mTarget);
    mRequest.version(11);
    mRequest.set(http::field::host, aCall.mAddress);
    for (const auto& [name, value] : aCall.mHeaders) {
      mRequest.set(name, value);
    }
    if (!aCall.mBody.empty()) {
      mRequest.set(http::field::content_type, "application/json");
    }
    mRequest.body() = aCall.mBody;
    mRequest.prepare_payload();
  }

  void Begin(bool aMayReuse)
  {
    mStream = aMayReuse ? mPool->TakeIdle(mAddress) : nullptr;
    mReused = mStream != nullptr;
    if (mReused) {
      Write();
      return;
    }
    const auto endpoint = ParseEndpoint(mAddress);
    if (!endpoint) {
      Finish(Fail(error_code::kInvalid, mTarget, mAddress, "expected IP:port"));
      return;
    }
    mStream = std::make_unique<beast::tcp_stream>(mPool->mContext);
    mStream->expires_at(mDeadline);
    ++mPool->mConnectionsOpened;
    mStream->async_connect(
      *endpoint, [self = this->shared_from_this()](beast::error_code aError) {
        if (aError) {
          // The peer may have executed the first attempt of a request that is retried.
          const auto code =
            self->mMaybeSent ? error_code::kUnknownEffect : error_code::kUnavailable;
          self->Finish(Fail(code, self->mTarget, self->mAddress, aError.message()));
          return;
        }
        beast::error_code ignored;
        self->mStream->socket().set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
  }

private:
  void Write()
  {
    mMaybeSent = true;
    mSentAt = std::chrono::steady_clock::now();
    mStream->expires_at(mDeadline);
    SetUserTimeout();
    http::async_write(
      *mStream,
      mRequest,
      [self = this->shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          self->OnConnectionError(aError);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    mParser.emplace();
    mParser->body_limit(kMaxResponseBytes);
    http::async_read(
      *mStream,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          self->OnConnectionError(aError);
          return;
        }
        self->OnResponse();
      });
  }

  void OnResponse()
  {
    pooled_response reply;
    reply.mStatus = mParser->get().result_int();
    reply.mBody = std::move(mParser->get().body());
    if (mParser->get().keep_alive()) {
      mPool->ReturnIdle(mAddress, std::move(mStream));
    }
    Finish(std::move(reply));
  }

  void OnConnectionError(const beast::error_code& aError)
  {
    const bool noResponseData = !mParser || !mParser->got_some();
    mStream.reset();
    if (noResponseData || aError == beast::error::timeout) {
      // What ended this connection, such as a cut link or another host at the address,
      // may have ended those too that no answer has arrived on since.
      mPool->CloseIdleSince(mAddress, mSentAt);
    }
    if (mReused && mIdempotent && noResponseData && aError != beast::error::timeout) {
      mBuffer.clear();
      Begin(false);
      return;
    }
    Finish(Fail(error_code::kUnknownEffect, mTarget, mAddress, aError.message()));
  }

  void Finish(result<pooled_response> aResponse)
  {
    assert(mDone);
    // Posted, so that the callback never runs before Call returns.
    asio::post(mPool->mContext,
               [done = std::move(mDone), reply = std::move(aResponse)]() mutable {
                 done(std::move(reply));
               });
  }

  /**
   * Makes the kernel close the connection at the deadline if sent data stays
   * unacknowledged, as in a network partition.
   */
  void SetUserTimeout()
  {
    const auto remaining = std::chrono::duration_cast<duration>(
      mDeadline - std::chrono::steady_clock::now());
    const auto ms = static_cast<unsigned>(std::max<int64_t>(1, remaining.count()));
    ::setsockopt(mStream->socket().native_handle(),
                 IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &ms,
                 sizeof(ms));
  }

  std::shared_ptr<Pool> mPool;
  std::string mAddress;
  std::string mTarget;
  bool mIdempotent;
  bool mReused = false;
  bool mMaybeSent = false; ///< Some of the request may have been sent.
  http_pool::done mDone;
  std::chrono::steady_clock::time_point mDeadline;
  std::chrono::steady_clock::time_point mSentAt;
  std::unique_ptr<beast::tcp_stream> mStream;
  http::request<http::string_body> mRequest;
  std::optional<http::response_parser<http::string_body>> mParser;
  beast::flat_buffer mBuffer{ kMaxUnparsedResponseBytes };
};

} // namespace

http_pool::http_pool(asio::io_context& aContext)
  : mState(std::make_shared<state>(aContext))
{
}

http_pool::~http_pool() = default;

void http_pool::Call(const pooled_call& aCall, done aDone)
{
  std::make_shared<pooled_exchange<state>>(mState, aCall, std::move(aDone))
    ->Begin(aCall.mMayReuse);
}

uint64_t http_pool::ConnectionsOpened() const
{
  return mState->mConnectionsOpened;
}

} // namespace anvildoor
