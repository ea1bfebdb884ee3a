#include "support/GangFaults.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

/** The sum of a lease, its margin, a heartbeat, a renewal and a lost call. */
constexpr duration kMaxPartialRun{ 10'500 };
constexpr duration kFaultDuration{ 20'000 };
constexpr duration kSettleTime{ 150'000 };

std::string JobBody(bool aIdempotent)
{
  return std::string(R"({"workspace":"gyms","tasks":16,"accelerators_per_task":1,)") +
         R"("cores_per_task":1,"adjacency":"rack","payload":"{\"run_ms\":8000}",)" +
         R"("idempotent":)" + (aIdempotent ? "true}" : "false}");
}

/** The observed result of one scenario. */
struct scenario_outcome
{
  std::string mState;
  bool mAccepted = false;
  fake_site::gang_check mCheck;
  size_t mAttemptsRun = 0;
};

struct timed_fault
{
  const gang_fault* mFault = nullptr;
  duration mAt{};
};

size_t CountAttemptsRun(const fake_site& aSite, const std::string& aJob)
{
  std::set<std::string> attempts;
  for (const auto& event : aSite.TaskEvents()) {
    if (event.mJob == aJob && event.mState == member_state::kRunning) {
      attempts.insert(event.mAttempt);
    }
  }
  return attempts.size();
}

/** Submits a job, injects each fault at its time and then waits for kSettleTime. */
scenario_outcome RunScenario(bool aIdempotent, const std::vector<timed_fault>& aFaults)
{
  fake_site site;
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  const std::string guarantee =
    R"([{"count":1,"tasks":16,"accelerators_per_task":1,"cores_per_task":1,)"
    R"("adjacency":"rack"}])";
  REQUIRE(site.PutWorkspace("alpha-e1", "gyms", guarantee).mStatus == 200);
  site.Loop().RunFor(duration(1'000));
  // Calls the scheduler's VM directly, so that the steps occur at the same times in
  // every run.
  const auto vm = site.SchedulerVm();
  const auto answer = site.SendCall(
    vm, WorkspaceCall("gyms", "POST", "/v1/jobs", JobBody(aIdempotent), "k"));
  for (const auto& item : aFaults) {
    site.Loop().RunAfter(item.mAt, [&site, &item] { item.mFault->mInject(site); });
    site.Loop().RunAfter(item.mAt + kFaultDuration,
                         [&site, &item] { item.mFault->mRemove(site); });
  }
  site.Loop().RunFor(kSettleTime);
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  // Retries with the same key, which returns the accepted job or accepts it now.
  const auto retry =
    site.Call(site.SchedulerVm(),
              WorkspaceCall("gyms", "POST", "/v1/jobs", JobBody(aIdempotent), "k"));
  REQUIRE(retry.mStatus == 202);
  const auto job = JsonText(retry.mBody, "id");
  const auto ended =
    site.Call(site.SchedulerVm(),
              WorkspaceCall("gyms", "GET", "/v1/jobs/" + job + "?wait_ms=30000"));
  scenario_outcome outcome;
  outcome.mState = JsonText(ended.mBody, "state");
  outcome.mAccepted = answer->mStatus == 202;
  outcome.mCheck = site.CheckGangs(job);
  outcome.mAttemptsRun = CountAttemptsRun(site, job);
  return outcome;
}

void CheckOutcome(bool aIdempotent, const scenario_outcome& aOutcome)
{
  if (aIdempotent) {
    CHECK(aOutcome.mState == "completed");
  } else {
    CHECK((aOutcome.mState == "completed" || aOutcome.mState == "failed"));
    CHECK(aOutcome.mAttemptsRun <= 1);
  }
  CHECK(aOutcome.mCheck.mLongestPartial <= kMaxPartialRun);
  CHECK(aOutcome.mCheck.mExcessTasks == 0);
}

} // namespace

TEST_CASE("a gang recovers from any single fault at any step of its start")
{
  const bool idempotent = GENERATE(true, false);
  const auto fault = GENERATE(range<size_t>(0, GangFaults().size()));
  const auto& item = GangFaults()[fault];
  for (int64_t atMs = 0; atMs <= 40; ++atMs) {
    INFO(item.mName << " at " << atMs << " ms, idempotent " << idempotent);
    CheckOutcome(idempotent, RunScenario(idempotent, { { &item, duration(atMs) } }));
  }
  for (const int64_t atMs : { 200, 1'000, 4'000, 7'900, 8'005, 8'030 }) {
    INFO(item.mName << " at " << atMs << " ms, idempotent " << idempotent);
    CheckOutcome(idempotent, RunScenario(idempotent, { { &item, duration(atMs) } }));
  }
}

TEST_CASE("a gang recovers from any pair of faults")
{
  const bool idempotent = GENERATE(true, false);
  const auto first = GENERATE(range<size_t>(0, GangFaults().size()));
  const auto second = GENERATE(range<size_t>(0, GangFaults().size()));
  for (const int64_t atMs : { 2, 9, 14, 19, 25, 3'000 }) {
    for (const int64_t delayMs : { 5, 900, 5'500 }) {
      const auto& firstFault = GangFaults()[first];
      const auto& secondFault = GangFaults()[second];
      INFO(firstFault.mName << " at " << atMs << " ms, then " << secondFault.mName
                            << " after " << delayMs << " ms, idempotent "
                            << idempotent);
      CheckOutcome(idempotent,
                   RunScenario(idempotent,
                               { { &firstFault, duration(atMs) },
                                 { &secondFault, duration(atMs + delayMs) } }));
    }
  }
}
