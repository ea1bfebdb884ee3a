#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

namespace anvildoor {

namespace {

constexpr duration kIdlePeriod{ 1'000 };

} // namespace

void fleet_scheduler::ObserveIdleJobs()
{
  const auto now = mPorts.mLoop.Now();
  if (now - mIdleObservedAt < kIdlePeriod) {
    return;
  }
  mIdleObservedAt = now;
  std::map<std::string, idle_task> idle;
  for (const auto& [id, job] : mJobs) {
    if (const auto task = FindIdleTask(*job, now)) {
      idle[id] = *task;
    }
  }
  mIdleJobs.Observe(idle, now);
}

std::optional<idle_task> fleet_scheduler::FindIdleTask(const job_entry& aJob,
                                                       time_point aNow) const
{
  const auto& state = aJob.mState;
  if (state.Outcome() != job_outcome::kOpen) {
    return std::nullopt;
  }
  std::optional<idle_task> idle;
  const auto running = state.FindPlaced([&](const task_ref& aTask) {
    const auto described = DescribePlaced(state, aTask, aNow);
    idle = idle ? idle : described;
    return !described;
  });
  if (running) {
    return std::nullopt;
  }
  return idle ? idle : DescribeWaiting(aJob, aNow);
}

std::optional<idle_task> fleet_scheduler::DescribePlaced(const job_state& aState,
                                                         const task_ref& aTask,
                                                         time_point aNow) const
{
  const auto& progress = aState.Task(aTask);
  idle_task idle;
  idle.mTask = aTask;
  idle.mRuns = progress.mRun;
  idle.mCause = idle_cause::kNoRun;
  idle.mWorker = progress.mWorker;
  const auto* run = FindPlacedRun(aState, aTask);
  if (run == nullptr) {
    return idle;
  }
  const auto& worker = *mWorkers.at(progress.mWorker);
  idle.mLeaseRemaining = worker.mRuns.LeaseExpiresAt() - aNow;
  if (worker.mIsUnresponsive || !worker.mRuns.HasAcceptedToken()) {
    idle.mCause = idle_cause::kSilentWorker;
  } else if (run->mStopping) {
    idle.mCause = idle_cause::kStopping;
  } else if (run->mPhase != run_phase::kConfirmed) {
    idle.mCause = idle_cause::kStarting;
  } else {
    return std::nullopt;
  }
  return idle;
}

std::optional<idle_task> fleet_scheduler::DescribeWaiting(const job_entry& aJob,
                                                          time_point aNow) const
{
  const auto& state = aJob.mState;
  const auto unixMs = mPorts.mUnixMs();
  for (auto occurrence = state.FirstUnfinishedOccurrence();
       occurrence < state.OccurrenceCount() && state.DueMs(occurrence) <= unixMs;
       ++occurrence) {
    for (uint32_t step = 0; step < state.Job().mSpec.mSteps.size(); ++step) {
      const auto waiting = state.WaitingTasks(occurrence, step);
      if (waiting.empty()) {
        continue;
      }
      idle_task idle;
      idle.mTask = { state.Job().mId, occurrence, step, waiting.front() };
      idle.mRuns = state.Task(idle.mTask).mRun;
      const auto unrecorded = mUnrecordedRuns.find(idle.mTask);
      if (unrecorded != mUnrecordedRuns.end()) {
        idle.mCause = idle_cause::kUnrecordedRun;
        idle.mWorker = unrecorded->second;
      } else if (aJob.mMayStartFrom > aNow) {
        idle.mCause = idle_cause::kHeldBack;
      }
      return idle;
    }
  }
  return std::nullopt;
}

} // namespace anvildoor
