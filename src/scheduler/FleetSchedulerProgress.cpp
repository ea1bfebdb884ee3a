#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <cassert>

namespace anvildoor {

namespace {

/** A run stands still when two reports of its worker show no progress... */
constexpr duration kStandstillLeast{ 2'000 };
/** ...and it is long enough to show one: in this part of the estimate eight percent. */
constexpr int kStandstillParts = 12;
/** The members of a gang that began within this time begin their work together. */
constexpr duration kTogether{ 150 };
/** A later member's gang is judged once two reports came since. */
constexpr duration kTwoReports{ 1'500 };

} // namespace

void fleet_scheduler::CheckProgress(worker_entry& aWorker, time_point aNow)
{
  std::vector<task_ref> stuck;
  for (const auto& [task, run] : aWorker.mRuns.Runs()) {
    const auto found = mJobs.find(task.mJob);
    if (run.mStopping || found == mJobs.end() || !found->second->mState.Has(task)) {
      continue;
    }
    const auto& state = found->second->mState;
    const auto& step = state.StepOf(task);
    const auto& about = state.Task(task);
    const bool isJudged = about.mRun == run.mRun && !about.mDone &&
                          !step.mLongRunning && run.mPhase == run_phase::kConfirmed;
    if (!isJudged) {
      continue;
    }
    const auto limit = std::max(kStandstillLeast, step.mEstimate / kStandstillParts);
    if (StandsStill(run.mProgress, limit, aNow) &&
        IsAtWork(*found->second, task, run, aNow)) {
      stuck.push_back(task);
    }
  }
  for (const auto& task : stuck) {
    MoveRun(aWorker, task);
  }
}

void fleet_scheduler::MoveRun(worker_entry& aWorker, const task_ref& aTask)
{
  auto& job = *mJobs.at(aTask.mJob);
  const auto run = job.mState.Task(aTask).mRun;
  job.mFailedOn[aTask].insert(aWorker.mListed.mId);
  aWorker.mHealth.OnFailed(aTask.mJob, mPorts.mLoop.Now());
  StopTask(job, aTask, "it makes no progress");
  if (job.mState.StepOf(aTask).mGang) {
    StopGang(job, aTask, run, kGangBroken);
  }
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
  for (const auto& member : aJob.mState.Placed()) {
    if (member.mOccurrence != aTask.mOccurrence || member.mStep != aTask.mStep) {
      continue;
    }
    const auto worker = mWorkers.find(aJob.mState.Task(member).mWorker);
    if (worker == mWorkers.end()) {
      return false;
    }
    const auto& runs = worker->second->mRuns.Runs();
    const auto run = runs.find(member);
    if (run == runs.end() || run->second.mPhase != run_phase::kConfirmed) {
      return false;
    }
    since = std::max(since, run->second.mConfirmedAt);
  }
  return since - aRun.mConfirmedAt < kTogether || aNow - since > kTwoReports;
}

} // namespace anvildoor
