#include "support/FakeInstallation.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kPrefix = "evacuate/";
const std::string kEvacuated = "dc-r0"; ///< The data centre of workers w0 to w3.
constexpr duration kBound{ 5'000 };
constexpr size_t kWorkersPerRack = 4;

scheduler_bounds WithEvacuations()
{
  scheduler_bounds bounds;
  bounds.mEvacuations = { kPrefix, kBound };
  return bounds;
}

/** An installation of two data centres with a job that fills both for a while. */
struct busy_site
{
  busy_site()
    : mSite(3, 2 * kWorkersPerRack, kWorkersPerRack, WithEvacuations())
  {
    mSite.mLoop.RunFor(duration(2'000));
    constexpr uint32_t kTasks = 2'000;
    REQUIRE(mSite.Submit("vm0", fake_installation::MakeJob(kJob, kTasks)) ==
            job_answer::kAccepted);
    mSite.mLoop.RunFor(duration(1'500));
  }

  /** Returns how many runs began in the evacuated data centre from aFrom on. */
  int64_t StartsInside(time_point aFrom) const
  {
    return std::count_if(
      mSite.mTraces.begin(), mSite.mTraces.end(), [&](const run_trace& aTrace) {
        const auto worker = std::stoul(aTrace.mWorker.substr(1));
        return worker < kWorkersPerRack && aTrace.mStartedAt > aFrom;
      });
  }

  static inline const std::string kJob = "00000000000000e1";
  fake_installation mSite;
};

enum class trouble
{
  kNone,
  kSchedulerKilled,
  kAllKilled,
  kWatchesSilent,
  kHistoryLost,
  kStoreRefusesScheduler,
  kRequestRefused ///< The store refuses the first reads of the requests.
};

void Cause(fake_installation& aSite, trouble aTrouble)
{
  const auto scheduler = aSite.SchedulerVm();
  switch (aTrouble) {
    case trouble::kNone:
      break;
    case trouble::kSchedulerKilled:
      aSite.Kill(scheduler);
      break;
    case trouble::kAllKilled:
      for (const auto* vm : { "vm0", "vm1", "vm2" }) {
        aSite.Kill(vm);
        aSite.Restart(vm);
      }
      break;
    case trouble::kWatchesSilent:
      aSite.mFaults.mSilentBefore = aSite.mLoop.Now();
      break;
    case trouble::kHistoryLost:
      aSite.mStore.Compact();
      break;
    case trouble::kStoreRefusesScheduler:
      aSite.mFaults.mStoreBusyFor = { scheduler };
      break;
    case trouble::kRequestRefused: {
      store_fault refused;
      refused.mPrefix = kPrefix;
      refused.mCallsLeft = 5;
      aSite.mFaults.mStoreFaults.push_back(refused);
      break;
    }
  }
}

} // namespace

TEST_CASE("nothing is started in an evacuated data centre", "[evacuation]")
{
  struct row
  {
    const char* mName;
    trouble mTrouble;
    bool mIsBefore; ///< Whether the trouble begins before the request.
  };
  const auto [name, kind, isBefore] = GENERATE(
    row{ "calm", trouble::kNone, false },
    row{ "the scheduler is killed after it", trouble::kSchedulerKilled, false },
    row{ "the scheduler is killed before it", trouble::kSchedulerKilled, true },
    row{ "all VMs are killed after it", trouble::kAllKilled, false },
    row{ "watches go silent before it", trouble::kWatchesSilent, true },
    row{ "the store loses its history", trouble::kHistoryLost, false },
    row{ "the store refuses the scheduler", trouble::kStoreRefusesScheduler, true },
    row{ "reads of the requests fail", trouble::kRequestRefused, true });
  CAPTURE(name);
  busy_site busy;
  auto& site = busy.mSite;
  if (isBefore) {
    Cause(site, kind);
  }
  site.mStore.Put(kPrefix + kEvacuated, "{}");
  const auto requestedAt = site.mLoop.Now();
  if (!isBefore) {
    Cause(site, kind);
  }
  site.mLoop.RunFor(duration(20'000));
  CHECK(busy.StartsInside(requestedAt + kBound) == 0);
  // What ran there goes on, and the rest of the job runs in the other data centre.
  const auto isWorking =
    std::any_of(site.mTraces.begin(), site.mTraces.end(), [&](const auto& aTrace) {
      return aTrace.mStartedAt > requestedAt + duration(15'000);
    });
  CHECK(isWorking);
  CHECK(std::none_of(site.mTraces.begin(), site.mTraces.end(), [](const auto& aTrace) {
    return aTrace.mEnd == run_end::kStopped;
  }));

  site.mFaults.mStoreBusyFor.clear();
  site.mStore.Remove(kPrefix + kEvacuated);
  const auto takenBackAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(5'000));
  CHECK(busy.StartsInside(takenBackAt) > 0);
}

TEST_CASE("a start of before an evacuation is sent soon after it or not at all",
          "[evacuation]")
{
  // How long the store takes for the record that a start waits for.
  const auto delayMs = GENERATE(100, 3'000, 8'000);
  CAPTURE(delayMs);
  fake_installation site(3, 2 * kWorkersPerRack, kWorkersPerRack, WithEvacuations());
  site.mLoop.RunFor(duration(2'000));
  store_fault slow;
  slow.mFate = store_fate::kRefused;
  slow.mCalls = { store_call::kCommit };
  slow.mPrefix = "anvildoor/writer"; // The first key of each write of records.
  slow.mUntil = site.mLoop.Now() + duration(delayMs);
  site.mFaults.mStoreFaults.push_back(slow);
  constexpr uint32_t kMembers = 8;
  REQUIRE(site.Submit("vm0",
                      fake_installation::MakeJob("00000000000000e2", kMembers, true)) ==
          job_answer::kAccepted);
  site.mLoop.RunFor(duration(10));
  site.mStore.Put(kPrefix + kEvacuated, "{}");
  const auto requestedAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(20'000));
  CHECK(site.mLog.CountLines("event=record_write_failed") > 0);
  for (const auto& trace : site.mTraces) {
    const bool isInside = std::stoul(trace.mWorker.substr(1)) < kWorkersPerRack;
    CHECK_FALSE((isInside && trace.mStartedAt > requestedAt + kBound));
    CHECK(trace.mEnd != run_end::kGangIncomplete);
  }
  CHECK(site.StateAt("vm1", "00000000000000e2") == "done");
}

TEST_CASE("without knowing the evacuations nothing is started, for a while",
          "[evacuation]")
{
  busy_site busy;
  auto& site = busy.mSite;
  store_fault refused;
  refused.mPrefix = kPrefix;
  refused.mUntil = site.mLoop.Now() + duration(12'000);
  site.mFaults.mStoreFaults.push_back(refused);
  site.mLoop.RunFor(duration(7'500));
  const auto starts = site.CountStarts(busy_site::kJob);
  site.mLoop.RunFor(duration(3'500));
  CHECK(site.CountStarts(busy_site::kJob) == starts);
  site.mLoop.RunFor(duration(3'000));
  CHECK(site.CountStarts(busy_site::kJob) > starts);
  CHECK(site.mLog.CountLines("event=evacuations_known known=0") == 1);
}

TEST_CASE("a request that names no data centre of the fleet is logged and harmless",
          "[evacuation]")
{
  const auto* const name = GENERATE("nowhere", "", "dc-r0/extra", "\xff\xfe");
  busy_site busy;
  auto& site = busy.mSite;
  site.mStore.Put(kPrefix + name, "not json");
  const auto requestedAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(4'000));
  CHECK(busy.StartsInside(requestedAt) > 0);
  CHECK(site.mLog.CountLines("event=evacuation_unmatched") == 1);
  site.mStore.Remove(kPrefix + name);
  site.mLoop.RunFor(duration(1'000));
  CHECK(site.mLog.CountLines("event=evacuation_ended") == 1);
}

// Guards against starts that wait for their record while nobody reads the request.
TEST_CASE("a start is not sent after the bound although the request can't be read",
          "[evacuation]")
{
  // How long the store takes no records, and when before the request a watch begins.
  const auto refusedMs = GENERATE(3'000, 4'500, 5'200, 6'000, 7'000);
  const auto phaseMs = GENERATE(0, 300, 600, 900, 1'200);
  CAPTURE(refusedMs, phaseMs);
  busy_site busy;
  auto& site = busy.mSite;
  site.mLoop.RunFor(duration(phaseMs));
  const auto requestedAt = site.mLoop.Now();
  store_fault unread;
  unread.mFate = store_fate::kUnanswered;
  unread.mPrefix = kPrefix;
  unread.mUntil = requestedAt + duration(20'000);
  store_fault unrecorded;
  unrecorded.mCalls = { store_call::kCommit };
  unrecorded.mUntil = requestedAt + duration(refusedMs);
  site.mFaults.mStoreFaults = { unread, unrecorded };
  site.mStore.Put(kPrefix + kEvacuated, "{}");
  site.mLoop.RunFor(duration(20'000));
  CHECK(busy.StartsInside(requestedAt + kBound) == 0);
  // Once the requests can be read again, the other data centre goes on.
  const auto readAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(5'000));
  CHECK(std::any_of(site.mTraces.begin(), site.mTraces.end(), [&](const auto& aTrace) {
    return aTrace.mStartedAt > readAt;
  }));
}

// Guards against figures of an evacuation that stand for ever.
TEST_CASE("the figures of evacuations go back to 0 when they or the term end",
          "[evacuation]")
{
  const auto isTermEnded = GENERATE(false, true);
  CAPTURE(isTermEnded);
  fake_installation site(3, 2 * kWorkersPerRack, kWorkersPerRack, WithEvacuations());
  site.mBehaviourByPayload["long"] = { duration(60'000), false };
  site.mLoop.RunFor(duration(2'000));
  auto job = fake_installation::MakeJob("00000000000000e3", 200);
  job.mSpec.mPayload = "long";
  REQUIRE(site.Submit("vm0", job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(1'500));
  const auto scheduler = site.SchedulerVm();
  const auto isZero = [&](const std::string& aName) {
    return site.MetricsOf(scheduler).find(aName + " 0\n") != std::string::npos;
  };
  site.mStore.Put(kPrefix + kEvacuated, "{}");
  site.mLoop.RunFor(duration(1'000));
  REQUIRE_FALSE(isZero("evacuated_runs"));
  REQUIRE_FALSE(isZero("evacuated_data_centres"));
  if (isTermEnded) {
    site.mFaults.mStoreBusyFor = { scheduler };
  } else {
    site.mStore.Remove(kPrefix + kEvacuated);
  }
  site.mLoop.RunFor(duration(6'000));
  CHECK(isZero("evacuated_runs"));
  CHECK(isZero("evacuated_data_centres"));
}
