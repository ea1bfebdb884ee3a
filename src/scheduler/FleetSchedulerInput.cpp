#include "planner/ShortagePolicy.h"
#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** A worker whose last answer is older than this gets no new tasks. */
constexpr duration kMaxAnswerAge{ 2'800 };
/** A gang may span racks after it has waited for this multiple of its estimate. */
constexpr double kSpanRacksAfterEstimates = 3.0;
/** Factor on the pace that a job needs, as its duration is only estimated. */
constexpr double kPaceMargin = 1.15;
/**
 * A group leaves free workers unused for at most so long while room is being made on
 * quicker ones: a stop takes 0.4 s, and is repeated once within this time.
 */
constexpr duration kMaxPaceWait{ 1'200 };
/** Limit on the waiting steps of one job, over its occurrences, in a round. */
constexpr size_t kMaxGroupsPerJob = 128;

/** What is expected of a step whose runs may be stopped. */
struct step_times
{
  duration mSlack{ 0 };    ///< Of its occurrence, if it started over now.
  duration mExpected{ 0 }; ///< Run time of a task.
};

/**
 * Returns whether a run that doesn't last is expected to end by itself before a stop
 * would end it.
 */
bool EndsBeforeStop(const run_info& aRun, time_point aNow)
{
  constexpr duration kTypicalStopTime{ 200 };
  const auto left = aRun.mProgress.TimeLeft(aNow);
  return left && *left <= kTypicalStopTime;
}

} // namespace

std::map<const workspace_rule*, int64_t> fleet_scheduler::DemandByWorkspace() const
{
  std::map<const workspace_rule*, int64_t> demand;
  for (const auto& [id, job] : mJobs) {
    const auto& acceptedJob = job->mState.Job();
    if (acceptedJob.mPriority != 0 || job->mState.Outcome() != job_outcome::kOpen) {
      continue;
    }
    for (const auto& step : acceptedJob.mSpec.mSteps) {
      demand[job->mOwner] += step.mCount * step.mPerTask.mAccelerators;
    }
  }
  return demand;
}

bool fleet_scheduler::IsWithinGuarantee(const job_entry& aJob) const
{
  const auto demand = mPriorityZeroDemand.find(aJob.mOwner);
  return aJob.mOwner != nullptr && aJob.mState.Job().mPriority == 0 &&
         demand != mPriorityZeroDemand.end() &&
         demand->second <= aJob.mOwner->mGuaranteedAccelerators;
}

task_resources fleet_scheduler::FreeResources(const worker_entry& aWorker)
{
  auto free = aWorker.mListed.mCapacity;
  Add(free, aWorker.mRuns.UsedResources(), -1);
  return free;
}

bool fleet_scheduler::AcceptsStarts(const worker_entry& aWorker, time_point aNow) const
{
  return aWorker.mIsListed && !aWorker.mListed.mDraining && aWorker.mRuns.HasLease() &&
         !aWorker.mIsUnresponsive &&
         !mEvacuations.Includes(aWorker.mListed.mDataCentre) &&
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
    candidate.mPace = worker->mPaceClass;
    aWorkerIds.push_back(id);
    input.mWorkers.push_back(std::move(candidate));
  }
  mHeadroom.SetAllowances(input, now);
  mRackPatience.SetRights(input, now);
  return input;
}

pace_class fleet_scheduler::MinPaceOf(const placement_group& aGroup,
                                      const job_state& aState) const
{
  const auto* paces = mPaces.Find(aGroup.mPool);
  const bool isLimited = paces != nullptr && paces->IsUneven() &&
                         aGroup.mForecast == completion_forecast::kOnTime &&
                         !aGroup.mSpec.mLongRunning;
  if (!isLimited) {
    return pace_class::kSlow;
  }
  const auto needed =
    kPaceMargin *
    RequiredPace(aState, aGroup.mOccurrence, mPorts.mUnixMs(), mDurations);
  return needed > paces->TypicalPace(pace_class::kSlow) ? pace_class::kUsual
                                                        : pace_class::kSlow;
}

void fleet_scheduler::AddGroups(job_entry& aJob, std::vector<placement_group>& aGroups)
{
  const auto& acceptedJob = aJob.mState.Job();
  const auto now = mPorts.mLoop.Now();
  const auto unixMs = mPorts.mUnixMs();
  const auto* queue = mOwners->Policy().QueueNamed(acceptedJob.mQueue);
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
      group.mSlack =
        SlackOf(aJob.mState, occurrence, unixMs, mDurations, group.mForecast);
      group.mMinPace = MinPaceOf(group, aJob.mState);
      const auto paceWait = mPaceWaits.find({ acceptedJob.mId, occurrence, step, 0 });
      group.mMayWaitForPace =
        paceWait == mPaceWaits.end() || now - paceWait->second < kMaxPaceWait;
      group.mGuaranteed = IsWithinGuarantee(aJob);
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
      group.mCoreSeconds =
        static_cast<double>(group.mIndices.size()) * CoresOf(group.mSpec.mPerTask) *
        ToSeconds(
          mDurations.ExpectedDuration(acceptedJob.mQueue, group.mSpec.mEstimate));
      group.mPatience = group.mForecast == completion_forecast::kOnTime
                          ? PatienceFor(group.mSlack)
                          : duration::zero();
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
  std::map<task_ref, step_times> times;  // By the first task of the step.
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
      if (!step.mGang && !step.mLongRunning && EndsBeforeStop(run, now)) {
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
        added.mGuaranteed = IsWithinGuarantee(*found->second);
        added.mMayMove = !step.mGang && !step.mLongRunning;
        if (step.mGang) {
          gangs[first] = units.size();
        }
        units.push_back(added);
      }
      auto& target = step.mGang ? units[gangs.at(first)] : units.back();
      target.mResourcesByWorker.emplace_back(number, run.mResources);
      const auto [known, isNewStep] = times.emplace(first, step_times());
      if (isNewStep) {
        known->second = {
          SlackOf(state,
                  task.mOccurrence,
                  mPorts.mUnixMs(),
                  mDurations,
                  completion_forecast::kOnTime),
          mDurations.ExpectedDuration(state.Job().mQueue, step.mEstimate),
        };
      }
      const auto& [slack, expected] = known->second;
      const auto elapsed = now - run.mRegisteredAt;
      const auto cores = CoresOf(run.mResources);
      const stop_effect effect{ .mSlackOfRestart = slack,
                                .mElapsed = elapsed,
                                .mCoreSeconds = ToSeconds(expected) * cores,
                                .mKeepsWork = step.mCheckpointing };
      target.mLostCoreSeconds += WorkLostBy(effect, cores);
      target.mLateCoreSeconds += step.mLongRunning ? 0.0 : WorkMadeLateBy(effect);
      // Without a report of its progress, nobody knows that it ends soon.
      const auto left =
        run.mProgress.TimeLeft(now).value_or(run_progress::kMaxTimeLeft);
      const auto endsIn = step.mLongRunning ? run_progress::kMaxTimeLeft : left;
      const bool isFirstRun = target.mResourcesByWorker.size() == 1;
      target.mEndsIn = isFirstRun ? endsIn : std::max(target.mEndsIn, endsIn);
    }
  }
}

} // namespace anvildoor
