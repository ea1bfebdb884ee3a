#include "support/FakeSite.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kGang16 = R"({"workspace":"gyms","tasks":16,"accelerators_per_task":1,
  "adjacency":"rack","class":"urgent","checkpointable":true,
  "payload":"{\"run_ms\":20000,\"result\":\"rendered\"}"})";

const std::string kBooking =
  R"({"workspace":"gyms","idempotent":false,"payload":"slot 7"})";

std::string Submit(fake_site& aSite, const std::string& aVm, const std::string& aBody)
{
  const auto answer =
    aSite.Call(aVm, WorkspaceCall("gyms", "POST", "/v1/jobs", aBody, "key"));
  REQUIRE(answer.mStatus == 202);
  return JsonText(answer.mBody, "id");
}

api_response Wait(fake_site& aSite, const std::string& aVm, const std::string& aJob)
{
  return aSite.Call(
    aVm, WorkspaceCall("gyms", "GET", "/v1/jobs/" + aJob + "?wait_ms=30000"));
}

} // namespace

TEST_CASE("a complete gang runs in one rack, whichever VM receives the call")
{
  const auto vm = GENERATE("alpha-e1", "alpha-e2", "alpha-e3");
  fake_site site;
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  REQUIRE(site.PutWorkspace(vm, "gyms").mStatus == 200);
  const auto job = Submit(site, vm, kGang16);
  const auto ended = Wait(site, vm, job);
  CHECK(JsonText(ended.mBody, "state") == "completed");
  CHECK(JsonText(ended.mBody, "result") == "rendered");
  CHECK(JsonNumber(ended.mBody, "attempt") == 1);
  CHECK(site.CheckGangs(job).mLongestPartial <= duration(100));
  CHECK(site.CheckGangs(job).mExcessTasks == 0);
}

TEST_CASE("a repeated key at another VM returns the first result and runs once")
{
  fake_site site;
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  REQUIRE(site.PutWorkspace("alpha-e1", "gyms").mStatus == 200);
  const auto first =
    site.Call("alpha-e1", WorkspaceCall("gyms", "POST", "/v1/requests", kBooking, "k"));
  const auto repeated =
    site.Call("alpha-e2", WorkspaceCall("gyms", "POST", "/v1/requests", kBooking, "k"));
  CHECK(first.mStatus == 200);
  CHECK(JsonText(first.mBody, "result") == "answer to slot 7");
  CHECK(JsonText(repeated.mBody, "result") == "answer to slot 7");
  CHECK(site.Runs().size() == 1);
}

TEST_CASE("a running gang survives the loss of both the scheduler and the store")
{
  fake_site site;
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  REQUIRE(site.PutWorkspace("alpha-e1", "gyms").mStatus == 200);
  const auto job = Submit(site, "alpha-e1", kGang16);
  site.Loop().RunFor(duration(2'000));
  store_faults down;
  down.mDown = true;
  site.Store().SetFaults(down);
  site.KillVm(site.SchedulerVm());
  site.Loop().RunFor(std::chrono::seconds(40));
  site.Store().SetFaults({});
  REQUIRE(site.WaitForScheduler());
  const auto ended = Wait(site, site.RunningVms().front(), job);
  CHECK(JsonText(ended.mBody, "state") == "completed");
  CHECK(JsonNumber(ended.mBody, "attempt") == 1);
  CHECK(site.CheckGangs(job).mExcessTasks == 0);
}
