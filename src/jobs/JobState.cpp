#include "jobs/JobState.h"

#include "base/JsonText.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

/** Stored outcome names, in the order of job_outcome. */
constexpr const char* kOutcomeNames[] = { "open", "done", "failed", "cancelled" };

} // namespace

const char* ToString(run_end aEnd)
{
  static constexpr const char* kNames[] = {
    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "not_started"
  };
  return kNames[static_cast<size_t>(aEnd)];
}

const char* ToString(job_outcome aOutcome)
{
  return kOutcomeNames[static_cast<size_t>(aOutcome)];
}

job_state::job_state(const accepted_job& aJob)
  : mJob(aJob)
{
  std::vector<step_progress> emptyOccurrence;
  for (const auto& step : aJob.mSpec.mSteps) {
    emptyOccurrence.emplace_back(step.mCount);
  }
  mSteps.assign(std::max<uint32_t>(1, aJob.mSpec.mRepeats), emptyOccurrence);
}

int64_t job_state::DueMs(uint32_t aOccurrence) const
{
  const auto& spec = mJob.mSpec;
  return spec.mFirstDueMs == 0 ? 0 : spec.mFirstDueMs + aOccurrence * spec.mIntervalMs;
}

bool job_state::IsStepDone(uint32_t aOccurrence, uint32_t aStep) const
{
  const auto& tasks = mSteps[aOccurrence][aStep];
  return std::all_of(
    tasks.begin(), tasks.end(), [](const auto& aTask) { return aTask.mDone; });
}

bool job_state::AllDone() const
{
  for (uint32_t occurrence = 0; occurrence < OccurrenceCount(); ++occurrence) {
    for (uint32_t step = 0; step < mSteps[occurrence].size(); ++step) {
      if (!IsStepDone(occurrence, step)) {
        return false;
      }
    }
  }
  return true;
}

bool job_state::IsReady(uint32_t aOccurrence, uint32_t aStep) const
{
  const auto& dependencies = mJob.mSpec.mSteps[aStep].mDependsOn;
  return std::all_of(
    dependencies.begin(), dependencies.end(), [&](uint32_t aDependency) {
      return IsStepDone(aOccurrence, aDependency);
    });
}

std::vector<uint32_t> job_state::WaitingTasks(uint32_t aOccurrence,
                                              uint32_t aStep) const
{
  std::vector<uint32_t> waiting;
  if (mOutcome != job_outcome::kOpen || !IsReady(aOccurrence, aStep)) {
    return waiting;
  }
  const auto& tasks = mSteps[aOccurrence][aStep];
  for (uint32_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].mDone && tasks[index].mWorker.empty()) {
      waiting.push_back(index);
    }
  }
  const bool isIncompleteGang =
    mJob.mSpec.mSteps[aStep].mGang && waiting.size() != tasks.size();
  return isIncompleteGang ? std::vector<uint32_t>() : waiting;
}

bool job_state::HasTask(const task_ref& aTask) const
{
  return aTask.mOccurrence < mSteps.size() &&
         aTask.mStep < mSteps[aTask.mOccurrence].size() &&
         aTask.mIndex < mSteps[aTask.mOccurrence][aTask.mStep].size();
}

task_progress& job_state::MutableTask(const task_ref& aTask)
{
  assert(HasTask(aTask));
  return mSteps[aTask.mOccurrence][aTask.mStep][aTask.mIndex];
}

const task_progress& job_state::Task(const task_ref& aTask) const
{
  assert(HasTask(aTask));
  return mSteps[aTask.mOccurrence][aTask.mStep][aTask.mIndex];
}

const step_spec& job_state::StepOf(const task_ref& aTask) const
{
  return mJob.mSpec.mSteps[aTask.mStep];
}

std::vector<task_ref> job_state::PlacedTasks() const
{
  std::vector<task_ref> placed;
  for (uint32_t occurrence = 0; occurrence < OccurrenceCount(); ++occurrence) {
    for (uint32_t step = 0; step < mSteps[occurrence].size(); ++step) {
      const auto placedOfStep = PlacedTasksOf(occurrence, step);
      placed.insert(placed.end(), placedOfStep.begin(), placedOfStep.end());
    }
  }
  return placed;
}

std::vector<task_ref> job_state::PlacedTasksOf(uint32_t aOccurrence,
                                               uint32_t aStep) const
{
  std::vector<task_ref> placed;
  const auto& tasks = mSteps[aOccurrence][aStep];
  for (uint32_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].mWorker.empty()) {
      placed.push_back({ mJob.mId, aOccurrence, aStep, index });
    }
  }
  return placed;
}

uint32_t job_state::NextRun(uint32_t aOccurrence, uint32_t aStep, uint32_t aIndex) const
{
  const auto& tasks = mSteps[aOccurrence][aStep];
  if (!mJob.mSpec.mSteps[aStep].mGang) {
    return tasks[aIndex].mRun + 1;
  }
  uint32_t highest = 0;
  for (const auto& task : tasks) {
    highest = std::max(highest, task.mRun);
  }
  return highest + 1;
}

void job_state::Place(const task_ref& aTask, uint32_t aRun, const std::string& aWorker)
{
  auto& task = MutableTask(aTask);
  assert(!task.mDone && task.mWorker.empty() && aRun > task.mRun);
  task.mRun = aRun;
  task.mWorker = aWorker;
  mHasStarted = true;
}

void job_state::SaveCheckpoint(const task_ref& aTask,
                               uint32_t aRun,
                               const std::string& aCheckpoint)
{
  if (aCheckpoint.empty() || MutableTask(aTask).mRun != aRun) {
    return;
  }
  if (!StepOf(aTask).mGang) {
    MutableTask(aTask).mCheckpoint = aCheckpoint;
    return;
  }
  for (auto& member : mSteps[aTask.mOccurrence][aTask.mStep]) {
    member.mCheckpoint = aCheckpoint;
  }
}

end_effect job_state::End(const task_ref& aTask,
                          uint32_t aRun,
                          run_end aEnd,
                          const std::string& aCheckpoint)
{
  end_effect effect;
  auto& task = MutableTask(aTask);
  const bool isDone = aEnd == run_end::kDone && !StepOf(aTask).mLongRunning;
  const bool hadThisRun = aRun != 0 && aRun <= task.mRun;
  effect.mIsLatestRun = task.mRun == aRun && !task.mWorker.empty();
  effect.mTaskDone = isDone && hadThisRun && !task.mDone;
  if (!effect.mIsLatestRun && !effect.mTaskDone) {
    return effect;
  }
  if (effect.mIsLatestRun) {
    task.mWorker.clear();
  }
  const bool isGang = StepOf(aTask).mGang;
  auto& members = mSteps[aTask.mOccurrence][aTask.mStep];
  if (isDone) {
    if (isGang) {
      for (auto& member : members) {
        member.mDone = true;
      }
    }
    task.mDone = true;
    if (mOutcome == job_outcome::kOpen && AllDone()) {
      mOutcome = job_outcome::kDone;
      effect.mJobFinished = true;
    }
    return effect;
  }
  SaveCheckpoint(aTask, aRun, aCheckpoint);
  effect.mGangBroken = isGang && !task.mDone;
  if (aEnd == run_end::kFailed && !task.mDone) {
    auto& countedTask = isGang ? members.front() : task;
    ++countedTask.mFailedRuns;
    const bool hasAttemptLimit = !StepOf(aTask).mLongRunning;
    if (hasAttemptLimit && countedTask.mFailedRuns >= mJob.mMaxAttempts &&
        mOutcome == job_outcome::kOpen) {
      mOutcome = job_outcome::kFailed;
      effect.mJobFinished = true;
    }
  }
  return effect;
}

bool job_state::Cancel()
{
  if (mOutcome != job_outcome::kOpen) {
    return false;
  }
  mOutcome = job_outcome::kCancelled;
  return true;
}

std::string job_state::EncodeProgress() const
{
  json text{ { "outcome", ToString(mOutcome) }, { "begun", mHasStarted } };
  json workers = json::array();
  json rows = json::array();
  std::map<std::string, size_t> workerNumbers;
  for (uint32_t occurrence = 0; occurrence < OccurrenceCount(); ++occurrence) {
    for (uint32_t step = 0; step < mSteps[occurrence].size(); ++step) {
      const auto& tasks = mSteps[occurrence][step];
      for (uint32_t index = 0; index < tasks.size(); ++index) {
        const auto& task = tasks[index];
        if (task.mRun == 0 && !task.mDone) {
          continue;
        }
        int64_t number = -1;
        if (!task.mWorker.empty()) {
          const auto [at, added] =
            workerNumbers.emplace(task.mWorker, workerNumbers.size());
          number = static_cast<int64_t>(at->second);
          if (added) {
            workers.push_back(task.mWorker);
          }
        }
        // A finished job needs only the tasks that may still have to be stopped.
        if (mOutcome != job_outcome::kOpen && number < 0) {
          continue;
        }
        json row = json::array({ occurrence,
                                 step,
                                 index,
                                 task.mRun,
                                 number,
                                 task.mFailedRuns,
                                 task.mDone ? 1 : 0 });
        if (!task.mCheckpoint.empty() && !task.mDone) {
          row.push_back(task.mCheckpoint);
        }
        rows.push_back(std::move(row));
      }
    }
  }
  text["workers"] = std::move(workers);
  text["tasks"] = std::move(rows);
  return text.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

status job_state::DecodeProgress(const std::string& aText)
{
  const auto outcome = DecodeOutcome(aText);
  if (!outcome) {
    return Fail(error_code::kInvalid,
                "decode progress",
                mJob.mId,
                "the outcome is missing or unknown");
  }
  try {
    const auto text = json::parse(aText);
    const auto workers = text.at("workers").get<std::vector<std::string>>();
    for (const auto& row : text.at("tasks")) {
      size_t column = 0;
      task_ref ref{ mJob.mId };
      ref.mOccurrence = row.at(column++).get<uint32_t>();
      ref.mStep = row.at(column++).get<uint32_t>();
      ref.mIndex = row.at(column++).get<uint32_t>();
      if (!HasTask(ref)) {
        return Fail(error_code::kInvalid,
                    "decode progress",
                    mJob.mId,
                    "a task is not part of the job");
      }
      auto& task = MutableTask(ref);
      task.mRun = row.at(column++).get<uint32_t>();
      const auto number = row.at(column++).get<int64_t>();
      task.mWorker =
        number < 0 ? std::string() : workers.at(static_cast<size_t>(number));
      task.mFailedRuns = row.at(column++).get<uint32_t>();
      task.mDone = row.at(column++).get<int>() != 0;
      task.mCheckpoint =
        column < row.size() ? row.at(column).get<std::string>() : std::string();
    }
    mHasStarted = text.at("begun").get<bool>();
    mOutcome = *outcome;
    return {};
  } catch (const std::exception& failed) {
    return Fail(error_code::kInvalid, "decode progress", mJob.mId, failed.what());
  }
}

std::optional<job_outcome> DecodeOutcome(const std::string& aProgress)
{
  const auto text = json::parse(aProgress, nullptr, false);
  if (!text.is_object() || !text.contains("outcome") || !text["outcome"].is_string()) {
    return std::nullopt;
  }
  const auto name = text["outcome"].get<std::string>();
  for (size_t number = 0; number < std::size(kOutcomeNames); ++number) {
    if (name == kOutcomeNames[number]) {
      return static_cast<job_outcome>(number);
    }
  }
  return std::nullopt;
}

} // namespace anvildoor
