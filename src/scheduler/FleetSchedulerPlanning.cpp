#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <cassert>

namespace anvildoor {

namespace {

/** Delay of a planning round, so that several events share it. */
constexpr duration kPlanGather{ 3 };
/**
 * Pause after a round as a multiple of its duration: planning takes at most a quarter
 * of the processor time.
 */
constexpr int kRestPerPlan = 3;
/** A worker whose last answer is older than this gets no new tasks. */
constexpr duration kFreshFor{ 2'800 };
/** A gang may spread over racks after waiting for this multiple of its estimate. */
constexpr double kSpreadAfterRuns = 3.0;
/** Seconds of work that a stop costs a checkpointing task; a restore takes 0.1 s. */
constexpr double kResumeLoss = 0.2;
/** Reason logged for a preempted run. */
constexpr const char* kRoomNeeded = "preempted by a job of higher priority";
constexpr double kMsPerSecond = 1'000.0;

} // namespace

void fleet_scheduler::PlanSoon()
{
  if (mPlanScheduled || !mLoaded) {
    return;
  }
  mPlanScheduled = true;
  mPorts.mLoop.RunAfter(std::max(kPlanGather, mPlanCost * kRestPerPlan),
                        Guarded([this] {
                          mPlanScheduled = false;
                          Plan();
                        }));
}

void fleet_scheduler::Plan()
{
  if (!MayOrder()) {
    return;
  }
  const auto began = mPorts.mLoop.Now();
  std::vector<std::string> workerIds;
  auto input = BuildInput(workerIds);
  if (input.mGroups.empty()) {
    mReserved.clear();
    return;
  }
  auto plan = PlaceTasks(input);
  const bool wantsRoom =
    std::any_of(plan.mWaiting.begin(), plan.mWaiting.end(), [&](size_t aGroup) {
      return input.mGroups[aGroup].mMayPreempt;
    });
  if (wantsRoom) {
    // Candidates for preemption are collected only when a group needs them.
    AddUnits(workerIds, input.mUnits);
    plan = PlaceTasks(input);
  }
  Execute(input, plan, workerIds);
  mPlanCost = mPorts.mLoop.Now() - began;
}

std::map<std::string, int64_t> fleet_scheduler::DemandByWorkspace() const
{
  std::map<std::string, int64_t> demand;
  for (const auto& [id, job] : mJobs) {
    const auto& about = job->mState.Job();
    if (about.mPriority != 0 || job->mState.Outcome() != job_outcome::kOpen) {
      continue;
    }
    for (const auto& step : about.mSpec.mSteps) {
      demand[about.mWorkspace] += step.mCount * step.mPerTask.mAccelerators;
    }
  }
  return demand;
}

bool fleet_scheduler::WithinGuarantee(const accepted_job& aJob) const
{
  const auto& all = mPolicy->mWorkspaces;
  const auto found = std::find_if(all.begin(), all.end(), [&](const auto& aWorkspace) {
    return aWorkspace.mName == aJob.mWorkspace;
  });
  const auto demand = mDemand.find(aJob.mWorkspace);
  return found != all.end() && aJob.mPriority == 0 && demand != mDemand.end() &&
         demand->second <= found->mGuaranteedAccelerators;
}

task_resources fleet_scheduler::FreeOf(const worker_entry& aWorker)
{
  auto free = aWorker.mListed.mCapacity;
  Add(free, aWorker.mRuns.Used(), -1);
  return free;
}

bool fleet_scheduler::TakesStarts(const worker_entry& aWorker, time_point aNow)
{
  return aWorker.mIsListed && !aWorker.mListed.mDraining && aWorker.mRuns.HasLease() &&
         !aWorker.mSilent && aNow - aWorker.mRuns.LastAnswer() < kFreshFor &&
         aWorker.mHealth.IsOpen(aNow, aWorker.mRuns.Runs().size());
}

placement_input fleet_scheduler::BuildInput(std::vector<std::string>& aWorkerIds)
{
  const auto now = mPorts.mLoop.Now();
  placement_input input;
  mDemand = DemandByWorkspace();
  for (auto& [id, job] : mJobs) {
    if (job->mState.Outcome() == job_outcome::kOpen && job->mMayWait) {
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
                       return std::make_tuple(aGroup.mOutlook == job_outlook::kHopeless,
                                              aGroup.mPriority,
                                              !aGroup.mGuaranteed,
                                              aGroup.mOutlook,
                                              job.mAcceptedAtMs);
                     };
                     return key(aLeft) < key(aRight);
                   });
  for (const auto& [id, worker] : mWorkers) {
    const auto& listed = worker->mListed;
    placement_worker place;
    place.mId = id;
    place.mPool = listed.mPool;
    place.mRack = listed.mRack;
    place.mLabels = listed.mLabels;
    place.mFree = FreeOf(*worker);
    for (const auto& [task, run] : worker->mRuns.Runs()) {
      if (run.mStopping) {
        Add(place.mFreeing, run.mResources);
      }
    }
    place.mWhole = listed.mCapacity;
    place.mOpen = TakesStarts(*worker, now);
    place.mReluctance = worker->mHealth.Reluctance();
    aWorkerIds.push_back(id);
    input.mWorkers.push_back(std::move(place));
  }
  return input;
}

void fleet_scheduler::AddGroups(job_entry& aJob, std::vector<placement_group>& aGroups)
{
  const auto& about = aJob.mState.Job();
  const auto now = mPorts.mLoop.Now();
  const auto unixMs = mPorts.mUnixMs();
  const auto* queue = mPolicy->QueueNamed(about.mQueue);
  aJob.mMayWait = false;
  for (uint32_t occurrence = 0; occurrence < aJob.mState.Occurrences(); ++occurrence) {
    if (aJob.mState.DueMs(occurrence) > unixMs) {
      aJob.mMayWait = true;
      break;
    }
    for (uint32_t step = 0; step < about.mSpec.mSteps.size(); ++step) {
      const auto waiting = aJob.mState.Waiting(occurrence, step);
      if (waiting.empty()) {
        continue;
      }
      aJob.mMayWait = true;
      placement_group group;
      group.mJob = about.mId;
      group.mOccurrence = occurrence;
      group.mStep = step;
      group.mSpec = about.mSpec.mSteps[step];
      group.mPool = queue != nullptr ? queue->mPool : about.mPool;
      group.mPriority = about.mPriority;
      group.mOutlook = OutlookOf(aJob.mState, occurrence, unixMs, mDurations);
      group.mGuaranteed = WithinGuarantee(about);
      group.mMayPreempt = about.mPriority == 0 &&
                          (group.mGuaranteed || group.mOutlook == job_outlook::kOnTime);
      const auto patience = duration(static_cast<int64_t>(
        kSpreadAfterRuns * static_cast<double>(group.mSpec.mEstimate.count())));
      group.mMaySpread = now - aJob.mSeenAt > patience;
      const auto reserved = mReserved.find({ about.mId, occurrence, step, 0 });
      if (group.mMayPreempt && reserved != mReserved.end()) {
        group.mReserved = reserved->second;
      }
      bool isSettled = true;
      for (const auto index : waiting) {
        const task_ref task{ about.mId, occurrence, step, index };
        const auto failed = aJob.mFailedOn.find(task);
        if (failed != aJob.mFailedOn.end()) {
          group.mAvoid[index] = failed->second;
        }
        isSettled = isSettled && mStray.count(task) == 0;
        group.mIndices.push_back(index);
      }
      if (group.mSpec.mMaxPerWorker != 0) {
        for (const auto& task : aJob.mState.PlacedIn(occurrence, step)) {
          ++group.mAlready[aJob.mState.Task(task).mWorker];
        }
      }
      if (isSettled) {
        aGroups.push_back(std::move(group));
      }
    }
  }
}

int64_t fleet_scheduler::AwayOf(const job_state& aState, const task_ref& aFirst) const
{
  constexpr int64_t kAtWork = 100;
  int64_t atWork = 0;
  for (const auto& task : aState.PlacedIn(aFirst.mOccurrence, aFirst.mStep)) {
    const auto* run = PlacedRun(aState, task);
    const bool works = run != nullptr && !run->mStopping &&
                       !mWorkers.at(aState.Task(task).mWorker)->mSilent &&
                       run->mProgress.Percent() >= kAtWork;
    atWork += works ? 1 : 0;
  }
  return int64_t(aState.StepOf(aFirst).mCount) - atWork;
}

void fleet_scheduler::AddUnits(const std::vector<std::string>& aWorkerIds,
                               std::vector<placed_unit>& aUnits) const
{
  const auto now = mPorts.mLoop.Now();
  std::map<task_ref, size_t> gangs;
  std::map<task_ref, int64_t> mayStop; // By the first task of the step.
  for (size_t number = 0; number < aWorkerIds.size(); ++number) {
    for (const auto& [task, run] : mWorkers.at(aWorkerIds[number])->mRuns.Runs()) {
      const auto found = mJobs.find(task.mJob);
      if (run.mStopping || found == mJobs.end() || !found->second->mState.Has(task)) {
        continue;
      }
      const auto& state = found->second->mState;
      const auto& step = state.StepOf(task);
      auto first = task;
      first.mIndex = 0;
      if (step.mLongRunning && step.mMayMiss > 0) {
        const auto [left, isNew] = mayStop.emplace(first, 0);
        if (isNew) {
          left->second = int64_t(step.mMayMiss) - AwayOf(state, first);
        }
        if (left->second < (step.mGang ? int64_t(step.mCount) : 1)) {
          continue;
        }
        left->second -= step.mGang ? 0 : 1;
      }
      auto unit = gangs.find(first);
      if (!step.mGang || unit == gangs.end()) {
        placed_unit added;
        added.mTask = task;
        added.mPriority = state.Job().mPriority;
        added.mGuaranteed = WithinGuarantee(state.Job());
        if (step.mGang) {
          gangs[first] = aUnits.size();
        }
        aUnits.push_back(added);
      }
      auto& into = step.mGang ? aUnits[gangs.at(first)] : aUnits.back();
      into.mParts.emplace_back(number, run.mResources);
      const double seconds =
        static_cast<double>((now - run.mSince).count()) / kMsPerSecond;
      into.mLoss += (step.mCheckpointing ? std::min(seconds, kResumeLoss) : seconds) *
                    CoresOf(run.mResources);
    }
  }
}

void fleet_scheduler::Execute(const placement_input& aInput,
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
  for (const auto& start : aPlan.mStarts) {
    const auto& group = aInput.mGroups[start.mGroup];
    auto& job = *mJobs.at(group.mJob);
    const task_ref task{ group.mJob, group.mOccurrence, group.mStep, start.mIndex };
    uint32_t run = job.mState.NextRun(group.mOccurrence, group.mStep, start.mIndex);
    if (group.mSpec.mGang) {
      run = gangRuns.emplace(start.mGroup, run).first->second;
    }
    const auto& workerId = aWorkerIds[start.mWorker];
    job.mState.Place(task, run, workerId);
    mWorkers.at(workerId)->mRuns.Order(task,
                                       run,
                                       OccupiedBy(group.mSpec),
                                       now,
                                       group.mSpec.mEstimate,
                                       !job.mState.Task(task).mCheckpoint.empty());
    placed[group.mJob].emplace_back(task, run);
  }
  for (auto& [id, runs] : placed) {
    LogPlaced(*mJobs.at(id), runs);
    WriteProgress(*mJobs.at(id), record_writer::haste::kNow, [this, started = runs] {
      for (const auto& [task, run] : started) {
        SendStart(task, run);
      }
    });
  }
  for (const auto number : aPlan.mStops) {
    const auto& unit = aInput.mUnits[number];
    const auto& job = *mJobs.at(unit.mTask.mJob);
    const auto run = job.mState.Task(unit.mTask).mRun;
    if (job.mState.StepOf(unit.mTask).mGang) {
      StopGang(job, unit.mTask, run, kRoomNeeded);
    } else {
      StopTask(job, unit.mTask, kRoomNeeded);
    }
  }
}

void fleet_scheduler::LogPlaced(
  const job_entry& aJob,
  const std::vector<std::pair<task_ref, uint32_t>>& aRuns) const
{
  std::string where;
  for (const auto& [task, run] : aRuns) {
    where += where.empty() ? "" : ",";
    where += std::to_string(task.mOccurrence) + "." + std::to_string(task.mStep) + "." +
             std::to_string(task.mIndex) + "/" + std::to_string(run) + "@" +
             aJob.mState.Task(task).mWorker;
  }
  mPorts.mLog.Write(log_event("tasks_placed")
                      .Add("job", aJob.mState.Job().mId)
                      .Add("runs", where)
                      .Add("fence", static_cast<int64_t>(mTerm.mFence))
                      .Add("waited_ms", (mPorts.mLoop.Now() - aJob.mSeenAt).count()));
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
  auto& worker = WorkerNamed(task.mWorker);
  const auto now = mPorts.mLoop.Now();
  const auto run = worker.mRuns.Runs().find(aTask);
  const bool wanted = run != worker.mRuns.Runs().end() && run->second.mRun == aRun &&
                      !run->second.mStopping &&
                      job.mState.Outcome() == job_outcome::kOpen;
  if (!wanted || !MayOrder() || worker.mListed.mDraining || !worker.mIsListed) {
    const auto events =
      worker.mRuns.OnStartAnswer(aTask, aRun, order_answer::kNotSent, now);
    Apply(worker, events);
    return;
  }
  start_order order;
  order.mWorker = { worker.mListed.mId, worker.mListed.mAddress };
  order.mTask = aTask;
  order.mRun = aRun;
  order.mPayload = job.mState.Job().mSpec.mPayload;
  order.mCheckpoint = task.mCheckpoint;
  order.mFence = mTerm.mFence;
  order.mDeadlineOnWorker = worker.mRuns.StartDeadline(now);
  worker.mRuns.NoteStart(aTask, aRun, order.mDeadlineOnWorker, now);
  const auto id = worker.mListed.mId;
  mPorts.mWorkers.Start(
    order, Guarded([this, id, aTask, aRun, now](const order_answer& aAnswer) {
      OnStartAnswer(id, aTask, aRun, aAnswer, now);
    }));
}

void fleet_scheduler::OnStartAnswer(const std::string& aWorker,
                                    const task_ref& aTask,
                                    uint32_t aRun,
                                    order_answer aAnswer,
                                    time_point aSentAt)
{
  const auto now = mPorts.mLoop.Now();
  auto& worker = WorkerNamed(aWorker);
  if (aAnswer == order_answer::kFenced) {
    Fenced("worker " + aWorker + " has received a newer fencing token");
    return;
  }
  if (aAnswer != order_answer::kAccepted) {
    mPorts.mLog.Write(log_event("run_start_failed")
                        .Add("job", aTask.mJob)
                        .Add("step", aTask.mStep)
                        .Add("index", aTask.mIndex)
                        .Add("run", aRun)
                        .Add("worker", aWorker)
                        .Add("answer", ToString(aAnswer))
                        .Add("ms", (now - aSentAt).count()));
    worker.mHealth.OnNoAnswer(now);
  }
  const auto events = worker.mRuns.OnStartAnswer(aTask, aRun, aAnswer, now);
  Apply(worker, events);
  if (aAnswer != order_answer::kAccepted && !worker.mHolding) {
    HoldSoon(worker, duration::zero());
  }
}

} // namespace anvildoor
