#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/**
 * Shortest time without progress after which a run counts as stalled: two reports of
 * its worker.
 */
constexpr duration kStandstillLeast{ 2'000 };
/**
 * Divisor of the estimate that gives the limit for longer runs: a run makes about eight
 * percent progress in that time.
 */
constexpr int kStandstillParts = 12;
/** Members of a gang that start within this time begin their work together. */
constexpr duration kTogether{ 150 };
/**
 * Time for two progress reports. Gang members that started before the last one are
 * judged only this long after its start.
 */
constexpr duration kTwoReports{ 1'500 };
/** Least progress at which a run's rate predicts the duration of similar tasks. */
constexpr int64_t kTellingPercent = 20;
constexpr int64_t kAll = 100;
constexpr double kMsPerSecond = 1'000.0;

} // namespace

void fleet_scheduler::CheckProgress(worker_entry& aWorker, time_point aNow)
{
  std::vector<std::pair<task_ref, run_verdict>> moves;
  for (const auto& [task, run] : aWorker.mRuns.Runs()) {
    const auto found = mJobs.find(task.mJob);
    if (run.mStopping || found == mJobs.end() || !found->second->mState.Has(task)) {
      continue;
    }
    const auto& state = found->second->mState;
    const auto& about = state.Task(task);
    const bool isJudged =
      about.mRun == run.mRun && !about.mDone && run.mPhase == run_phase::kConfirmed;
    if (!isJudged) {
      continue;
    }
    const auto verdict = JudgeRun(aWorker, *found->second, task, run, aNow);
    if (verdict != run_verdict::kStays) {
      moves.emplace_back(task, verdict);
    }
  }
  for (const auto& [task, verdict] : moves) {
    MoveRun(aWorker, task, verdict);
  }
}

fleet_scheduler::run_verdict fleet_scheduler::JudgeRun(worker_entry& aWorker,
                                                       job_entry& aJob,
                                                       const task_ref& aTask,
                                                       const run_info& aRun,
                                                       time_point aNow)
{
  const auto& step = aJob.mState.StepOf(aTask);
  const auto& progress = aRun.mProgress;
  if (aWorker.mLeavesAt &&
      aNow + ExpectedLeft(aJob, aTask, aNow) > *aWorker.mLeavesAt) {
    // A run with neither a checkpoint nor free capacity elsewhere stays: it may still
    // end before its worker shuts down.
    const bool isWorthMoving =
      step.mCheckpointing || HasRoomElsewhere(aWorker, aJob, aTask, aNow);
    return isWorthMoving ? run_verdict::kLeaves : run_verdict::kStays;
  }
  if (step.mLongRunning) {
    return run_verdict::kStays;
  }
  const auto limit = std::max(kStandstillLeast, step.mEstimate / kStandstillParts);
  if (StandsStill(progress, limit, aNow) && IsAtWork(aJob, aTask, aRun, aNow)) {
    return run_verdict::kStandsStill;
  }
  const auto rate = progress.Rate();
  const bool isComparable = rate && progress.Percent() < kAll && !step.mFills &&
                            !IsFarFromItsRack(aJob, aTask, aWorker) &&
                            IsAtWork(aJob, aTask, aRun, aNow);
  if (!isComparable) {
    return run_verdict::kStays;
  }
  if (*rate > 0.0 && progress.Percent() >= kTellingPercent) {
    const auto whole = kAll * kMsPerSecond / *rate;
    mDurations.Learn(aJob.mState.Job().mQueue, duration(std::lround(whole)));
  }
  return run_verdict::kStays;
}

void fleet_scheduler::MoveRun(worker_entry& aWorker,
                              const task_ref& aTask,
                              run_verdict aVerdict)
{
  auto& job = *mJobs.at(aTask.mJob);
  const auto run = job.mState.Task(aTask).mRun;
  job.mFailedOn[aTask].insert(aWorker.mListed.mId);
  const char* reason = "its worker shuts down before the run would end";
  if (aVerdict == run_verdict::kStandsStill) {
    reason = "the run makes no progress";
    aWorker.mHealth.OnFailed(aTask.mJob, mPorts.mLoop.Now());
  }
  StopTask(job, aTask, reason);
  if (job.mState.StepOf(aTask).mGang) {
    StopGang(job, aTask, run, kGangBroken);
  }
}

const run_info* fleet_scheduler::PlacedRun(const job_state& aState,
                                           const task_ref& aTask) const
{
  const auto worker = mWorkers.find(aState.Task(aTask).mWorker);
  if (worker == mWorkers.end()) {
    return nullptr;
  }
  const auto& runs = worker->second->mRuns.Runs();
  const auto run = runs.find(aTask);
  return run == runs.end() ? nullptr : &run->second;
}

duration fleet_scheduler::ExpectedLeft(const job_entry& aJob,
                                       const task_ref& aTask,
                                       time_point aNow) const
{
  const auto& state = aJob.mState;
  const auto& step = state.StepOf(aTask);
  if (step.mLongRunning) {
    return run_progress::kNever;
  }
  const auto whole = mDurations.Expected(state.Job().mQueue, step.mEstimate);
  const auto members = step.mGang ? state.PlacedIn(aTask.mOccurrence, aTask.mStep)
                                  : std::vector<task_ref>{ aTask };
  duration longest{ 0 };
  for (const auto& member : members) {
    if (const auto* run = PlacedRun(state, member)) {
      longest = std::max(
        longest, run->mProgress.Left(aNow).value_or(whole - (aNow - run->mSince)));
    }
  }
  return longest;
}

bool fleet_scheduler::IsAtWork(const job_entry& aJob,
                               const task_ref& aTask,
                               const run_info& aRun,
                               time_point aNow) const
{
  if (!aJob.mState.StepOf(aTask).mGang) {
    return true;
  }
  auto since = aRun.mConfirmedAt;
  for (const auto& member : aJob.mState.PlacedIn(aTask.mOccurrence, aTask.mStep)) {
    const auto* run = PlacedRun(aJob.mState, member);
    if (run == nullptr || run->mPhase != run_phase::kConfirmed) {
      return false;
    }
    since = std::max(since, run->mConfirmedAt);
  }
  return since - aRun.mConfirmedAt < kTogether || aNow - since > kTwoReports;
}

bool fleet_scheduler::IsFarFromItsRack(const job_entry& aJob,
                                       const task_ref& aTask,
                                       const worker_entry& aWorker) const
{
  const auto& step = aJob.mState.StepOf(aTask);
  if (!step.mDataRack.empty() && step.mDataRack != aWorker.mListed.mRack) {
    return true;
  }
  if (!step.mGang || !step.mSameRack) {
    return false;
  }
  const auto placed = aJob.mState.PlacedIn(aTask.mOccurrence, aTask.mStep);
  return std::any_of(placed.begin(), placed.end(), [&](const task_ref& aMember) {
    const auto worker = mWorkers.find(aJob.mState.Task(aMember).mWorker);
    return worker != mWorkers.end() &&
           worker->second->mListed.mRack != aWorker.mListed.mRack;
  });
}

bool fleet_scheduler::HasRoomElsewhere(const worker_entry& aWorker,
                                       const job_entry& aJob,
                                       const task_ref& aTask,
                                       time_point aNow) const
{
  const auto& step = aJob.mState.StepOf(aTask);
  const auto need = OccupiedBy(step);
  const bool oneRack = step.mGang && step.mSameRack;
  const auto placed = aJob.mState.PlacedIn(aTask.mOccurrence, aTask.mStep);
  const auto mayTakeOneMore = [&](const std::string& aId) {
    const auto there =
      std::count_if(placed.begin(), placed.end(), [&](const task_ref& aOther) {
        return aJob.mState.Task(aOther).mWorker == aId;
      });
    return step.mMaxPerWorker == 0 || there < step.mMaxPerWorker;
  };
  return std::any_of(mWorkers.begin(), mWorkers.end(), [&](const auto& aOther) {
    const auto& other = *aOther.second;
    const bool suits = other.mListed.mPool == aWorker.mListed.mPool &&
                       (step.mRequiredLabel.empty() ||
                        other.mListed.mLabels.count(step.mRequiredLabel) != 0) &&
                       (!oneRack || other.mListed.mRack == aWorker.mListed.mRack);
    return &other != &aWorker && suits && TakesStarts(other, aNow) &&
           other.mHealth.Reluctance() == 0.0 && mayTakeOneMore(aOther.first) &&
           Fits(need, FreeOf(other));
  });
}

} // namespace anvildoor
