#include "entry/CancellationGuard.h"
#include "base/VirtualLoop.h"
#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000e1";
constexpr uint64_t kFence = 7;
constexpr uint64_t kRevision = 30;
constexpr duration kLifetime{ 10'000 };
/** From the end of a term or a cancellation to the first stop. */
constexpr duration kStopDelay{ 400 };

/** Notes each stop and answers it after a while, by its worker and its number. */
class stop_recorder : public run_port
{
public:
  explicit stop_recorder(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  std::vector<stop_run_request> mStops;
  size_t mInFlight = 0;
  size_t mMostInFlight = 0;
  duration mLatency{ 2 };
  std::function<run_request_status(const stop_run_request&, size_t)> mAnswer;

protected:
  void OnStart(const start_run_request&, done<run_answer>) override {}
  void OnHold(const hold_request&, done<hold_reply>) override {}
  void OnProbe(const worker_address&, uint64_t, done<bool>) override {}
  void OnStop(const stop_run_request& aRequest, done<run_answer> aDone) override
  {
    mStops.push_back(aRequest);
    mMostInFlight = std::max(mMostInFlight, ++mInFlight);
    const auto answer =
      mAnswer ? mAnswer(aRequest, mStops.size()) : run_request_status::kAccepted;
    mLoop.RunAfter(mLatency, [this, answer, done = std::move(aDone)] {
      --mInFlight;
      done({ answer });
    });
  }

private:
  event_loop& mLoop;
};

placed_run MakeRun(uint32_t aIndex, const std::string& aWorker, bool aIsStopping)
{
  placed_run run;
  run.mWorker = { aWorker, aWorker + ":80" };
  run.mTask = { kJob, 0, 0, aIndex };
  run.mRun = 1;
  run.mCancelRevision = aIsStopping ? kRevision : 0;
  return run;
}

struct guard_fixture
{
  virtual_loop mLoop;
  stop_recorder mWorkers{ mLoop };
  recording_log mLog;
  metrics mMetrics;
  bool mIsConfirmed = false;
  cancellation_guard mGuard{ mLoop,
                             mWorkers,
                             mLog,
                             mMetrics,
                             kLifetime,
                             [this](const std::string&, uint64_t, auto aDone) {
                               mLoop.RunAfter(duration(1),
                                              [this, aDone] { aDone(mIsConfirmed); });
                             } };
};

} // namespace

TEST_CASE("stops after a term are repeated by their answers", "[cancellation-guard]")
{
  struct row
  {
    run_request_status mAnswer;
    size_t mStops; // Of the first worker, which has two runs.
    bool mIsGivenUp;
  };
  const auto each = GENERATE(values<row>({
    { run_request_status::kAccepted, 2, false },
    { run_request_status::kOutdatedRun, 2, false },
    { run_request_status::kWrongInstance, 2, false },
    { run_request_status::kFenced, 1, false },
    { run_request_status::kNoAnswer, 20, true },
    { run_request_status::kNotSent, 20, true },
    { run_request_status::kUnhealthy, 20, true },
  }));
  const std::string answer = ToString(each.mAnswer);
  CAPTURE(answer);
  guard_fixture site;
  site.mWorkers.mAnswer = [&](const stop_run_request& aStop, size_t) {
    return aStop.mWorker.mId == "w1" ? each.mAnswer : run_request_status::kAccepted;
  };
  site.mGuard.Begin(
    { kFence,
      { MakeRun(0, "w1", false), MakeRun(1, "w1", false), MakeRun(2, "w2", false) } });
  site.mLoop.RunFor(duration(300));
  CHECK(site.mWorkers.mStops.empty());
  CHECK_FALSE(site.mGuard.HasUnsettledStops());
  site.mGuard.Observe(kJob, kRevision);
  site.mGuard.Observe(kJob, kRevision);
  CHECK(site.mGuard.HasUnsettledStops());
  site.mLoop.RunFor(kLifetime * 2);
  const auto& stops = site.mWorkers.mStops;
  const auto count = static_cast<size_t>(
    std::count_if(stops.begin(), stops.end(), [](const auto& aStop) {
      return aStop.mWorker.mId == "w1";
    }));
  CHECK(count <= each.mStops);
  CHECK(count >= (each.mIsGivenUp ? each.mStops * 9 / 10 : each.mStops));
  CHECK(stops.size() == count + 1);
  CHECK(std::all_of(stops.begin(), stops.end(), [](const auto& aStop) {
    return aStop.mFence == kFence && aStop.mRun == 1 && aStop.mOnNewConnection;
  }));
  CHECK(
    site.mLog.CountLines("answer=" + (each.mIsGivenUp ? "given_up" : answer) + " ") ==
    (each.mAnswer == run_request_status::kAccepted ? 3 : 2));
  CHECK_FALSE(site.mGuard.HasUnsettledStops());
}

TEST_CASE("what a term has left decides whether its former scheduler stops runs",
          "[cancellation-guard]")
{
  struct row
  {
    const char* mName;
    bool mWasCancelled; // In the term, with a stop that was not accepted.
    bool mIsObserved;
    bool mIsConfirmed; // By the scheduler.
    bool mBeginsTerm;  // This VM schedules again before the stop is due.
    size_t mStops;
  };
  const auto each = GENERATE(values<row>({
    { "no cancellation", false, false, false, false, 0 },
    { "stop without an answer", true, false, false, false, 1 },
    { "cancelled after the term", false, true, false, false, 1 },
    { "both", true, true, false, false, 1 },
    { "the scheduler stops it", false, true, true, false, 0 },
    { "the scheduler repeats the stop", true, false, true, false, 0 },
    { "elected again", true, true, false, true, 0 },
  }));
  CAPTURE(each.mName);
  guard_fixture site;
  site.mIsConfirmed = each.mIsConfirmed;
  site.mGuard.Begin({ kFence, { MakeRun(0, "w1", each.mWasCancelled) } });
  if (each.mIsObserved) {
    site.mGuard.Observe(kJob, kRevision);
  }
  if (each.mBeginsTerm) {
    site.mGuard.End();
  }
  site.mLoop.RunFor(kLifetime * 2);
  CHECK(site.mWorkers.mStops.size() == each.mStops);
}

// Guards against runs that are forgotten with a term that never knew them.
TEST_CASE("a term that has not taken over leaves the runs of the one before it",
          "[cancellation-guard]")
{
  const bool isComplete = GENERATE(false, true);
  guard_fixture site;
  site.mGuard.Begin({ kFence, { MakeRun(0, "w1", false) } });
  site.mGuard.Renew(kFence + 2);
  site.mGuard.Begin({ kFence + 2, {}, isComplete });
  site.mGuard.Observe(kJob, kRevision);
  site.mLoop.RunFor(kLifetime * 2);
  REQUIRE(site.mWorkers.mStops.size() == (isComplete ? 0 : 1));
  CHECK((isComplete || site.mWorkers.mStops.front().mFence == kFence + 2));
}

// Guards against calls under a token that is known to be outdated.
TEST_CASE("stops after a term end soon after a worker has refused its token",
          "[cancellation-guard]")
{
  guard_fixture site;
  site.mWorkers.mAnswer = [](const stop_run_request& aStop, size_t) {
    return aStop.mWorker.mId == "w1" ? run_request_status::kFenced
                                     : run_request_status::kNoAnswer;
  };
  site.mGuard.Begin({ kFence, { MakeRun(0, "w1", false), MakeRun(1, "w2", false) } });
  site.mGuard.Observe(kJob, kRevision);
  site.mLoop.RunFor(duration(3'000));
  const auto stops = site.mWorkers.mStops.size();
  CHECK(stops > 4);
  CHECK_FALSE(site.mGuard.HasUnsettledStops());
  CHECK(site.mLog.CountLines("answer=given_up ") == 1);
  site.mLoop.RunFor(kLifetime);
  CHECK(site.mWorkers.mStops.size() == stops);
}

TEST_CASE("a cancellation of many runs is sent to a bounded number of workers at once",
          "[cancellation-guard]")
{
  constexpr uint32_t kTasks = 2'000;
  constexpr uint32_t kWorkers = 200;
  guard_fixture site;
  term_runs runs{ kFence, {} };
  for (uint32_t index = 0; index < kTasks; ++index) {
    runs.mRuns.push_back(MakeRun(index, "w" + std::to_string(index % kWorkers), false));
  }
  site.mGuard.Begin(runs);
  site.mGuard.Observe(kJob, kRevision);
  site.mLoop.RunFor(kStopDelay + duration(200));
  CHECK(site.mWorkers.mStops.size() == kTasks);
  CHECK(site.mWorkers.mMostInFlight <= 64);
  CHECK_FALSE(site.mGuard.HasUnsettledStops());
}

TEST_CASE("a former scheduler sends no stop if its successor can",
          "[cancellation-guard]")
{
  fake_installation site(3, 4);
  site.mBehaviourByPayload["long"] = { duration(60'000), false, true };
  auto job = fake_installation::MakeJob(kJob, 3);
  job.mSpec.mPayload = "long";
  REQUIRE(site.Submit("vm1", job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(1'500));
  const auto former = site.SchedulerVm();
  site.Node(former).StartDraining();
  site.mLoop.RunFor(duration(GENERATE(0, 20, 1'000)));
  REQUIRE(site.StoreCancellation(GENERATE(0, 1) == 0 ? former : "vm2", kJob) ==
          job_answer::kAccepted);
  site.mLoop.RunFor(duration(3'400));
  CHECK(site.mLog.CountLines("event=run_ended") == 3);
  CHECK(site.mLog.CountLines("run_stop_after_term") == 0);
}
