#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000d1";
/** From an acknowledgement in calm, and from the call to it. */
constexpr duration kCalmBound{ 50 };
/** From the acknowledgement to the last end: the stop timeout and the latency. */
constexpr duration kStopBound{ 450 };
/** From the storing of a cancellation to its answer, with the latency of calls. */
constexpr duration kAnswerBound{ 2'050 };
constexpr size_t kVms = 3;
constexpr size_t kWorkers = 4;

void BeginJob(fake_installation& aSite, uint32_t aTasks, bool aIsGang)
{
  aSite.mBehaviourByPayload["long"] = { duration(60'000), false };
  auto job = fake_installation::MakeJob(kJob, aTasks, aIsGang);
  job.mSpec.mPayload = "long";
  REQUIRE(aSite.Submit("vm1", job) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(2'000));
  REQUIRE(aSite.CountStarts(kJob) == aTasks);
}

std::string VmThatFollows(const fake_installation& aSite)
{
  return aSite.SchedulerVm() == "vm2" ? "vm1" : "vm2";
}

/** Blocks or frees the links between the VM and the other VMs. */
void SetCutFromVms(fake_installation& aSite, const std::string& aVm, bool aIsCut)
{
  for (size_t number = 0; number < kVms; ++number) {
    const auto other = "vm" + std::to_string(number);
    for (const auto& link : { std::pair(aVm, other), std::pair(other, aVm) }) {
      if (aIsCut && other != aVm) {
        aSite.mFaults.mBlockedLinks.insert(link);
      } else {
        aSite.mFaults.mBlockedLinks.erase(link);
      }
    }
  }
}

duration LastEndSince(const fake_installation& aSite, time_point aSince)
{
  duration longest{ -100'000 };
  for (const auto& trace : aSite.mTraces) {
    longest = std::max(longest, trace.mEnded.value_or(aSite.mLoop.Now()) - aSince);
  }
  return longest;
}

} // namespace

TEST_CASE("a cancellation is acknowledged soon in calm", "[cancel-settled]")
{
  const uint32_t tasks = GENERATE(1, 5, 8);
  const bool isGang = GENERATE(false, true);
  const bool isAtScheduler = GENERATE(false, true);
  CAPTURE(tasks, isGang, isAtScheduler);
  fake_installation site(kVms, kWorkers);
  BeginJob(site, tasks, isGang);
  const auto vm = isAtScheduler ? site.SchedulerVm() : VmThatFollows(site);
  const auto askedAt = site.mLoop.Now();
  REQUIRE(site.Cancel(vm, kJob) == job_answer::kAccepted);
  CHECK(site.mLoop.Now() - askedAt <= kCalmBound);
  CHECK(site.mLog.CountLines("event=job_cancel ") == 1);
  CHECK(site.mLog.CountLines("reason=settled") == 1);
  CHECK(site.mLog.CountLines("settle_ms=-1") == 0);
  // A repeat finds that it is settled.
  const auto repeatedAt = site.mLoop.Now();
  REQUIRE(site.Cancel(vm, kJob) == job_answer::kAccepted);
  CHECK(site.mLoop.Now() - repeatedAt <= kCalmBound);
}

// Guards against acknowledgements after which a stop may still be lost.
TEST_CASE("a job's runs end in time if all links are cut at its acknowledgement",
          "[cancel-settled]")
{
  const uint32_t tasks = GENERATE(1, 5);
  const bool isGang = GENERATE(false, true);
  const bool losesFirstStops = GENERATE(false, true);
  const bool isAtScheduler = GENERATE(false, true);
  CAPTURE(tasks, isGang, losesFirstStops, isAtScheduler);
  fake_installation site(kVms, kWorkers);
  BeginJob(site, tasks, isGang);
  site.mFaults.mLosesFirstStops = losesFirstStops;
  const auto vm = isAtScheduler ? site.SchedulerVm() : VmThatFollows(site);
  REQUIRE(site.Cancel(vm, kJob) == job_answer::kAccepted);
  const auto acknowledgedAt = site.mLoop.Now();
  for (const auto& [id, worker] : site.mWorkers) {
    for (size_t number = 0; number < kVms; ++number) {
      site.mFaults.mBlockedLinks.insert({ "vm" + std::to_string(number), id });
    }
  }
  site.mLoop.RunFor(duration(5'000));
  const auto longest = LastEndSince(site, acknowledgedAt);
  INFO("longest in ms: " << longest.count());
  CHECK(longest <= kStopBound);
}

// Guards against acknowledgements of what the scheduler can't have been told, and
// against callers that wait although its record shows that it knows.
TEST_CASE("a cancellation is not acknowledged while the scheduler doesn't know of it",
          "[cancel-settled]")
{
  const bool isGang = GENERATE(false, true);
  const bool readsInbox = GENERATE(false, true);
  CAPTURE(isGang, readsInbox);
  fake_installation site(kVms, kWorkers);
  BeginJob(site, 4, isGang);
  const auto scheduler = site.SchedulerVm();
  const auto vm = VmThatFollows(site);
  SetCutFromVms(site, vm, true);
  if (!readsInbox) {
    for (const auto call : { store_call::kWatch, store_call::kList }) {
      site.mFaults.mStoreFaults.push_back(
        { store_fate::kUnsent, scheduler, { call }, store_keys::kInbox });
    }
    site.mFaults.mSilentBefore = site.mLoop.Now();
  }
  const auto askedAt = site.mLoop.Now();
  CHECK(site.Cancel(vm, kJob) ==
        (readsInbox ? job_answer::kAccepted : job_answer::kUnconfirmed));
  CHECK(site.mLoop.Now() - askedAt <= kAnswerBound);
  CHECK(site.mLog.CountLines("answer=unconfirmed") == (readsInbox ? 0 : 1));
  const bool haveEnded =
    std::all_of(site.mTraces.begin(), site.mTraces.end(), [](const auto& aTrace) {
      return aTrace.mEnded.has_value();
    });
  CHECK(haveEnded == readsInbox);
  SetCutFromVms(site, vm, false);
  REQUIRE(site.SchedulerVm() == scheduler);
  const auto repeatedAt = site.mLoop.Now();
  CHECK(site.Cancel(vm, kJob) == job_answer::kAccepted);
  CHECK(site.mLoop.Now() - repeatedAt <= kCalmBound);
}

// Guards against callers that wait for a worker which is cut off.
TEST_CASE("a silent worker delays the acknowledgement by a limited time",
          "[cancel-settled]")
{
  const uint32_t tasks = GENERATE(1, 4, 8);
  const bool isAtScheduler = GENERATE(false, true);
  CAPTURE(tasks, isAtScheduler);
  fake_installation site(kVms, kWorkers);
  BeginJob(site, tasks, false);
  for (const auto& [id, worker] : site.mWorkers) {
    for (size_t number = 0; number < kVms; ++number) {
      site.mFaults.mBlockedLinks.insert({ "vm" + std::to_string(number), id });
    }
  }
  const auto vm = isAtScheduler ? site.SchedulerVm() : VmThatFollows(site);
  const auto askedAt = site.mLoop.Now();
  CHECK(site.Cancel(vm, kJob) == job_answer::kAccepted);
  CHECK(site.mLoop.Now() - askedAt <= kAnswerBound);
  CHECK(site.mLog.CountLines("settle_ms=-1") == 1);
}

// Guards against acknowledgements on the word of a scheduler that is gone.
TEST_CASE("a cancellation is settled although the scheduler is killed meanwhile",
          "[cancel-settled]")
{
  const uint32_t tasks = GENERATE(1, 4);
  const int64_t killedAfterMs = GENERATE(0, 1, 2, 3);
  CAPTURE(tasks, killedAfterMs);
  fake_installation site(kVms, kWorkers);
  BeginJob(site, tasks, false);
  const auto scheduler = site.SchedulerVm();
  const auto vm = VmThatFollows(site);
  site.mFaults.mLosesFirstStops = true;
  REQUIRE(site.StoreCancellation(vm, kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(killedAfterMs));
  site.Kill(scheduler);
  // The successor needs longer than the first call waits, so callers repeat it.
  auto answer = site.Cancel(vm, kJob);
  for (int attempt = 0; attempt < 5 && answer != job_answer::kAccepted; ++attempt) {
    CHECK(answer == job_answer::kUnconfirmed);
    answer = site.Cancel(vm, kJob);
  }
  REQUIRE(answer == job_answer::kAccepted);
  const auto acknowledgedAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(5'000));
  CHECK(LastEndSince(site, acknowledgedAt) <= kStopBound);
}
