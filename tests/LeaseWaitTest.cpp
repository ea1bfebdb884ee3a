#include "support/FakeInstallation.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";
constexpr size_t kVms = 4;
constexpr size_t kWorkers = 4;
/** Calm time after a disruption, and how long a job may have nothing running in it. */
constexpr duration kBound{ 4'000 + 3'000 };
/** Longer than a scheduler without the store keeps its term. */
constexpr duration kOutage{ 6'000 };

/** Starts all workers anew, with clocks that are slow if aIsClockSlow. */
void RestartWorkers(fake_installation& aSite, bool aIsClockSlow)
{
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    const auto id = "w" + std::to_string(worker);
    if (aIsClockSlow) {
      aSite.mFaults.mSlowClockWorkers.insert(id);
    }
    aSite.CrashWorker(id, true);
  }
}

/** Starts a job of one long task and returns the worker that runs it. */
std::string RunLongTask(fake_installation& aSite, bool aIsClockSlow, int aPhaseMs)
{
  RestartWorkers(aSite, aIsClockSlow);
  aSite.mBehaviourByPayload["long"] = { duration(120'000), false };
  auto job = fake_installation::MakeJob(kJob, 1);
  job.mSpec.mPayload = "long";
  aSite.mLoop.RunFor(duration(3'000));
  REQUIRE(aSite.Submit("vm0", job) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(2'000 + aPhaseMs));
  REQUIRE(aSite.mTraces.size() == 1);
  return aSite.mTraces.front().mWorker;
}

std::vector<std::string> Vms(const fake_installation& aSite)
{
  std::vector<std::string> vms;
  for (size_t vm = 0; vm < kVms; ++vm) {
    const auto name = "vm" + std::to_string(vm);
    if (aSite.IsUp(name)) {
      vms.push_back(name);
    }
  }
  return vms;
}

/** Kills the scheduler once its term has lasted for 200 ms. */
void KillNextScheduler(fake_installation& aSite)
{
  REQUIRE(aSite.mLoop.RunUntil([&] { return !aSite.SchedulerVm().empty(); },
                               duration(5'000)));
  aSite.mLoop.RunFor(duration(200));
  aSite.Kill(aSite.SchedulerVm());
}

/** Returns the time until the task starts again; more than kBound by far: it doesn't.
 */
duration TimeUntilRestart(fake_installation& aSite)
{
  const auto begun = aSite.mLoop.Now();
  aSite.mLoop.RunUntil([&] { return aSite.CountStarts(kJob) == 2; }, duration(40'000));
  return aSite.mLoop.Now() - begun;
}

/** Makes the VMs lose the store for kOutage; a worker leaves, a scheduler may end. */
void LoseStore(fake_installation& aSite, const std::string& aLeaving, bool aIsKilled)
{
  const auto vms = Vms(aSite);
  const auto scheduler = aSite.SchedulerVm();
  aSite.mFaults.mStoreBusyFor = { vms.begin(), vms.end() };
  aSite.mLoop.RunFor(duration(500));
  aSite.CrashWorker(aLeaving, false);
  if (aIsKilled) {
    aSite.Kill(scheduler);
  }
  aSite.mLoop.RunFor(kOutage - duration(500));
  aSite.mFaults.mStoreBusyFor.clear();
}

} // namespace

// Guards against a wait that covers more than what former schedulers may request.
TEST_CASE("tasks of workers that left while the store was away soon start elsewhere",
          "[installation]")
{
  const auto isKilled = GENERATE(false, true);
  const auto phase = GENERATE(range(0, 1'200, 300));
  const auto isClockSlow = GENERATE(false, true);
  fake_installation site(kVms, kWorkers);
  const auto worker = RunLongTask(site, isClockSlow, phase);
  LoseStore(site, worker, isKilled);
  const auto waited = TimeUntilRestart(site);
  CAPTURE(isKilled, phase, isClockSlow, waited.count());
  CHECK(waited <= kBound);
}

TEST_CASE(
  "tasks of workers that left soon start elsewhere after schedulers were killed",
  "[installation][known-red]")
{
  const auto kills = GENERATE(1, 2);
  const auto isStoreAway = GENERATE(false, true);
  const auto phase = GENERATE(range(0, 1'200, 300));
  fake_installation site(kVms, kWorkers);
  const auto worker = RunLongTask(site, false, phase);
  if (isStoreAway) {
    LoseStore(site, worker, false);
  } else {
    site.CrashWorker(worker, false);
  }
  for (int kill = 0; kill < kills; ++kill) {
    KillNextScheduler(site);
  }
  const auto waited = TimeUntilRestart(site);
  CAPTURE(kills, isStoreAway, phase, waited.count());
  CHECK(waited <= kBound);
}

TEST_CASE("runs go on over a store outage that is a little longer than a lease",
          "[installation]")
{
  const auto isClockSlow = GENERATE(false, true);
  const auto phase = GENERATE(range(0, 1'200, 50));
  CAPTURE(isClockSlow, phase);
  fake_installation site(kVms, kWorkers);
  RunLongTask(site, isClockSlow, phase);
  const auto vms = Vms(site);
  site.mFaults.mStoreBusyFor = { vms.begin(), vms.end() };
  site.mLoop.RunFor(duration(6'300));
  site.mFaults.mStoreBusyFor.clear();
  site.mLoop.RunFor(duration(15'000));
  CHECK(site.CountStarts(kJob) == 1);
  CHECK_FALSE(site.mTraces.front().mEnded);
}

TEST_CASE(
  "the tasks of a worker that leaves at a planned hand-over soon start elsewhere",
  "[installation]")
{
  const auto leavesAfter = GENERATE(range(0, 1'600, 100));
  const auto isClockSlow = GENERATE(false, true);
  fake_installation site(kVms, kWorkers);
  const auto worker = RunLongTask(site, isClockSlow, 0);
  site.Node(site.SchedulerVm()).StartDraining();
  site.mLoop.RunFor(duration(leavesAfter));
  site.CrashWorker(worker, false);
  const auto waited = TimeUntilRestart(site);
  CAPTURE(leavesAfter, isClockSlow, waited.count());
  CHECK(waited <= kBound);
}

// Guards against holds that extend the assumed lease of a worker that refuses them.
TEST_CASE("tasks of a worker that has crashed soon start elsewhere", "[installation]")
{
  const auto isListed = GENERATE(false, true);
  const auto phase = GENERATE(range(0, 1'000, 50));
  fake_installation site(kVms, kWorkers);
  const auto worker = RunLongTask(site, false, phase);
  // The hold that waits there is still answered; from then on connections are refused.
  constexpr duration kHoldTime{ 1'010 };
  site.mFaults.mUnreachableWorkers.insert(worker);
  site.mLoop.RunFor(kHoldTime);
  site.CrashWorker(worker, false);
  if (isListed) {
    site.ListWorker(worker);
  }
  const auto waited = TimeUntilRestart(site);
  CAPTURE(isListed, phase, waited.count());
  CHECK(waited <= kBound);
}

// Guards against a wait that is shorter than a lease from a former scheduler.
TEST_CASE("a worker that only the former scheduler reaches never runs a task twice",
          "[installation]")
{
  const auto isHeldOnGrace = GENERATE(false, true);
  const auto isClockSlow = GENERATE(false, true);
  const auto phase = GENERATE(range(0, 1'200, 100));
  fake_installation site(kVms, kWorkers);
  const auto worker = RunLongTask(site, isClockSlow, phase);
  const auto former = site.SchedulerVm();
  auto& blocked = site.mFaults.mBlockedLinks;
  blocked.insert({ former, "store" });
  blocked.insert({ former, "directory" });
  for (const auto& vm : Vms(site)) {
    if (vm != former) {
      blocked.insert({ vm, worker });
      blocked.insert({ vm, former });
      blocked.insert({ former, vm });
    }
  }
  for (const auto& [id, each] : site.mWorkers) {
    if (id != worker || !isHeldOnGrace) {
      blocked.insert({ former, id });
    }
  }
  site.mStore.Remove("workers/" + worker); // It can't renew its entry, and runs on.
  const auto waited = TimeUntilRestart(site);
  CAPTURE(isHeldOnGrace, isClockSlow, phase, waited.count());
  CHECK(site.mTraces.size() == 2);
  REQUIRE(site.mTraces.front().mEnded);
  CHECK(site.MaxConcurrentRuns() == 1);
}

// Guards against a wait that takes a lease at the store for one that has run out.
TEST_CASE("a worker that only a scheduler reached which resigned runs no task twice",
          "[installation]")
{
  const auto isClockSlow = GENERATE(false, true);
  const auto phase = GENERATE(range(0, 1'200, 50));
  fake_installation site(kVms, kWorkers);
  const auto worker = RunLongTask(site, isClockSlow, phase);
  const auto former = site.SchedulerVm();
  for (const auto& vm : Vms(site)) {
    if (vm != former) {
      site.mFaults.mBlockedLinks.insert({ vm, worker });
    }
  }
  site.Node(former).StartDraining();
  const auto waited = TimeUntilRestart(site);
  CAPTURE(isClockSlow, phase, waited.count());
  CHECK(site.mTraces.size() == 2);
  REQUIRE(site.mTraces.front().mEnded);
  CHECK(site.MaxConcurrentRuns() == 1);
}
