#include "http/HttpUpstreams.h"

#include "http/ResponseLimits.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace anvildoor {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr duration kConnectTimeout{ 1'000 };
constexpr size_t kMaxIdlePerUpstream = 8;
constexpr size_t kMaxResponseBytes = 1'048'576;
using shared_stream = std::shared_ptr<beast::tcp_stream>;

/** Idle connections by address. Thread-safe. */
class idle_connections
{
public:
  shared_stream Take(const std::string& aAddress)
  {
    std::lock_guard lock(mMutex);
    auto& idle = mIdle[aAddress];
    if (idle.empty()) {
      return nullptr;
    }
    auto stream = idle.back();
    idle.pop_back();
    return stream;
  }

  void Put(const std::string& aAddress, shared_stream aStream)
  {
    std::lock_guard lock(mMutex);
    auto& idle = mIdle[aAddress];
    if (idle.size() < kMaxIdlePerUpstream) {
      idle.push_back(std::move(aStream));
    }
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::vector<shared_stream>> mIdle;
};

/** Sends one request to an upstream and reads the response. */
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange>
{
public:
  upstream_exchange(event_loop& aLoop,
                    asio::io_context& aIo,
                    idle_connections& aIdle,
                    std::string aAddress,
                    const upstream_call& aCall,
                    upstream_port::done aDone)
    : mLoop(aLoop)
    , mIo(aIo)
    , mIdle(aIdle)
    , mAddress(std::move(aAddress))
    , mCall(aCall)
    , mDone(std::move(aDone))
  {
    mParser.body_limit(kMaxResponseBytes);
  }

  void Start()
  {
    mStream = mCall.mFreshConnection ? nullptr : mIdle.Take(mAddress);
    if (mStream) {
      Send();
      return;
    }
    const auto colon = mAddress.rfind(':');
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(mAddress.substr(0, colon), failure);
    if (failure) {
      Finish(Fail(
        error_code::kUnavailable, "upstream.connect", mAddress, "expected IP:port"));
      return;
    }
    const int port = std::atoi(mAddress.c_str() + colon + 1);
    mStream = std::make_shared<beast::tcp_stream>(asio::make_strand(mIo));
    mStream->expires_after(std::min(kConnectTimeout, mCall.mReplyTimeout));
    mStream->async_connect(tcp::endpoint(ip, static_cast<uint16_t>(port)),
                           [self = shared_from_this()](beast::error_code aError) {
                             self->OnConnected(aError);
                           });
  }

private:
  void OnConnected(beast::error_code aError)
  {
    if (aError) {
      Finish(
        Fail(error_code::kUnavailable, "upstream.connect", mAddress, aError.message()));
      return;
    }
    Send();
  }

  void Send()
  {
    mRequest.method(http::verb::post);
    mRequest.target("/execute");
    mRequest.version(11);
    mRequest.set(http::field::host, mAddress);
    mRequest.set("X-Request-Id", mCall.mRequestId);
    mRequest.set("X-Workspace", mCall.mWorkspace);
    mRequest.set("X-Class", mCall.mClass);
    mRequest.set("X-Deadline-Ms", std::to_string(mCall.mTimeout.count()));
    mRequest.keep_alive(!mCall.mFreshConnection);
    mRequest.body() = mCall.mPayload;
    mRequest.prepare_payload();
    mStream->expires_after(mCall.mReplyTimeout);
    http::async_write(*mStream,
                      mRequest,
                      [self = shared_from_this()](beast::error_code aError, size_t) {
                        self->OnSent(aError);
                      });
  }

  void OnSent(beast::error_code aError)
  {
    if (aError) {
      Finish(
        Fail(error_code::kUnknownEffect, "upstream.send", mAddress, aError.message()));
      return;
    }
    http::async_read(*mStream,
                     mBuffer,
                     mParser,
                     [self = shared_from_this()](beast::error_code aRead, size_t) {
                       self->OnResponse(aRead);
                     });
  }

  void OnResponse(beast::error_code aError)
  {
    if (aError) {
      Finish(Fail(
        error_code::kUnknownEffect, "upstream.answer", mAddress, aError.message()));
      return;
    }
    const auto& response = mParser.get();
    upstream_reply reply;
    reply.mStatus = response.result_int();
    reply.mBody = response.body();
    reply.mLeaving = response.find("X-Leaving") != response.end();
    if (response.keep_alive() && !mCall.mFreshConnection && !reply.mLeaving) {
      mStream->expires_never();
      mIdle.Put(mAddress, mStream);
    }
    Finish(reply);
  }

  void Finish(result<upstream_reply> aReply)
  {
    mLoop.Post([done = std::move(mDone), reply = std::move(aReply)] { done(reply); });
  }

  event_loop& mLoop;
  asio::io_context& mIo;
  idle_connections& mIdle;
  std::string mAddress;
  upstream_call mCall;
  upstream_port::done mDone;
  shared_stream mStream;
  http::request<http::string_body> mRequest;
  http::response_parser<http::string_body> mParser;
  beast::flat_buffer mBuffer{ kMaxUnparsedResponseBytes };
};

} // namespace

struct http_upstreams::state
{
  explicit state(event_loop& aLoop)
    : mLoop(aLoop)
    , mWorkGuard(asio::make_work_guard(mIo))
  {
  }

  event_loop& mLoop;
  asio::io_context mIo;
  asio::executor_work_guard<asio::io_context::executor_type> mWorkGuard;
  idle_connections mIdle;
  std::thread mThread;
};

http_upstreams::http_upstreams(event_loop& aLoop)
  : mState(std::make_shared<state>(aLoop))
{
  mState->mThread = std::thread([shared = mState.get()] { shared->mIo.run(); });
}

http_upstreams::~http_upstreams()
{
  Stop();
}

void http_upstreams::Stop()
{
  mState->mIo.stop();
  if (mState->mThread.joinable()) {
    mState->mThread.join();
  }
}

void http_upstreams::OnExecute(const std::string& aAddress,
                               const upstream_call& aCall,
                               done aDone)
{
  std::make_shared<upstream_exchange>(
    mState->mLoop, mState->mIo, mState->mIdle, aAddress, aCall, std::move(aDone))
    ->Start();
}

} // namespace anvildoor
