#include "jobs/JobState.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace anvildoor;

namespace {

accepted_job Job(std::vector<step_spec> aSteps, uint32_t aRepeats = 0)
{
  accepted_job job;
  job.mId = "00000000000000a1";
  job.mQueue = "batch";
  job.mWorkspace = "gyms";
  job.mPool = "pool";
  job.mMaxAttempts = 2;
  job.mSpec.mPayload = "p";
  job.mSpec.mSteps = std::move(aSteps);
  job.mSpec.mRepeats = aRepeats;
  job.mSpec.mFirstDueMs = aRepeats == 0 ? 0 : 10'000;
  job.mSpec.mIntervalMs = 500;
  return job;
}

step_spec Step(uint32_t aCount,
               bool aGang = false,
               std::vector<uint32_t> aDependsOn = {})
{
  step_spec step;
  step.mCount = aCount;
  step.mGang = aGang;
  step.mDependsOn = std::move(aDependsOn);
  return step;
}

task_ref Task(uint32_t aStep, uint32_t aIndex, uint32_t aOccurrence = 0)
{
  return { "00000000000000a1", aOccurrence, aStep, aIndex };
}

/** Places all waiting tasks of a step; the members of a gang share a run number. */
void PlaceAll(job_state& aState, uint32_t aStep)
{
  const auto waiting = aState.WaitingTasks(0, aStep);
  std::vector<uint32_t> runs;
  for (const auto index : waiting) {
    runs.push_back(aState.NextRun(0, aStep, index));
  }
  for (size_t number = 0; number < waiting.size(); ++number) {
    aState.Place(Task(aStep, waiting[number]), runs[number], "w");
  }
}

/** One end of a member of a gang. */
struct member_end
{
  uint32_t mIndex;
  run_end mEnd;
};

/** Keeps the latest ranges of aRuns, as many as given_up_runs does. */
void ForgetOldest(std::set<uint32_t>& aRuns)
{
  size_t ranges = 0;
  for (auto run = aRuns.rbegin(); run != aRuns.rend(); ++run) {
    ranges += aRuns.count(*run + 1) == 0 ? 1 : 0;
    if (ranges > given_up_runs::kMaxRanges) {
      aRuns.erase(aRuns.begin(), std::next(aRuns.find(*run)));
      return;
    }
  }
}

/** Stores and restores the progress, as a new term does. */
job_state TakenOver(const job_state& aState)
{
  job_state read(aState.Job());
  REQUIRE(read.DecodeProgress(aState.EncodeProgress()));
  return read;
}

} // namespace

TEST_CASE("a step waits for all tasks of the steps it depends on", "[jobs]")
{
  job_state state(Job({ Step(2), Step(1, false, { 0 }) }));
  CHECK(state.WaitingTasks(0, 0).size() == 2);
  CHECK(state.WaitingTasks(0, 1).empty());
  PlaceAll(state, 0);
  state.End(Task(0, 0), 1, run_end::kDone, "");
  CHECK(state.WaitingTasks(0, 1).empty());
  state.End(Task(0, 1), 1, run_end::kDone, "");
  CHECK(state.WaitingTasks(0, 1).size() == 1);
  CHECK(state.Outcome() == job_outcome::kOpen);
}

TEST_CASE("the end of a run decides the outcome of a job with one task", "[jobs]")
{
  struct row
  {
    run_end mEnd;
    uint32_t mTimes;
    job_outcome mOutcome;
  };
  const auto [end, times, outcome] =
    GENERATE(row{ run_end::kDone, 1, job_outcome::kDone },
             row{ run_end::kFailed, 1, job_outcome::kOpen },
             row{ run_end::kFailed, 2, job_outcome::kFailed },
             row{ run_end::kStopped, 9, job_outcome::kOpen },
             row{ run_end::kLeaseExpired, 9, job_outcome::kOpen },
             row{ run_end::kLost, 9, job_outcome::kOpen },
             row{ run_end::kNotStarted, 9, job_outcome::kOpen });
  CAPTURE(ToString(end), times);
  job_state state(Job({ Step(1) }));
  for (uint32_t time = 1; time <= times; ++time) {
    REQUIRE(state.WaitingTasks(0, 0).size() == 1);
    PlaceAll(state, 0);
    CHECK(state.Task(Task(0, 0)).mRun == time);
    state.End(Task(0, 0), time, end, "");
  }
  CHECK(state.Outcome() == outcome);
}

TEST_CASE("all members of a gang restart with one run number and checkpoint", "[jobs]")
{
  job_state state(Job({ Step(3, true) }));
  PlaceAll(state, 0);
  CHECK(state.End(Task(0, 1), 1, run_end::kFailed, "c1").mGangBroken);
  CHECK(state.WaitingTasks(0, 0).empty());
  state.End(Task(0, 0), 1, run_end::kGangBroken, "");
  state.End(Task(0, 2), 1, run_end::kGangBroken, "c2");
  REQUIRE(state.WaitingTasks(0, 0).size() == 3);
  PlaceAll(state, 0);
  for (uint32_t index = 0; index < 3; ++index) {
    CHECK(state.Task(Task(0, index)).mRun == 2);
    CHECK(state.Task(Task(0, index)).mCheckpoint == "c2");
  }
  // One member that ends as done completes the whole gang.
  CHECK(state.End(Task(0, 2), 2, run_end::kDone, "").mJobFinished);
  CHECK(state.Outcome() == job_outcome::kDone);
}

// Guards against a task that runs again although one of its runs has ended as done.
TEST_CASE("an end as done counts for any run of its task, other ends for the latest",
          "[jobs]")
{
  struct row
  {
    run_end mEnd;
    uint32_t mRun;
    bool mIsGang;
    bool mCompletesTask;
  };
  const auto [end, run, isGang, completesTask] =
    GENERATE(row{ run_end::kDone, 1, false, true },
             row{ run_end::kDone, 1, true, true },
             row{ run_end::kDone, 3, false, false }, // No such run.
             row{ run_end::kDone, 0, false, false },
             row{ run_end::kFailed, 1, false, false },
             row{ run_end::kStopped, 1, false, false });
  // The first run was given up, whether or not the second is placed already.
  const auto isPlacedAgain = GENERATE(true, false);
  CAPTURE(ToString(end), run, isGang, isPlacedAgain);
  job_state state(Job({ Step(2, isGang) }));
  PlaceAll(state, 0);
  state.End(Task(0, 0), 1, run_end::kLost, "");
  state.End(Task(0, 1), 1, run_end::kLost, "");
  if (isPlacedAgain) {
    PlaceAll(state, 0);
  }
  const auto effect = state.End(Task(0, 0), run, end, "");
  CHECK_FALSE(effect.mIsLatestRun);
  CHECK(effect.mTaskDone == completesTask);
  CHECK(effect.mJobFinished == (completesTask && isGang));
  CHECK(state.Task(Task(0, 0)).mDone == completesTask);
  CHECK(state.Task(Task(0, 1)).mDone == (completesTask && isGang));
  // The newer runs may exist until their own ends.
  CHECK(state.PlacedTasks().size() == (isPlacedAgain ? 2 : 0));
  CHECK(state.WaitingTasks(0, 0).size() ==
        (isPlacedAgain || (completesTask && isGang) ? 0 : (completesTask ? 1 : 2)));
  // The same end has no effect if it is listed again.
  CHECK(state.End(Task(0, 0), run, end, "") == end_effect());
}

TEST_CASE("the outcome of a job is final", "[jobs]")
{
  job_state done(Job({ Step(1) }));
  PlaceAll(done, 0);
  done.End(Task(0, 0), 1, run_end::kDone, "");
  CHECK_FALSE(done.Cancel());
  job_state cancelled(Job({ Step(1) }));
  PlaceAll(cancelled, 0);
  CHECK(cancelled.Cancel());
  CHECK(cancelled.WaitingTasks(0, 0).empty());
  cancelled.End(Task(0, 0), 1, run_end::kDone, "");
  CHECK(cancelled.Outcome() == job_outcome::kCancelled);
}

TEST_CASE("each occurrence has its own tasks and due time", "[jobs]")
{
  job_state state(Job({ Step(1) }, 3));
  CHECK(state.OccurrenceCount() == 3);
  CHECK(state.DueMs(2) == 11'000);
  state.Place(Task(0, 0, 1), 1, "w");
  state.End(Task(0, 0, 1), 1, run_end::kDone, "");
  CHECK(state.WaitingTasks(0, 0).size() == 1);
  CHECK(state.WaitingTasks(1, 0).empty());
  CHECK(state.Outcome() == job_outcome::kOpen);
}

TEST_CASE("stored jobs and progress round-trip at every stage", "[jobs]")
{
  const auto stage = GENERATE(0, 1, 2, 3, 4, 5);
  const auto job = Job({ Step(3), Step(2, true, { 0 }) });
  job_state state(job);
  if (stage >= 1) {
    PlaceAll(state, 0);
  }
  if (stage >= 2) {
    state.End(Task(0, 0), 1, run_end::kDone, "");
    state.End(Task(0, 1), 1, run_end::kFailed, "c7");
  }
  if (stage >= 3) {
    PlaceAll(state, 0);
    state.End(Task(0, 1), 2, run_end::kDone, "");
    state.End(Task(0, 2), 1, run_end::kDone, "");
  }
  if (stage >= 4) {
    PlaceAll(state, 1);
  }
  if (stage >= 5) {
    state.Cancel();
  }
  const auto decoded = DecodeJob(job.mId, EncodeJob(job));
  REQUIRE(decoded);
  CHECK(*decoded == job);
  job_state read(*decoded);
  REQUIRE(read.DecodeProgress(state.EncodeProgress()));
  CHECK(read.Outcome() == state.Outcome());
  CHECK(read.HasStarted() == state.HasStarted());
  CHECK(read.PlacedTasks() == state.PlacedTasks());
  if (state.Outcome() == job_outcome::kOpen) {
    for (uint32_t step = 0; step < 2; ++step) {
      CHECK(read.WaitingTasks(0, step) == state.WaitingTasks(0, step));
      for (uint32_t index = 0; index < job.mSpec.mSteps[step].mCount; ++index) {
        auto expected = state.Task(Task(step, index));
        expected.mCheckpoint = expected.mDone ? "" : expected.mCheckpoint;
        CHECK(read.Task(Task(step, index)) == expected);
      }
    }
  }
}

TEST_CASE("malformed progress records are rejected", "[jobs]")
{
  const auto* text = GENERATE("",
                              "[]",
                              "{}",
                              "{\"outcome\":7}",
                              "{\"outcome\":\"odd\"}",
                              "{\"outcome\":\"open\"}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[[0,9,0,1,-1,0,0]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[],\"former_places\":[[\"w\",\"a\"]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[[0,0,0,1,5,0,0]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[],\"counted_runs\":[[0,9,1]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[],\"counted_runs\":[[0,0]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[],\"given_up_runs\":[[0,0]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[],\"given_up_runs\":[[0,9,0,1,1]]}",
                              "{\"outcome\":\"open\",\"begun\":true,\"workers\":[],"
                              "\"tasks\":[[0,0,0,1,-1,0,0]],"
                              "\"given_up_runs\":[[0,0,0,1]]}");
  job_state state(Job({ Step(1) }));
  CHECK_FALSE(state.DecodeProgress(text));
}

TEST_CASE("invalid job specs are rejected", "[jobs]")
{
  auto job = Job({ Step(1), Step(1) });
  REQUIRE(CheckJob(job.mSpec));
  SECTION("no steps")
  {
    job.mSpec.mSteps.clear();
  }
  SECTION("no tasks")
  {
    job.mSpec.mSteps[1].mCount = 0;
  }
  SECTION("too many tasks")
  {
    job.mSpec.mSteps[1].mCount = 1'000'000;
  }
  SECTION("depends on itself")
  {
    job.mSpec.mSteps[1].mDependsOn = { 1 };
  }
  SECTION("depends on a later step")
  {
    job.mSpec.mSteps[0].mDependsOn = { 1 };
  }
  SECTION("negative size")
  {
    job.mSpec.mSteps[0].mPerTask.mCpuMillis = -1;
  }
  SECTION("excessive size")
  {
    job.mSpec.mSteps[0].mPerTask.mMemoryMb = 1'000'000'000'000;
  }
  SECTION("payload too large")
  {
    job.mSpec.mPayload = std::string(4'001, 'x');
  }
  SECTION("too many occurrences")
  {
    job.mSpec.mRepeats = 1'000'000;
  }
  SECTION("a due time that would overflow")
  {
    job.mSpec.mIntervalMs = 1'000'000'000'000'000;
  }
  SECTION("a gang whose record would be too large")
  {
    job.mSpec.mSteps[1].mGang = true;
    job.mSpec.mSteps[1].mCount = 2'049;
  }
  SECTION("more long-running tasks than can be kept")
  {
    job.mSpec.mSteps[0].mLongRunning = true;
    job.mSpec.mSteps[0].mCount = 1'024;
    job.mSpec.mRepeats = 3;
  }
  SECTION("a label of excessive length")
  {
    job.mSpec.mSteps[0].mRequiredLabel = std::string(257, 'x');
  }
  SECTION("an excessive list of dependencies")
  {
    job.mSpec.mSteps[1].mDependsOn = std::vector<uint32_t>(65, 0);
  }
  CHECK_FALSE(CheckJob(job.mSpec));
}

TEST_CASE("a long-running task restarts after any end", "[jobs]")
{
  const auto end = GENERATE(run_end::kDone, run_end::kFailed, run_end::kLeaseExpired);
  auto step = Step(1);
  step.mLongRunning = true;
  job_state state(Job({ step }));
  for (uint32_t run = 1; run <= 5; ++run) {
    PlaceAll(state, 0);
    state.End(Task(0, 0), run, end, "");
    CHECK(state.WaitingTasks(0, 0).size() == 1);
  }
  CHECK(state.Outcome() == job_outcome::kOpen);
}

TEST_CASE("former places are stored until they are forgotten", "[jobs]")
{
  const auto isCancelled = GENERATE(false, true);
  const auto hasTasks = GENERATE(true, false);
  CAPTURE(isCancelled, hasTasks);
  const auto job = Job({ Step(2) });
  job_state state(job);
  PlaceAll(state, 0);
  state.AddFormerPlace({ "w", "a:1", 100 });
  state.AddFormerPlace({ "v", "b:1", 200 });
  state.AddFormerPlace({ "w", "a:2", 300 });
  state.End(Task(0, 0), 1, run_end::kLost, "");
  state.End(Task(0, 1), 1, run_end::kLost, "");
  if (isCancelled) {
    state.Cancel();
    if (!hasTasks) {
      state.DropTasks();
    }
  }
  using places = std::vector<former_place>;
  const places expected{ { "v", "b:1", 200 }, { "w", "a:2", 300 } };
  CHECK(state.FormerPlaces() == expected);
  job_state read(job);
  std::map<std::string, std::string> addresses;
  REQUIRE(read.DecodeProgress(state.EncodeProgress(), &addresses));
  CHECK(read.FormerPlaces() == expected);
  CHECK(addresses.empty());
  CHECK(read.PlacedTasks().empty());
  CHECK(read.WaitingTasks(0, 0).size() == (isCancelled ? 0 : 2));
  read.ForgetFormerPlaces(200);
  CHECK(read.FormerPlaces() == expected);
  read.ForgetFormerPlaces(201);
  CHECK(read.FormerPlaces() == places{ expected.back() });
  read.ForgetFormerPlaces(301);
  CHECK(read.FormerPlaces().empty());
  // Without any, the record is as earlier versions wrote it.
  CHECK(read.EncodeProgress().find("former_places") == std::string::npos);
  job_state fromEarlier(job);
  REQUIRE(fromEarlier.DecodeProgress(read.EncodeProgress()));
  CHECK(fromEarlier.FormerPlaces().empty());
}

TEST_CASE("a job keeps the latest of too many former places", "[jobs]")
{
  constexpr size_t kMost = job_state::kMaxFormerPlaces;
  job_state state(Job({ Step(1) }));
  for (size_t number = 0; number < kMost + 10; ++number) {
    state.AddFormerPlace({ "w" + std::to_string(number), "a", 1 });
  }
  REQUIRE(state.FormerPlaces().size() == kMost);
  CHECK(state.FormerPlaces().front().mWorker == "w10");
}

TEST_CASE("a gang's run counts once however many of its members end failed", "[jobs]")
{
  struct row
  {
    const char* mName;
    std::vector<member_end> mEnds;
    uint32_t mCounted;
  };
  constexpr auto kFailed = run_end::kFailed;
  const auto each = GENERATE(values<row>({
    { "one", { { 1, kFailed } }, 1 },
    { "two", { { 0, kFailed }, { 1, kFailed } }, 1 },
    { "all", { { 0, kFailed }, { 1, kFailed }, { 2, kFailed } }, 1 },
    { "the last first", { { 2, kFailed }, { 1, kFailed }, { 0, kFailed } }, 1 },
    { "listed again", { { 1, kFailed }, { 1, kFailed }, { 1, kFailed } }, 1 },
    { "both listed again", { { 2, kFailed }, { 0, kFailed }, { 2, kFailed } }, 1 },
    { "after lost", { { 0, run_end::kLost }, { 1, kFailed }, { 2, kFailed } }, 1 },
    { "after stopped",
      { { 1, run_end::kStopped }, { 0, kFailed }, { 2, kFailed } },
      1 },
    { "around broken",
      { { 0, kFailed }, { 1, run_end::kGangBroken }, { 2, kFailed } },
      1 },
    { "after lapsed", { { 2, run_end::kLeaseExpired }, { 1, kFailed } }, 1 },
    { "none", { { 0, run_end::kLost }, { 1, run_end::kGangBroken } }, 0 },
  }));
  // Before which end a new term reads the record; 9: none does.
  const auto takeover = GENERATE(0U, 1U, 2U, 9U);
  CAPTURE(each.mName, takeover);
  job_state state(Job({ Step(3, true) }));
  for (uint32_t run = 1; run <= 2; ++run) {
    const bool isLast = run * each.mCounted == 2;
    REQUIRE(state.WaitingTasks(0, 0).size() == 3);
    PlaceAll(state, 0);
    size_t finished = 0;
    for (uint32_t number = 0; number < each.mEnds.size(); ++number) {
      state = number == takeover ? TakenOver(state) : state;
      const auto& end = each.mEnds[number];
      const auto effect = state.End(Task(0, end.mIndex), run, end.mEnd, "");
      finished += effect.mJobFinished ? 1 : 0;
    }
    CHECK(finished == (isLast ? 1 : 0));
    CHECK(state.Outcome() == (isLast ? job_outcome::kFailed : job_outcome::kOpen));
    if (!isLast) {
      CHECK(state.Task(Task(0, 0)).mFailedRuns == run * each.mCounted);
      for (uint32_t index = 0; index < 3; ++index) {
        state.End(Task(0, index), run, run_end::kGangBroken, "");
      }
    }
  }
}

// Guards against starts beyond max_attempts after ends that come late.
TEST_CASE("an end as failed of a run that was given up counts once", "[jobs]")
{
  struct row
  {
    run_end mGivenUpAs; // Each of the first two runs.
    std::vector<uint32_t> mLateRuns;
    uint32_t mCounted;
  };
  using runs = std::vector<uint32_t>;
  const auto each = GENERATE(values<row>({
    { run_end::kLeaseExpired, runs{ 1 }, 1 },
    { run_end::kLost, runs{ 2 }, 1 },
    { run_end::kNotStarted, runs{ 1, 1 }, 1 },
    { run_end::kLeaseExpired, runs{ 2, 1, 2, 1 }, 2 },
    { run_end::kLost, runs{ 1, 2 }, 2 },
    // Workers have told the ends of these; a run has no second one.
    { run_end::kStopped, runs{ 1, 2 }, 0 },
    { run_end::kGangBroken, runs{ 2 }, 0 },
    { run_end::kGangIncomplete, runs{ 1 }, 0 },
    { run_end::kLost, runs{ 0, 4, 9 }, 0 }, // No such runs.
  }));
  const auto isGang = GENERATE(false, true);
  const auto isPlacedAgain = GENERATE(false, true);
  const auto isTakenOver = GENERATE(false, true);
  CAPTURE(ToString(each.mGivenUpAs), each.mLateRuns, isGang, isPlacedAgain);
  auto job = Job({ Step(2, isGang) });
  job.mMaxAttempts = 3;
  job_state state(job);
  for (uint32_t run = 1; run <= 2; ++run) {
    PlaceAll(state, 0);
    for (uint32_t index = 0; index < 2; ++index) {
      state.End(Task(0, index), run, each.mGivenUpAs, "");
    }
  }
  if (isPlacedAgain) {
    PlaceAll(state, 0);
  }
  for (const auto run : each.mLateRuns) {
    // Of a gang, each member tells of the same run.
    for (uint32_t index = 0; index < (isGang ? 2U : 1U); ++index) {
      state = isTakenOver ? TakenOver(state) : state;
      CHECK_FALSE(state.End(Task(0, index), run, run_end::kFailed, "").mGangBroken);
    }
  }
  CHECK(state.CountedFailedRuns(Task(0, 0)) == each.mCounted);
  CHECK(state.Outcome() == job_outcome::kOpen);
  CHECK(state.PlacedTasks().size() == (isPlacedAgain ? 2 : 0));
  // The attempts that are left end the job, as if the late ends had come in time.
  for (auto counted = each.mCounted; counted < job.mMaxAttempts; ++counted) {
    CHECK(state.Outcome() == job_outcome::kOpen);
    PlaceAll(state, 0);
    const auto run = state.Task(Task(0, 0)).mRun;
    for (uint32_t index = 0; index < 2; ++index) {
      state.End(Task(0, index), run, run_end::kFailed, "");
    }
  }
  CHECK(state.Outcome() == job_outcome::kFailed);
}

TEST_CASE("a late end as failed may be the last attempt of a job", "[jobs]")
{
  job_state state(Job({ Step(1) }));
  PlaceAll(state, 0);
  state.End(Task(0, 0), 1, run_end::kLeaseExpired, "");
  PlaceAll(state, 0);
  state.End(Task(0, 0), 2, run_end::kFailed, "");
  PlaceAll(state, 0);
  const auto effect = state.End(Task(0, 0), 1, run_end::kFailed, "");
  CHECK(effect.mJobFinished);
  CHECK(effect.mIsCounted);
  CHECK_FALSE(effect.mIsLatestRun);
  CHECK(state.Outcome() == job_outcome::kFailed);
  // The third run may exist until its own end.
  CHECK(state.PlacedTasks().size() == 1);
}

TEST_CASE("a record tells of runs that were given up while they may count", "[jobs]")
{
  const auto recordOf = [](const job_state& aState) {
    return nlohmann::json::parse(aState.EncodeProgress());
  };
  const auto job = Job({ Step(2) });
  job_state state(job);
  PlaceAll(state, 0);
  CHECK_FALSE(recordOf(state).contains("given_up_runs"));
  for (uint32_t run = 1; run <= 30; ++run) {
    state.End(Task(0, 1), run, run_end::kLost, "");
    PlaceAll(state, 0);
  }
  CHECK(recordOf(state)["given_up_runs"].dump() == "[[0,0,1,1,30]]");
  state.End(Task(0, 1), 7, run_end::kFailed, "");
  CHECK(recordOf(state)["given_up_runs"].dump() == "[[0,0,1,1,6,8,30]]");
  // Earlier versions store no such key; of their runs, late ends count nothing.
  auto text = recordOf(state);
  text.erase("given_up_runs");
  job_state fromEarlier(job);
  REQUIRE(fromEarlier.DecodeProgress(text.dump()));
  CHECK(fromEarlier.End(Task(0, 1), 8, run_end::kFailed, "") == end_effect());
  auto cancelled = state;
  cancelled.Cancel();
  CHECK_FALSE(recordOf(cancelled).contains("given_up_runs"));
  state.End(Task(0, 1), 9, run_end::kDone, "");
  CHECK_FALSE(recordOf(state).contains("given_up_runs"));
}

TEST_CASE("the latest ranges of given-up runs are kept", "[jobs]")
{
  struct row
  {
    std::vector<uint32_t> mAdded;
    std::vector<uint32_t> mRemoved;
    std::vector<given_up_runs::run_range> mRanges;
  };
  using list = std::vector<uint32_t>;
  using ranges = std::vector<given_up_runs::run_range>;
  const auto each = GENERATE(values<row>({
    { list{}, list{ 1 }, ranges{} },
    { list{ 1, 2, 2, 3, 5 }, list{}, ranges{ { 1, 3 }, { 5, 5 } } },
    { list{ 4, 3 }, list{}, ranges{ { 4, 4 } } },
    { list{ 1, 2, 3 }, list{ 1, 1 }, ranges{ { 2, 3 } } },
    { list{ 1, 2, 3 }, list{ 3, 2, 1 }, ranges{} },
    { list{ 1, 3, 5, 7, 9 }, list{}, ranges{ { 3, 3 }, { 5, 5 }, { 7, 7 }, { 9, 9 } } },
    { list{ 1, 2, 3, 5, 7, 9 },
      list{ 2 },
      ranges{ { 3, 3 }, { 5, 5 }, { 7, 7 }, { 9, 9 } } },
    { list{ 4'294'967'295U, 0 }, list{}, ranges{ { 4'294'967'295U, 4'294'967'295U } } },
  }));
  given_up_runs runs;
  for (const auto run : each.mAdded) {
    runs.Add(run);
  }
  for (const auto run : each.mRemoved) {
    runs.Remove(run);
  }
  CHECK(runs.Ranges() == each.mRanges);
}

TEST_CASE("the failed runs of gangs count apart by step and occurrence", "[jobs]")
{
  const auto isTakenOver = GENERATE(false, true);
  CAPTURE(isTakenOver);
  job_state state(Job({ Step(2, true), Step(3, true), Step(2) }, 2));
  for (uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
    for (uint32_t step = 0; step < 3; ++step) {
      for (const auto index : state.WaitingTasks(occurrence, step)) {
        state.Place(Task(step, index, occurrence), 1, "w");
      }
    }
  }
  for (uint32_t index = 0; index < 2; ++index) {
    for (const auto& [step, occurrence] : { std::pair(0U, 0U),
                                            std::pair(1U, 0U),
                                            std::pair(1U, 1U),
                                            std::pair(2U, 0U) }) {
      state.End(Task(step, index, occurrence), 1, run_end::kFailed, "");
      state = isTakenOver ? TakenOver(state) : state;
    }
  }
  CHECK(state.Outcome() == job_outcome::kOpen);
  CHECK(state.Task(Task(0, 0, 0)).mFailedRuns == 1);
  CHECK(state.Task(Task(1, 0, 0)).mFailedRuns == 1);
  CHECK(state.Task(Task(0, 0, 1)).mFailedRuns == 0);
  CHECK(state.Task(Task(1, 0, 1)).mFailedRuns == 1);
  // Each task of a step that is no gang counts for itself.
  CHECK(state.Task(Task(2, 0, 0)).mFailedRuns == 1);
  CHECK(state.Task(Task(2, 1, 0)).mFailedRuns == 1);
  CHECK(state.Task(Task(2, 0, 1)).mFailedRuns == 0);
}

TEST_CASE("a gang's failed runs equal its runs with a failed member in any history",
          "[jobs]")
{
  const auto seed = GENERATE(range(1U, 201U));
  CAPTURE(seed);
  std::mt19937 random(seed);
  const auto draw = [&random](uint32_t aBelow) {
    return std::uniform_int_distribution<uint32_t>(0, aBelow - 1)(random);
  };
  const uint32_t members = 1 + draw(5);
  auto job = Job({ Step(1), Step(members, true) });
  job.mMaxAttempts = 1 + draw(4);
  job_state state(job);
  static constexpr run_end kEnds[] = { run_end::kFailed,     run_end::kFailed,
                                       run_end::kGangBroken, run_end::kStopped,
                                       run_end::kLost,       run_end::kFailed,
                                       run_end::kNotStarted };
  uint32_t failedRuns = 0;
  std::set<uint32_t> givenUp;
  for (uint32_t run = 1; run <= 20 && failedRuns < job.mMaxAttempts; ++run) {
    REQUIRE(state.WaitingTasks(0, 1).size() == members);
    PlaceAll(state, 1);
    bool isCounted = false;
    std::vector<bool> hasEnded(members);
    // Ends of this run and of former ones, each perhaps repeated, in any order.
    while (!state.PlacedTasks().empty()) {
      const auto index = draw(members);
      const auto end = kEnds[draw(std::size(kEnds))];
      const auto ofRun = draw(4) == 0 ? 1 + draw(run) : run;
      const bool isFirstEnd = ofRun == run && !hasEnded[index];
      const bool countsNow = isFirstEnd && end == run_end::kFailed && !isCounted;
      const bool countsLate = end == run_end::kFailed && givenUp.count(ofRun) != 0;
      const bool counts = countsNow || countsLate;
      hasEnded[index] = hasEnded[index] || ofRun == run;
      isCounted = isCounted || (counts && ofRun == run);
      failedRuns += counts ? 1 : 0;
      if (counts) {
        givenUp.erase(ofRun);
      }
      if (isFirstEnd && !isCounted &&
          (end == run_end::kLost || end == run_end::kNotStarted)) {
        givenUp.insert(run);
      }
      ForgetOldest(givenUp);
      const auto effect = state.End(Task(1, index), ofRun, end, "");
      CHECK(effect.mJobFinished == (counts && failedRuns == job.mMaxAttempts));
      CHECK(effect.mIsCounted == counts);
      const bool isFailed = failedRuns >= job.mMaxAttempts;
      REQUIRE(state.Outcome() ==
              (isFailed ? job_outcome::kFailed : job_outcome::kOpen));
      // The record of a job that ended keeps only what is placed.
      if (!isFailed && draw(3) == 0) {
        state = TakenOver(state);
      }
      if (!isFailed) {
        REQUIRE(state.Task(Task(1, 0)).mFailedRuns == failedRuns);
      }
    }
  }
  CHECK(state.WaitingTasks(0, 1).empty() == (failedRuns >= job.mMaxAttempts));
}

TEST_CASE("a record tells of a gang's counted run only while another end may come",
          "[jobs]")
{
  const auto hasKey = [](const job_state& aState) {
    return nlohmann::json::parse(aState.EncodeProgress()).contains("counted_runs");
  };
  const auto job = Job({ Step(2, true), Step(2) });
  job_state state(job);
  PlaceAll(state, 0);
  PlaceAll(state, 1);
  state.End(Task(1, 0), 1, run_end::kFailed, "");
  CHECK_FALSE(hasKey(state));
  state.End(Task(0, 1), 1, run_end::kFailed, "");
  CHECK(hasKey(state));
  auto text = nlohmann::json::parse(state.EncodeProgress());
  // Earlier versions take the rows for the whole; theirs have no such key.
  for (const auto& row : text["tasks"]) {
    CHECK(row.size() == 7);
  }
  text.erase("counted_runs");
  job_state fromEarlier(job);
  REQUIRE(fromEarlier.DecodeProgress(text.dump()));
  CHECK(fromEarlier.Task(Task(0, 0)).mFailedRuns == 1);
  fromEarlier.End(Task(0, 0), 1, run_end::kFailed, "");
  CHECK(fromEarlier.Outcome() == job_outcome::kFailed);
  auto cancelled = state;
  cancelled.Cancel();
  CHECK_FALSE(hasKey(cancelled));
  state.End(Task(0, 0), 1, run_end::kFailed, "");
  CHECK_FALSE(hasKey(state));
  PlaceAll(state, 0);
  CHECK_FALSE(hasKey(state));
}
