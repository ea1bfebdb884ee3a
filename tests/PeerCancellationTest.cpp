#include "entry/PeerApi.h"
#include "http/HttpPool.h"
#include "http/SingleThreadServer.h"
#include "support/FakeInstallation.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

namespace asio = boost::asio;

/** Returns a port of loopback that is free at present. */
std::string FreeAddress(asio::io_context& aContext)
{
  const asio::ip::tcp::acceptor acceptor(aContext,
                                         { asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

TEST_CASE("a peer says how far it has got with a cancellation", "[peers]")
{
  struct row
  {
    bool mAreWorkersReachable;
    const char* mBody;
  };
  const auto [areReachable, body] =
    GENERATE(row{ true, "settled" }, row{ false, "applied" });
  CAPTURE(body);
  fake_installation site(2, 4);
  const std::string job = "00000000000000a1";
  site.mBehaviourByPayload["long"] = { duration(60'000), false };
  auto spec = fake_installation::MakeJob(job, 2);
  spec.mSpec.mPayload = "long";
  REQUIRE(site.Submit("vm0", spec) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(500));
  REQUIRE(site.mTraces.size() == 2);
  const auto scheduler = site.SchedulerVm();
  if (!areReachable) {
    site.mFaults.mBlockedLinks.insert({ scheduler, site.mTraces.front().mWorker });
  }
  const peer_api api(site.Node(scheduler));
  server_request request;
  request.mMethod = "POST";
  request.mTarget = "/cancel-settled/" + job + "/7";
  std::optional<server_reply> reply;
  api.Serve(request, [&](const server_reply& aReply) { reply = aReply; });
  CHECK_FALSE(reply);
  site.mLoop.RunFor(peer_query::kMaxSettlementWait);
  REQUIRE(reply);
  CHECK(reply->mStatus == 200);
  CHECK(reply->mBody == body);
}

TEST_CASE("what a peer says of a cancellation is understood", "[peers]")
{
  struct row
  {
    unsigned mStatus;
    const char* mBody;
    bool mIsAnswer;
    std::optional<cancel_progress> mProgress;
  };
  const auto [status, body, isAnswer, progress] =
    GENERATE(row{ 200, "settled", true, cancel_progress::kSettled },
             row{ 200, "applied", true, cancel_progress::kApplied },
             row{ 200, "", true, cancel_progress::kApplied },
             row{ 404, "settled", true, std::nullopt },
             row{ 421, "settled", false, std::nullopt },
             row{ 500, "settled", false, std::nullopt });
  CAPTURE(status, body);
  asio::io_context context;
  const auto address = FreeAddress(context);
  server_request received;
  single_thread_server server(
    context,
    [&received, reply = status, text = std::string(body)](
      const server_request& aRequest, const single_thread_server::respond& aRespond) {
      received = aRequest;
      server_reply answer;
      answer.mStatus = reply;
      answer.mBody = text;
      aRespond(answer);
    });
  REQUIRE(server.Listen(address));
  http_pool pool(context);
  http_peer_query query(pool);
  std::optional<result<std::optional<cancel_progress>>> outcome;
  query.AwaitCancellation(address,
                          "00000000000000a1",
                          7,
                          [&](const result<std::optional<cancel_progress>>& aAnswer) {
                            outcome = aAnswer;
                            context.stop();
                          });
  context.run_for(std::chrono::seconds(3));
  REQUIRE(outcome);
  CHECK(received.mMethod == "POST");
  CHECK(received.mTarget == "/cancel-settled/00000000000000a1/7");
  REQUIRE(outcome->has_value() == isAnswer);
  if (isAnswer) {
    CHECK(**outcome == progress);
  }
}
