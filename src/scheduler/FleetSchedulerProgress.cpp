#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/**
 * Shortest time without progress after which a run counts as stalled: its worker has
 * sent two reports by then.
 */
constexpr duration kMinStallTime{ 2'000 };
/**
 * Divisor of the estimate that gives the limit for longer runs: a run makes about eight
 * percent progress in that time.
 */
constexpr int kStallEstimateDivisor = 12;
/** Members of a gang that start within this time count as started together. */
constexpr duration kGangStartWindow{ 150 };
/**
 * Time in which two progress reports arrive. A gang member that started before the last
 * member is evaluated only this long after that member's start.
 */
constexpr duration kTwoReportsTime{ 1'500 };
/** Lowest progress at which the rate of a run updates the duration model. */
constexpr int64_t kMinPercentForRate = 20;
/** Lowest progress at which a run's pace is measured; reports are whole percentages. */
constexpr int64_t kMinPercentForPace = 10;
constexpr int64_t kCompletePercent = 100;
constexpr double kMsPerSecond = 1'000.0;

} // namespace

void fleet_scheduler::CheckProgress(worker_entry& aWorker, time_point aNow)
{
  std::vector<std::pair<task_ref, run_verdict>> moves;
  for (const auto& [task, run] : aWorker.mRuns.Runs()) {
    const auto found = mJobs.find(task.mJob);
    if (run.mStopping || found == mJobs.end() || !found->second->mState.HasTask(task)) {
      continue;
    }
    auto& state = found->second->mState;
    const auto& taskState = state.Task(task);
    if (taskState.mRun == run.mRun && run.mPhase == run_phase::kConfirmed) {
      state.MarkStarted();
    }
    const bool isEvaluated = taskState.mRun == run.mRun && !taskState.mDone &&
                             run.mPhase == run_phase::kConfirmed;
    if (!isEvaluated) {
      continue;
    }
    const auto verdict = EvaluateRun(aWorker, *found->second, task, run, aNow);
    if (verdict != run_verdict::kKeepRunning) {
      moves.emplace_back(task, verdict);
    }
  }
  for (const auto& [task, verdict] : moves) {
    MoveRun(aWorker, task, verdict);
  }
}

fleet_scheduler::run_verdict fleet_scheduler::EvaluateRun(worker_entry& aWorker,
                                                          job_entry& aJob,
                                                          const task_ref& aTask,
                                                          const run_info& aRun,
                                                          time_point aNow)
{
  const auto& step = aJob.mState.StepOf(aTask);
  const auto& progress = aRun.mProgress;
  if (aWorker.mEarliestShutdown &&
      aNow + ExpectedRemaining(aJob, aTask, aNow) > *aWorker.mEarliestShutdown) {
    // A run that has no checkpoint and would find no free capacity elsewhere stays: it
    // may still end before its worker shuts down.
    const bool isWorthMoving =
      step.mCheckpointing || HasCapacityElsewhere(aWorker, aJob, aTask, aNow);
    return isWorthMoving ? run_verdict::kWorkerLeaving : run_verdict::kKeepRunning;
  }
  if (step.mLongRunning) {
    return run_verdict::kKeepRunning;
  }
  const auto limit = std::max(kMinStallTime, step.mEstimate / kStallEstimateDivisor);
  if (IsStalled(progress, limit, aNow) &&
      HasHadTimeForProgress(aJob, aTask, aRun, aNow)) {
    return run_verdict::kStalled;
  }
  const auto rate = progress.PercentPerSecond();
  const bool isComparable = rate && progress.Percent() < kCompletePercent &&
                            !step.mUsesSpareCpu &&
                            !HasCrossRackTraffic(aJob, aTask, aWorker) &&
                            HasHadTimeForProgress(aJob, aTask, aRun, aNow);
  if (!isComparable) {
    return run_verdict::kKeepRunning;
  }
  if (*rate > 0.0 && progress.Percent() >= kMinPercentForRate) {
    // What the run would take on a worker of the usual pace.
    const auto expectedTotal = kCompletePercent * kMsPerSecond / *rate * aWorker.mPace;
    mDurations.Learn(aJob.mState.Job().mQueue,
                     duration(std::max(1L, std::lround(expectedTotal))));
  }
  MeasurePace(aWorker, aJob, aTask, aRun);
  return run_verdict::kKeepRunning;
}

void fleet_scheduler::MeasurePace(worker_entry& aWorker,
                                  const job_entry& aJob,
                                  const task_ref& aTask,
                                  const run_info& aRun)
{
  if (aRun.mIsMeasured) {
    return;
  }
  const auto& step = aJob.mState.StepOf(aTask);
  // The members of a gang make progress from the start of the last one on.
  const auto since =
    step.mGang ? LastGangStart(aJob, aTask) : std::optional(aRun.mConfirmedAt);
  const auto rate = since
                      ? aRun.mProgress.MeanPercentPerSecond(*since, kMinPercentForPace)
                      : std::nullopt;
  if (!rate) {
    return;
  }
  aWorker.mRuns.MarkMeasured(aTask);
  mPaces.Observe(
    aWorker.mListed.mPool,
    { aTask, aRun.mRun, step.mGang, step.mCount, aWorker.mListed.mId, *rate });
}

void fleet_scheduler::UpdatePaces()
{
  const bool isMoved =
    mPaces.Check([this](const std::string& aPool, const std::string& aWorker) {
      const auto found = mWorkers.find(aWorker);
      return found != mWorkers.end() && found->second->mIsListed &&
             found->second->mListed.mPool == aPool;
    });
  if (isMoved) {
    for (auto& [id, worker] : mWorkers) {
      AdoptPace(*worker);
    }
  }
}

void fleet_scheduler::AdoptPace(worker_entry& aWorker) const
{
  const auto* paces = mPaces.Find(aWorker.mListed.mPool);
  const auto& id = aWorker.mListed.mId;
  aWorker.mPace = paces == nullptr ? 1.0 : paces->PaceOf(id);
  aWorker.mPaceClass = paces == nullptr ? pace_class::kUsual : paces->ClassOf(id);
}

void fleet_scheduler::MoveRun(worker_entry& aWorker,
                              const task_ref& aTask,
                              run_verdict aVerdict)
{
  auto& job = *mJobs.at(aTask.mJob);
  const auto run = job.mState.Task(aTask).mRun;
  job.mAvoidedWorkers[aTask].insert(aWorker.mListed.mId);
  const char* reason = "its worker shuts down before the run would end";
  if (aVerdict == run_verdict::kStalled) {
    reason = "the run makes no progress";
    aWorker.mHealth.OnFailed(aTask.mJob, mPorts.mLoop.Now());
  }
  StopTask(job, aTask, reason);
  if (job.mState.StepOf(aTask).mGang) {
    StopGang(job, aTask, run, kGangMemberEndedReason);
  }
}

const run_info* fleet_scheduler::FindPlacedRun(const job_state& aState,
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

duration fleet_scheduler::ExpectedRemaining(const job_entry& aJob,
                                            const task_ref& aTask,
                                            time_point aNow) const
{
  const auto& state = aJob.mState;
  const auto& step = state.StepOf(aTask);
  if (step.mLongRunning) {
    return run_progress::kMaxTimeLeft;
  }
  const auto expectedTotal =
    mDurations.ExpectedDuration(state.Job().mQueue, step.mEstimate);
  const auto expectedOn = [&](const std::string& aId) {
    const auto pace = mWorkers.at(aId)->mPace;
    return duration(std::llround(static_cast<double>(expectedTotal.count()) / pace));
  };
  const auto members = step.mGang ? state.PlacedTasksOf(aTask.mOccurrence, aTask.mStep)
                                  : std::vector<task_ref>{ aTask };
  duration longest{ 0 };
  for (const auto& member : members) {
    if (const auto* run = FindPlacedRun(state, member)) {
      longest = std::max(
        longest,
        run->mProgress.TimeLeft(aNow).value_or(expectedOn(state.Task(member).mWorker) -
                                               (aNow - run->mRegisteredAt)));
    }
  }
  return longest;
}

bool fleet_scheduler::HasHadTimeForProgress(const job_entry& aJob,
                                            const task_ref& aTask,
                                            const run_info& aRun,
                                            time_point aNow) const
{
  if (!aJob.mState.StepOf(aTask).mGang) {
    return true;
  }
  const auto since = LastGangStart(aJob, aTask);
  return since && (*since - aRun.mConfirmedAt < kGangStartWindow ||
                   aNow - *since > kTwoReportsTime);
}

std::optional<time_point> fleet_scheduler::LastGangStart(const job_entry& aJob,
                                                         const task_ref& aTask) const
{
  std::optional<time_point> last;
  for (const auto& member : aJob.mState.PlacedTasksOf(aTask.mOccurrence, aTask.mStep)) {
    const auto* run = FindPlacedRun(aJob.mState, member);
    if (run == nullptr || run->mPhase != run_phase::kConfirmed) {
      return std::nullopt;
    }
    last = std::max(last.value_or(run->mConfirmedAt), run->mConfirmedAt);
  }
  return last;
}

bool fleet_scheduler::HasCrossRackTraffic(const job_entry& aJob,
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
  const auto placed = aJob.mState.PlacedTasksOf(aTask.mOccurrence, aTask.mStep);
  return std::any_of(placed.begin(), placed.end(), [&](const task_ref& aMember) {
    const auto worker = mWorkers.find(aJob.mState.Task(aMember).mWorker);
    return worker != mWorkers.end() &&
           worker->second->mListed.mRack != aWorker.mListed.mRack;
  });
}

bool fleet_scheduler::HasCapacityElsewhere(const worker_entry& aWorker,
                                           const job_entry& aJob,
                                           const task_ref& aTask,
                                           time_point aNow) const
{
  const auto& step = aJob.mState.StepOf(aTask);
  const auto need = OccupiedBy(step);
  const bool isBoundToRack = step.mGang && step.mSameRack;
  const auto placed = aJob.mState.PlacedTasksOf(aTask.mOccurrence, aTask.mStep);
  const auto mayTakeOneMore = [&](const std::string& aId) {
    const auto tasksOnWorker =
      std::count_if(placed.begin(), placed.end(), [&](const task_ref& aOther) {
        return aJob.mState.Task(aOther).mWorker == aId;
      });
    return step.mMaxPerWorker == 0 || tasksOnWorker < step.mMaxPerWorker;
  };
  return std::any_of(mWorkers.begin(), mWorkers.end(), [&](const auto& aOther) {
    const auto& other = *aOther.second;
    const bool isEligible =
      other.mListed.mPool == aWorker.mListed.mPool &&
      (step.mRequiredLabel.empty() ||
       other.mListed.mLabels.count(step.mRequiredLabel) != 0) &&
      (!isBoundToRack || other.mListed.mRack == aWorker.mListed.mRack);
    return &other != &aWorker && isEligible && AcceptsStarts(other, aNow) &&
           other.mHealth.PlacementPenalty() == 0.0 && mayTakeOneMore(aOther.first) &&
           Fits(need, FreeResources(other));
  });
}

} // namespace anvildoor
