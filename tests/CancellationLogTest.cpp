#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";
const std::string kUnknownJob = "00000000000000ff";

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
  REQUIRE(site.StoreCancellation(OtherVm(site), kJob) == job_answer::kAccepted);
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

TEST_CASE("the role of the VM that acknowledges a cancellation is logged",
          "[cancellation-log]")
{
  struct role
  {
    const char* mName;
    bool mIsScheduler;
    bool mDrains;
    const char* mSchedules;
    const char* mDrainsField;
    const char* mNotice; // Empty: it takes one attempt, and no line.
  };
  const auto each = GENERATE(values<role>({
    { "other VM", false, false, "0", "0", "" },
    { "scheduler", true, false, "1", "0", "" },
    { "former scheduler that drains", true, true, "0", "1", "confirmed" },
    { "VM without a way to the scheduler", false, false, "0", "0", "given_up" },
  }));
  CAPTURE(each.mName);
  fake_installation site(3, 4);
  BeginLongRun(site);
  const auto scheduler = site.SchedulerVm();
  const auto vm = each.mIsScheduler ? scheduler : OtherVm(site);
  if (each.mDrains) {
    site.Node(vm).StartDraining();
  }
  site.mFaults.mLosesNotifications = std::string(each.mNotice) == "given_up";
  REQUIRE(site.StoreCancellation(vm, kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(12'000));
  const auto line = FindLine(site, "job_cancel", kJob);
  const auto notice = FindLine(site, "cancel_notice", kJob);
  CAPTURE(line, notice);
  CHECK(Field(line, "schedules") == each.mSchedules);
  CHECK(Field(line, "drains") == each.mDrainsField);
  CHECK(Field(notice, "answer") == each.mNotice);
  if (!notice.empty()) {
    CHECK(Number(notice, "attempts") >= 2);
    CHECK(Number(notice, "ms") >= 100);
  }
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
  site.StoreCancellation(vm, each.mJob);
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
  REQUIRE(site.StoreCancellation(other, kJob) == job_answer::kAccepted);
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
  REQUIRE(site.StoreCancellation(OtherVm(site), kJob) == job_answer::kAccepted);
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
  REQUIRE(site.StoreCancellation(OtherVm(site), kJob) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(4'500));
  CHECK(CountEvents(site, "run_stop") == 1);
  CHECK(CountEvents(site, "run_stop_retried") == 3);
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
