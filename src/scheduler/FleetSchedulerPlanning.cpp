#include "planner/CapacityReport.h"
#include "planner/ShortagePolicy.h"
#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>

namespace anvildoor {

namespace {

/** Delay of a planning round, so that one round handles several events. */
constexpr duration kPlanBatchDelay{ 3 };
/**
 * Pause after a round as a multiple of its duration: planning takes at most a quarter
 * of the processor time.
 */
constexpr int kPausePerPlan = 3;
/** Shortest time between two reports of waiting tasks. */
constexpr duration kCapacityLogPeriod{ 2'000 };
/** Reason logged for a preempted run. */
constexpr const char* kPreemptedReason = "preempted by a job of higher priority";
/** Reason logged for a run that makes room for a gang. */
constexpr const char* kRackClearedReason = "a gang needs one rack";

} // namespace

void fleet_scheduler::SchedulePlan()
{
  if (mPlanScheduled || !mLoaded) {
    return;
  }
  mPlanScheduled = true;
  mPorts.mLoop.RunAfter(std::max(kPlanBatchDelay, mLastPlanDuration * kPausePerPlan),
                        UnlessTermEnded([this] {
                          mPlanScheduled = false;
                          Plan();
                        }));
}

void fleet_scheduler::Plan()
{
  if (!MaySendRequests() || !mEvacuations.CheckKnown()) {
    return;
  }
  const auto began = mPorts.mLoop.Now();
  std::vector<std::string> workerIds;
  auto input = BuildInput(workerIds);
  if (input.mGroups.empty()) {
    mReserved.clear();
    mPaceWaits.clear();
    mRackPatience.Clear();
    return;
  }
  auto plan = PlaceTasks(input);
  const bool needsPreemption =
    plan.mHasSlowStarts ||
    std::any_of(plan.mWaiting.begin(), plan.mWaiting.end(), [&](size_t aGroup) {
      return input.mGroups[aGroup].mMayPreempt || input.mGroups[aGroup].mMayClearRack;
    });
  const bool isReordered = !plan.mWaiting.empty() && OrderForShortage(input.mGroups);
  if (needsPreemption) {
    // Candidates for preemption are collected only when a group needs them.
    AddPreemptibleUnits(workerIds, input);
  }
  if (needsPreemption || isReordered) {
    plan = PlaceTasks(input);
  }
  mRackPatience.Observe(input, plan, began);
  ObservePaceWaits(input, plan, began);
  ExecutePlan(input, plan, workerIds);
  mLastPlanDuration = mPorts.mLoop.Now() - began;
  ReportWaiting(input, plan);
}

void fleet_scheduler::ObservePaceWaits(const placement_input& aInput,
                                       const placement_plan& aPlan,
                                       time_point aNow)
{
  if (mPaceWaits.empty() && aPlan.mWaitingForPace.empty()) {
    return;
  }
  const auto keyOf = [&aInput](size_t aGroup) {
    const auto& group = aInput.mGroups[aGroup];
    return task_ref{ group.mJob, group.mOccurrence, group.mStep, 0 };
  };
  // A group that waited and is placed again later has not waited any less.
  std::map<task_ref, time_point> waits;
  for (size_t group = 0; group < aInput.mGroups.size(); ++group) {
    if (const auto found = mPaceWaits.find(keyOf(group)); found != mPaceWaits.end()) {
      waits.insert(*found);
    }
  }
  for (const auto group : aPlan.mWaitingForPace) {
    waits.emplace(keyOf(group), aNow);
  }
  mPaceWaits = std::move(waits);
}

void fleet_scheduler::ReportWaiting(const placement_input& aInput,
                                    const placement_plan& aPlan)
{
  const auto now = mPorts.mLoop.Now();
  if (now - mCapacityLoggedAt < kCapacityLogPeriod) {
    return;
  }
  mCapacityLoggedAt = now;
  const auto report = ReportCapacity(aInput, aPlan);
  mPorts.mMetrics.Set("placement_free_workers", report.mFree);
  mPorts.mMetrics.Set("placement_waiting_workers", report.mWaiting);
  mPorts.mMetrics.Set("placement_fragmented_workers", report.mFragmented);
  mPorts.mMetrics.Set("placement_round_seconds", ToSeconds(mLastPlanDuration));
  if (aPlan.mWaiting.empty()) {
    return;
  }
  const auto waitedSince = [&](size_t aGroup) {
    return mJobs.at(aInput.mGroups[aGroup].mJob)->mFirstSeenAt;
  };
  const auto oldest = *std::min_element(
    aPlan.mWaiting.begin(), aPlan.mWaiting.end(), [&](size_t aLeft, size_t aRight) {
      return waitedSince(aLeft) < waitedSince(aRight);
    });
  const auto& group = aInput.mGroups[oldest];
  const auto rounded = [](double aWorkers) { return int64_t(std::lround(aWorkers)); };
  mPorts.mLog.Write(
    log_event("tasks_waiting")
      .Add("groups", static_cast<int64_t>(aPlan.mWaiting.size()))
      .Add("waiting_workers", rounded(report.mWaiting))
      .Add("free_workers", rounded(report.mFree))
      .Add("fragmented_workers", rounded(report.mFragmented))
      .Add("awaited_runs", static_cast<int64_t>(aPlan.mUnitsAwaited.size()))
      .Add("round_ms", mLastPlanDuration.count())
      .Add("oldest_job", group.mJob)
      .Add("oldest_step", group.mStep)
      .Add("oldest_waited_ms", (now - waitedSince(oldest)).count())
      .Add("reason", ToString(ExplainWaiting(aInput, aPlan, oldest))));
}

void fleet_scheduler::ExecutePlan(const placement_input& aInput,
                                  const placement_plan& aPlan,
                                  const std::vector<std::string>& aWorkerIds)
{
  const auto now = mPorts.mLoop.Now();
  mReserved.clear();
  for (const auto& [number, worker] : aPlan.mReserved) {
    const auto& group = aInput.mGroups[number];
    mReserved[{ group.mJob, group.mOccurrence, group.mStep, 0 }].push_back(
      aWorkerIds[worker]);
  }
  std::map<std::string, std::vector<std::pair<task_ref, uint32_t>>> placed;
  std::map<size_t, uint32_t> gangRuns;
  std::map<size_t, bool> gangHasRoom;
  for (const auto& start : aPlan.mStarts) {
    const auto& group = aInput.mGroups[start.mGroup];
    auto& job = *mJobs.at(group.mJob);
    const task_ref task{ group.mJob, group.mOccurrence, group.mStep, start.mIndex };
    const bool isNew = job.mState.Task(task).mRun == 0;
    const bool hasRoom =
      group.mSpec.mGang
        ? gangHasRoom
            .emplace(start.mGroup,
                     job.mState.HasRoomFor(isNew ? group.mSpec.mCount : 0))
            .first->second
        : !isNew || job.mState.HasRoomFor(1);
    if (!hasRoom) {
      // Other groups of the job in this round have taken the room.
      continue;
    }
    uint32_t run = job.mState.NextRun(group.mOccurrence, group.mStep, start.mIndex);
    if (group.mSpec.mGang) {
      run = gangRuns.emplace(start.mGroup, run).first->second;
    }
    const auto& workerId = aWorkerIds[start.mWorker];
    job.mState.Place(task, run, workerId);
    mWorkers.at(workerId)->mRuns.RegisterStart(
      task,
      run,
      OccupiedBy(group.mSpec),
      now,
      group.mSpec.mEstimate,
      !job.mState.Task(task).mCheckpoint.empty(),
      group.mPriority);
    placed[group.mJob].emplace_back(task, run);
  }
  for (auto& [id, runs] : placed) {
    LogPlacements(*mJobs.at(id), runs);
    WriteProgress(
      *mJobs.at(id), record_writer::urgency::kImmediate, [this, started = runs] {
        for (const auto& [task, run] : started) {
          SendStart(task, run);
        }
      });
  }
  for (const auto number : aPlan.mUnitsToStop) {
    StopUnit(aInput.mPreemptionUnits[number], kPreemptedReason);
    mPorts.mMetrics.Count("units_stopped_total", "reason", "priority");
  }
  for (const auto number : aPlan.mUnitsToMove) {
    StopUnit(aInput.mPreemptionUnits[number], kRackClearedReason);
    mPorts.mMetrics.Count("units_stopped_total", "reason", "rack");
  }
}

void fleet_scheduler::StopUnit(const preemption_unit& aUnit, const char* aReason)
{
  const auto& job = *mJobs.at(aUnit.mTask.mJob);
  if (job.mState.StepOf(aUnit.mTask).mGang) {
    StopGang(job, aUnit.mTask, job.mState.Task(aUnit.mTask).mRun, aReason);
  } else {
    StopTask(job, aUnit.mTask, aReason);
  }
}

void fleet_scheduler::LogPlacements(
  const job_entry& aJob,
  const std::vector<std::pair<task_ref, uint32_t>>& aRuns) const
{
  std::string placements;
  std::set<std::string> racks;
  for (const auto& [task, run] : aRuns) {
    const auto& worker = aJob.mState.Task(task).mWorker;
    placements += placements.empty() ? "" : ",";
    placements += std::to_string(task.mOccurrence) + "." + std::to_string(task.mStep) +
                  "." + std::to_string(task.mIndex) + "/" + std::to_string(run) + "@" +
                  worker;
    racks.insert(mWorkers.at(worker)->mListed.mRack);
  }
  mPorts.mLog.Write(
    log_event("tasks_placed")
      .Add("job", aJob.mState.Job().mId)
      .Add("runs", placements)
      .Add("racks", static_cast<int64_t>(racks.size()))
      .Add("fence", static_cast<int64_t>(mTerm.mFence))
      .Add("waited_ms", (mPorts.mLoop.Now() - aJob.mFirstSeenAt).count()));
}

void fleet_scheduler::SendStart(const task_ref& aTask, uint32_t aRun)
{
  const auto found = mJobs.find(aTask.mJob);
  if (found == mJobs.end()) {
    return;
  }
  auto& job = *found->second;
  const auto& task = job.mState.Task(aTask);
  if (task.mRun != aRun || task.mWorker.empty()) {
    return;
  }
  auto& worker = FindOrAddWorker(task.mWorker);
  const auto now = mPorts.mLoop.Now();
  const auto run = worker.mRuns.Runs().find(aTask);
  const bool isStillWanted = run != worker.mRuns.Runs().end() &&
                             run->second.mRun == aRun && !run->second.mStopping &&
                             !task.mDone && job.mState.Outcome() == job_outcome::kOpen;
  if (!isStillWanted || !MaySendRequests() || worker.mListed.mDraining ||
      !worker.mIsListed || worker.mRuns.IsLifeUnknown() ||
      mEvacuations.ForbidsStarts(worker.mListed.mDataCentre)) {
    NoteSilence(worker);
    const auto events =
      worker.mRuns.OnStartAnswer(aTask, aRun, run_request_status::kNotSent, now);
    ApplyRunEvents(worker, events);
    return;
  }
  start_run_request request;
  request.mWorker = { worker.mListed.mId, worker.mListed.mAddress };
  request.mTask = aTask;
  request.mRun = aRun;
  request.mPayload = job.mState.Job().mSpec.mPayload;
  request.mCheckpoint = task.mCheckpoint;
  request.mFence = mTerm.mFence;
  request.mWorkerDeadlineMs = worker.mRuns.StartDeadlineMs(now);
  worker.mRuns.RecordStartRequest(aTask, aRun, request.mWorkerDeadlineMs, now);
  const auto id = worker.mListed.mId;
  mPorts.mWorkers.Start(
    request, UnlessTermEnded([this, id, aTask, aRun, now](const run_answer& aAnswer) {
      OnStartAnswer(id, aTask, aRun, aAnswer, now);
    }));
}

void fleet_scheduler::OnStartAnswer(const std::string& aWorker,
                                    const task_ref& aTask,
                                    uint32_t aRun,
                                    const run_answer& aAnswer,
                                    time_point aSentAt)
{
  const auto status = aAnswer.mStatus;
  const auto now = mPorts.mLoop.Now();
  auto& worker = FindOrAddWorker(aWorker);
  if (status == run_request_status::kFenced) {
    OnFencedBy(worker);
    return;
  }
  ObserveClock(worker, "start", aAnswer, aSentAt);
  const auto job = mJobs.find(aTask.mJob);
  if (status == run_request_status::kAccepted && job != mJobs.end()) {
    job->second->mState.MarkStarted();
  }
  if (status != run_request_status::kAccepted) {
    mPorts.mLog.Write(RunEvent("run_start_failed", aWorker, aTask, aRun)
                        .Add("answer", ToString(status))
                        .Add("ms", (now - aSentAt).count()));
    worker.mHealth.OnStartFailed(now);
  }
  NoteSilence(worker);
  const auto events = worker.mRuns.OnStartAnswer(aTask, aRun, status, now);
  ApplyRunEvents(worker, events);
  if (status != run_request_status::kAccepted ||
      worker.mRuns.HasUnsentAcknowledgement()) {
    ScheduleHold(worker, duration::zero());
  }
}

} // namespace anvildoor
