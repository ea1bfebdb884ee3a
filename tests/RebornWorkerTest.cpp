#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";
const std::string kEarlierJob = "00000000000000b2";
constexpr size_t kVms = 3;

/** Cuts a worker off from all VMs, or ends the cut. */
void CutOff(fake_installation& aSite, const std::string& aWorker, bool aIsCut)
{
  for (size_t vm = 0; vm < kVms; ++vm) {
    const std::pair link("vm" + std::to_string(vm), aWorker);
    if (aIsCut) {
      aSite.mFaults.mBlockedLinks.insert(link);
    } else {
      aSite.mFaults.mBlockedLinks.erase(link);
    }
  }
}

/** Makes all VMs read no further list of workers, so that only calls tell of them. */
void LoseLists(fake_installation& aSite)
{
  for (size_t vm = 0; vm < kVms; ++vm) {
    aSite.mFaults.mBlockedLinks.insert({ "vm" + std::to_string(vm), "directory" });
  }
}

scheduler_bounds BoundsWithLease(duration aLeaseMax)
{
  scheduler_bounds bounds;
  bounds.mRuns.mLeaseMax = aLeaseMax;
  return bounds;
}

accepted_job MakeJobOf(const std::string& aId,
                       uint32_t aTasks,
                       const std::string& aPayload)
{
  auto job = fake_installation::MakeJob(aId, aTasks);
  job.mSpec.mPayload = aPayload;
  return job;
}

} // namespace

// Guards against a lease that a start meant for a former life gives the new one.
TEST_CASE("a run on a worker cut off after its restart ends before its task restarts",
          "[reborn]")
{
  const auto leaseMax = GENERATE(duration(6'000), duration(10'000));
  const auto phase = GENERATE(range(0, 1'000, 200));
  const auto startedAfter = GENERATE(range(20, 900, 290));
  const auto isClockSlow = GENERATE(false, true);
  const auto isListed = GENERATE(false, true);
  fake_installation site(kVms, 2, 4, BoundsWithLease(leaseMax));
  site.mBehaviourByPayload["long"] = { duration(120'000), false };
  if (isClockSlow) {
    site.mFaults.mSlowClockWorkers = { "w0", "w1" };
  }
  site.ListWorker("w1", true); // Takes no task at first.
  site.mLoop.RunFor(duration(3'000 + phase));
  if (!isListed) {
    LoseLists(site);
  }
  site.CrashWorker("w0", true);
  site.mLoop.RunFor(duration(startedAfter));
  REQUIRE(site.Submit("vm0", MakeJobOf(kJob, 1, "long")) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(150));
  CutOff(site, "w0", true);
  site.mFaults.mBlockedLinks.erase({ "vm0", "directory" });
  site.mFaults.mBlockedLinks.erase({ "vm1", "directory" });
  site.mFaults.mBlockedLinks.erase({ "vm2", "directory" });
  site.ListWorker("w1", false);
  const auto restarts = [&] { return site.CountStarts(kJob) == 2; };
  const bool hasRestarted = site.mLoop.RunUntil(restarts, duration(25'000));
  CAPTURE(leaseMax.count(), phase, startedAfter, isClockSlow, isListed);
  CHECK(hasRestarted);
  CHECK(site.MaxConcurrentRuns() == 1);
}

// Guards against an end of a new life that is acknowledged by a former life's number.
TEST_CASE("a run that ends on a worker's new life is not repeated after earlier ends",
          "[reborn]")
{
  const auto startedAfter = GENERATE(range(20, 1'000, 140));
  const auto runTime = GENERATE(duration(100), duration(400), duration(900));
  const auto isListed = GENERATE(false, true);
  CAPTURE(startedAfter, runTime.count(), isListed);
  fake_installation site(kVms, 1);
  site.mBehaviourByPayload["short"] = { runTime, false };
  REQUIRE(site.Submit("vm0", MakeJobOf(kEarlierJob, 6, "short")) ==
          job_answer::kAccepted);
  REQUIRE(site.ReachesState("vm0", kEarlierJob, "done", duration(5'000)));
  site.mLoop.RunFor(duration(1'500));
  if (!isListed) {
    LoseLists(site);
  }
  site.CrashWorker("w0", true);
  site.mLoop.RunFor(duration(startedAfter));
  REQUIRE(site.Submit("vm0", MakeJobOf(kJob, 1, "short")) == job_answer::kAccepted);
  CHECK(site.ReachesState("vm0", kJob, "done", duration(9'000)));
  CHECK(site.CountStarts(kJob) == 1);
}

// Guards against ends that a new life forgets, unread, for a former life's number.
TEST_CASE("a run on a new life whose start had no answer is not repeated after its end",
          "[reborn]")
{
  const auto phase = GENERATE(range(0, 1'000, 50));
  const auto runTime = GENERATE(duration(5), duration(60));
  CAPTURE(phase, runTime.count());
  fake_installation site(kVms, 1);
  site.mBehaviourByPayload["short"] = { runTime, false };
  REQUIRE(site.Submit("vm0", MakeJobOf(kEarlierJob, 6, "short")) ==
          job_answer::kAccepted);
  REQUIRE(site.ReachesState("vm0", kEarlierJob, "done", duration(5'000)));
  site.mLoop.RunFor(duration(1'500 + phase));
  LoseLists(site);
  site.mFaults.mFateOfOrder = [](const std::string&, const std::string& aOrder) {
    order_fate fate;
    fate.mIsAnswered = aOrder != "start";
    return fate;
  };
  site.CrashWorker("w0", true);
  REQUIRE(site.Submit("vm0", MakeJobOf(kJob, 1, "short")) == job_answer::kAccepted);
  CHECK(site.ReachesState("vm0", kJob, "done", duration(9'000)));
  CHECK(site.CountStarts(kJob) == 1);
}

// Guards against a start that its worker's new life carries out after it was given up.
TEST_CASE("a late start that finds its worker's new life known runs beside no other",
          "[reborn]")
{
  const auto isListed = GENERATE(false, true);
  const auto restartsAfter = GENERATE(range(1'300, 2'800, 100));
  const auto lateBy = GENERATE(range(0, 4'000, 400));
  // Until then a list, or the end of the hold in flight, tells of the new life.
  const auto knownAfter = restartsAfter + (isListed ? 800 : 2'300);
  CAPTURE(isListed, restartsAfter, lateBy);
  fake_installation site(kVms, 2);
  site.mBehaviourByPayload["long"] = { duration(120'000), false };
  site.ListWorker("w1", true); // Takes no task at first.
  site.mLoop.RunFor(duration(3'000));
  bool isFirst = true;
  site.mFaults.mFateOfOrder = [&](const std::string& aWorker,
                                  const std::string& aOrder) {
    order_fate fate;
    if (aWorker == "w0" && aOrder == "start" && std::exchange(isFirst, false)) {
      fate.mDelay = duration(knownAfter + lateBy);
    }
    return fate;
  };
  REQUIRE(site.Submit("vm0", MakeJobOf(kJob, 1, "long")) == job_answer::kAccepted);
  site.ListWorker("w1", false);
  site.mLoop.RunFor(duration(restartsAfter));
  if (!isListed) {
    LoseLists(site);
  }
  site.CrashWorker("w0", true);
  site.mLoop.RunFor(duration(12'000));
  CHECK(site.CountStarts(kJob) >= 1);
  CHECK(site.MaxConcurrentRuns() == 1);
}

// Guards against a worker that is neither held nor used after its life was unknown.
TEST_CASE("a worker that was given up in an unknown life is used again", "[reborn]")
{
  const auto hasMiddleLife = GENERATE(false, true);
  const auto awayMs = GENERATE(5'000, 15'000);
  CAPTURE(hasMiddleLife, awayMs);
  fake_installation site(kVms, 2);
  site.mBehaviourByPayload["short"] = { duration(100), false };
  site.ListWorker("w1", true); // Takes no task.
  site.mLoop.RunFor(duration(3'000));
  CutOff(site, "w0", true);
  if (hasMiddleLife) {
    site.CrashWorker("w0", true);
    site.mLoop.RunFor(duration(2'000));
  }
  site.CrashWorker("w0", false);
  site.mLoop.RunFor(duration(awayMs));
  CutOff(site, "w0", false);
  site.CrashWorker("w0", true);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(site.Submit("vm0", MakeJobOf(kJob, 1, "short")) == job_answer::kAccepted);
  CHECK(site.ReachesState("vm0", kJob, "done", duration(5'000)));
}

// Guards against stops without an answer that extend the lease that is reckoned.
TEST_CASE("a gang restarts although a member's worker is cut off in an unknown life",
          "[reborn]")
{
  const auto isListed = GENERATE(false, true);
  CAPTURE(isListed);
  fake_installation site(kVms, 3);
  site.mBehaviourByPayload["long"] = { duration(120'000), false };
  site.ListWorker("w2", true); // Takes no task at first.
  site.mLoop.RunFor(duration(3'000));
  auto job = fake_installation::MakeJob(kJob, 2, true);
  job.mSpec.mPayload = "long";
  job.mSpec.mSteps.front().mPerTask = { 4'000, 1'000, 8 }; // A member on each worker.
  REQUIRE(site.Submit("vm0", job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(site.CountStarts(kJob) == 2);
  site.ListWorker("w2", false);
  site.mLoop.RunFor(duration(1'000));
  if (!isListed) {
    LoseLists(site);
  }
  CutOff(site, "w0", true);
  site.CrashWorker("w0", true);
  const auto hasRestarted = [&] { return site.CountStarts(kJob) == 4; };
  CHECK(site.mLoop.RunUntil(hasRestarted, duration(9'000)));
  CHECK(site.MaxConcurrentRuns() == 1);
}

// Guards against a late start on a new life that outlasts what is reckoned of it.
TEST_CASE("a late start on a life that is cut off ends before its task restarts",
          "[reborn]")
{
  const auto leaseMax = GENERATE(duration(6'000), duration(10'000));
  const auto lateBy = GENERATE(0, 1'000, 2'000, 3'000, 11'000);
  const auto startedAfter = GENERATE(20, 300, 800);
  const auto phase = GENERATE(0, 400, 800);
  CAPTURE(leaseMax.count(), lateBy, startedAfter, phase);
  fake_installation site(kVms, 2, 4, BoundsWithLease(leaseMax));
  site.mBehaviourByPayload["long"] = { duration(120'000), false };
  site.ListWorker("w1", true); // Takes no task at first.
  site.mLoop.RunFor(leaseMax + duration(3'000 + phase));
  LoseLists(site);
  site.mFaults.mFateOfOrder = [&](const std::string& aWorker,
                                  const std::string& aOrder) {
    order_fate fate;
    fate.mIsAnswered = aWorker != "w0" || aOrder != "start";
    fate.mDelay = duration(fate.mIsAnswered ? 0 : lateBy);
    return fate;
  };
  site.CrashWorker("w0", true);
  site.mLoop.RunFor(duration(startedAfter));
  REQUIRE(site.Submit("vm0", MakeJobOf(kJob, 1, "long")) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(150));
  CutOff(site, "w0", true);
  for (size_t vm = 0; vm < kVms; ++vm) {
    site.mFaults.mBlockedLinks.erase({ "vm" + std::to_string(vm), "directory" });
  }
  site.ListWorker("w1", false);
  const auto hasRestarted = [&] {
    return !site.mTraces.empty() && site.mTraces.back().mWorker == "w1";
  };
  CHECK(site.mLoop.RunUntil(hasRestarted, duration(35'000)));
  CHECK(site.MaxConcurrentRuns() == 1);
}
