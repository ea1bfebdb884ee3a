#include "runs/EndNotes.h"
#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";
constexpr uint32_t kWorkers = 4;
/** From the begin of a play to the ends of the runs, at most. */
constexpr duration kUntilEnds{ 2'500 };

/** Begins one run of 3 s on each worker. */
void BeginRuns(fake_installation& aSite)
{
  aSite.mBehaviourByPayload["short"] = { duration(3'000) };
  auto job = fake_installation::MakeJob(kJob, kWorkers);
  job.mSpec.mPayload = "short";
  job.mSpec.mSteps.front().mPerTask = { 20'000, 1'000, 1 };
  REQUIRE(aSite.Submit("vm1", job) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(1'000));
  REQUIRE(aSite.mTraces.size() == kWorkers);
}

void PlayCalm(fake_installation&) {}

/** No VM's calls reach a worker from before the ends until after them. */
void PlayLostCallsWhile(fake_installation& aSite, const std::function<void()>& aPlay)
{
  for (const auto& [id, worker] : aSite.mWorkers) {
    for (const auto* vm : { "vm0", "vm1", "vm2" }) {
      aSite.mFaults.mBlockedLinks.insert({ vm, id });
    }
  }
  const auto until = aSite.mLoop.Now() + kUntilEnds + duration(500);
  aPlay();
  aSite.mLoop.RunFor(until - aSite.mLoop.Now());
  aSite.mFaults.mBlockedLinks.clear();
}

void PlayLostCalls(fake_installation& aSite)
{
  PlayLostCallsWhile(aSite, [] {});
}

/** The store refuses all records from before the ends until after them. */
void PlaySlowRecords(fake_installation& aSite)
{
  store_fault fault;
  fault.mCalls = { store_call::kCommit };
  fault.mPrefix = store_keys::kWriter;
  fault.mUntil = aSite.mLoop.Now() + kUntilEnds + duration(1'500);
  aSite.mFaults.mStoreFaults.push_back(fault);
}

void PlayStandstill(fake_installation& aSite, duration aFor)
{
  const auto scheduler = aSite.SchedulerVm();
  aSite.mLoop.RunFor(duration(500));
  aSite.Freeze(scheduler);
  aSite.mLoop.RunFor(aFor);
  aSite.Thaw(scheduler);
}

void PlayShortStandstill(fake_installation& aSite)
{
  PlayStandstill(aSite, duration(750));
}

void PlayLongStandstill(fake_installation& aSite)
{
  PlayStandstill(aSite, duration(4'000));
}

/** No VM is elected until after the ends. */
void PlayNoScheduler(fake_installation& aSite)
{
  store_fault fault;
  fault.mCalls = { store_call::kGrantLease };
  fault.mUntil = aSite.mLoop.Now() + kUntilEnds + duration(1'500);
  aSite.mFaults.mStoreFaults.push_back(fault);
  aSite.Kill(aSite.SchedulerVm());
}

} // namespace

TEST_CASE("the lines tell apart what delays the notes of ends", "[delay-log]")
{
  struct delay
  {
    const char* mName;
    void (*mPlay)(fake_installation&);
    size_t mTakeovers; // Besides the first.
    size_t mRegained;  // Also the lines of workers that are silent.
    size_t mHeldUp;
    size_t mSlowWrites;
    size_t mLateNotes;
  };
  const auto each = GENERATE(values<delay>({
    { "calm", PlayCalm, 0, 0, 0, 0, 0 },
    { "nobody is the scheduler", PlayNoScheduler, 1, 0, 0, 0, 0 },
    { "calls don't reach the workers", PlayLostCalls, 0, kWorkers, 0, 0, kWorkers },
    { "the process stood still", PlayShortStandstill, 0, 0, 1, 0, 0 },
    { "the process stood still past its term", PlayLongStandstill, 1, 0, 1, 0, 0 },
    { "slow records", PlaySlowRecords, 0, 0, 0, 1, kWorkers },
  }));
  CAPTURE(each.mName);
  fake_installation site(3, kWorkers);
  BeginRuns(site);
  const auto takeovers = CountEvents(site, "takeover");
  each.mPlay(site);
  site.mLoop.RunFor(duration(10'000));
  CHECK(site.StateAt("vm2", kJob) == "done");
  CHECK(CountEvents(site, "takeover") - takeovers == each.mTakeovers);
  CHECK(CountEvents(site, "worker_silent") == each.mRegained);
  CHECK(CountEvents(site, "worker_regained") == each.mRegained);
  CHECK(CountEvents(site, "loop_held_up") == each.mHeldUp);
  CHECK(CountEvents(site, "record_write_slow") == each.mSlowWrites);
  CHECK(CountEvents(site, "ends_noted_late") == each.mLateNotes);
}

TEST_CASE("a worker that answers again is logged with its silence", "[delay-log]")
{
  fake_installation site(3, kWorkers);
  BeginRuns(site);
  PlayLostCalls(site);
  site.mLoop.RunFor(duration(5'000));
  for (uint32_t number = 0; number < kWorkers; ++number) {
    const auto worker = "worker=w" + std::to_string(number) + " ";
    const auto regained = FindLine(site, "worker_regained", worker);
    const auto late = FindLine(site, "ends_noted_late", worker);
    CAPTURE(regained, late);
    CHECK(Number(regained, "silent_ms") >= 2'000);
    CHECK(Number(regained, "silent_ms") <= 5'000);
    CHECK(Number(regained, "failed_holds") >= 2);
    CHECK(Number(regained, "failed_holds") <= 5);
    CHECK(Field(late, "ends") == "1");
    CHECK(Field(late, "silent_ms") == Field(regained, "silent_ms"));
    CHECK(Number(late, "listed_to_noted_ms") < 1'000);
  }
}

TEST_CASE("a worker that answers again is logged with the stops that wait for it",
          "[delay-log]")
{
  const auto isCancelled = GENERATE(true, false);
  CAPTURE(isCancelled);
  fake_installation site(3, kWorkers);
  BeginRuns(site);
  const auto play = [&] {
    site.mLoop.RunFor(duration(500));
    if (isCancelled) {
      REQUIRE(site.StoreCancellation("vm2", kJob) == job_answer::kAccepted);
    }
  };
  PlayLostCallsWhile(site, play);
  site.mLoop.RunFor(duration(2'000));
  CHECK(CountEvents(site, "worker_regained") == kWorkers);
  for (uint32_t number = 0; number < kWorkers; ++number) {
    const auto worker = "worker=w" + std::to_string(number) + " ";
    const auto regained = FindLine(site, "worker_regained", worker);
    CAPTURE(regained);
    CHECK(Number(regained, "pending_stops") == (isCancelled ? 1 : 0));
  }
}

TEST_CASE("a slow write of records is logged with the ends that waited for it",
          "[delay-log]")
{
  fake_installation site(3, kWorkers);
  BeginRuns(site);
  PlaySlowRecords(site);
  site.mLoop.RunFor(duration(8'000));
  const auto slow = FindLine(site, "record_write_slow");
  const auto late = FindLine(site, "ends_noted_late");
  CAPTURE(slow, late);
  CHECK(Number(slow, "ms") > 1'000);
  CHECK(Number(slow, "ms") < 4'000);
  CHECK(static_cast<size_t>(Number(slow, "attempts")) ==
        site.mLog.CountLines("event=record_write_failed batch=" + Field(slow, "batch") +
                             " ") +
          1);
  CHECK(Number(slow, "records") == 1);
  CHECK(Number(slow, "waiting") >= 0);
  CHECK(Field(late, "ends") == "1");
  CHECK(Number(late, "silent_ms") <= 1'500);
  CHECK(Number(late, "listed_to_noted_ms") > 1'000);
  CHECK(Number(late, "listed_to_noted_ms") < 4'000);
}

TEST_CASE("a loop that was held up is shown with the longest time", "[delay-log]")
{
  fake_installation site(3, kWorkers);
  const auto vm = site.SchedulerVm() == "vm0" ? "vm1" : "vm0";
  CHECK(site.MetricsOf(vm).find("anvildoor_loop_held_up_longest_seconds 0\n") !=
        std::string::npos);
  for (const int64_t frozenMs : { 400, 3'000, 900 }) {
    site.Freeze(vm);
    site.mLoop.RunFor(duration(frozenMs));
    site.Thaw(vm);
    site.mLoop.RunFor(duration(1'000));
  }
  CHECK(CountEvents(site, "loop_held_up") == 2);
  const auto line = FindLine(site, "loop_held_up");
  CAPTURE(line);
  CHECK(Number(line, "ms") > 2'700);
  CHECK(Number(line, "ms") <= 3'000);
  const auto text = site.MetricsOf(vm);
  CHECK(text.find("anvildoor_loop_held_up_longest_seconds 2.") != std::string::npos);
}

TEST_CASE("the waits of ends are measured by workspace and class", "[delay-log]")
{
  fake_installation site(3, kWorkers);
  BeginRuns(site);
  site.mLoop.RunFor(duration(5'000));
  const auto text = site.MetricsOf(site.SchedulerVm());
  const std::string label = "{class=\"batch\",workspace=\"gyms\"";
  CHECK(text.find("anvildoor_end_to_note_seconds_count" + label + "} 4\n") !=
        std::string::npos);
  CHECK(text.find("anvildoor_end_to_note_seconds_bucket" + label +
                  ",le=\"0.25\"} 4\n") != std::string::npos);
}

TEST_CASE("ends of a worker's former life are not taken for those of its new one",
          "[delay-log]")
{
  const bool isSameLife = GENERATE(true, false);
  CAPTURE(isSameLife);
  hold_reply reply;
  reply.mStartedAtMs = 1;
  reply.mEnded = { { 1, { kJob, 0, 0, 0 }, 1, run_end::kDone, "" } };
  end_notes notes;
  CHECK(notes.OnHoldReply(reply, 0, time_point(0), time_point(10), {}).empty());
  reply.mStartedAtMs = isSameLife ? 1 : 2;
  reply.mEnded.clear();
  const auto noted =
    notes.OnHoldReply(reply, 1, time_point(50), time_point(60), duration(7));
  REQUIRE(noted.size() == (isSameLife ? 1 : 0));
  if (isSameLife) {
    CHECK(noted.front() == end_note{ kJob, duration(40), std::nullopt });
  }
}
