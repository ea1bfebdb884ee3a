#include "entry/PeerApi.h"
#include "support/FakeInstallation.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

unsigned StatusOf(fake_installation& aSite,
                  const std::string& aVm,
                  const std::string& aTarget)
{
  const peer_api api(aSite.Node(aVm));
  server_request request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  unsigned status = 0;
  api.Serve(request,
            [&status](const server_reply& aReply) { status = aReply.mStatus; });
  return status;
}

} // namespace

TEST_CASE("peers' notifications of cancellations are answered", "[peers]")
{
  struct row
  {
    const char* mTarget;
    unsigned mStatus;
  };
  const auto [target, status] = GENERATE(row{ "/cancelled/00000000000000a1/7", 200 },
                                         row{ "/cancelled/00000000000000a2/7", 404 },
                                         row{ "/cancelled/00000000000000a1", 400 },
                                         row{ "/cancelled/00000000000000a1/", 400 },
                                         row{ "/cancelled/00000000000000a1/0", 400 },
                                         row{ "/cancelled/00000000000000a1/-1", 400 },
                                         row{ "/cancelled/00000000000000a1/7x", 400 },
                                         row{ "/cancelled/", 400 });
  CAPTURE(target);
  fake_installation site(2, 4);
  const std::string job = "00000000000000a1";
  site.mBehaviourByPayload["long"] = { duration(60'000), false };
  auto spec = fake_installation::MakeJob(job, 2);
  spec.mSpec.mPayload = "long";
  REQUIRE(site.Submit("vm0", spec) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(500));
  const auto scheduler = site.SchedulerVm();
  CHECK(StatusOf(site, scheduler == "vm0" ? "vm1" : "vm0", target) == 421);
  CHECK(StatusOf(site, scheduler, target) == status);
  site.mLoop.RunFor(duration(500));
  for (const auto& trace : site.mTraces) {
    CHECK(trace.mEnded.has_value() == (status == 200));
  }
}
