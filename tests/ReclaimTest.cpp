#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

constexpr size_t kVms = 3;
constexpr size_t kWorkers = 4; // Of 8 accelerators each.
constexpr size_t kWorkersPerRack = 2;
constexpr duration kReclaimBound{ 2'900 };
const std::string kBorrower = "00000000000000ab";
const std::string kJob = "00000000000000ac";
const std::string kOtherJob = "00000000000000af";

/** Returns a job of single tasks that run on for long. */
accepted_job LongJob(const std::string& aId,
                     const std::string& aWorkspace,
                     int64_t aPriority,
                     uint32_t aTasks,
                     int64_t aAccelerators)
{
  auto job = fake_installation::MakeJob(aId, aTasks, false, aPriority);
  job.mWorkspace = aWorkspace;
  job.mSpec.mPayload = "long";
  auto& step = job.mSpec.mSteps.front();
  step.mPerTask = { 1'000, 1'000, aAccelerators };
  step.mEstimate = duration(200'000);
  return job;
}

/** Returns the racks of the runs of a job, one entry for each run. */
std::vector<size_t> RacksOfRuns(const fake_installation& aSite, const std::string& aJob)
{
  std::vector<size_t> racks;
  for (const auto& run : aSite.mTraces) {
    if (run.mTask.mJob == aJob) {
      racks.push_back(std::stoul(run.mWorker.substr(1)) / kWorkersPerRack);
    }
  }
  return racks;
}

fleet_policy PolicyWith(uint64_t aVersion, std::vector<workspace_rule> aWorkspaces)
{
  auto policy = fake_installation::MakePolicy(aVersion);
  policy.mWorkspaces = std::move(aWorkspaces);
  policy.mWorkspaces.push_back({ "t1", { "k1" }, 16 });
  policy.mWorkspaces.push_back({ "t3", { "k3" }, 0 });
  return policy;
}

} // namespace

// Guards against a guarantee that is lost since the workspace has got another name.
TEST_CASE("a job keeps its guarantee after the policy has changed", "[reclaim]")
{
  struct row
  {
    std::string mName;
    std::vector<workspace_rule> mNow; // Beside t1 and t3.
    bool mIsGuaranteed;
  };
  const auto [name, now, isGuaranteed] = GENERATE(
    row{ "unchanged", { { "t2", { "k2" }, 16 } }, true },
    row{ "renamed", { { "new", { "k2" }, 16 } }, true },
    row{
      "its name given away", { { "t2", { "k9" }, 0 }, { "new", { "k2" }, 16 } }, true },
    row{ "removed", { { "new", { "k9" }, 16 } }, false });
  CAPTURE(name);
  fake_installation site(kVms, kWorkers, kWorkersPerRack);
  site.mBehaviourByPayload["long"].mDuration = duration(600'000);
  site.PutPolicy(PolicyWith(2, { { "t2", { "k2" }, 16 } }));
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(site.Submit("vm0", LongJob(kBorrower, "t3", 0, 32, 1)) ==
          job_answer::kAccepted);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(RacksOfRuns(site, kBorrower).size() == 32);
  site.PutPolicy(PolicyWith(3, now));
  site.mLoop.RunFor(duration(3'000));
  auto job = LongJob(kJob, "t2", 0, 16, 1);
  job.mKeyDigests = { DigestOfKey("k2") };
  REQUIRE(site.Submit("vm0", job) == job_answer::kAccepted);
  site.mLoop.RunFor(kReclaimBound);
  CHECK(RacksOfRuns(site, kJob).size() == (isGuaranteed ? 16 : 0));
  // Its runs are not stopped for another guarantee either.
  REQUIRE(site.Submit("vm0", LongJob(kOtherJob, "t1", 0, 16, 1)) ==
          job_answer::kAccepted);
  site.mLoop.RunFor(kReclaimBound);
  CHECK(RacksOfRuns(site, kOtherJob).size() == 16);
  CHECK(site.mLog.CountLines("event=run_stop job=" + kJob) == 0);
}
