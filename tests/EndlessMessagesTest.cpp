#include "http/HttpClient.h"
#include "http/HttpPool.h"
#include "http/HttpServer.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>

using namespace anvildoor;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Sent in all unless the receiver closes the connection. */
constexpr size_t kSentBytes = 64'000'000;
/** The sockets' own buffers may take this much of it. */
constexpr size_t kTakenBytes = 24'000'000;

const std::string kChunkedAnswer =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedRequest =
  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Sends a beginning, then aPiece over and over. Returns how much was taken. */
size_t SendWithoutEnd(tcp::socket& aSocket,
                      const std::string& aBeginning,
                      const std::string& aPiece)
{
  constexpr size_t kPieces = 4'096;
  std::string pieces;
  for (size_t count = 0; count < kPieces; ++count) {
    pieces += aPiece;
  }
  boost::system::error_code failed;
  size_t taken = asio::write(aSocket, asio::buffer(aBeginning), failed);
  while (!failed && taken < kSentBytes) {
    taken += asio::write(aSocket, asio::buffer(pieces), failed);
  }
  return taken;
}

/** Answers one request on loopback by a message without end. */
class endless_peer
{
public:
  endless_peer(const std::string& aBeginning, const std::string& aPiece)
    : mAcceptor(mContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mThread([this, aBeginning, aPiece] {
      auto socket = mAcceptor.accept();
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      mTaken = SendWithoutEnd(socket, aBeginning, aPiece);
    })
  {
  }

  ~endless_peer()
  {
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  endless_peer(const endless_peer&) = delete;
  endless_peer& operator=(const endless_peer&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  size_t Taken()
  {
    mThread.join();
    return mTaken;
  }

private:
  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  size_t mTaken = 0;
  std::thread mThread;
};

error_code CallByPool(const std::string& aAddress)
{
  asio::io_context context;
  http_pool pool(context);
  pooled_call call;
  call.mAddress = aAddress;
  call.mTarget = "/";
  call.mTimeout = duration(30'000);
  std::optional<result<pooled_response>> answer;
  pool.Call(call,
            [&](result<pooled_response> aAnswer) { answer = std::move(aAnswer); });
  context.run();
  REQUIRE(answer);
  REQUIRE_FALSE(answer->has_value());
  return answer->error().mCode;
}

error_code CallByClient(const std::string& aAddress)
{
  http_call call;
  call.mAddress = aAddress;
  call.mTarget = "/";
  call.mTimeout = duration(30'000);
  const auto answer = CallHttp(call);
  REQUIRE_FALSE(answer);
  return answer.error().mCode;
}

struct message
{
  std::string mBeginning; ///< After the header of a chunked message.
  std::string mPiece;
};

} // namespace

TEST_CASE("an answer without end fails its call and is not kept", "[http][endless]")
{
  const auto [beginning, piece] =
    GENERATE(message{ "0\r\n", "X-T: 0123456789\r\n" }, message{ "1;", "xxxxxxxx" });
  const std::function<error_code(const std::string&)> call =
    GENERATE(CallByPool, CallByClient);
  endless_peer peer(kChunkedAnswer + beginning, piece);
  CHECK(call(peer.Address()) == error_code::kUnknownEffect);
  CHECK(peer.Taken() < kTakenBytes);
}

TEST_CASE("a request without end is rejected and is not kept", "[http][endless]")
{
  const auto [beginning, piece] =
    GENERATE(message{ "0\r\n", "X-T: 0123456789\r\n" }, message{ "1;", "xxxxxxxx" });
  asio::io_context context;
  tcp::acceptor probe(context, { asio::ip::address_v4::loopback(), 0 });
  const auto port = probe.local_endpoint().port();
  probe.close();
  http_limits limits;
  limits.mReadTimeout = duration(30'000);
  http_server server(
    [](const api_call&, const std::function<void(const api_response&)>&) {}, limits);
  REQUIRE(server.Listen("127.0.0.1:" + std::to_string(port)));
  tcp::socket socket(context);
  socket.connect({ asio::ip::address_v4::loopback(), port });
  CHECK(SendWithoutEnd(socket, kChunkedRequest + beginning, piece) < kTakenBytes);
  server.Stop();
}
