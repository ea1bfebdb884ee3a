#include "jobs/JobState.h"

#include <catch2/catch.hpp>
#include <malloc.h>
#include <memory>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";

accepted_job Job(const std::vector<uint32_t>& aTasksPerStep, uint32_t aRepeats = 0)
{
  accepted_job job;
  job.mId = kJob;
  job.mMaxAttempts = 2;
  job.mSpec.mRepeats = aRepeats;
  job.mSpec.mFirstDueMs = aRepeats == 0 ? 0 : 10'000;
  job.mSpec.mIntervalMs = 500;
  for (const auto count : aTasksPerStep) {
    step_spec step;
    step.mCount = count;
    job.mSpec.mSteps.push_back(step);
  }
  return job;
}

size_t HeapBytes()
{
  const auto heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

} // namespace

// Guards against jobs that are accepted and then exhaust each scheduler's memory.
TEST_CASE("a job takes memory for its open tasks only", "[jobs]")
{
  struct row
  {
    std::vector<uint32_t> mTasksPerStep;
    uint32_t mRepeats;
    uint32_t mOccurrencesPlayed;
  };
  const auto [tasksPerStep, repeats, played] =
    GENERATE(row{ { 72 }, 8'760, 0 },
             row{ { 72 }, 8'760, 8'759 },
             row{ { 72, 1, 72 }, 10'000, 500 },
             row{ { 10'000, 10'000, 10'000, 10'000, 10'000, 10'000 }, 0, 0 });
  CAPTURE(tasksPerStep.size(), repeats, played);
  // A node's share for control is 64 MB; a thousand such jobs must fit.
  constexpr size_t kMaxBytes = 64'000;
  const auto job = Job(tasksPerStep, repeats);
  const auto before = HeapBytes();
  job_state state(job);
  for (uint32_t occurrence = 0; occurrence < played; ++occurrence) {
    for (uint32_t step = 0; step < tasksPerStep.size(); ++step) {
      for (const auto index : state.WaitingTasks(occurrence, step)) {
        const task_ref task{ kJob, occurrence, step, index };
        state.Place(task, 1, "i-00000000");
        state.End(task, 1, run_end::kDone, "");
      }
    }
  }
  CHECK(state.FirstUnfinishedOccurrence() == played);
  CHECK(HeapBytes() - before < kMaxBytes);
  CHECK(state.EncodeProgress().size() < kMaxBytes);
}

TEST_CASE("progress of long jobs round-trips and earlier records are read", "[jobs]")
{
  const auto repeats = GENERATE(2U, 400U);
  const auto job = Job({ 3, 2 }, repeats); // Stored by task, and in ranges.
  job_state state(job);
  const auto end = [&](uint32_t aOccurrence, uint32_t aStep, uint32_t aIndex) {
    const task_ref task{ kJob, aOccurrence, aStep, aIndex };
    state.Place(task, 1, "w1");
    state.End(task, 1, run_end::kDone, "");
  };
  for (const auto occurrence : { 0U, repeats - 1 }) {
    for (const auto& [step, index] :
         { std::pair(0, 0), std::pair(0, 2), std::pair(1, 1), std::pair(1, 0) }) {
      end(occurrence, static_cast<uint32_t>(step), static_cast<uint32_t>(index));
    }
  }
  end(0, 0, 1);
  state.Place({ kJob, 1, 0, 1 }, 4, "w2");
  REQUIRE(state.FirstUnfinishedOccurrence() == 1);
  job_state read(job);
  REQUIRE(read.DecodeProgress(state.EncodeProgress()));
  CHECK(read.FirstUnfinishedOccurrence() == 1);
  CHECK(read.OpenTaskCount() == state.OpenTaskCount());
  CHECK(read.PlacedTasks() == state.PlacedTasks());
  for (uint32_t occurrence = 0; occurrence < repeats; ++occurrence) {
    for (uint32_t step = 0; step < 2; ++step) {
      CHECK(read.WaitingTasks(occurrence, step) ==
            state.WaitingTasks(occurrence, step));
      CHECK(read.IsDone(occurrence, step) == state.IsDone(occurrence, step));
    }
  }
  CHECK(read.EncodeProgress() == state.EncodeProgress());
  // An earlier version stored the run of each done task.
  job_state old(Job({ 2 }));
  REQUIRE(old.DecodeProgress(R"({"outcome":"open","begun":true,"workers":["w"],)"
                             R"("tasks":[[0,0,0,3,-1,1,1],[0,0,1,2,0,0,0,"c"]]})"));
  CHECK(old.Task({ kJob, 0, 0, 0 }).mDone);
  CHECK(old.Task({ kJob, 0, 0, 1 }) == task_progress{ 2, "w", false, 0, "c" });
}

// Guards against a record that outgrows the store's limit, so that nothing is stored.
TEST_CASE("the record of a job stays small however many tasks it has", "[jobs]")
{
  struct row
  {
    std::vector<uint32_t> mTasksPerStep;
    uint32_t mRepeats;
    run_end mEnd; // Of every other run; the others end as done.
  };
  const auto [tasksPerStep, repeats, end] =
    GENERATE(row{ { 10'000, 10'000, 10'000 }, 0, run_end::kDone },
             row{ { 10'000, 10'000, 10'000 }, 0, run_end::kStopped },
             row{ { 10'000, 10'000, 10'000 }, 0, run_end::kLost },
             row{ { 72 }, 1'000, run_end::kDone },
             row{ { 72 }, 1'000, run_end::kStopped },
             row{ { 72 }, 1'000, run_end::kLost });
  CAPTURE(tasksPerStep.size(), repeats, ToString(end));
  // Half of the platform's limit, as names of workers may be longer than here.
  constexpr size_t kMaxRecordBytes = 524'288;
  job_state state(Job(tasksPerStep, repeats));
  size_t largestRecord = 0;
  size_t mostOpen = 0;
  uint32_t placed = 0;
  // Everything is placed that may be, and half of it ends; the rest stays.
  for (int round = 0; round < 60 && state.Outcome() == job_outcome::kOpen; ++round) {
    for (uint32_t occurrence = 0; occurrence < state.OccurrenceCount(); ++occurrence) {
      for (uint32_t step = 0; step < tasksPerStep.size(); ++step) {
        for (const auto index : state.WaitingTasks(occurrence, step)) {
          const task_ref task{ kJob, occurrence, step, index };
          const auto run = state.NextRun(occurrence, step, index);
          if (run == 1 && !state.HasRoomFor(1)) {
            continue;
          }
          state.Place(task, run, "worker-" + std::to_string(++placed % 2'900));
          state.SaveCheckpoint(
            task, run, std::string(job_state::kMaxCheckpointBytes, 'c'));
        }
      }
    }
    mostOpen = std::max(mostOpen, state.OpenTaskCount());
    largestRecord = std::max(largestRecord, state.EncodeProgress().size());
    bool isFirst = false;
    for (const auto& task : state.PlacedTasks()) {
      isFirst = !isFirst;
      const auto run = state.Task(task).mRun;
      state.End(task, run, isFirst ? run_end::kDone : end, "");
    }
    largestRecord = std::max(largestRecord, state.EncodeProgress().size());
  }
  CHECK(mostOpen <= job_state::kMaxOpenTasks);
  CHECK(largestRecord < kMaxRecordBytes);
}

// Guards against a record that outgrows the store's limit by runs that are counted.
TEST_CASE("the record of a job stays small with all of its gangs counted", "[jobs]")
{
  auto job = Job({ 2 }, job_state::kMaxOpenTasks / 2);
  job.mSpec.mSteps.front().mGang = true;
  job_state state(job);
  for (uint32_t occurrence = 0; occurrence < state.OccurrenceCount(); ++occurrence) {
    for (const auto index : state.WaitingTasks(occurrence, 0)) {
      const task_ref task{ kJob, occurrence, 0, index };
      state.Place(task, 1'000'000, "worker-" + std::to_string(occurrence + index));
      state.SaveCheckpoint(
        task, 1'000'000, std::string(job_state::kMaxCheckpointBytes, 'c'));
    }
  }
  REQUIRE(state.OpenTaskCount() == job_state::kMaxOpenTasks);
  const auto before = state.EncodeProgress().size();
  for (uint32_t occurrence = 0; occurrence < state.OccurrenceCount(); ++occurrence) {
    state.End({ kJob, occurrence, 0, 0 }, 1'000'000, run_end::kFailed, "");
  }
  const auto record = state.EncodeProgress();
  CHECK(record.find("[1023,0,1000000]") != std::string::npos);
  CHECK(record.size() < 524'288); // Half of the platform's limit, as above.
  CHECK(record.size() < before + size_t{ 24 } * state.OccurrenceCount());
}

TEST_CASE("tasks are offered while their job has room for more open ones", "[jobs]")
{
  job_state state(Job({ 10'000, 5 }));
  // However many tasks a step has, those of another one are offered, too.
  CHECK(state.WaitingTasks(0, 0).size() == job_state::kMaxOfferedTasks);
  CHECK(state.WaitingTasks(0, 1).size() == 5);
  for (int round = 0; round < 3; ++round) {
    for (const auto index : state.WaitingTasks(0, 0)) {
      state.Place({ kJob, 0, 0, index }, 1, "w");
    }
  }
  CHECK(state.OpenTaskCount() == job_state::kMaxOpenTasks);
  CHECK(state.WaitingTasks(0, 0).empty());
  CHECK(state.WaitingTasks(0, 1).empty());
  // A task that must run again needs no more room; one that is done makes room.
  state.End({ kJob, 0, 0, 7 }, 1, run_end::kStopped, "");
  CHECK(state.WaitingTasks(0, 0) == std::vector<uint32_t>{ 7 });
  state.End({ kJob, 0, 0, 9 }, 1, run_end::kDone, "");
  CHECK(state.WaitingTasks(0, 0).size() == 2);
  CHECK(state.WaitingTasks(0, 1).size() == 1);
}

TEST_CASE("a gang is offered whole or not at all", "[jobs]")
{
  auto job = Job({ 2'000, 64 });
  job.mSpec.mSteps[1].mGang = true;
  job_state state(job);
  CHECK(state.WaitingTasks(0, 1).size() == 64);
  for (int round = 0; round < 2; ++round) {
    for (const auto index : state.WaitingTasks(0, 0)) {
      state.Place({ kJob, 0, 0, index }, 1, "w");
    }
  }
  REQUIRE(state.OpenTaskCount() == 2'000);
  CHECK(state.WaitingTasks(0, 1).empty()); // No room for all of its members.
  for (uint32_t index = 0; index < 16; ++index) {
    state.End({ kJob, 0, 0, index }, 1, run_end::kDone, "");
  }
  CHECK(state.WaitingTasks(0, 1).size() == 64);
}

TEST_CASE("the memory of jobs and of their open tasks is not underestimated", "[jobs]")
{
  struct row
  {
    size_t mPayloadBytes;
    size_t mSteps;
    size_t mNameBytes;
    uint32_t mRepeats;
    uint32_t mOpenTasks;
    size_t mFormerPlaces;
    uint32_t mGivenUpRuns; // Of each open task, none adjacent to another.
  };
  const auto [payloadBytes,
              steps,
              nameBytes,
              repeats,
              openTasks,
              formerPlaces,
              givenUpRuns] =
    GENERATE(row{ 0, 1, 0, 0, 0, 0, 0 },
             row{ 4'000, 1, 0, 0, 0, 0, 0 },
             row{ 100, 64, 256, 0, 0, 0, 0 },
             row{ 100, 2, 20, 10'000, 0, 0, 0 },
             row{ 100, 1, 0, 0, 1'000, 0, 0 },
             row{ 100, 1, 0, 0, 1'000, 0, 20 },
             row{ 0, 1, 0, 0, 0, job_state::kMaxFormerPlaces, 0 });
  CAPTURE(payloadBytes, steps, repeats, openTasks, formerPlaces, givenUpRuns);
  accepted_job job = Job(std::vector<uint32_t>(steps, 1'000), repeats);
  job.mQueue = std::string(30, 'q');
  job.mWorkspace = std::string(30, 'w');
  job.mPool = std::string(30, 'p');
  job.mSpec.mPayload = std::string(payloadBytes, 'x');
  for (auto& step : job.mSpec.mSteps) {
    step.mRequiredLabel = std::string(nameBytes, 'l');
    step.mDataRack = std::string(nameBytes, 'r');
  }
  constexpr size_t kJobs = 50;
  const auto before = HeapBytes();
  std::vector<std::unique_ptr<job_state>> states;
  for (size_t number = 0; number < kJobs; ++number) {
    states.push_back(std::make_unique<job_state>(job));
    for (uint32_t index = 0; index < openTasks; ++index) {
      const task_ref task{ kJob, 0, 0, index };
      const auto worker = "worker-of-a-long-name-" + std::to_string(index);
      for (uint32_t run = 2; run <= 2 * givenUpRuns; run += 2) {
        states.back()->Place(task, run, worker);
        states.back()->End(task, run, run_end::kLost, "");
      }
      const uint32_t run = 1 + 2 * givenUpRuns;
      states.back()->Place(task, run, worker);
      states.back()->SaveCheckpoint(
        task, run, std::string(job_state::kMaxCheckpointBytes, 'c'));
    }
    for (size_t place = 0; place < formerPlaces; ++place) {
      const auto worker = "worker-of-a-long-name-" + std::to_string(place);
      states.back()->AddFormerPlace({ worker, "address-of-" + worker, 1 });
    }
  }
  CHECK((HeapBytes() - before) / kJobs <=
        MemoryBound(job) + openTasks * job_state::kBytesPerOpenTask +
          formerPlaces * job_state::kBytesPerFormerPlace);
}
