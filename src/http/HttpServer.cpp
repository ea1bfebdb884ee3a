#include "http/HttpServer.h"

#include "http/ApiSupport.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
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

constexpr int kIoThreads = 2;
constexpr uint32_t kMaxHeaderBytes = 16'384;
/** Limit of what is read but not parsed, such as a header or trailers. */
constexpr size_t kMaxUnparsedBytes = 2UL * kMaxHeaderBytes;
constexpr int64_t kMsPerSecond = 1000;

struct server_counts
{
  std::atomic<size_t> mActive{ 0 };
  std::atomic<size_t> mConnections{ 0 };
  std::atomic<bool> mStopping{ false };
};

std::string HeaderValue(const http::request<http::string_body>& aRequest,
                        const char* aName)
{
  const auto found = aRequest.find(aName);
  return found == aRequest.end() ? std::string() : std::string(found->value());
}

std::string BearerToken(const http::request<http::string_body>& aRequest)
{
  constexpr const char* kScheme = "Bearer ";
  const auto value = HeaderValue(aRequest, "Authorization");
  return value.rfind(kScheme, 0) == 0 ? value.substr(std::string(kScheme).size())
                                      : std::string();
}

class http_session;

/** The open connections, so that idle ones can be closed on shutdown. Thread-safe. */
class session_registry
{
public:
  void Add(const std::shared_ptr<http_session>& aSession);
  void CloseIdle();

private:
  std::mutex mMutex;
  std::vector<std::weak_ptr<http_session>> mSessions;
};

/** One connection: reads a request, runs the handler, writes the response, repeats. */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
  http_session(tcp::socket aSocket,
               const api_handler& aHandler,
               const http_limits& aLimits,
               std::shared_ptr<server_counts> aCounts)
    : mStream(std::move(aSocket))
    , mTimer(mStream.get_executor())
    , mHandler(aHandler)
    , mLimits(aLimits)
    , mCounts(std::move(aCounts))
  {
    ++mCounts->mConnections;
  }

  ~http_session() { --mCounts->mConnections; }

  void Start()
  {
    asio::dispatch(mStream.get_executor(),
                   [self = shared_from_this()] { self->WaitForRequest(); });
  }

  /** Closes the connection unless a request is being read or served. */
  void CloseIfIdle()
  {
    asio::dispatch(mStream.get_executor(), [self = shared_from_this()] {
      if (self->mIdle) {
        self->mTimer.cancel();
        self->mStream.cancel();
        self->Close();
      }
    });
  }

private:
  void WaitForRequest()
  {
    if (mCounts->mStopping) {
      Close();
      return;
    }
    mIdle = true;
    mParser.emplace();
    mParser->body_limit(mLimits.mBodyBytes);
    mParser->header_limit(kMaxHeaderBytes);
    mReadTimedOut = false;
    StartTimer(mLimits.mIdleTimeout, false);
    if (mBuffer.size() > 0) {
      ReadRequest();
      return;
    }
    mStream.async_read_some(
      mBuffer.prepare(kMaxHeaderBytes),
      [self = shared_from_this()](beast::error_code aError, size_t aBytes) {
        self->mBuffer.commit(aBytes);
        if (!aError) {
          self->ReadRequest();
        }
      });
  }

  void ReadRequest()
  {
    mIdle = false;
    StartTimer(mLimits.mReadTimeout, true);
    http::async_read(mStream,
                     mBuffer,
                     *mParser,
                     [self = shared_from_this()](beast::error_code aError, size_t) {
                       self->OnRead(aError);
                     });
  }

  void StartTimer(duration aTimeout, bool aIsReading)
  {
    mTimer.expires_after(aTimeout);
    mTimer.async_wait(
      [self = shared_from_this(), aIsReading](beast::error_code aError) {
        if (!aError) {
          self->mReadTimedOut = aIsReading;
          self->mStream.cancel();
        }
      });
  }

  void OnRead(beast::error_code aError)
  {
    mTimer.cancel();
    if (mReadTimedOut) {
      Reject(408, "the request was not received in time", "");
    } else if (aError == http::error::body_limit) {
      Reject(413, "the body exceeds the size limit", "body");
    } else if (aError == http::error::header_limit ||
               aError == http::error::buffer_overflow) {
      Reject(431, "the headers exceed the size limit", "headers");
    } else if (!aError) {
      Serve();
    } else if (aError.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
               aError != http::error::end_of_stream) {
      Reject(400, "malformed HTTP: " + aError.message(), "");
    } else {
      Close();
    }
  }

  void Serve()
  {
    const auto request = mParser->release();
    mKeepAlive = request.keep_alive();
    mVersion = request.version();
    api_call call;
    call.mMethod = std::string(request.method_string());
    call.mTarget = std::string(request.target());
    call.mBody = request.body();
    call.mToken = BearerToken(request);
    call.mIdempotencyKey = HeaderValue(request, "Idempotency-Key");
    call.mIfMatch = HeaderValue(request, "If-Match");
    call.mRequestId = HeaderValue(request, "X-Request-Id");
    ++mCounts->mActive;
    mHandler(call, [self = shared_from_this()](const api_response& aResponse) {
      asio::post(self->mStream.get_executor(),
                 [self, aResponse] { self->Write(aResponse, true); });
    });
  }

  void Reject(uint32_t aStatus, const std::string& aError, const std::string& aField)
  {
    mKeepAlive = false;
    ++mCounts->mActive;
    Write(RejectionResponse(aStatus, aError, aField), false);
  }

  void Write(const api_response& aResponse, bool aMayKeepAlive)
  {
    mResponse = {};
    mResponse.version(mVersion);
    mResponse.result(aResponse.mStatus);
    mResponse.set(http::field::server, "anvildoor");
    mResponse.set(http::field::content_type, aResponse.mContentType);
    if (aResponse.mRetryAfter.count() > 0) {
      const auto seconds =
        (aResponse.mRetryAfter.count() + kMsPerSecond - 1) / kMsPerSecond;
      mResponse.set(http::field::retry_after, std::to_string(seconds));
    }
    if (aResponse.mLeaving) {
      mResponse.set("X-Leaving", "1");
    }
    mResponse.keep_alive(aMayKeepAlive && mKeepAlive && !mCounts->mStopping);
    mResponse.body() = aResponse.mBody;
    mResponse.prepare_payload();
    StartTimer(mLimits.mReadTimeout, false);
    http::async_write(mStream,
                      mResponse,
                      [self = shared_from_this()](beast::error_code aError, size_t) {
                        self->OnWritten(aError);
                      });
  }

  void OnWritten(beast::error_code aError)
  {
    mTimer.cancel();
    --mCounts->mActive;
    if (aError || !mResponse.keep_alive()) {
      Close();
      return;
    }
    WaitForRequest();
  }

  void Close()
  {
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  beast::tcp_stream mStream;
  asio::steady_timer mTimer;
  const api_handler& mHandler;
  const http_limits& mLimits;
  std::shared_ptr<server_counts> mCounts;
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  unsigned mVersion = 11;
  bool mKeepAlive = true;
  bool mReadTimedOut = false;
  bool mIdle = false;
};

void session_registry::Add(const std::shared_ptr<http_session>& aSession)
{
  std::lock_guard lock(mMutex);
  std::erase_if(mSessions, [](const auto& aItem) { return aItem.expired(); });
  mSessions.push_back(aSession);
}

void session_registry::CloseIdle()
{
  std::lock_guard lock(mMutex);
  for (const auto& item : mSessions) {
    if (const auto session = item.lock()) {
      session->CloseIfIdle();
    }
  }
}

result<tcp::endpoint> ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  boost::system::error_code failure;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), failure);
  if (colon == std::string::npos || failure) {
    return Fail(error_code::kInvalid, "http.listen", aAddress, "expected IP:port");
  }
  const int port = std::atoi(aAddress.c_str() + colon + 1);
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

} // namespace

struct http_server::state
{
  state(api_handler aHandler, const http_limits& aLimits)
    : mHandler(std::move(aHandler))
    , mLimits(aLimits)
    , mAcceptor(mIo)
    , mWorkGuard(asio::make_work_guard(mIo))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      asio::make_strand(mIo), [this](beast::error_code aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
          return;
        }
        if (!aError && mCounts->mConnections < mLimits.mConnections) {
          const auto session = std::make_shared<http_session>(
            std::move(aSocket), mHandler, mLimits, mCounts);
          mSessions.Add(session);
          session->Start();
        }
        Accept();
      });
  }

  asio::io_context mIo;
  api_handler mHandler;
  http_limits mLimits;
  tcp::acceptor mAcceptor;
  asio::executor_work_guard<asio::io_context::executor_type> mWorkGuard;
  std::shared_ptr<server_counts> mCounts = std::make_shared<server_counts>();
  session_registry mSessions;
  std::vector<std::thread> mThreads;
};

http_server::http_server(api_handler aHandler, const http_limits& aLimits)
  : mState(std::make_shared<state>(std::move(aHandler), aLimits))
{
}

http_server::~http_server()
{
  Stop();
}

status http_server::Listen(const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected<error>(endpoint.error());
  }
  boost::system::error_code failure;
  auto& acceptor = mState->mAcceptor;
  acceptor.open(endpoint->protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    acceptor.bind(*endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Fail(error_code::kUnavailable, "http.listen", aAddress, failure.message());
  }
  mState->Accept();
  for (int i = 0; i < kIoThreads; ++i) {
    mState->mThreads.emplace_back([shared = mState] { shared->mIo.run(); });
  }
  return {};
}

void http_server::StopAccepting()
{
  mState->mCounts->mStopping = true;
  asio::post(mState->mIo, [shared = mState] {
    boost::system::error_code ignored;
    shared->mAcceptor.close(ignored);
    shared->mSessions.CloseIdle();
  });
}

size_t http_server::Active() const
{
  return mState->mCounts->mActive;
}

void http_server::Stop()
{
  mState->mIo.stop();
  for (auto& thread : mState->mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

} // namespace anvildoor
