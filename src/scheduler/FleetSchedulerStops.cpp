#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"

#include <algorithm>
#include <bit>
#include <set>

namespace anvildoor {

namespace {

/** A run that is listed for longer than this after its job's end counts as overdue. */
constexpr duration kOverdueAfterEnd{ 3'000 };
/** A stop that has had no answer for so long may be lost, and is repeated. */
constexpr duration kUnansweredStopDelay{ 400 };
/** Least time between such repeats to one worker, which may only be slow. */
constexpr duration kMinRepeatPause{ 200 };

/** Returns the number under which a task's run is registered; 0: none. */
uint32_t RegisteredRun(const worker_runs& aRuns, const task_ref& aTask)
{
  const auto found = aRuns.Runs().find(aTask);
  return found == aRuns.Runs().end() ? 0 : found->second.mRun;
}

bool IsListed(const hold_reply& aReply, const task_ref& aTask, uint32_t aRun)
{
  return std::any_of(
    aReply.mRunning.begin(), aReply.mRunning.end(), [&](const auto& aEach) {
      return aEach.mRun == aRun && aEach.mTask == aTask;
    });
}

constexpr const char* kUnansweredReason = "its stop was not answered";

} // namespace

log_event RunEvent(const char* aName,
                   const std::string& aWorker,
                   const task_ref& aTask,
                   uint32_t aRun)
{
  log_event event(aName);
  event.Add("job", aTask.mJob)
    .Add("step", aTask.mStep)
    .Add("index", aTask.mIndex)
    .Add("run", aRun)
    .Add("worker", aWorker);
  return event;
}

void fleet_scheduler::StopRun(worker_entry& aWorker,
                              const task_ref& aTask,
                              uint32_t aRun,
                              const char* aReason)
{
  aWorker.mRuns.MarkStopping(aTask, aRun, mPorts.mLoop.Now());
  const auto former = aWorker.mStops.find({ aTask, aRun });
  const bool isUnanswered =
    former != aWorker.mStops.end() && !former->second.mIsAnswered;
  const bool isSent = MaySendRequests() && !aWorker.mListed.mAddress.empty();
  LogStop(aWorker, aTask, aRun, aReason, isSent);
  ScheduleStopRepeat(aWorker, kUnansweredStopDelay);
  if (!isSent) {
    return;
  }
  stop_run_request request;
  request.mWorker = { aWorker.mListed.mId, aWorker.mListed.mAddress };
  request.mTask = aTask;
  request.mRun = aRun;
  request.mFence = mTerm.mFence;
  request.mOnNewConnection = isUnanswered;
  const auto id = aWorker.mListed.mId;
  const auto sentAt = mPorts.mLoop.Now();
  const auto life = aWorker.mRuns.WorkerStartedAtMs();
  mPorts.mWorkers.Stop(
    request,
    UnlessTermEnded([this, id, aTask, aRun, sentAt, life](const run_answer& aAnswer) {
      const auto found = mWorkers.find(id);
      if (found == mWorkers.end()) {
        return;
      }
      const auto status = aAnswer.mStatus;
      if (status == run_request_status::kFenced) {
        OnFencedBy(*found->second);
        return;
      }
      auto& worker = *found->second;
      ObserveClock(worker, "stop", aAnswer, sentAt);
      LogStopAnswer(worker, aTask, aRun, status);
      const auto& runs = worker.mRuns;
      const bool isOfThisLife =
        !runs.IsLifeUnknown() && (life == 0 || life == runs.WorkerStartedAtMs());
      if (!isOfThisLife) {
        return; // It is repeated, as it says nothing of what another life may start.
      }
      worker.mRuns.OnStopAnswer(aTask, aRun, status, mPorts.mLoop.Now());
      if (IsAnswer(status)) {
        OnStopAnswered(worker, aTask, aRun, sentAt);
      }
    }));
}

void fleet_scheduler::OnStopAnswered(worker_entry& aWorker,
                                     const task_ref& aTask,
                                     uint32_t aRun,
                                     time_point aSentAt)
{
  const auto calls = aWorker.mStops.find({ aTask, aRun });
  if (calls != aWorker.mStops.end()) {
    calls->second.mIsAnswered = true;
  }
  RepeatLostStops(aWorker, aSentAt);
}

std::vector<fleet_scheduler::unanswered_stop> fleet_scheduler::UnansweredStops(
  const worker_entry& aWorker)
{
  std::vector<unanswered_stop> stops;
  for (const auto& [task, run] : aWorker.mRuns.Runs()) {
    const auto calls = aWorker.mStops.find({ task, run.mRun });
    if (run.mStopping && calls != aWorker.mStops.end() && !calls->second.mIsAnswered) {
      stops.push_back({ calls->second.mLastAt, task, run.mRun });
    }
  }
  return stops;
}

void fleet_scheduler::RepeatLostStops(worker_entry& aWorker, time_point aBefore)
{
  for (const auto& stop : UnansweredStops(aWorker)) {
    if (stop.mSentAt < aBefore) {
      StopRun(aWorker, stop.mTask, stop.mRun, kUnansweredReason);
    }
  }
}

void fleet_scheduler::ScheduleStopRepeat(worker_entry& aWorker, duration aAfter)
{
  if (std::exchange(aWorker.mRepeatsStops, true)) {
    return;
  }
  const auto id = aWorker.mListed.mId;
  mPorts.mLoop.RunAfter(aAfter, UnlessTermEnded([this, id] {
                          const auto found = mWorkers.find(id);
                          if (found != mWorkers.end()) {
                            found->second->mRepeatsStops = false;
                            RepeatOldestStop(*found->second);
                          }
                        }));
}

void fleet_scheduler::RepeatOldestStop(worker_entry& aWorker)
{
  const auto stops = UnansweredStops(aWorker);
  if (stops.empty()) {
    return;
  }
  const auto oldest = *std::min_element(stops.begin(), stops.end());
  const auto dueIn = oldest.mSentAt + kUnansweredStopDelay - mPorts.mLoop.Now();
  if (dueIn > duration::zero()) {
    ScheduleStopRepeat(aWorker, dueIn);
    return;
  }
  ScheduleStopRepeat(aWorker, kMinRepeatPause);
  StopRun(aWorker, oldest.mTask, oldest.mRun, kUnansweredReason);
}

void fleet_scheduler::LogStop(worker_entry& aWorker,
                              const task_ref& aTask,
                              uint32_t aRun,
                              const char* aReason,
                              bool aIsSent)
{
  auto& calls = aWorker.mStops[{ aTask, aRun }];
  const auto formerAnswer = std::exchange(calls.mAnswer, std::nullopt);
  ++calls.mCount;
  calls.mLastAt = mPorts.mLoop.Now();
  if (calls.mCount == 1) {
    calls.mFirstAt = mPorts.mLoop.Now();
  }
  if (!std::has_single_bit(calls.mCount)) {
    return;
  }
  const bool isFirst = calls.mCount == 1;
  auto event = RunEvent(
    isFirst ? "run_stop" : "run_stop_retried", aWorker.mListed.mId, aTask, aRun);
  event.Add("registered_run", RegisteredRun(aWorker.mRuns, aTask))
    .Add("sent", aIsSent ? 1 : 0);
  if (!isFirst) {
    event.Add("count", calls.mCount)
      .Add("former_answer", formerAnswer ? ToString(*formerAnswer) : "none");
  }
  mPorts.mLog.Write(event.Add("reason", aReason));
}

void fleet_scheduler::LogStopAnswer(worker_entry& aWorker,
                                    const task_ref& aTask,
                                    uint32_t aRun,
                                    run_request_status aAnswer)
{
  const auto found = aWorker.mStops.find({ aTask, aRun });
  if (found == aWorker.mStops.end()) {
    return;
  }
  auto& calls = found->second;
  calls.mAnswer = aAnswer;
  if (aAnswer != run_request_status::kAccepted && calls.mLoggedAnswer != aAnswer) {
    mPorts.mLog.Write(
      RunEvent("run_stop_failed", aWorker.mListed.mId, aTask, aRun)
        .Add("answer", ToString(aAnswer))
        .Add("since_stop_ms", (mPorts.mLoop.Now() - calls.mFirstAt).count()));
  }
  calls.mLoggedAnswer = aAnswer;
}

void fleet_scheduler::ForgetEndedStops(worker_entry& aWorker, const hold_reply& aReply)
{
  std::erase_if(aWorker.mStops, [&](const auto& aStop) {
    const auto& [task, run] = aStop.first;
    return RegisteredRun(aWorker.mRuns, task) != run && !IsListed(aReply, task, run);
  });
}

void fleet_scheduler::StopTask(const job_entry& aJob,
                               const task_ref& aTask,
                               const char* aReason)
{
  const auto& task = aJob.mState.Task(aTask);
  const auto found = mWorkers.find(task.mWorker);
  if (found == mWorkers.end()) {
    return;
  }
  auto& worker = *found->second;
  const auto run = worker.mRuns.Runs().find(aTask);
  if (run == worker.mRuns.Runs().end() || run->second.mStopping) {
    return;
  }
  StopRun(worker, aTask, task.mRun, aReason);
}

void fleet_scheduler::StopJob(const job_entry& aJob, const char* aReason)
{
  for (const auto& task : aJob.mState.PlacedTasks()) {
    StopTask(aJob, task, aReason);
  }
}

void fleet_scheduler::StopGang(const job_entry& aJob,
                               const task_ref& aTask,
                               uint32_t aRun,
                               const char* aReason)
{
  for (const auto& member : aJob.mState.PlacedTasksOf(aTask.mOccurrence, aTask.mStep)) {
    if (aJob.mState.Task(member).mRun == aRun) {
      StopTask(aJob, member, aReason);
    }
  }
}

void fleet_scheduler::StopNewerRuns(const job_entry& aJob, const task_ref& aTask)
{
  if (aJob.mState.StepOf(aTask).mGang) {
    StopGang(aJob, aTask, aJob.mState.Task(aTask).mRun, kDoneByEarlierRunReason);
  } else if (!aJob.mState.Task(aTask).mWorker.empty()) {
    StopTask(aJob, aTask, kDoneByEarlierRunReason);
  }
}

bool fleet_scheduler::IsCancelled(const job_entry* aJob)
{
  return aJob != nullptr && aJob->mState.Outcome() == job_outcome::kCancelled;
}

void fleet_scheduler::ReportRunEnd(const worker_entry& aWorker,
                                   const run_event& aEvent,
                                   const job_entry* aJob,
                                   bool aIsCurrent)
{
  auto event = RunEvent("run_ended", aWorker.mListed.mId, aEvent.mTask, aEvent.mRun);
  event.Add("end", ToString(aEvent.mEnd))
    .Add("listed", aEvent.mNumber != 0 ? 1 : 0)
    .Add("current", aIsCurrent ? 1 : 0);
  if (aEvent.mEnd != run_end::kDone) {
    event.Add("silent_ms", aWorker.mSilence ? aWorker.mSilence->count() : -1);
  }
  if (aEvent.mEnd != run_end::kDone && aJob != nullptr &&
      aJob->mState.HasTask(aEvent.mTask)) {
    event.Add("failed_runs", aJob->mState.CountedFailedRuns(aEvent.mTask))
      .Add("max_attempts", aJob->mState.Job().mMaxAttempts);
  }
  if (IsCancelled(aJob)) {
    const auto sinceCancel = mPorts.mLoop.Now() - aJob->mEndedAt;
    const auto& job = aJob->mState.Job();
    event.Add("since_cancel_ms", sinceCancel.count());
    mPorts.mMetrics.Observe(
      "cancel_to_end_seconds", job.mWorkspace, job.mQueue, ToSeconds(sinceCancel));
  }
  mPorts.mLog.Write(event);
}

void fleet_scheduler::ReportGangBroken(const worker_entry& aWorker,
                                       const run_event& aEvent,
                                       const job_entry& aJob)
{
  const auto& state = aJob.mState;
  const auto& ended = aEvent.mTask;
  const auto placed = state.PlacedTasksOf(ended.mOccurrence, ended.mStep);
  const auto left = std::count_if(placed.begin(), placed.end(), [&](const auto& aTask) {
    return state.Task(aTask).mRun == aEvent.mRun;
  });
  // All members are placed at once and share the run's number.
  if (left == 0 || left + 1 != int64_t{ state.StepOf(ended).mCount }) {
    return;
  }
  log_event event("gang_broken");
  event.Add("job", ended.mJob)
    .Add("step", ended.mStep)
    .Add("run", aEvent.mRun)
    .Add("first_index", ended.mIndex)
    .Add("worker", aWorker.mListed.mId)
    .Add("end", ToString(aEvent.mEnd))
    .Add("listed", aEvent.mNumber != 0 ? 1 : 0)
    .Add("members_left", left);
  if (IsCancelled(&aJob)) {
    event.Add("since_cancel_ms", (mPorts.mLoop.Now() - aJob.mEndedAt).count());
  }
  mPorts.mLog.Write(event);
  mPorts.mMetrics.Count("gangs_broken_total", "end", ToString(aEvent.mEnd));
}

void fleet_scheduler::LogUnexpectedRun(const worker_entry& aWorker,
                                       const run_event& aEvent,
                                       bool aIsStopped) const
{
  const auto found = mJobs.find(aEvent.mTask.mJob);
  const char* state = "unknown";
  if (found != mJobs.end()) {
    state = found->second->mHasTasks ? ToString(found->second->mState.Outcome())
                                     : "tasks_dropped";
  }
  mPorts.mLog.Write(
    RunEvent("run_unexpected", aWorker.mListed.mId, aEvent.mTask, aEvent.mRun)
      .Add("job_state", state)
      .Add("registered_run", RegisteredRun(aWorker.mRuns, aEvent.mTask))
      .Add("stopped", aIsStopped ? 1 : 0));
}

void fleet_scheduler::OnFencedBy(worker_entry& aWorker)
{
  aWorker.mHasRefusedToken = true;
  OnFenced("worker " + aWorker.mListed.mId + " has received a newer fencing token");
}

cancel_progress fleet_scheduler::ProgressOfCancellation(const std::string& aJob) const
{
  const auto found = mLoaded ? mJobs.find(aJob) : mJobs.end();
  if (!mActive || found == mJobs.end() ||
      found->second->mState.Outcome() == job_outcome::kOpen) {
    return cancel_progress::kNotApplied;
  }
  const auto& job = *found->second;
  std::set<std::string> workers;
  if (job.mHasTasks) {
    for (const auto& task : job.mState.PlacedTasks()) {
      workers.insert(job.mState.Task(task).mWorker);
    }
  }
  for (const auto& place : job.mState.FormerPlaces()) {
    workers.insert(place.mWorker);
  }
  task_ref first;
  first.mJob = aJob;
  for (auto at = mUnrecordedRuns.lower_bound(first);
       at != mUnrecordedRuns.end() && at->first.mJob == aJob;
       ++at) {
    workers.insert(at->second);
  }
  const bool isSettled =
    std::all_of(workers.begin(), workers.end(), [&](const std::string& aWorker) {
      const auto worker = mWorkers.find(aWorker);
      return worker == mWorkers.end() || HasStoppedRunsOf(aJob, *worker->second);
    });
  return isSettled ? cancel_progress::kSettled : cancel_progress::kApplied;
}

bool fleet_scheduler::HasStoppedRunsOf(const std::string& aJob,
                                       const worker_entry& aWorker) const
{
  const auto& runs = aWorker.mRuns;
  if (!runs.HasAcceptedToken()) {
    // It may run what no record shows; it tells by its first answer.
    return mPorts.mLoop.Now() > runs.LeaseExpiresAt();
  }
  task_ref first;
  first.mJob = aJob;
  for (auto at = runs.Runs().lower_bound(first);
       at != runs.Runs().end() && at->first.mJob == aJob;
       ++at) {
    if (!at->second.mStopAnswered) {
      return false;
    }
  }
  for (auto at = aWorker.mStops.lower_bound({ first, 0 });
       at != aWorker.mStops.end() && at->first.first.mJob == aJob;
       ++at) {
    const auto& [task, run] = at->first;
    if (RegisteredRun(runs, task) != run && !at->second.mIsAnswered) {
      return false;
    }
  }
  return true;
}

term_runs fleet_scheduler::RunsOfTerm() const
{
  term_runs runs;
  runs.mFence = mActive ? mTerm.mFence : 0;
  runs.mIsComplete = mActive && mLoaded;
  for (const auto& [id, worker] : mWorkers) {
    if (worker->mHasRefusedToken || worker->mListed.mAddress.empty()) {
      continue;
    }
    for (const auto& [task, run] : worker->mRuns.Runs()) {
      const auto job = mJobs.find(task.mJob);
      const auto revision = job == mJobs.end() ? 0 : job->second->mCancelRevision;
      runs.mRuns.push_back({ { worker->mListed.mId, worker->mListed.mAddress },
                             task,
                             run.mRun,
                             run.mStopAnswered ? 0 : revision });
    }
  }
  return runs;
}

size_t fleet_scheduler::CountOverdueRuns() const
{
  const auto now = mPorts.mLoop.Now();
  size_t overdue = 0;
  for (const auto& [id, worker] : mWorkers) {
    const std::string* jobId = nullptr;
    bool isOverdue = false;
    for (const auto& [task, run] : worker->mRuns.Runs()) {
      // The runs of one job follow each other.
      if (jobId == nullptr || *jobId != task.mJob) {
        jobId = &task.mJob;
        const auto found = mJobs.find(task.mJob);
        isOverdue = found != mJobs.end() &&
                    found->second->mState.Outcome() != job_outcome::kOpen &&
                    now - found->second->mEndedAt > kOverdueAfterEnd;
      }
      overdue += isOverdue ? 1 : 0;
    }
    for (const auto& [run, calls] : worker->mStops) {
      const bool isRegistered = RegisteredRun(worker->mRuns, run.first) == run.second;
      overdue += !isRegistered && now - calls.mFirstAt > kOverdueAfterEnd ? 1 : 0;
    }
  }
  return overdue;
}

} // namespace anvildoor
