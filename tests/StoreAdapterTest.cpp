#include "platform/StoreAdapter.h"
#include "http/HttpPool.h"
#include "http/SingleThreadServer.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

namespace asio = boost::asio;

/** Returns a port of loopback that is free at present. */
std::string FreeAddress(asio::io_context& aContext)
{
  asio::ip::tcp::acceptor acceptor(aContext, { asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

// Guards against a stored job that is answered as not accepted.
TEST_CASE("a change has no effect only if the store's answer says so", "[store]")
{
  struct row
  {
    unsigned mStatus;
    const char* mBody;
    std::optional<error_code> mError;
  };
  const auto [status, body, code] =
    GENERATE(row{ 200, R"({"revision":7})", std::nullopt },
             row{ 200, "{", error_code::kUnknownEffect },
             row{ 200, "", error_code::kUnknownEffect },
             row{ 412, R"({"items":[]})", std::nullopt },
             row{ 412, "[", error_code::kUnknownEffect },
             row{ 400, "{}", error_code::kRefused },
             row{ 404, "{}", error_code::kNotFound },
             row{ 429, "{}", error_code::kUnavailable },
             row{ 503, "{}", error_code::kUnavailable },
             row{ 500, "{}", error_code::kUnknownEffect });
  CAPTURE(status, body);
  asio::io_context context;
  const auto address = FreeAddress(context);
  single_thread_server server(
    context,
    [reply = status, text = std::string(body)](
      const server_request&, const single_thread_server::respond& aRespond) {
      server_reply answer;
      answer.mStatus = reply;
      answer.mBody = text;
      aRespond(answer);
    });
  REQUIRE(server.Listen(address));
  http_pool pool(context);
  store_adapter store(pool, address);
  std::optional<result<transaction_outcome>> outcome;
  store.Commit({}, [&](const result<transaction_outcome>& aOutcome) {
    outcome = aOutcome;
    context.stop();
  });
  context.run_for(std::chrono::seconds(3));
  REQUIRE(outcome);
  CHECK(outcome->has_value() == !code.has_value());
  if (code) {
    REQUIRE_FALSE(*outcome);
    CHECK(outcome->error().mCode == *code);
  } else {
    CHECK((*outcome)->mCommitted == (status == 200));
  }
}
