#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";
const std::string kUnknownJob = "00000000000000ff";

/** Returns the first line of the event that contains aText; empty if none does. */
std::string FindLine(const fake_installation& aSite,
                     const std::string& aEvent,
                     const std::string& aText = "")
{
  const auto prefix = "event=" + aEvent + " ";
  const auto& lines = aSite.mLog.mLines;
  const auto found = std::find_if(lines.begin(), lines.end(), [&](const auto& aLine) {
    return aLine.starts_with(prefix) && aLine.find(aText) != std::string::npos;
  });
  return found == lines.end() ? std::string() : *found;
}

size_t CountEvents(const fake_installation& aSite, const std::string& aEvent)
{
  return aSite.mLog.CountLines("event=" + aEvent + " ");
}

/** Returns an unquoted field of a log line; empty if the line does not have it. */
std::string Field(const std::string& aLine, const std::string& aKey)
{
  std::istringstream fields(aLine);
  for (std::string field; fields >> field;) {
    if (field.starts_with(aKey + "=")) {
      return field.substr(aKey.size() + 1);
    }
  }
  return "";
}

int64_t Number(const std::string& aLine, const std::string& aKey)
{
  const auto text = Field(aLine, aKey);
  CAPTURE(aLine, aKey);
  REQUIRE_FALSE(text.empty());
  return std::stoll(text);
}

/** Returns a VM that is not the scheduler. */
std::string OtherVm(const fake_installation& aSite)
{
  return aSite.SchedulerVm() == "vm0" ? "vm1" : "vm0";
}

/** Submits kJob, whose one task runs until it is stopped, and waits for its start. */
void BeginLongRun(fake_installation& aSite)
{
  aSite.mBehaviourByPayload["long"] = { duration(60'000), false, true };
  auto job = fake_installation::MakeJob(kJob, 1);
  job.mSpec.mPayload = "long";
  REQUIRE(aSite.Submit(OtherVm(aSite), job) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(1'500));
  REQUIRE(aSite.mTraces.size() == 1);
}

} // namespace

TEST_CASE("the revision of a cancellation is logged where it is acknowledged and read",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  BeginLongRun(site);
  const auto fence = site.Node(site.SchedulerVm()).Election().Current().mFence;
  REQUIRE(site.Cancel(OtherVm(site), kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(1'000));
  const auto acknowledged = FindLine(site, "job_cancel", kJob);
  const auto read = FindLine(site, "job_cancelled", kJob);
  CAPTURE(acknowledged, read);
  CHECK(Field(acknowledged, "answer") == "acknowledged");
  CHECK(Number(acknowledged, "revision") > 0);
  CHECK(Number(acknowledged, "ms") >= 0);
  CHECK(Field(acknowledged, "scheduler") == site.SchedulerVm());
  CHECK(Field(acknowledged, "fence") == std::to_string(fence));
  CHECK(Field(read, "revision") == Field(acknowledged, "revision"));
  CHECK(Field(read, "source") == "watch");
  CHECK(Number(read, "inbox_gap_ms") >= 0);
}

TEST_CASE("a cancellation that is not acknowledged is logged with its reason",
          "[cancellation-log]")
{
  struct refusal
  {
    const char* mName;
    std::string mJob;
    bool mIsStoreBusy;
    const char* mAnswer;
    const char* mReason;
    bool mIsStored; // Whether the line has the revision of what was written.
  };
  const auto each = GENERATE(values<refusal>({
    { "unknown job", kUnknownJob, false, "not_found", "the job is not stored", true },
    { "store busy", kJob, true, "unavailable", "the job could not be read", false },
  }));
  CAPTURE(each.mName);
  fake_installation site(3, 4);
  BeginLongRun(site);
  const auto vm = OtherVm(site);
  if (each.mIsStoreBusy) {
    site.mFaults.mStoreBusyFor.insert(vm);
  }
  site.Cancel(vm, each.mJob);
  const auto line = FindLine(site, "job_cancel", each.mJob);
  CAPTURE(line);
  CHECK(Field(line, "answer") == each.mAnswer);
  CHECK(line.find(each.mReason) != std::string::npos);
  CHECK((Field(line, "revision") != "0") == each.mIsStored);
}

TEST_CASE("the job_cancelled line names the read that showed the cancellation",
          "[cancellation-log]")
{
  const std::string source = GENERATE("list", "takeover", "peer");
  CAPTURE(source);
  fake_installation site(3, 4);
  BeginLongRun(site);
  site.mFaults.mLosesNotifications = source != "peer";
  site.mStore.SuspendWatches();
  const auto other = OtherVm(site);
  REQUIRE(site.Cancel(other, kJob) == job_answer::kAccepted);
  if (source == "takeover") {
    site.Kill(site.SchedulerVm());
  }
  site.mStore.Compact();
  site.mLoop.RunFor(duration(4'000));
  const auto read = FindLine(site, "job_cancelled", kJob);
  CAPTURE(read);
  CHECK(Field(read, "source") == source);
  CHECK(Field(read, "revision") ==
        Field(FindLine(site, "job_cancel", kJob), "revision"));
}

TEST_CASE("a silence of the inbox is logged once and with its length",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  site.mLoop.RunFor(duration(10'000));
  CHECK(CountEvents(site, "inbox_silent") == 0);
  const auto begin = site.mLoop.Now();
  store_fault fault;
  fault.mFate = store_fate::kUnsent;
  fault.mVm = site.SchedulerVm();
  fault.mCalls = { store_call::kWatch, store_call::kList };
  fault.mPrefix = store_keys::kInbox;
  fault.mUntil = begin + duration(4'000);
  site.mFaults.mStoreFaults.push_back(fault);
  site.mLoop.RunFor(duration(4'000));
  CHECK(CountEvents(site, "inbox_silent") == 1);
  CHECK(CountEvents(site, "inbox_read_again") == 0);
  site.mLoop.RunFor(duration(4'000));
  CHECK(CountEvents(site, "inbox_silent") == 1);
  CHECK(CountEvents(site, "inbox_read_again") == 1);
  CHECK(Number(FindLine(site, "inbox_silent"), "age_ms") > 1'500);
  const auto silence = Number(FindLine(site, "inbox_read_again"), "silent_ms");
  CHECK(silence >= 3'000);
  CHECK(silence <= (site.mLoop.Now() - begin).count() + 1'000);
}

TEST_CASE("overdue watches of the inbox are logged once and counted",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  site.mFaults.mSilentBefore = site.mLoop.Now() + duration(4'000);
  site.mLoop.RunFor(duration(4'000));
  CHECK(CountEvents(site, "inbox_watch_overdue") == 1);
  CHECK(CountEvents(site, "inbox_watch_answered") == 0);
  site.mLoop.RunFor(duration(4'000));
  CHECK(CountEvents(site, "inbox_watch_overdue") == 1);
  CHECK(Number(FindLine(site, "inbox_watch_answered"), "overdue") >= 3);
  CHECK(CountEvents(site, "inbox_silent") >= 1);
}

TEST_CASE("the run that a cancellation stops is logged with its stop and its end",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  BeginLongRun(site);
  REQUIRE(site.Cancel(OtherVm(site), kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(3'400));
  const auto stop = FindLine(site, "run_stop", kJob);
  const auto end = FindLine(site, "run_ended", kJob);
  CAPTURE(stop, end);
  CHECK(Number(stop, "run") == site.mTraces.front().mRun);
  CHECK(Field(stop, "worker") == site.mTraces.front().mWorker);
  CHECK(Field(stop, "registered_run") == Field(stop, "run"));
  CHECK(Field(stop, "sent") == "1");
  CHECK(Field(stop, "reason") == "cancelled");
  CHECK(Field(end, "run") == Field(stop, "run"));
  CHECK(Field(end, "end") == "stopped");
  CHECK(Number(end, "since_cancel_ms") >= 0);
  CHECK(Number(end, "since_cancel_ms") <= 3'400);
  CHECK(CountEvents(site, "run_stop") == 1);
  CHECK(CountEvents(site, "run_stop_retried") == 0);
  CHECK(CountEvents(site, "run_stop_failed") == 0);
  const auto text = site.MetricsOf(site.SchedulerVm());
  CHECK(text.find("anvildoor_cancel_to_end_seconds_count{class=\"batch\","
                  "workspace=\"gyms\"} 1\n") != std::string::npos);
  CHECK(text.find("anvildoor_stopping_runs_overdue 0\n") != std::string::npos);
}

TEST_CASE("a stop without an answer is logged at each doubling of its count",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  BeginLongRun(site);
  const auto scheduler = site.SchedulerVm();
  site.mFaults.mBlockedLinks.insert({ scheduler, site.mTraces.front().mWorker });
  REQUIRE(site.Cancel(OtherVm(site), kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(4'500));
  CHECK(CountEvents(site, "run_stop") == 1);
  CHECK(CountEvents(site, "run_stop_retried") == 2);
  CHECK(CountEvents(site, "run_stop_failed") == 1);
  CHECK(Field(FindLine(site, "run_stop_retried"), "count") == "2");
  CHECK(Field(FindLine(site, "run_stop_failed"), "answer") == "no_answer");
  CHECK(site.MetricsOf(scheduler).find("anvildoor_stopping_runs_overdue 1\n") !=
        std::string::npos);
  site.mLoop.RunFor(duration(6'000));
  const auto end = FindLine(site, "run_ended", kJob);
  CAPTURE(end);
  CHECK(Field(end, "end") == "lapsed");
  CHECK(Number(end, "since_cancel_ms") > 4'500);
  CHECK(Field(FindLine(site, "lease_lapsed"), "runs") == "1");
  CHECK(site.MetricsOf(scheduler).find("anvildoor_stopping_runs_overdue 0\n") !=
        std::string::npos);
}

TEST_CASE("a run that no record shows is logged with the stop that is sent for it",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  site.mBehaviourByPayload["long"] = { duration(60'000), false, true };
  start_run_request request;
  request.mWorker = { "w1", "w1" };
  request.mTask = { kUnknownJob, 0, 0, 3 };
  request.mRun = 7;
  request.mPayload = "long";
  request.mWorkerDeadlineMs = 60'000;
  request.mFence = site.Node(site.SchedulerVm()).Election().Current().mFence;
  REQUIRE(site.mWorkers.at("w1")->Start(request) == run_request_status::kAccepted);
  site.mLoop.RunFor(duration(5'000));
  const auto unexpected = FindLine(site, "run_unexpected", kUnknownJob);
  const auto stop = FindLine(site, "run_stop", kUnknownJob);
  CAPTURE(unexpected, stop);
  CHECK(Field(unexpected, "job_state") == "unknown");
  CHECK(Field(unexpected, "stopped") == "1");
  CHECK(Field(stop, "run") == "7");
  CHECK(Field(stop, "worker") == "w1");
  CHECK(Field(stop, "registered_run") == "0");
  CHECK(CountEvents(site, "run_unexpected") == 1);
  CHECK(CountEvents(site, "run_stop") == 1);
  CHECK(Field(FindLine(site, "run_ended", kUnknownJob), "run") == "7");
}

TEST_CASE("the end of the calls to a worker in no list is logged with its runs",
          "[cancellation-log]")
{
  fake_installation site(3, 4);
  BeginLongRun(site);
  const auto worker = site.mTraces.front().mWorker;
  site.CrashWorker(worker, false);
  site.mLoop.RunFor(duration(15'000));
  const auto line = FindLine(site, "hold_given_up", worker);
  CAPTURE(line);
  CHECK(Field(line, "dropped_runs") == "1");
  CHECK(CountEvents(site, "hold_given_up") == 1);
}

TEST_CASE("the read that showed a missing scheduler is logged at each VM",
          "[cancellation-log]")
{
  const std::string by = GENERATE("watch", "probe");
  CAPTURE(by);
  fake_installation site(3, 4);
  site.mLoop.RunFor(duration(2'000));
  const auto former = site.SchedulerVm();
  if (by == "probe") {
    // The watches of the key that are under way are never answered.
    site.mStore.SuspendWatches();
  }
  site.Kill(former);
  site.mLoop.RunFor(duration(5'000));
  const auto line = FindLine(site, "scheduler_gone_noticed", "vm=" + former + " ");
  CAPTURE(line);
  CHECK(Field(line, "by") == by);
  CHECK(Number(line, "last_seen_ms") >= 1'000);
  CHECK(Number(line, "last_seen_ms") <= 10'000);
  CHECK(CountEvents(site, "scheduler_gone_noticed") == 2);
}

TEST_CASE("a term on its grace without the store is logged once", "[cancellation-log]")
{
  fake_installation site(3, 4);
  site.mLoop.RunFor(duration(2'000));
  CHECK(CountEvents(site, "term_extended_without_store") == 0);
  const auto former = site.SchedulerVm();
  site.mFaults.mBlockedLinks.insert({ former, "store" });
  site.mLoop.RunFor(duration(10'000));
  CHECK(CountEvents(site, "term_extended_without_store") == 1);
  const auto line = FindLine(site, "term_extended_without_store");
  CAPTURE(line);
  CHECK(Number(line, "remaining_ms") > 0);
  CHECK(Number(line, "remaining_ms") <= 4'000);
}

namespace {

constexpr uint32_t kMembers = 3;

/** Submits kJob as a gang with one member per worker, and waits for its placement. */
void BeginGang(fake_installation& aSite,
               const run_behaviour& aBehaviour,
               uint32_t aMembers = kMembers)
{
  aSite.mBehaviourByPayload["gang"] = aBehaviour;
  auto job = fake_installation::MakeJob(kJob, aMembers, true);
  job.mSpec.mPayload = "gang";
  job.mSpec.mSteps.front().mPerTask = { 20'000, 1'000, 1 };
  REQUIRE(aSite.Submit(OtherVm(aSite), job) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(1'500));
  REQUIRE(CountEvents(aSite, "tasks_placed") == 1);
}

/** Returns the run of the gang that ended first; null if none has ended. */
const run_trace* FirstEnded(const fake_installation& aSite)
{
  const run_trace* first = nullptr;
  for (const auto& trace : aSite.mTraces) {
    if (trace.mEnded && (first == nullptr || *trace.mEnded < *first->mEnded)) {
      first = &trace;
    }
  }
  return first;
}

/** Returns the position of the first such line; the number of lines if none is. */
size_t PositionOf(const fake_installation& aSite,
                  const std::string& aEvent,
                  const std::string& aText = "")
{
  const auto line = FindLine(aSite, aEvent, aText);
  const auto& lines = aSite.mLog.mLines;
  const auto found = line.empty() ? lines.end() : std::ranges::find(lines, line);
  return static_cast<size_t>(found - lines.begin());
}

/** Makes every call to a worker without effect and answer, of the given kinds. */
void LoseOrders(fake_installation& aSite, const std::set<std::string>& aOrders)
{
  aSite.mFaults.mFateOfOrder = [aOrders](const std::string&,
                                         const std::string& aOrder) {
    order_fate lost;
    lost.mIsLost = aOrders.count(aOrder) != 0;
    return lost;
  };
}

/** Lets the scheduler learn of no cancellation. */
void HideInbox(fake_installation& aSite)
{
  aSite.mFaults.mLosesNotifications = true;
  store_fault fault;
  fault.mFate = store_fate::kUnsent;
  fault.mCalls = { store_call::kWatch, store_call::kList, store_call::kStaleList };
  fault.mPrefix = store_keys::kInbox;
  aSite.mFaults.mStoreFaults.push_back(fault);
  aSite.mStore.SuspendWatches();
}

const run_behaviour kLongGang{ duration(60'000), false, true };

/** H1: nobody is the scheduler; aWorker is not held before, so its lease lapses first.
 */
void PlayNoScheduler(fake_installation& aSite,
                     const std::string& aWorker,
                     duration aWithoutElection)
{
  BeginGang(aSite, kLongGang);
  aSite.mFaults.mUnreachableWorkers = { aWorker };
  aSite.mLoop.RunFor(duration(1'500));
  const auto other = OtherVm(aSite);
  store_fault fault;
  fault.mCalls = { store_call::kGrantLease };
  fault.mUntil = aSite.mLoop.Now() + aWithoutElection;
  aSite.mFaults.mStoreFaults.push_back(fault);
  aSite.Kill(aSite.SchedulerVm());
  REQUIRE(aSite.Cancel(other, kJob) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(6'000));
  aSite.mFaults.mUnreachableWorkers.clear();
  aSite.mLoop.RunFor(duration(8'000));
}

void PlayFirstLapses(fake_installation& aSite)
{
  PlayNoScheduler(aSite, "w0", duration(8'000));
}

void PlayLastLapses(fake_installation& aSite)
{
  PlayNoScheduler(aSite, "w2", duration(8'000));
}

void PlayLateSuccessor(fake_installation& aSite)
{
  PlayNoScheduler(aSite, "", duration(0));
}

/** H2: the scheduler has not read the cancellation; a member fails. */
void PlayUnreadAndFailed(fake_installation& aSite)
{
  aSite.mFaults.mSlowdownFactors = { { "w0", 20 }, { "w2", 20 } };
  BeginGang(aSite, { duration(5'000), true });
  HideInbox(aSite);
  REQUIRE(aSite.Cancel(OtherVm(aSite), kJob) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(5'000));
}

/** H2: the scheduler has not read the cancellation; a worker crashes. */
void PlayUnreadWithoutWorker(fake_installation& aSite, bool aRestarts)
{
  BeginGang(aSite, kLongGang);
  HideInbox(aSite);
  REQUIRE(aSite.Cancel(OtherVm(aSite), kJob) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(4'000));
  aSite.CrashWorker("w1", aRestarts);
  aSite.mLoop.RunFor(duration(8'000));
}

void PlayUnreadAndRestarted(fake_installation& aSite)
{
  PlayUnreadWithoutWorker(aSite, true);
}

void PlayUnreadAndCrashed(fake_installation& aSite)
{
  PlayUnreadWithoutWorker(aSite, false);
}

/** H3: the scheduler infers the ends of all members, which go on. */
void PlayNotPlaced(fake_installation& aSite)
{
  BeginGang(aSite, kLongGang);
  LoseOrders(aSite, { "start", "stop", "hold" });
  for (const auto& [id, worker] : aSite.mWorkers) {
    aSite.ListWorker(id);
  }
  aSite.mLoop.RunFor(duration(1'000));
  for (const auto& [id, worker] : aSite.mWorkers) {
    aSite.mStore.Remove("workers/" + id);
  }
  aSite.mLoop.RunFor(duration(1'000));
  REQUIRE(aSite.Cancel(OtherVm(aSite), kJob) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(8'000));
}

/** H4: the starts are carried out after the scheduler gave them up. */
void PlayLateStarts(fake_installation& aSite)
{
  LoseOrders(aSite, { "start", "stop" });
  BeginGang(aSite, kLongGang);
  REQUIRE(aSite.Cancel(OtherVm(aSite), kJob) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(3'000));
  aSite.mFaults.mFateOfOrder = nullptr;
  start_run_request request;
  request.mPayload = "gang";
  request.mRun = 1;
  request.mWorkerDeadlineMs = 60'000;
  request.mFence = aSite.Node(aSite.SchedulerVm()).Election().Current().mFence;
  for (uint32_t index = 0; index < kMembers; ++index) {
    request.mTask = { kJob, 0, 0, index };
    const auto id = "w" + std::to_string(index);
    REQUIRE(aSite.mWorkers.at(id)->Start(request) == run_request_status::kAccepted);
  }
  aSite.mLoop.RunFor(duration(3'000));
}

/** A hypothesis on why a gang runs on, and what the lines of its play show. */
struct hypothesis
{
  const char* mName = "";
  void (*mPlay)(fake_installation&) = nullptr;
  std::string mBroken;      ///< The end in gang_broken, and whether it was listed.
  std::string mFacts;       ///< See FactsOf.
  std::string mCause;       ///< The end that is shown of the member that ended first.
  int64_t mMinSilentMs = 0; ///< Of the worker of that member; -1: unknown.
};

/**
 * Returns what the lines show of the cancellation: "read" and "taken_over" if that was
 * before gang_broken, "stopped" if it led to stops, "unexpected" if members were found
 * that no record shows.
 */
std::string FactsOf(const fake_installation& aSite)
{
  const auto broken = PositionOf(aSite, "gang_broken");
  const auto takeover = PositionOf(aSite, "takeover", "cancelled_jobs=1");
  std::string facts;
  if (PositionOf(aSite, "job_cancelled") < broken) {
    facts += "read ";
  }
  if (PositionOf(aSite, "job_cancel", "answer=acknowledged") < takeover &&
      takeover < broken) {
    facts += "taken_over ";
  }
  if (!FindLine(aSite, "run_stop", "reason=cancelled").empty()) {
    facts += "stopped ";
  }
  if (!FindLine(aSite, "run_unexpected", kJob).empty()) {
    facts += "unexpected ";
  }
  return facts;
}

/** Returns the run_ended line of the member whose end broke the gang. */
std::string FindCause(const fake_installation& aSite)
{
  const auto broken = FindLine(aSite, "gang_broken", kJob);
  if (Field(broken, "end") != "broken") {
    return FindLine(aSite, "run_ended", " worker=" + Field(broken, "worker") + " ");
  }
  for (const auto& line : aSite.mLog.mLines) {
    const auto end = Field(line, "end");
    if (line.starts_with("event=run_ended ") && end != "broken" && end != "stopped") {
      return line;
    }
  }
  return "";
}

} // namespace

TEST_CASE("the lines tell the hypotheses on a gang that runs on apart",
          "[cancellation-log]")
{
  const auto each = GENERATE(values<hypothesis>({
    { "H1 first",
      PlayFirstLapses,
      "lapsed 1",
      "read taken_over stopped ",
      "lapsed",
      -1 },
    { "H1 last", PlayLastLapses, "broken 1", "read taken_over stopped ", "lapsed", -1 },
    { "H1 late",
      PlayLateSuccessor,
      "stopped 1",
      "read taken_over stopped ",
      "stopped",
      0 },
    { "H2 fails", PlayUnreadAndFailed, "failed 1", "", "failed", 0 },
    { "H2 restarts", PlayUnreadAndRestarted, "broken 1", "", "lost", 2'000 },
    { "H2 crashes", PlayUnreadAndCrashed, "broken 1", "", "lapsed", 6'000 },
    { "H3", PlayNotPlaced, "lost 0", "", "lost", 1'500 },
    { "H4",
      PlayLateStarts,
      "not_started 0",
      "read stopped unexpected ",
      "not_started",
      0 },
  }));
  CAPTURE(each.mName);
  fake_installation site(3, kMembers);
  each.mPlay(site);
  const auto broken = FindLine(site, "gang_broken", kJob);
  const auto cause = FindCause(site);
  CAPTURE(broken, cause);
  REQUIRE(CountEvents(site, "gang_broken") == 1);
  CHECK(Field(broken, "end") + " " + Field(broken, "listed") == each.mBroken);
  CHECK(Field(broken, "run") == "1");
  CHECK(Field(broken, "worker") == "w" + Field(broken, "first_index"));
  CHECK(Number(broken, "members_left") == kMembers - 1);
  CHECK(FactsOf(site) == each.mFacts);
  const bool isRead = each.mFacts.starts_with("read ");
  CHECK(Field(broken, "since_cancel_ms").empty() != isRead);
  const auto takeover = FindLine(site, "takeover", "cancelled_jobs=1");
  if (!takeover.empty()) {
    CHECK(Field(takeover, "oldest_cancel_revision") ==
          Field(FindLine(site, "job_cancel", kJob), "revision"));
    CHECK(Number(takeover, "stopped_runs") == kMembers);
  }

  const auto* first = FirstEnded(site);
  REQUIRE(first != nullptr);
  CHECK(Field(cause, "worker") == first->mWorker);
  CHECK(Field(cause, "end") == each.mCause);
  if (each.mMinSilentMs < 0) {
    CHECK(Number(cause, "silent_ms") == each.mMinSilentMs);
  } else {
    CHECK(Number(cause, "silent_ms") >= each.mMinSilentMs);
  }
  const auto count =
    "anvildoor_gangs_broken_total{end=\"" + Field(broken, "end") + "\"} 1\n";
  CHECK(site.MetricsOf(site.SchedulerVm()).find(count) != std::string::npos);
}

TEST_CASE("a gang is logged as broken once for each of its runs", "[cancellation-log]")
{
  struct gang
  {
    const char* mName;
    uint32_t mMembers;
    bool mFails;
    int mSlowdown; // Of all workers but one, so that its member ends first.
    size_t mLines;
  };
  const auto each = GENERATE(values<gang>({
    { "done", kMembers, false, 1, 0 },
    { "of one member", 1, true, 1, 0 },
    { "its members fail at once", kMembers, true, 1, 1 },
    { "a member fails in each of its runs", kMembers, true, 20, 3 },
  }));
  CAPTURE(each.mName);
  fake_installation site(3, kMembers);
  site.mFaults.mSlowdownFactors = { { "w0", each.mSlowdown },
                                    { "w2", each.mSlowdown } };
  BeginGang(site, { duration(2'000), each.mFails }, each.mMembers);
  site.mLoop.RunFor(duration(80'000));
  CHECK(site.StateAt(OtherVm(site), kJob) == (each.mFails ? "failed" : "done"));
  CHECK(CountEvents(site, "gang_broken") == each.mLines);
  for (size_t run = 1; run <= each.mLines; ++run) {
    const auto line =
      FindLine(site, "gang_broken", " run=" + std::to_string(run) + " ");
    CAPTURE(line);
    CHECK(Number(line, "members_left") == each.mMembers - 1);
  }
}

TEST_CASE("a takeover tells which cancellations and runs the term before has left",
          "[cancellation-log]")
{
  struct leftover
  {
    const char* mName;
    bool mIsCancelled;
    bool mIsRead; // By the former scheduler, whose stops are lost.
    int64_t mCancelledJobs;
    int64_t mStoppedRuns;
  };
  const auto each = GENERATE(values<leftover>({
    { "not cancelled", false, false, 0, 0 },
    { "read before", true, true, 0, kMembers },
    { "not read before", true, false, 1, kMembers },
  }));
  CAPTURE(each.mName);
  fake_installation site(3, kMembers);
  BeginGang(site, kLongGang);
  LoseOrders(site, { "stop" });
  if (!each.mIsRead) {
    HideInbox(site);
  }
  if (each.mIsCancelled) {
    REQUIRE(site.Cancel(OtherVm(site), kJob) == job_answer::kAccepted);
    site.mLoop.RunFor(duration(500));
  }
  site.mFaults.mStoreFaults.clear();
  site.Kill(site.SchedulerVm());
  site.mFaults.mFateOfOrder = nullptr;
  site.mLoop.RunFor(duration(5'000));
  const auto line = FindLine(site, "takeover", "jobs=1 ");
  CAPTURE(line);
  CHECK(Number(line, "cancelled_jobs") == each.mCancelledJobs);
  CHECK(Number(line, "stopped_runs") == each.mStoppedRuns);
  CHECK((Number(line, "oldest_cancel_revision") > 0) == (each.mCancelledJobs > 0));
}

TEST_CASE("the end of a run tells for how long its worker was silent unless it is done",
          "[cancellation-log]")
{
  const std::string end = GENERATE("done", "failed");
  CAPTURE(end);
  fake_installation site(3, 4);
  site.mBehaviourByPayload["short"] = { duration(3'000), end == "failed" };
  auto job = fake_installation::MakeJob(kJob, 1);
  job.mSpec.mPayload = "short";
  REQUIRE(site.Submit(OtherVm(site), job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(1'500));
  LoseOrders(site, { "stop" });
  REQUIRE(site.Cancel(OtherVm(site), kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(3'000));
  const auto line = FindLine(site, "run_ended", kJob);
  CAPTURE(line);
  CHECK(Field(line, "end") == end);
  CHECK(Field(line, "listed") == "1");
  CHECK(Field(line, "silent_ms").empty() == (end == "done"));
}
