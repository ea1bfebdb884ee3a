#include "http/SingleThreadServer.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
#include <cstring>
#include <optional>
#include <set>

namespace anvildoor {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/** The connection is closed if the client does not read the response for this long. */
constexpr duration kWriteTimeout{ 5'000 };
/** Delay before the next accept after a failure, such as no free file descriptors. */
constexpr duration kAcceptRetryDelay{ 50 };
/** Room for one read of a header, and of a body. */
constexpr size_t kHeaderReadBytes = 4'096;
constexpr size_t kBodyReadBytes = 32'768;
/** Sent to a client that gives way. Nothing of its request has run. */
constexpr const char* kGivesWayResponse =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
  "Content-Type: application/json\r\nContent-Length: 59\r\n\r\n"
  R"({"error":"too many requests at once; this one did not run"})";

class single_thread_session;

std::string HeaderValue(const http::request<http::string_body>& aRequest,
                        const char* aName)
{
  const auto found = aRequest.find(aName);
  return found == aRequest.end() ? std::string() : std::string(found->value());
}

} // namespace

struct single_thread_server::state
{
  state(asio::io_context& aContext,
        handler aHandler,
        std::shared_ptr<receive_budget> aBudget)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mHandler(std::move(aHandler))
    , mBudget(aBudget ? std::move(aBudget) : std::make_shared<receive_budget>())
  {
  }

  void Accept(const std::shared_ptr<state>& aSelf);

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  handler mHandler;
  std::shared_ptr<receive_budget> mBudget;
  server_limits mLimits;
  bool mKeepAliveDisabled = false;
  size_t mActive = 0;
  uint64_t mConnections = 0;
  std::set<std::shared_ptr<single_thread_session>> mSessions;
};

namespace {

/** One connection: reads a request, runs the handler, writes the response, repeats. */
class single_thread_session : public std::enable_shared_from_this<single_thread_session>
{
public:
  using owner = single_thread_server;

  template<typename State>
  single_thread_session(tcp::socket aSocket, const std::shared_ptr<State>& aState)
    : mStream(std::move(aSocket))
    , mHandler(&aState->mHandler)
    , mLimits(&aState->mLimits)
    , mKeepAliveDisabled(&aState->mKeepAliveDisabled)
    , mActive(&aState->mActive)
    , mBudget(aState->mBudget)
    , mNumber(++aState->mConnections)
    , mServerState(aState)
  {
    std::weak_ptr<State> weak = aState;
    mUnregister = [weak](const std::shared_ptr<single_thread_session>& aSession) {
      if (const auto state = weak.lock()) {
        state->mSessions.erase(aSession);
      }
    };
  }

  ~single_thread_session()
  {
    if (mPlace) {
      mBudget->Close(*mPlace);
    }
  }

  single_thread_session(const single_thread_session&) = delete;
  single_thread_session& operator=(const single_thread_session&) = delete;

  void Start()
  {
    mPlace = mBudget->Open([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mGivesWay = true;
        self->mStream.cancel();
      }
    });
    if (!mPlace) {
      GiveWay();
      return;
    }
    WaitForRequest();
  }

  /** Closes the connection unless a request is being read or served. */
  void CloseIfIdle()
  {
    if (mIdle) {
      Close();
    }
  }

private:
  void WaitForRequest()
  {
    mIdle = mBuffer.size() == 0;
    mParser.emplace();
    mParser->header_limit(static_cast<uint32_t>(mLimits->mHeaderBytes));
    mParser->body_limit(mLimits->mBodyBytes);
    mParser->eager(true);
    mBuffer.shrink_to_fit();
    mBudget->BecomeIdle(*mPlace);
    if (mIdle) {
      mStream.expires_after(mLimits->mIdleTimeout);
      ReadSome();
      return;
    }
    BeginRequest();
    // Posted, so that a client with many requests in its buffer does not nest calls.
    asio::post(mStream.get_executor(), [self = shared_from_this()] { self->Parse(); });
  }

  void BeginRequest()
  {
    mIdle = false;
    mBudget->BeginRequest(*mPlace);
    mStream.expires_after(mLimits->mReadTimeout);
  }

  void ReadSome()
  {
    const bool inBody = mParser->is_header_done();
    const auto room = mBuffer.prepare(inBody ? kBodyReadBytes : kHeaderReadBytes);
    if (!mIdle && !mBudget->Hold(*mPlace, HeldBytes())) {
      GiveWay();
      return;
    }
    mStream.async_read_some(
      room, [self = shared_from_this()](beast::error_code aFailed, size_t aBytes) {
        self->mBuffer.commit(aBytes);
        if (self->mGivesWay) {
          self->GiveWay();
        } else if (aFailed) {
          self->Close();
        } else {
          if (self->mIdle) {
            self->BeginRequest();
          }
          self->Parse();
        }
      });
  }

  /** Parses what has arrived; then serves the request, or waits for more of it. */
  void Parse()
  {
    if (mGivesWay) {
      GiveWay();
      return;
    }
    const bool wasInBody = mParser->is_header_done();
    beast::error_code failed;
    mBuffer.consume(mParser->put(mBuffer.data(), failed));
    if (failed && failed != http::error::need_more) {
      Reject(failed);
    } else if (mParser->is_done()) {
      Serve();
    } else if (mBuffer.size() > mLimits->mHeaderBytes) {
      // The parser's own limit counts neither trailers nor a chunk's extensions.
      Reject(http::error::header_limit);
    } else {
      if (!wasInBody && mParser->is_header_done()) {
        mStream.expires_after(mLimits->mReadTimeout);
      }
      ReadSome();
    }
  }

  size_t HeldBytes() const
  {
    return mBuffer.capacity() + mParser->get().body().capacity();
  }

  /** Refuses what has arrived of a request, if anything, and closes the connection. */
  void GiveWay()
  {
    if (!mIdle || mBuffer.size() > 0 || !mPlace) {
      beast::error_code ignored;
      // One attempt: a client that does not read must not keep the connection open.
      mStream.socket().non_blocking(true, ignored);
      mStream.socket().write_some(
        asio::buffer(kGivesWayResponse, std::strlen(kGivesWayResponse)), ignored);
    }
    Close();
  }

  void Reject(const beast::error_code& aFailed)
  {
    if (aFailed == http::error::body_limit) {
      Reject(413);
    } else if (aFailed == http::error::header_limit) {
      Reject(431);
    } else {
      Reject(400);
    }
  }

  void Reject(unsigned aStatus)
  {
    ++*mActive;
    mKeepAlive = false;
    mParser.emplace();
    mBuffer.clear();
    mBuffer.shrink_to_fit();
    mBudget->BeginServing(*mPlace);
    server_reply reply;
    reply.mStatus = aStatus;
    reply.mBody = R"({"error":"malformed or oversized request"})";
    Write(reply);
  }

  void Serve()
  {
    auto& message = mParser->get();
    mKeepAlive = message.keep_alive();
    server_request request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    request.mHost = HeaderValue(message, "Host");
    request.mApiKey = HeaderValue(message, "X-Api-Key");
    const auto timeout = HeaderValue(message, "X-Timeout-Ms");
    request.mTimeout = duration(std::strtoll(timeout.c_str(), nullptr, 10));
    request.mBody = std::move(message.body());
    request.mConnection = mNumber;
    mStream.expires_never();
    ++*mActive;
    mBuffer.shrink_to_fit();
    mBudget->BeginServing(*mPlace);
    mBudget->Hold(*mPlace, mBuffer.capacity());
    (*mHandler)(request,
                [self = shared_from_this(),
                 answered = false](const server_reply& aReply) mutable {
                  if (!answered) {
                    answered = true;
                    self->Write(aReply);
                  }
                });
  }

  void Write(const server_reply& aReply)
  {
    mResponse = {};
    mResponse.version(11);
    mResponse.result(aReply.mStatus);
    if (!aReply.mBody.empty()) {
      mResponse.set(http::field::content_type, aReply.mContentType);
    }
    if (aReply.mRetryAfterSeconds > 0) {
      mResponse.set(http::field::retry_after,
                    std::to_string(aReply.mRetryAfterSeconds));
    }
    mKeepAlive = mKeepAlive && !*mKeepAliveDisabled;
    mResponse.keep_alive(mKeepAlive);
    mResponse.body() = aReply.mBody;
    mResponse.prepare_payload();
    mBudget->Hold(*mPlace, mBuffer.capacity() + mResponse.body().capacity());
    mStream.expires_after(kWriteTimeout);
    http::async_write(mStream,
                      mResponse,
                      [self = shared_from_this()](beast::error_code aFailed, size_t) {
                        --*self->mActive;
                        if (aFailed || !self->mKeepAlive) {
                          self->Close();
                          return;
                        }
                        self->mResponse = {};
                        self->WaitForRequest();
                      });
  }

  void Close()
  {
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    mStream.socket().close(ignored);
    if (mPlace) {
      mBudget->Close(*mPlace);
    }
    mUnregister(shared_from_this());
  }

  beast::tcp_stream mStream;
  const single_thread_server::handler* mHandler;
  const server_limits* mLimits;
  const bool* mKeepAliveDisabled;
  size_t* mActive;
  std::shared_ptr<receive_budget> mBudget;
  std::optional<receive_budget::number> mPlace; ///< In mBudget.
  uint64_t mNumber;
  std::shared_ptr<void> mServerState;
  std::function<void(const std::shared_ptr<single_thread_session>&)> mUnregister;
  bool mIdle = true;
  bool mGivesWay = false;
  bool mKeepAlive = true;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
};

} // namespace

void single_thread_server::state::Accept(const std::shared_ptr<state>& aSelf)
{
  mAcceptor.async_accept(
    [this, aSelf](const beast::error_code& aFailed, tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aFailed) {
        auto timer = std::make_shared<asio::steady_timer>(mContext, kAcceptRetryDelay);
        timer->async_wait([this, aSelf, timer](const beast::error_code&) {
          if (mAcceptor.is_open()) {
            Accept(aSelf);
          }
        });
        return;
      }
      beast::error_code ignored;
      aSocket.set_option(tcp::no_delay(true), ignored);
      const auto session =
        std::make_shared<single_thread_session>(std::move(aSocket), aSelf);
      mSessions.insert(session);
      session->Start();
      Accept(aSelf);
    });
}

single_thread_server::single_thread_server(asio::io_context& aContext,
                                           handler aHandler,
                                           std::shared_ptr<receive_budget> aBudget)
  : mState(std::make_shared<state>(aContext, std::move(aHandler), std::move(aBudget)))
{
}

single_thread_server::~single_thread_server() = default;

status single_thread_server::Listen(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  beast::error_code failed;
  const auto ip = colon == std::string::npos
                    ? asio::ip::address()
                    : asio::ip::make_address(aAddress.substr(0, colon), failed);
  if (colon == std::string::npos || failed) {
    return Fail(error_code::kInvalid, "listen", aAddress, "expected IP:port");
  }
  const auto port = std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10);
  const tcp::endpoint endpoint(ip, static_cast<uint16_t>(port));
  auto& acceptor = mState->mAcceptor;
  acceptor.open(endpoint.protocol(), failed);
  if (!failed) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    acceptor.bind(endpoint, failed);
  }
  if (!failed) {
    acceptor.listen(asio::socket_base::max_listen_connections, failed);
  }
  if (failed) {
    return Fail(error_code::kUnavailable, "listen", aAddress, failed.message());
  }
  mState->Accept(mState);
  return {};
}

void single_thread_server::SetLimits(const server_limits& aLimits)
{
  mState->mLimits = aLimits;
}

void single_thread_server::DisableKeepAlive()
{
  mState->mKeepAliveDisabled = true;
}

void single_thread_server::StopAccepting()
{
  beast::error_code ignored;
  mState->mAcceptor.close(ignored);
  const auto sessions = mState->mSessions;
  for (const auto& session : sessions) {
    session->CloseIfIdle();
  }
}

size_t single_thread_server::Active() const
{
  return mState->mActive;
}

} // namespace anvildoor
