#include "http/HttpPool.h"
#include "http/SingleThreadServer.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <utility>

using namespace anvildoor;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Action of a peer after it has read a request. */
enum class peer_action
{
  kRespond,
  kDisconnect,                 ///< Closes the connection without a response.
  kDisconnectAndStopListening, ///< As above, and stops listening.
  kIgnore,
  kHoldBack, ///< Responds at ReleaseAll.
};

/**
 * Server on loopback that performs one scripted action per request, and responds to
 * every request after the last action.
 */
class scripted_peer
{
public:
  scripted_peer(asio::io_context& aContext, std::vector<peer_action> aActions)
    : mAcceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mActions(std::move(aActions))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  void StopListening() { mAcceptor.close(); }
  size_t Calls() const { return mCalls; }

  /** Performs aAction for every request on a connection that is open now. */
  void ImpairOpen(peer_action aAction)
  {
    for (const auto& socket : mSockets) {
      mImpaired[socket.get()] = aAction;
    }
  }

  /** Responds to the requests that are held back. */
  void ReleaseAll()
  {
    for (auto* socket : std::exchange(mHeldBack, {})) {
      Respond(*socket);
    }
  }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        mSockets.push_back(std::make_unique<tcp::socket>(std::move(aSocket)));
        Read(*mSockets.back());
        Accept();
      });
  }

  void Read(tcp::socket& aSocket)
  {
    auto text = std::make_shared<std::string>();
    asio::async_read_until(
      aSocket,
      asio::dynamic_buffer(*text),
      "\r\n\r\n",
      [this, &aSocket, text](const boost::system::error_code& aError, size_t) {
        if (!aError) {
          Perform(aSocket);
        }
      });
  }

  void Perform(tcp::socket& aSocket)
  {
    auto act = mCalls < mActions.size() ? mActions[mCalls] : peer_action::kRespond;
    if (const auto found = mImpaired.find(&aSocket); found != mImpaired.end()) {
      act = found->second;
    }
    ++mCalls;
    if (act == peer_action::kIgnore) {
      return;
    }
    if (act == peer_action::kHoldBack) {
      mHeldBack.push_back(&aSocket);
      return;
    }
    if (act == peer_action::kRespond) {
      Respond(aSocket);
      return;
    }
    if (act == peer_action::kDisconnectAndStopListening) {
      mAcceptor.close();
    }
    aSocket.close();
  }

  void Respond(tcp::socket& aSocket)
  {
    static const std::string sAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    asio::write(aSocket, asio::buffer(sAnswer));
    Read(aSocket);
  }

  tcp::acceptor mAcceptor;
  std::vector<peer_action> mActions;
  std::vector<std::unique_ptr<tcp::socket>> mSockets;
  std::map<const tcp::socket*, peer_action> mImpaired;
  std::vector<tcp::socket*> mHeldBack;
  size_t mCalls = 0;
};

result<pooled_response> CallOnce(asio::io_context& aContext,
                                 http_pool& aPool,
                                 const pooled_call& aCall)
{
  std::optional<result<pooled_response>> answer;
  aPool.Call(aCall,
             [&](result<pooled_response> aAnswer) { answer = std::move(aAnswer); });
  constexpr auto kCallTimeout = std::chrono::seconds(5);
  const auto deadline = std::chrono::steady_clock::now() + kCallTimeout;
  while (!answer && std::chrono::steady_clock::now() < deadline) {
    aContext.run_one_until(deadline);
  }
  return answer.value_or(
    Fail(error_code::kInvalid, "test", "peer", "the callback did not run"));
}

/** Runs the context until aCondition holds. Returns whether it does within 5 s. */
bool RunUntil(asio::io_context& aContext, const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
    aContext.run_one_until(std::min(
      deadline, std::chrono::steady_clock::now() + std::chrono::milliseconds(10)));
  }
  return aCondition();
}

/** Leaves aCount idle connections in the pool, by as many calls at a time. */
void KeepConnections(asio::io_context& aContext,
                     http_pool& aPool,
                     const pooled_call& aCall,
                     size_t aCount)
{
  size_t answered = 0;
  for (size_t number = 0; number < aCount; ++number) {
    aPool.Call(aCall, [&](const result<pooled_response>& aAnswer) {
      answered += aAnswer ? 1 : 0;
    });
  }
  REQUIRE(RunUntil(aContext, [&] { return answered == aCount; }));
  REQUIRE(aPool.ConnectionsOpened() == aCount);
}

pooled_call CallTo(const scripted_peer& aPeer)
{
  pooled_call call;
  call.mAddress = aPeer.Address();
  call.mTarget = "/";
  call.mTimeout = duration(500);
  return call;
}

} // namespace

TEST_CASE("a request on a broken connection is retried only if it is idempotent",
          "[http]")
{
  struct row
  {
    std::vector<peer_action> mActions; // The first request opens the connection.
    bool mIdempotent;
    std::optional<error_code> mError;
    size_t mCalls;
  };
  using act = peer_action;
  const auto [actions, isIdempotent, failed, calls] = GENERATE(
    row{ { act::kRespond, act::kRespond }, true, std::nullopt, 2 },
    row{ { act::kRespond, act::kDisconnect, act::kRespond }, true, std::nullopt, 3 },
    row{ { act::kRespond, act::kDisconnect }, false, error_code::kUnknownEffect, 2 },
    // The peer has read the first attempt, so a retry that cannot connect leaves the
    // outcome unknown.
    row{ { act::kRespond, act::kDisconnectAndStopListening },
         true,
         error_code::kUnknownEffect,
         2 },
    row{ { act::kRespond, act::kDisconnect, act::kDisconnect },
         true,
         error_code::kUnknownEffect,
         3 },
    row{ { act::kRespond, act::kIgnore }, true, error_code::kUnknownEffect, 2 });
  asio::io_context context;
  scripted_peer peer(context, actions);
  http_pool pool(context);
  pooled_call call;
  call.mAddress = peer.Address();
  call.mTarget = "/";
  call.mTimeout = duration(300);
  call.mIdempotent = isIdempotent;
  REQUIRE(CallOnce(context, pool, call));
  const auto answer = CallOnce(context, pool, call);
  CHECK(answer.has_value() == !failed.has_value());
  if (!answer && failed) {
    CHECK(answer.error().mCode == *failed);
  }
  CHECK(peer.Calls() == calls);
}

TEST_CASE("a request to a port without a listener is reported as not sent", "[http]")
{
  asio::io_context context;
  scripted_peer peer(context, {});
  pooled_call call;
  call.mAddress = peer.Address();
  call.mTarget = "/";
  peer.StopListening();
  http_pool pool(context);
  const auto answer = CallOnce(context, pool, call);
  REQUIRE_FALSE(answer);
  CHECK(answer.error().mCode == error_code::kUnavailable);
}

TEST_CASE("kept connections that are dead fail one call, however many there are",
          "[http][pool]")
{
  struct row
  {
    peer_action mKept;
    bool mIdempotent;
    size_t mFailedCalls;
  };
  const auto [action, isIdempotent, failedCalls] =
    GENERATE(row{ peer_action::kIgnore, true, 1 },
             row{ peer_action::kIgnore, false, 1 },
             row{ peer_action::kDisconnect, true, 0 },
             row{ peer_action::kDisconnect, false, 1 });
  const auto kept = GENERATE(size_t(1), size_t(2), size_t(4), size_t(8));
  asio::io_context context;
  scripted_peer peer(context, {});
  http_pool pool(context);
  auto call = CallTo(peer);
  call.mIdempotent = isIdempotent;
  KeepConnections(context, pool, call, kept);
  peer.ImpairOpen(action);
  constexpr duration kScheduling{ 300 }; // Of a busy machine.
  const auto begin = std::chrono::steady_clock::now();
  size_t failed = 0;
  while (failed <= kept && !CallOnce(context, pool, call)) {
    ++failed;
  }
  const auto elapsed =
    std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begin);
  INFO("connections kept: " << kept << ", answered after ms: " << elapsed.count());
  CHECK(failed == failedCalls);
  CHECK(elapsed < call.mTimeout + kScheduling);
  // The next call uses the new connection.
  CHECK(CallOnce(context, pool, call));
  CHECK(pool.ConnectionsOpened() == kept + 1);
}

TEST_CASE("a call that may not reuse a connection is answered beside dead ones",
          "[http][pool]")
{
  const auto kept = GENERATE(size_t(1), size_t(8));
  asio::io_context context;
  scripted_peer peer(context, {});
  http_pool pool(context);
  auto call = CallTo(peer);
  KeepConnections(context, pool, call, kept);
  peer.ImpairOpen(peer_action::kIgnore);
  call.mMayReuse = false;
  const auto begin = std::chrono::steady_clock::now();
  CHECK(CallOnce(context, pool, call));
  CHECK(std::chrono::steady_clock::now() - begin < call.mTimeout);
  CHECK(pool.ConnectionsOpened() == kept + 1);
  call.mMayReuse = true;
  CHECK(CallOnce(context, pool, call)); // On the new connection, which was kept.
  CHECK(pool.ConnectionsOpened() == kept + 1);
}

TEST_CASE("a call that times out leaves connections that were answered since it was "
          "sent, those in use and those to other addresses",
          "[http][pool]")
{
  using act = peer_action;
  asio::io_context context;
  // Three calls open a connection each; then one is held back, one never answered.
  scripted_peer peer(
    context,
    { act::kRespond, act::kRespond, act::kRespond, act::kHoldBack, act::kIgnore });
  scripted_peer other(context, {});
  http_pool pool(context);
  const auto call = CallTo(peer);
  KeepConnections(context, pool, call, 3);
  REQUIRE(CallOnce(context, pool, CallTo(other)));
  auto held = call;
  held.mTimeout = duration(4'000);
  std::optional<result<pooled_response>> heldAnswer;
  std::optional<result<pooled_response>> ignoredAnswer;
  pool.Call(held,
            [&](const result<pooled_response>& aAnswer) { heldAnswer = aAnswer; });
  REQUIRE(RunUntil(context, [&] { return peer.Calls() == 4; }));
  pool.Call(call,
            [&](const result<pooled_response>& aAnswer) { ignoredAnswer = aAnswer; });
  REQUIRE(RunUntil(context, [&] { return peer.Calls() == 5; }));
  REQUIRE(CallOnce(context, pool, call));
  REQUIRE(RunUntil(context, [&] { return ignoredAnswer.has_value(); }));
  CHECK_FALSE(*ignoredAnswer);
  CHECK_FALSE(heldAnswer);
  CHECK(CallOnce(context, pool, call));
  CHECK(CallOnce(context, pool, CallTo(other)));
  peer.ReleaseAll();
  REQUIRE(RunUntil(context, [&] { return heldAnswer.has_value(); }));
  CHECK(*heldAnswer);
  CHECK(pool.ConnectionsOpened() == 4);
}

TEST_CASE("a server keeps a connection open, and rejects bodies over the limit",
          "[http]")
{
  struct row
  {
    std::string mMethod;
    size_t mBodyBytes;
    unsigned mStatus;
  };
  const auto [method, bytes, status] = GENERATE(row{ "POST", 10, 200 },
                                                row{ "POST", 100, 200 },
                                                row{ "POST", 101, 413 },
                                                row{ "GET", 0, 200 },
                                                row{ "DELETE", 0, 200 });
  asio::io_context context;
  tcp::acceptor port(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto address = "127.0.0.1:" + std::to_string(port.local_endpoint().port());
  port.close();
  std::vector<uint64_t> connections;
  single_thread_server server(
    context,
    [&](const server_request& aRequest, const single_thread_server::respond& aRespond) {
      connections.push_back(aRequest.mConnection);
      server_reply reply;
      reply.mBody = aRequest.mMethod + std::to_string(aRequest.mBody.size());
      aRespond(reply);
    });
  server_limits limits;
  limits.mBodyBytes = 100;
  server.SetLimits(limits);
  REQUIRE(server.Listen(address));
  http_pool pool(context);
  pooled_call call;
  call.mAddress = address;
  call.mMethod = method;
  call.mTarget = "/x";
  call.mBody = std::string(bytes, 'b');
  for (int time = 0; time < 2; ++time) {
    const auto answer = CallOnce(context, pool, call);
    REQUIRE(answer);
    CHECK(answer->mStatus == status);
    if (status == 200) {
      CHECK(answer->mBody == method + std::to_string(bytes));
    }
  }
  CHECK(server.Active() == 0);
  if (status == 200) {
    CHECK(pool.ConnectionsOpened() == 1);
    http_pool otherPool(context);
    REQUIRE(CallOnce(context, otherPool, call));
    CHECK(connections == std::vector<uint64_t>{ 1, 1, 2 });
  }
}

// Guards against processes that take another one's address while it runs.
TEST_CASE("a server does not listen at an address at which another one does", "[http]")
{
  asio::io_context context;
  const auto handler = [](const server_request&, const single_thread_server::respond&) {
  };
  std::string address;
  {
    const tcp::acceptor free(context,
                             tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    address = "127.0.0.1:" + std::to_string(free.local_endpoint().port());
  }
  single_thread_server first(context, handler);
  REQUIRE(first.Listen(address));
  single_thread_server second(context, handler);
  CHECK_FALSE(second.Listen(address));
  first.StopAccepting();
  single_thread_server third(context, handler);
  CHECK(third.Listen(address));
}
