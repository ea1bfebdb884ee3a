#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

using call = store_call;
using fate = store_fate;

const std::string kJob = "00000000000000c1";
/** Names of VMs in the tables. */
const std::string kScheduler = "the scheduler";
const std::string kEveryVm;

constexpr duration kEver = time_point::max();
constexpr int kAnyNumber = std::numeric_limits<int>::max();
/** The platform's bound: cancel_ms and stop_timeout_ms. */
constexpr duration kBound{ 3'000 + 400 };
/** How long the disruptions of the store in the tables last. */
constexpr duration kOutage{ 6'000 };
/** How long a disruption of the store counts after its end. */
constexpr duration kContactTime{ 3'000 };

/** What befalls an installation on which a job runs. Times count from its beginning. */
struct disturbance
{
  std::string mName;
  std::vector<store_fault> mFaults;
  duration mDisruption{ 0 }; ///< How long it counts as a disruption of the store.
  bool mKillsScheduler = false;
  duration mStaleReadAge{ 0 };
};

/** The runs of a job that was cancelled at a VM that isn't the scheduler. */
struct cancelled_runs
{
  duration mLastEnd{ 0 }; ///< Counts from when the end of all runs has been owed.
  size_t mLapsed = 0;     ///< Runs that nobody stopped or held.
};

/** A case of a table: when the job is cancelled, and whether stops are lost. */
struct cancellation
{
  duration mAfter{ 0 }; ///< Since the beginning of the disturbance.
  bool mLosesFirstStops = false;
  duration mPhase{ 0 }; ///< Shifts the calls to the store against the disturbance.
};

void Begin(fake_installation& aSite, const disturbance& aDisturbance)
{
  const auto scheduler = aSite.SchedulerVm();
  for (auto fault : aDisturbance.mFaults) {
    fault.mVm = fault.mVm == kScheduler ? scheduler : fault.mVm;
    fault.mUntil = fault.mUntil == kEver ? kEver : aSite.mLoop.Now() + fault.mUntil;
    aSite.mFaults.mStoreFaults.push_back(fault);
  }
  if (aDisturbance.mKillsScheduler) {
    aSite.Kill(scheduler);
  }
}

/** Cancels the job until that is acknowledged, as a client does. */
bool CancelUntilAcknowledged(fake_installation& aSite, const std::string& aVm)
{
  constexpr duration kRetryDelay{ 100 };
  constexpr int kMaxAttempts = 100;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (aSite.Cancel(aVm, kJob) == job_answer::kAccepted) {
      return true;
    }
    aSite.mLoop.RunFor(kRetryDelay);
  }
  return false;
}

cancelled_runs CancelDuring(const disturbance& aDisturbance, const cancellation& aCase)
{
  constexpr size_t kRuns = 8;
  constexpr duration kRunDuration{ 60'000 };
  fake_installation site(3, 4);
  site.mBehaviourByPayload["long"] = { kRunDuration, false };
  site.mFaults.mStaleReadAge = aDisturbance.mStaleReadAge;
  site.mFaults.mLosesFirstStops = aCase.mLosesFirstStops;
  // Until there are answers of every age.
  site.mLoop.RunFor(duration(7'000));
  auto job = fake_installation::MakeJob(kJob, kRuns);
  job.mSpec.mPayload = "long";
  REQUIRE(site.Submit("vm0", job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(1'500) + aCase.mPhase);
  REQUIRE(site.mTraces.size() == kRuns);

  const auto begunAt = site.mLoop.Now();
  const std::string front = site.SchedulerVm() == "vm0" ? "vm1" : "vm0";
  Begin(site, aDisturbance);
  site.mLoop.RunFor(aCase.mAfter);
  REQUIRE(CancelUntilAcknowledged(site, front));
  auto owedFrom = site.mLoop.Now();
  if (aDisturbance.mDisruption > duration::zero()) {
    owedFrom = std::max(owedFrom, begunAt + aDisturbance.mDisruption + kContactTime);
  }
  site.mLoop.RunFor(kRunDuration + kContactTime);

  cancelled_runs runs;
  runs.mLastEnd = begunAt - owedFrom;
  for (const auto& trace : site.mTraces) {
    REQUIRE(trace.mEnded);
    runs.mLastEnd = std::max(runs.mLastEnd, *trace.mEnded - owedFrom);
    runs.mLapsed += trace.mEnd == run_end::kLeaseExpired ? 1 : 0;
  }
  return runs;
}

/** A fault of the watches by which the scheduler learns of cancellations. */
store_fault OfInboxWatches(fate aFate, duration aUntil = kEver, int aCalls = kAnyNumber)
{
  return { aFate, kScheduler, { call::kWatch }, store_keys::kInbox, aUntil, aCalls };
}

void CheckBound(const disturbance& aDisturbance, const cancellation& aCase)
{
  CAPTURE(aDisturbance.mName,
          aCase.mAfter.count(),
          aCase.mLosesFirstStops,
          aCase.mPhase.count());
  const auto runs = CancelDuring(aDisturbance, aCase);
  CAPTURE(runs.mLapsed);
  CHECK(runs.mLastEnd.count() <= kBound.count());
}

} // namespace

// Guards against runs that go on after a watch of the inbox has failed.
TEST_CASE("a cancelled job's runs end in time although inbox watches fail",
          "[cancellation]")
{
  const auto row = GENERATE(values<disturbance>({
    { "one not answered", { OfInboxWatches(fate::kUnsent, kEver, 1) } },
    { "one event lost", { OfInboxWatches(fate::kEventLost, kEver, 1) } },
    { "one answer lost", { OfInboxWatches(fate::kUnanswered, kEver, 1) } },
    { "three refused", { OfInboxWatches(fate::kRefused, kEver, 3) } },
    { "history always lost", { OfInboxWatches(fate::kHistoryLost) } },
    { "outage: not answered", { OfInboxWatches(fate::kUnsent, kOutage) }, kOutage },
    { "outage: events lost", { OfInboxWatches(fate::kEventLost, kOutage) }, kOutage },
    { "outage: refused", { OfInboxWatches(fate::kRefused, kOutage) }, kOutage },
  }));
  const auto phase = GENERATE(range(0, 1'250, 125));
  CheckBound(row, { duration(0), false, duration(phase) });
}

// Guards against runs that go on because a stop was lost, beside failed watches.
TEST_CASE("a cancelled job's runs end in time although their first stops are lost",
          "[cancellation]")
{
  const auto row = GENERATE(values<disturbance>({
    { "no other fault", {} },
    { "three refused", { OfInboxWatches(fate::kRefused, kEver, 3) } },
    { "history always lost", { OfInboxWatches(fate::kHistoryLost) } },
    { "outage: not answered", { OfInboxWatches(fate::kUnsent, kOutage) }, kOutage },
    { "outage: events lost", { OfInboxWatches(fate::kEventLost, kOutage) }, kOutage },
    { "outage: refused", { OfInboxWatches(fate::kRefused, kOutage) }, kOutage },
  }));
  const auto phase = GENERATE(range(0, 1'250, 125));
  CheckBound(row, { duration(0), true, duration(phase) });
}

// Guards against a scheduler that waits for its inbox watches on silent connections.
TEST_CASE("a cancelled job's runs end in time although inbox watches stay silent",
          "[cancellation][known-red]")
{
  const auto row = GENERATE(values<disturbance>({
    { "two not answered", { OfInboxWatches(fate::kUnsent, kEver, 2) } },
    { "two events lost", { OfInboxWatches(fate::kEventLost, kEver, 2) } },
    { "none answered", { OfInboxWatches(fate::kUnsent) } },
    { "all events lost", { OfInboxWatches(fate::kEventLost) } },
  }));
  const auto phase = GENERATE(range(0, 1'250, 125));
  CheckBound(row, { duration(0), false, duration(phase) });
}

// Guards against a scheduler that reads its inbox in no other way than by watches.
TEST_CASE("a cancelled job's runs end in time although inbox watches are refused",
          "[cancellation][known-red]")
{
  const auto row = GENERATE(values<disturbance>({
    { "the scheduler's", { OfInboxWatches(fate::kRefused) } },
    { "all", { { fate::kRefused, kEveryVm, { call::kWatch } } } },
  }));
  const auto phase = GENERATE(range(0, 1'250, 125));
  CheckBound(row, { duration(0), false, duration(phase) });
}

// Guards against a late second stop after a late watch.
TEST_CASE("a cancelled job's runs end in time although a watch and stops are lost",
          "[cancellation][known-red]")
{
  const auto row = GENERATE(values<disturbance>({
    { "one not answered", { OfInboxWatches(fate::kUnsent, kEver, 1) } },
    { "one event lost", { OfInboxWatches(fate::kEventLost, kEver, 1) } },
  }));
  const auto phase = GENERATE(range(0, 1'250, 125));
  CheckBound(row, { duration(0), true, duration(phase) });
}
