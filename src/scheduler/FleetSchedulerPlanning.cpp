#include "planner/CapacityReport.h"
#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/** Delay of a planning round, so that one round handles several events. */
constexpr duration kPlanBatchDelay{ 3 };
/**
 * Pause after a round as a multiple of its duration: planning takes at most a quarter
 * of the processor time.
 */
constexpr int kPausePerPlan = 3;
/** A worker whose last answer is older than this gets no new tasks. */
constexpr duration kMaxAnswerAge{ 2'800 };
/** A gang may span racks after it has waited for this multiple of its estimate. */
constexpr double kSpanRacksAfterEstimates = 3.0;
/** Work that a stopped checkpointing task loses; a restore takes 0.1 s. */
constexpr double kResumeLossSeconds = 0.2;
/** Limit on the waiting steps of one job, over its occurrences, in a round. */
constexpr size_t kMaxGroupsPerJob = 128;
/** Shortest time between two reports of waiting tasks. */
constexpr duration kCapacityLogPeriod{ 2'000 };
/** Reason logged for a preempted run. */
constexpr const char* kPreemptedReason = "preempted by a job of higher priority";
/** Reason logged for a run that makes room for a gang. */
constexpr const char* kRackClearedReason = "a gang needs one rack";
constexpr double kMsPerSecond = 1'000.0;

/** Returns whether a run is expected to end by itself before a stop would end it. */
bool EndsBeforeStop(const run_info& aRun, time_point aNow)
{
  constexpr duration kTypicalStopTime{ 200 };
  const auto left = aRun.mProgress.TimeLeft(aNow);
  return left && *left <= kTypicalStopTime;
}

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
  if (!MaySendRequests()) {
    return;
  }
  const auto began = mPorts.mLoop.Now();
  std::vector<std::string> workerIds;
  auto input = BuildInput(workerIds);
  if (input.mGroups.empty()) {
    mReserved.clear();
    mRackPatience = rack_patience();
    return;
  }
  auto plan = PlaceTasks(input);
  const bool needsPreemption =
    std::any_of(plan.mWaiting.begin(), plan.mWaiting.end(), [&](size_t aGroup) {
      return input.mGroups[aGroup].mMayPreempt || input.mGroups[aGroup].mMayClearRack;
    });
  if (needsPreemption) {
    // Candidates for preemption are collected only when a group needs them.
    AddPreemptibleUnits(workerIds, input);
    plan = PlaceTasks(input);
  }
  mRackPatience.Observe(input, plan, began);
  ExecutePlan(input, plan, workerIds);
  mLastPlanDuration = mPorts.mLoop.Now() - began;
  ReportWaiting(input, plan);
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
  mPorts.mLog.Write(log_event("tasks_waiting")
                      .Add("groups", static_cast<int64_t>(aPlan.mWaiting.size()))
                      .Add("waiting_workers", rounded(report.mWaiting))
                      .Add("free_workers", rounded(report.mFree))
                      .Add("fragmented_workers", rounded(report.mFragmented))
                      .Add("round_ms", mLastPlanDuration.count())
                      .Add("oldest_job", group.mJob)
                      .Add("oldest_step", group.mStep)
                      .Add("oldest_waited_ms", (now - waitedSince(oldest)).count())
                      .Add("reason", ToString(ExplainWaiting(aInput, aPlan, oldest))));
}

std::map<std::string, int64_t> fleet_scheduler::DemandByWorkspace() const
{
  std::map<std::string, int64_t> demand;
  for (const auto& [id, job] : mJobs) {
    const auto& acceptedJob = job->mState.Job();
    if (acceptedJob.mPriority != 0 || job->mState.Outcome() != job_outcome::kOpen) {
      continue;
    }
    for (const auto& step : acceptedJob.mSpec.mSteps) {
      demand[acceptedJob.mWorkspace] += step.mCount * step.mPerTask.mAccelerators;
    }
  }
  return demand;
}

bool fleet_scheduler::IsWithinGuarantee(const accepted_job& aJob) const
{
  const auto& workspaces = mPolicy->mWorkspaces;
  const auto found =
    std::find_if(workspaces.begin(), workspaces.end(), [&](const auto& aWorkspace) {
      return aWorkspace.mName == aJob.mWorkspace;
    });
  const auto demand = mPriorityZeroDemand.find(aJob.mWorkspace);
  return found != workspaces.end() && aJob.mPriority == 0 &&
         demand != mPriorityZeroDemand.end() &&
         demand->second <= found->mGuaranteedAccelerators;
}

task_resources fleet_scheduler::FreeResources(const worker_entry& aWorker)
{
  auto free = aWorker.mListed.mCapacity;
  Add(free, aWorker.mRuns.UsedResources(), -1);
  return free;
}

bool fleet_scheduler::AcceptsStarts(const worker_entry& aWorker, time_point aNow)
{
  return aWorker.mIsListed && !aWorker.mListed.mDraining && aWorker.mRuns.HasLease() &&
         !aWorker.mIsUnresponsive &&
         aNow - aWorker.mRuns.LastAnswer() < kMaxAnswerAge &&
         aWorker.mHealth.AcceptsRuns(aNow, aWorker.mRuns.Runs().size());
}

placement_input fleet_scheduler::BuildInput(std::vector<std::string>& aWorkerIds)
{
  const auto now = mPorts.mLoop.Now();
  placement_input input;
  mPriorityZeroDemand = DemandByWorkspace();
  for (auto& [id, job] : mJobs) {
    if (job->mState.Outcome() == job_outcome::kOpen && job->mMayHaveWaitingTasks &&
        job->mMayStartFrom <= now) {
      AddGroups(*job, input.mGroups);
    }
  }
  if (input.mGroups.empty()) {
    return input;
  }
  std::stable_sort(input.mGroups.begin(),
                   input.mGroups.end(),
                   [this](const placement_group& aLeft, const placement_group& aRight) {
                     const auto key = [this](const placement_group& aGroup) {
                       const auto& job = mJobs.at(aGroup.mJob)->mState.Job();
                       return std::make_tuple(aGroup.mForecast ==
                                                completion_forecast::kTooLate,
                                              aGroup.mPriority,
                                              !aGroup.mGuaranteed,
                                              aGroup.mForecast,
                                              job.mAcceptedAtMs);
                     };
                     return key(aLeft) < key(aRight);
                   });
  for (const auto& [id, worker] : mWorkers) {
    const auto& listed = worker->mListed;
    placement_worker candidate;
    candidate.mId = id;
    candidate.mPool = listed.mPool;
    candidate.mRack = listed.mRack;
    candidate.mLabels = listed.mLabels;
    candidate.mFree = FreeResources(*worker);
    for (const auto& [task, run] : worker->mRuns.Runs()) {
      candidate.mLoadByPriority[run.mPriority] +=
        DominantShare(run.mResources, listed.mCapacity);
      if (run.mStopping) {
        Add(candidate.mReleasedByStops, run.mResources);
      }
    }
    candidate.mTotal = listed.mCapacity;
    candidate.mAcceptsTasks = AcceptsStarts(*worker, now);
    candidate.mScorePenalty = worker->mHealth.PlacementPenalty();
    aWorkerIds.push_back(id);
    input.mWorkers.push_back(std::move(candidate));
  }
  mHeadroom.SetAllowances(input, now);
  mRackPatience.SetRights(input, now);
  return input;
}

void fleet_scheduler::AddGroups(job_entry& aJob, std::vector<placement_group>& aGroups)
{
  const auto& acceptedJob = aJob.mState.Job();
  const auto now = mPorts.mLoop.Now();
  const auto unixMs = mPorts.mUnixMs();
  const auto* queue = mPolicy->QueueNamed(acceptedJob.mQueue);
  aJob.mMayHaveWaitingTasks = false;
  size_t groupsLeft = kMaxGroupsPerJob;
  for (auto occurrence = aJob.mState.FirstUnfinishedOccurrence();
       occurrence < aJob.mState.OccurrenceCount();
       ++occurrence) {
    if (aJob.mState.DueMs(occurrence) > unixMs) {
      aJob.mMayHaveWaitingTasks = true;
      break;
    }
    if (groupsLeft == 0) {
      break;
    }
    for (uint32_t step = 0; step < acceptedJob.mSpec.mSteps.size() && groupsLeft > 0;
         ++step) {
      const auto waiting = aJob.mState.WaitingTasks(occurrence, step);
      if (waiting.empty()) {
        continue;
      }
      aJob.mMayHaveWaitingTasks = true;
      placement_group group;
      group.mJob = acceptedJob.mId;
      group.mOccurrence = occurrence;
      group.mStep = step;
      group.mSpec = acceptedJob.mSpec.mSteps[step];
      group.mPool = queue != nullptr ? queue->mPool : acceptedJob.mPool;
      group.mPriority = acceptedJob.mPriority;
      group.mForecast = ForecastCompletion(aJob.mState, occurrence, unixMs, mDurations);
      group.mGuaranteed = IsWithinGuarantee(acceptedJob);
      group.mMayPreempt =
        acceptedJob.mPriority == 0 &&
        (group.mGuaranteed || group.mForecast == completion_forecast::kOnTime);
      const auto spanRacksDelay = duration(static_cast<int64_t>(
        kSpanRacksAfterEstimates * static_cast<double>(group.mSpec.mEstimate.count())));
      group.mMaySpanRacks = now - aJob.mFirstSeenAt > spanRacksDelay;
      const auto reserved = mReserved.find({ acceptedJob.mId, occurrence, step, 0 });
      if (reserved != mReserved.end()) {
        group.mReserved = reserved->second;
      }
      bool hasNoUnrecordedRuns = true;
      for (const auto index : waiting) {
        const task_ref task{ acceptedJob.mId, occurrence, step, index };
        const auto avoided = aJob.mAvoidedWorkers.find(task);
        if (avoided != aJob.mAvoidedWorkers.end()) {
          group.mAvoidedByIndex[index] = avoided->second;
        }
        hasNoUnrecordedRuns = hasNoUnrecordedRuns && mUnrecordedRuns.count(task) == 0;
        group.mIndices.push_back(index);
      }
      if (group.mSpec.mMaxPerWorker != 0) {
        for (const auto& task : aJob.mState.PlacedTasksOf(occurrence, step)) {
          ++group.mPlacedByWorker[aJob.mState.Task(task).mWorker];
        }
      }
      if (hasNoUnrecordedRuns) {
        aGroups.push_back(std::move(group));
        --groupsLeft;
      }
    }
  }
}

int64_t fleet_scheduler::CountMissingTasks(const job_state& aState,
                                           const task_ref& aFirstTask) const
{
  constexpr int64_t kInServicePercent = 100;
  int64_t inService = 0;
  for (const auto& task :
       aState.PlacedTasksOf(aFirstTask.mOccurrence, aFirstTask.mStep)) {
    const auto* run = FindPlacedRun(aState, task);
    const bool isInService = run != nullptr && !run->mStopping &&
                             !mWorkers.at(aState.Task(task).mWorker)->mIsUnresponsive &&
                             run->mProgress.Percent() >= kInServicePercent;
    inService += isInService ? 1 : 0;
  }
  return int64_t(aState.StepOf(aFirstTask).mCount) - inService;
}

void fleet_scheduler::AddPreemptibleUnits(const std::vector<std::string>& aWorkerIds,
                                          placement_input& aInput) const
{
  const auto now = mPorts.mLoop.Now();
  auto& units = aInput.mPreemptionUnits;
  std::map<task_ref, size_t> gangs;
  std::map<task_ref, int64_t> stopsLeft; // By the first task of the step.
  for (size_t number = 0; number < aWorkerIds.size(); ++number) {
    for (const auto& [task, run] : mWorkers.at(aWorkerIds[number])->mRuns.Runs()) {
      const auto found = mJobs.find(task.mJob);
      if (run.mStopping || found == mJobs.end() ||
          !found->second->mState.HasTask(task)) {
        continue;
      }
      const auto& state = found->second->mState;
      const auto& step = state.StepOf(task);
      if (!step.mGang && EndsBeforeStop(run, now)) {
        Add(aInput.mWorkers[number].mReleasedByStops, run.mResources);
        continue;
      }
      auto first = task;
      first.mIndex = 0;
      if (step.mLongRunning && step.mMaxUnavailable > 0) {
        const auto [left, isNew] = stopsLeft.emplace(first, 0);
        if (isNew) {
          left->second =
            int64_t(step.mMaxUnavailable) - CountMissingTasks(state, first);
        }
        if (left->second < (step.mGang ? int64_t(step.mCount) : 1)) {
          continue;
        }
        left->second -= step.mGang ? 0 : 1;
      }
      auto unit = gangs.find(first);
      if (!step.mGang || unit == gangs.end()) {
        preemption_unit added;
        added.mTask = task;
        added.mPriority = state.Job().mPriority;
        added.mGuaranteed = IsWithinGuarantee(state.Job());
        added.mMayMove = !step.mGang && !step.mLongRunning;
        if (step.mGang) {
          gangs[first] = units.size();
        }
        units.push_back(added);
      }
      auto& target = step.mGang ? units[gangs.at(first)] : units.back();
      target.mResourcesByWorker.emplace_back(number, run.mResources);
      const double seconds =
        static_cast<double>((now - run.mRegisteredAt).count()) / kMsPerSecond;
      target.mLostCoreSeconds +=
        (step.mCheckpointing ? std::min(seconds, kResumeLossSeconds) : seconds) *
        CoresOf(run.mResources);
    }
  }
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
  }
  for (const auto number : aPlan.mUnitsToMove) {
    StopUnit(aInput.mPreemptionUnits[number], kRackClearedReason);
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
  for (const auto& [task, run] : aRuns) {
    placements += placements.empty() ? "" : ",";
    placements += std::to_string(task.mOccurrence) + "." + std::to_string(task.mStep) +
                  "." + std::to_string(task.mIndex) + "/" + std::to_string(run) + "@" +
                  aJob.mState.Task(task).mWorker;
  }
  mPorts.mLog.Write(
    log_event("tasks_placed")
      .Add("job", aJob.mState.Job().mId)
      .Add("runs", placements)
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
      !worker.mIsListed || worker.mRuns.IsLifeUnknown()) {
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
