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
const std::string kGang = "00000000000000ad";
const std::string kOtherGang = "00000000000000ae";

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

/** Returns a gang that prefers one rack; a task takes four accelerators. */
accepted_job RackGang(const std::string& aId,
                      const std::string& aWorkspace,
                      uint32_t aTasks)
{
  auto job = LongJob(aId, aWorkspace, 0, aTasks, 4);
  job.mSpec.mSteps.front().mGang = true;
  job.mSpec.mSteps.front().mSameRack = true;
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

// Guards against a guarantee that waits for runs that have come to 100 percent and
// last.
TEST_CASE("a guaranteed job begins within the bound beside runs that last", "[reclaim]")
{
  constexpr duration kUntilFullPercent{ 20'000 };
  const auto ranMs = GENERATE(5'000, 20'500, 21'500, 40'000);
  CAPTURE(ranMs);
  fake_installation site(kVms, kWorkers, kWorkersPerRack);
  auto& behaviour = site.mBehaviourByPayload["long"];
  behaviour.mDuration = kUntilFullPercent;
  behaviour.mRunsUntilStopped = true;
  site.PutPolicy(PolicyWith(2, { { "t2", { "k2" }, 16 } }));
  site.mLoop.RunFor(duration(3'000));
  auto lasting = LongJob(kBorrower, "t3", 1, 32, 1);
  lasting.mSpec.mSteps.front().mLongRunning = true;
  REQUIRE(site.Submit("vm0", lasting) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(ranMs));
  REQUIRE(RacksOfRuns(site, kBorrower).size() == 32);
  REQUIRE(site.Submit("vm0", LongJob(kJob, "t2", 0, 16, 1)) == job_answer::kAccepted);
  site.mLoop.RunFor(kReclaimBound);
  CHECK(RacksOfRuns(site, kJob).size() == 16);
}

// Guards against a guarantee that waits while no rack can be cleared for it.
TEST_CASE("a guaranteed gang that prefers one rack begins within the bound",
          "[reclaim]")
{
  struct row
  {
    std::string mName;
    int64_t mOwn;       // Accelerators of a guaranteed run of t1 in each rack.
    bool mHasOtherGang; // Whether a guaranteed gang of t4 comes, too.
    int64_t mReclaimMs;
    bool mIsInOneRack;
  };
  const auto [name, own, hasOtherGang, reclaimMs, isInOneRack] =
    GENERATE(row{ "a rack can be cleared", 0, false, 2'900, true },
             row{ "guaranteed runs in each rack", 4, false, 2'900, false },
             row{ "a shorter bound", 4, false, 2'000, false },
             row{ "another gang clears a rack", 4, true, 2'900, false });
  CAPTURE(name);
  scheduler_bounds bounds;
  bounds.mReclaim = duration(reclaimMs);
  fake_installation site(kVms, kWorkers, kWorkersPerRack, bounds);
  site.mBehaviourByPayload["long"].mDuration = duration(600'000);
  site.PutPolicy(PolicyWith(2, { { "t2", { "k2" }, 16 }, { "t4", { "k4" }, 8 } }));
  site.mLoop.RunFor(duration(3'000));
  for (uint32_t rack = 0; own != 0 && rack < 2; ++rack) {
    auto job = LongJob("00000000000000a" + std::to_string(rack), "t1", 0, 1, own);
    job.mSpec.mSteps.front().mDataRack = "r" + std::to_string(rack);
    REQUIRE(site.Submit("vm0", job) == job_answer::kAccepted);
  }
  site.mLoop.RunFor(duration(1'000));
  const auto borrowed = static_cast<uint32_t>(32 - 2 * own);
  REQUIRE(site.Submit("vm0", LongJob(kBorrower, "t3", 2, borrowed, 1)) ==
          job_answer::kAccepted);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(RacksOfRuns(site, kBorrower).size() == borrowed);
  REQUIRE(site.Submit("vm0", RackGang(kGang, "t2", 4)) == job_answer::kAccepted);
  const auto until = site.mLoop.Now() + duration(reclaimMs);
  if (hasOtherGang) {
    REQUIRE(site.Submit("vm0", RackGang(kOtherGang, "t4", 2)) == job_answer::kAccepted);
  }
  site.mLoop.RunFor(until - site.mLoop.Now());
  const auto racks = RacksOfRuns(site, kGang);
  CHECK(racks.size() == 4);
  CHECK((std::set(racks.begin(), racks.end()).size() == 1) == isInOneRack);
  const auto otherRacks = RacksOfRuns(site, kOtherGang);
  CHECK(otherRacks.size() == (hasOtherGang ? 2 : 0));
  CHECK(std::set(otherRacks.begin(), otherRacks.end()).size() <= 1);
  // Nothing gives way beyond what the gangs need.
  site.mLoop.RunFor(duration(10'000));
  CHECK(RacksOfRuns(site, kBorrower).size() == borrowed);
  CHECK(site.mLog.CountLines("event=run_stop ") == (hasOtherGang ? 24 : 16));
}
