#include "jobs/JobState.h"

#include "base/JsonText.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace anvildoor {

namespace {

using nlohmann::json;

/** Stored outcome names, in the order of job_outcome. */
constexpr const char* kOutcomeNames[] = { "open", "done", "failed", "cancelled" };
/** The number of a task's worker in its stored row if it is not placed. */
constexpr int64_t kNoWorker = -1;
/**
 * Jobs of up to this many tasks, over all occurrences, are stored with a row for each
 * done task, which earlier versions of the program read, too.
 */
constexpr uint64_t kMaxDoneTaskRows = 1'000;

/** First and last of consecutive numbers. */
using range = std::pair<uint32_t, uint32_t>;

/** Returns the ranges of numbers whose bit is set. */
std::vector<range> RangesOf(const std::vector<bool>& aBits)
{
  std::vector<range> ranges;
  for (uint32_t number = 0; number < aBits.size(); ++number) {
    if (!aBits[number]) {
      continue;
    }
    if (!ranges.empty() && ranges.back().second + 1 == number) {
      ranges.back().second = number;
    } else {
      ranges.emplace_back(number, number);
    }
  }
  return ranges;
}

/** Returns whether an end was concluded without word from the run's worker. */
bool IsGivenUp(run_end aEnd)
{
  return aEnd == run_end::kLeaseExpired || aEnd == run_end::kLost ||
         aEnd == run_end::kNotStarted;
}

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
}

int64_t job_state::DueMs(uint32_t aOccurrence) const
{
  const auto& spec = mJob.mSpec;
  return spec.mFirstDueMs == 0 ? 0 : spec.mFirstDueMs + aOccurrence * spec.mIntervalMs;
}

const job_state::step_progress* job_state::FindStep(uint32_t aOccurrence,
                                                    uint32_t aStep) const
{
  const auto found = mBegun.find(aOccurrence);
  return found == mBegun.end() ? nullptr : &found->second[aStep];
}

job_state::step_progress& job_state::MutableStep(uint32_t aOccurrence, uint32_t aStep)
{
  const auto [found, isNew] = mBegun.try_emplace(aOccurrence);
  if (isNew) {
    found->second.resize(mJob.mSpec.mSteps.size());
  }
  return found->second[aStep];
}

bool job_state::IsFinished(uint32_t aOccurrence) const
{
  return !mFinished.empty() && mFinished[aOccurrence];
}

bool job_state::IsStepDone(uint32_t aOccurrence, uint32_t aStep) const
{
  const auto* step = FindStep(aOccurrence, aStep);
  return IsFinished(aOccurrence) ||
         (step != nullptr && step->mDoneCount == mJob.mSpec.mSteps[aStep].mCount);
}

uint64_t job_state::TaskCount() const
{
  uint64_t perOccurrence = 0;
  for (const auto& step : mJob.mSpec.mSteps) {
    perOccurrence += step.mCount;
  }
  return perOccurrence * OccurrenceCount();
}

void job_state::MarkDone(const task_ref& aTask)
{
  auto& step = MutableStep(aTask.mOccurrence, aTask.mStep);
  step.mDone.resize(mJob.mSpec.mSteps[aTask.mStep].mCount);
  if (!step.mDone[aTask.mIndex]) {
    step.mDone[aTask.mIndex] = true;
    ++step.mDoneCount;
    ++mDoneTasks;
  }
  const auto open = step.mOpen.find(aTask.mIndex);
  if (open != step.mOpen.end()) {
    open->second.mDone = true;
  }
  step.mGivenUp.erase(aTask.mIndex);
  CloseTask(aTask);
}

void job_state::CloseTask(const task_ref& aTask)
{
  auto& open = MutableStep(aTask.mOccurrence, aTask.mStep).mOpen;
  const auto found = open.find(aTask.mIndex);
  if (found != open.end() && found->second.mDone && found->second.mWorker.empty()) {
    open.erase(found);
    --mOpenTasks;
  }
}

void job_state::CloseOccurrence(uint32_t aOccurrence)
{
  const auto found = mBegun.find(aOccurrence);
  const auto& steps = mJob.mSpec.mSteps;
  for (uint32_t step = 0; step < steps.size(); ++step) {
    const auto& progress = found->second[step];
    if (progress.mDoneCount != steps[step].mCount || !progress.mOpen.empty()) {
      return;
    }
  }
  mBegun.erase(found);
  MarkFinished(aOccurrence);
}

void job_state::MarkFinished(uint32_t aOccurrence)
{
  mFinished.resize(OccurrenceCount());
  mFinished[aOccurrence] = true;
  while (mFirstUnfinished < OccurrenceCount() && mFinished[mFirstUnfinished]) {
    ++mFirstUnfinished;
  }
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
  if (mOutcome != job_outcome::kOpen || IsStepDone(aOccurrence, aStep) ||
      !IsReady(aOccurrence, aStep)) {
    return waiting;
  }
  const auto count = mJob.mSpec.mSteps[aStep].mCount;
  const bool isGang = mJob.mSpec.mSteps[aStep].mGang;
  const auto* progress = FindStep(aOccurrence, aStep);
  size_t newTasks = 0;
  for (uint32_t index = 0; index < count; ++index) {
    if (!isGang && waiting.size() == kMaxOfferedTasks) {
      break;
    }
    bool isNew = true;
    if (progress != nullptr) {
      const auto open = progress->mOpen.find(index);
      isNew = open == progress->mOpen.end();
      const bool isDone = !progress->mDone.empty() && progress->mDone[index];
      if (isDone || (!isNew && !open->second.mWorker.empty())) {
        continue;
      }
    }
    if (isNew && !isGang && !HasRoomFor(newTasks + 1)) {
      continue;
    }
    newTasks += isNew ? 1 : 0;
    waiting.push_back(index);
  }
  const bool isIncompleteGang =
    isGang && (waiting.size() != count || !HasRoomFor(newTasks));
  return isIncompleteGang ? std::vector<uint32_t>() : waiting;
}

bool job_state::HasTask(const task_ref& aTask) const
{
  const auto& steps = mJob.mSpec.mSteps;
  return aTask.mOccurrence < OccurrenceCount() && aTask.mStep < steps.size() &&
         aTask.mIndex < steps[aTask.mStep].mCount;
}

task_progress& job_state::MutableTask(const task_ref& aTask)
{
  assert(HasTask(aTask));
  auto& open = MutableStep(aTask.mOccurrence, aTask.mStep).mOpen;
  const auto [found, isNew] = open.try_emplace(aTask.mIndex);
  mOpenTasks += isNew ? 1 : 0;
  return found->second;
}

const task_progress& job_state::Task(const task_ref& aTask) const
{
  assert(HasTask(aTask));
  static const task_progress sNeverStarted;
  static const task_progress sDone{ 0, "", true, 0, "" };
  const auto* step = FindStep(aTask.mOccurrence, aTask.mStep);
  if (step == nullptr) {
    return IsFinished(aTask.mOccurrence) ? sDone : sNeverStarted;
  }
  const auto open = step->mOpen.find(aTask.mIndex);
  if (open != step->mOpen.end()) {
    return open->second;
  }
  return !step->mDone.empty() && step->mDone[aTask.mIndex] ? sDone : sNeverStarted;
}

const step_spec& job_state::StepOf(const task_ref& aTask) const
{
  return mJob.mSpec.mSteps[aTask.mStep];
}

std::vector<task_ref> job_state::PlacedTasks() const
{
  std::vector<task_ref> placed;
  for (const auto& [occurrence, steps] : mBegun) {
    for (uint32_t step = 0; step < steps.size(); ++step) {
      const auto placedOfStep = PlacedTasksOf(occurrence, step);
      placed.insert(placed.end(), placedOfStep.begin(), placedOfStep.end());
    }
  }
  return placed;
}

std::optional<task_ref> job_state::FindPlaced(
  const std::function<bool(const task_ref&)>& aMatches) const
{
  task_ref task{ mJob.mId };
  for (const auto& [occurrence, steps] : mBegun) {
    task.mOccurrence = occurrence;
    for (task.mStep = 0; task.mStep < steps.size(); ++task.mStep) {
      for (const auto& [index, progress] : steps[task.mStep].mOpen) {
        task.mIndex = index;
        if (!progress.mWorker.empty() && aMatches(task)) {
          return task;
        }
      }
    }
  }
  return std::nullopt;
}

std::vector<task_ref> job_state::PlacedTasksOf(uint32_t aOccurrence,
                                               uint32_t aStep) const
{
  std::vector<task_ref> placed;
  if (const auto* step = FindStep(aOccurrence, aStep)) {
    for (const auto& [index, task] : step->mOpen) {
      if (!task.mWorker.empty()) {
        placed.push_back({ mJob.mId, aOccurrence, aStep, index });
      }
    }
  }
  return placed;
}

uint32_t job_state::NextRun(uint32_t aOccurrence, uint32_t aStep, uint32_t aIndex) const
{
  if (!mJob.mSpec.mSteps[aStep].mGang) {
    return Task({ mJob.mId, aOccurrence, aStep, aIndex }).mRun + 1;
  }
  uint32_t highest = 0;
  if (const auto* step = FindStep(aOccurrence, aStep)) {
    for (const auto& [index, task] : step->mOpen) {
      highest = std::max(highest, task.mRun);
    }
  }
  return highest + 1;
}

void job_state::Place(const task_ref& aTask, uint32_t aRun, const std::string& aWorker)
{
  auto& task = MutableTask(aTask);
  assert(!task.mDone && task.mWorker.empty() && aRun > task.mRun);
  task.mRun = aRun;
  task.mWorker = aWorker;
}

void job_state::SaveCheckpoint(const task_ref& aTask,
                               uint32_t aRun,
                               const std::string& aCheckpoint)
{
  if (aCheckpoint.empty() || aCheckpoint.size() > kMaxCheckpointBytes ||
      Task(aTask).mRun != aRun) {
    return;
  }
  if (!StepOf(aTask).mGang) {
    MutableTask(aTask).mCheckpoint = aCheckpoint;
    return;
  }
  for (auto& [index, member] : MutableStep(aTask.mOccurrence, aTask.mStep).mOpen) {
    member.mCheckpoint = aCheckpoint;
  }
}

void job_state::AddFormerPlace(const former_place& aPlace)
{
  std::erase_if(mFormerPlaces, [&](const former_place& aOther) {
    return aOther.mWorker == aPlace.mWorker;
  });
  if (mFormerPlaces.size() == kMaxFormerPlaces) {
    mFormerPlaces.erase(mFormerPlaces.begin());
  }
  mFormerPlaces.push_back(aPlace);
}

void job_state::ForgetFormerPlaces(int64_t aUnixMs)
{
  const auto isOld = [aUnixMs](const former_place& aPlace) {
    return aPlace.mGivenUpAtMs < aUnixMs;
  };
  if (std::erase_if(mFormerPlaces, isOld) != 0) {
    mFormerPlaces.shrink_to_fit();
  }
}

end_effect job_state::End(const task_ref& aTask,
                          uint32_t aRun,
                          run_end aEnd,
                          const std::string& aCheckpoint)
{
  end_effect effect;
  const auto& before = Task(aTask);
  const bool isDone = aEnd == run_end::kDone && !StepOf(aTask).mLongRunning;
  const bool hadThisRun = aRun != 0 && aRun <= before.mRun;
  effect.mIsLatestRun = before.mRun == aRun && !before.mWorker.empty();
  effect.mTaskDone = isDone && hadThisRun && !before.mDone;
  const auto formerOutcome = mOutcome;
  effect.mIsCounted = aEnd == run_end::kFailed && !before.mDone &&
                      CountFailedRun(aTask, aRun, effect.mIsLatestRun);
  effect.mJobFinished = mOutcome != formerOutcome;
  if (!effect.mIsLatestRun && !effect.mTaskDone && !effect.mIsCounted) {
    return effect;
  }
  // The other ends may be of a run that never started.
  mHasStarted = mHasStarted || !IsGivenUp(aEnd);
  auto& task = MutableTask(aTask);
  if (effect.mIsLatestRun) {
    task.mWorker.clear();
  }
  const bool isGang = StepOf(aTask).mGang;
  if (isDone) {
    auto member = aTask;
    const auto count = StepOf(aTask).mCount;
    for (member.mIndex = 0; isGang && member.mIndex < count; ++member.mIndex) {
      MarkDone(member);
    }
    MarkDone(aTask);
    CloseOccurrence(aTask.mOccurrence);
    if (mOutcome == job_outcome::kOpen && AllDone()) {
      mOutcome = job_outcome::kDone;
      effect.mJobFinished = true;
    }
    return effect;
  }
  SaveCheckpoint(aTask, aRun, aCheckpoint);
  effect.mGangBroken = effect.mIsLatestRun && isGang && !task.mDone;
  if (IsGivenUp(aEnd) && !task.mDone) {
    AddGivenUpRun(aTask, aRun);
  }
  CloseTask(aTask);
  CloseOccurrence(aTask.mOccurrence);
  return effect;
}

task_ref job_state::CountedTask(const task_ref& aTask) const
{
  auto counted = aTask;
  counted.mIndex = StepOf(aTask).mGang ? 0 : aTask.mIndex;
  return counted;
}

void job_state::AddGivenUpRun(const task_ref& aTask, uint32_t aRun)
{
  auto& step = MutableStep(aTask.mOccurrence, aTask.mStep);
  if (!StepOf(aTask).mGang || step.mCountedRun != aRun) {
    step.mGivenUp[CountedTask(aTask).mIndex].Add(aRun);
  }
}

bool job_state::RemoveGivenUpRun(const task_ref& aTask, uint32_t aRun)
{
  if (FindStep(aTask.mOccurrence, aTask.mStep) == nullptr) {
    return false;
  }
  auto& givenUp = MutableStep(aTask.mOccurrence, aTask.mStep).mGivenUp;
  const auto found = givenUp.find(CountedTask(aTask).mIndex);
  const bool isRemoved = found != givenUp.end() && found->second.Remove(aRun);
  if (isRemoved && found->second.Ranges().empty()) {
    givenUp.erase(found);
  }
  return isRemoved;
}

bool job_state::CountFailedRun(const task_ref& aTask, uint32_t aRun, bool aIsLatestRun)
{
  const bool wasGivenUp = RemoveGivenUpRun(aTask, aRun);
  if (!aIsLatestRun && !wasGivenUp) {
    return false;
  }
  if (StepOf(aTask).mGang) {
    auto& step = MutableStep(aTask.mOccurrence, aTask.mStep);
    if (!wasGivenUp && step.mCountedRun == aRun) {
      return false;
    }
    // Of an earlier run, no member is placed that could count again.
    step.mCountedRun = std::max(step.mCountedRun, aRun);
  }
  const auto failedRuns = ++MutableTask(CountedTask(aTask)).mFailedRuns;
  const bool hasAttemptLimit = !StepOf(aTask).mLongRunning;
  if (hasAttemptLimit && failedRuns >= mJob.mMaxAttempts &&
      mOutcome == job_outcome::kOpen) {
    mOutcome = job_outcome::kFailed;
  }
  return true;
}

bool job_state::MayCountAgain(const step_progress& aStep)
{
  return aStep.mCountedRun != 0 &&
         std::any_of(aStep.mOpen.begin(), aStep.mOpen.end(), [&](const auto& aEntry) {
           const auto& task = aEntry.second;
           return !task.mWorker.empty() && task.mRun == aStep.mCountedRun;
         });
}

void job_state::DropTasks()
{
  assert(mOutcome != job_outcome::kOpen && PlacedTasks().empty());
  mJob.mSpec = job_spec();
  mBegun.clear();
  mFinished = std::vector<bool>();
  mOpenTasks = 0;
}

bool job_state::Cancel()
{
  if (mOutcome != job_outcome::kOpen) {
    return false;
  }
  mOutcome = job_outcome::kCancelled;
  return true;
}

std::string job_state::EncodeProgress(const address_resolver& aAddressOf) const
{
  json text{ { "outcome", ToString(mOutcome) }, { "begun", mHasStarted } };
  json workers = json::array();
  json rows = json::array();
  json doneRanges = json::array();
  json countedRuns = json::array();
  json givenUpRuns = json::array();
  std::map<std::string, size_t> workerNumbers;
  const bool isOpen = mOutcome == job_outcome::kOpen;
  const bool hasRowPerDoneTask = TaskCount() <= kMaxDoneTaskRows;
  const auto appendDone = [&](uint32_t aOccurrence, uint32_t aStep, range aRange) {
    if (!hasRowPerDoneTask) {
      doneRanges.push_back({ aOccurrence, aStep, aRange.first, aRange.second });
      return;
    }
    for (auto index = aRange.first; index <= aRange.second; ++index) {
      rows.push_back({ aOccurrence, aStep, index, 0, kNoWorker, 0, 1 });
    }
  };
  for (const auto& [occurrence, steps] : mBegun) {
    for (uint32_t step = 0; step < steps.size(); ++step) {
      for (const auto& [index, task] : steps[step].mOpen) {
        int64_t number = kNoWorker;
        if (!task.mWorker.empty()) {
          const auto [at, added] =
            workerNumbers.emplace(task.mWorker, workerNumbers.size());
          number = static_cast<int64_t>(at->second);
          if (added) {
            workers.push_back(task.mWorker);
          }
        }
        // A finished job needs only the tasks that may still have to be stopped.
        if (!isOpen && number == kNoWorker) {
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
      if (isOpen && MayCountAgain(steps[step])) {
        countedRuns.push_back({ occurrence, step, steps[step].mCountedRun });
      }
      for (const auto& [index, runs] : steps[step].mGivenUp) {
        if (isOpen) {
          json row = json::array({ occurrence, step, index });
          for (const auto& [first, last] : runs.Ranges()) {
            row.insert(row.end(), { first, last });
          }
          givenUpRuns.push_back(std::move(row));
        }
      }
      for (const auto& done :
           isOpen ? RangesOf(steps[step].mDone) : std::vector<range>()) {
        appendDone(occurrence, step, done);
      }
    }
  }
  json finishedRanges = json::array();
  for (const auto& finished : isOpen ? RangesOf(mFinished) : std::vector<range>()) {
    if (!hasRowPerDoneTask) {
      finishedRanges.push_back({ finished.first, finished.second });
      continue;
    }
    for (auto occurrence = finished.first; occurrence <= finished.second;
         ++occurrence) {
      for (uint32_t step = 0; step < mJob.mSpec.mSteps.size(); ++step) {
        appendDone(occurrence, step, { 0, mJob.mSpec.mSteps[step].mCount - 1 });
      }
    }
  }
  if (!countedRuns.empty()) {
    text["counted_runs"] = std::move(countedRuns);
  }
  if (!givenUpRuns.empty()) {
    text["given_up_runs"] = std::move(givenUpRuns);
  }
  if (mEndedAtMs != 0) {
    text["ended"] = mEndedAtMs;
  }
  if (aAddressOf) {
    json addresses = json::array();
    for (const auto& worker : workers) {
      addresses.push_back(aAddressOf(worker.get<std::string>()));
    }
    text["addresses"] = std::move(addresses);
  }
  if (!mFormerPlaces.empty()) {
    json places = json::array();
    for (const auto& place : mFormerPlaces) {
      places.push_back({ place.mWorker, place.mAddress, place.mGivenUpAtMs });
    }
    text["former_places"] = std::move(places);
  }
  text["workers"] = std::move(workers);
  text["tasks"] = std::move(rows);
  if (!hasRowPerDoneTask) {
    text["done"] = std::move(doneRanges);
    text["finished"] = std::move(finishedRanges);
  }
  return text.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

status job_state::DecodeProgress(const std::string& aText,
                                 std::map<std::string, std::string>* aAddresses)
{
  const auto outcome = DecodeOutcome(aText);
  if (!outcome) {
    return Fail(error_code::kInvalid,
                "decode progress",
                mJob.mId,
                "the outcome is missing or unknown");
  }
  try {
    DecodeRows(aText, aAddresses);
    mOutcome = *outcome;
    return {};
  } catch (const std::exception& failed) {
    return Fail(error_code::kInvalid, "decode progress", mJob.mId, failed.what());
  }
}

void job_state::DecodeRows(const std::string& aText,
                           std::map<std::string, std::string>* aAddresses)
{
  const auto text = json::parse(aText);
  const auto workers = text.at("workers").get<std::vector<std::string>>();
  const auto addresses = text.value("addresses", std::vector<std::string>());
  for (size_t number = 0; aAddresses != nullptr && number < addresses.size();
       ++number) {
    (*aAddresses)[workers.at(number)] = addresses[number];
  }
  const auto requireTask = [this](const task_ref& aTask) {
    if (!HasTask(aTask)) {
      throw std::out_of_range("a task is not part of the job");
    }
  };
  for (const auto& row : text.at("tasks")) {
    size_t column = 0;
    task_ref ref{ mJob.mId };
    ref.mOccurrence = row.at(column++).get<uint32_t>();
    ref.mStep = row.at(column++).get<uint32_t>();
    ref.mIndex = row.at(column++).get<uint32_t>();
    requireTask(ref);
    const auto run = row.at(column++).get<uint32_t>();
    const auto number = row.at(column++).get<int64_t>();
    const auto failedRuns = row.at(column++).get<uint32_t>();
    const bool isDone = row.at(column++).get<int>() != 0;
    if (isDone && run == 0) {
      // The row of a run that is still placed, if there is one, is another.
      MarkDone(ref);
      continue;
    }
    auto& task = MutableTask(ref);
    task.mRun = run;
    task.mWorker = number < 0 ? std::string() : workers.at(static_cast<size_t>(number));
    task.mFailedRuns = failedRuns;
    task.mCheckpoint =
      column < row.size() ? row.at(column).get<std::string>() : std::string();
    if (isDone) {
      MarkDone(ref);
    }
  }
  for (const auto& row : text.value("done", json::array())) {
    const auto values = row.get<std::array<uint32_t, 4>>();
    task_ref ref{ mJob.mId, values[0], values[1], values[3] };
    requireTask(ref);
    for (ref.mIndex = values[2]; ref.mIndex <= values[3]; ++ref.mIndex) {
      MarkDone(ref);
    }
  }
  uint64_t perOccurrence = TaskCount() / OccurrenceCount();
  for (const auto& row : text.value("finished", json::array())) {
    const auto values = row.get<std::array<uint32_t, 2>>();
    requireTask({ mJob.mId, values[1], 0, 0 });
    for (auto occurrence = values[0]; occurrence <= values[1]; ++occurrence) {
      if (!IsFinished(occurrence)) {
        MarkFinished(occurrence);
        mDoneTasks += perOccurrence;
      }
    }
  }
  for (const auto& row : text.value("counted_runs", json::array())) {
    const auto [occurrence, step, run] = row.get<std::array<uint32_t, 3>>();
    requireTask({ mJob.mId, occurrence, step, 0 });
    if (mBegun.count(occurrence) != 0) {
      MutableStep(occurrence, step).mCountedRun = run;
    }
  }
  for (const auto& row : text.value("given_up_runs", json::array())) {
    size_t column = 0;
    task_ref ref{ mJob.mId };
    ref.mOccurrence = row.at(column++).get<uint32_t>();
    ref.mStep = row.at(column++).get<uint32_t>();
    ref.mIndex = row.at(column++).get<uint32_t>();
    requireTask(ref);
    if (Task(ref).mRun == 0 || Task(ref).mDone) {
      continue;
    }
    auto& runs = MutableStep(ref.mOccurrence, ref.mStep).mGivenUp[ref.mIndex];
    for (; column < row.size(); column += 2) {
      runs.AddRange(
        { row.at(column).get<uint32_t>(), row.at(column + 1).get<uint32_t>() });
    }
  }
  std::vector<uint32_t> begun;
  for (const auto& [occurrence, steps] : mBegun) {
    begun.push_back(occurrence);
  }
  for (const auto occurrence : begun) {
    CloseOccurrence(occurrence);
  }
  for (const auto& row : text.value("former_places", json::array())) {
    AddFormerPlace({ row.at(0).get<std::string>(),
                     row.at(1).get<std::string>(),
                     row.at(2).get<int64_t>() });
  }
  mHasStarted = text.at("begun").get<bool>();
  mEndedAtMs = text.value("ended", int64_t(0));
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
