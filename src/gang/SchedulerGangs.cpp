#include "gang/Scheduler.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr duration kHoldTimeout{ 12'000 };
constexpr duration kRequeueDelay{ 200 };
constexpr duration kSuspectDuration{ 5'000 };
constexpr duration kVictimStopTimeout{ 5'000 };
constexpr duration kMaxPlanInterval{ 5'000 };
constexpr double kMsPerSecond = 1000.0;

double Seconds(duration aSpan)
{
  return static_cast<double>(aSpan.count()) / kMsPerSecond;
}

} // namespace

void scheduler::Tick()
{
  std::lock_guard lock(mMutex);
  if (mEpoch == 0 || !HoldsLease()) {
    return;
  }
  const auto now = mContext.mLoop.Now();
  std::vector<std::string> running;
  bool waiting = false;
  for (const auto& [id, entry] : mJobs) {
    if (entry.mRun) {
      running.push_back(id);
    }
    waiting = waiting || entry.mRecord.mState == job_state::kQueued;
  }
  for (const auto& id : running) {
    auto& entry = mJobs[id];
    const bool awaitingVictims =
      !entry.mVictims.empty() && now - entry.mRecord.mStarted < kVictimStopTimeout;
    if (entry.mRun && !awaitingVictims) {
      Perform(entry, entry.mRun->OnTick(now));
    }
  }
  if (waiting && now - mLastPlanTime >= kMaxPlanInterval) {
    RequestPlan();
  }
}

void scheduler::Perform(job_entry& aJob, const gang_run::actions& aActions)
{
  if (!HoldsLease()) {
    return;
  }
  for (const auto& action : aActions) {
    switch (action.mKind) {
      case gang_action_kind::kPrepare:
        CallPrepare(aJob, action.mWorker);
        break;
      case gang_action_kind::kCommit:
        RecordCommit(aJob);
        break;
      case gang_action_kind::kRelease:
        CallRelease(aJob, action.mWorker);
        break;
      case gang_action_kind::kStop:
        CallStop(aJob, action.mWorker);
        break;
      case gang_action_kind::kEnded:
        OnGangEnded(aJob);
        break;
    }
  }
}

void scheduler::CallPrepare(job_entry& aJob, const std::string& aWorker)
{
  const auto& record = aJob.mRecord;
  prepare_request request;
  request.mEpoch = mEpoch;
  request.mAttempt = aJob.mRun->Attempt();
  request.mJob = record.mId;
  request.mGangTasks = record.mSpec.mShape.mTasks;
  request.mPerTask = record.mSpec.mShape.mPerTask;
  request.mPayload = record.mSpec.mPayload;
  request.mCheckpoint = record.mCheckpoint;
  request.mHoldDuration = kHoldTimeout;
  for (const auto& part : record.mPlacement) {
    if (part.mWorker == aWorker) {
      request.mTasks = part.mTasks;
      break;
    }
    request.mFirstTask += part.mTasks;
  }
  mContext.mWorkers.Prepare(
    aWorker,
    request,
    [this, job = record.mId, attempt = request.mAttempt, aWorker](
      const result<call_ack>& aAnswer) {
      WithRun(job, attempt, [&](job_entry& aEntry) {
        Perform(aEntry,
                aEntry.mRun->OnPrepared(aWorker, aAnswer, mContext.mLoop.Now()));
      });
    });
}

void scheduler::CallRelease(job_entry& aJob, const std::string& aWorker)
{
  const auto attempt = aJob.mRun->Attempt();
  mContext.mWorkers.Release(
    aWorker,
    mEpoch,
    attempt,
    [this, job = aJob.mRecord.mId, attempt, aWorker](const result<call_ack>& aAnswer) {
      WithRun(job, attempt, [&](job_entry& aEntry) {
        Perform(aEntry,
                aEntry.mRun->OnReleased(aWorker, aAnswer, mContext.mLoop.Now()));
      });
    });
}

void scheduler::CallStop(job_entry& aJob, const std::string& aWorker)
{
  const auto attempt = aJob.mRun->Attempt();
  const stop_request request{ mEpoch, attempt, aJob.mStopGrace };
  mContext.mWorkers.Stop(
    aWorker,
    request,
    [this, job = aJob.mRecord.mId, attempt, aWorker](
      const result<member_report>& aAnswer) {
      WithRun(job, attempt, [&](job_entry& aEntry) {
        Perform(aEntry, aEntry.mRun->OnStopped(aWorker, aAnswer, mContext.mLoop.Now()));
      });
    });
}

/** Stops an attempt that no job tracks, or discards an ended attempt's report. */
void scheduler::StopUntrackedAttempt(const std::string& aWorker,
                                     const std::string& aAttempt)
{
  mContext.mWorkers.Stop(aWorker,
                         { mEpoch, aAttempt, duration::zero() },
                         [](const result<member_report>&) {});
}

void scheduler::RecordCommit(job_entry& aJob)
{
  auto& record = aJob.mRecord;
  const auto attempt = aJob.mRun->Attempt();
  record.mState = job_state::kStarting;
  record.mAttempt = attempt;
  ++record.mCommittedAttempts;
  Record(aJob, [this, attempt](job_entry& aEntry) {
    if (!aEntry.mRun || aEntry.mRun->Attempt() != attempt) {
      return;
    }
    const auto& spec = aEntry.mRecord.mSpec;
    const auto now = mContext.mLoop.Now();
    mContext.mMetrics.Observe("job_wait_seconds",
                              spec.mWorkspace,
                              ToString(spec.mClass),
                              Seconds(now - aEntry.mRecord.mSubmitted));
    mContext.mLog.Write(log_event("gang_committed")
                          .Add("job", aEntry.mRecord.mId)
                          .Add("attempt", attempt));
    AppendHistory(aEntry, "committed as attempt " + attempt);
    Perform(aEntry, aEntry.mRun->OnCommitted(now));
  });
}

void scheduler::StopGang(job_entry& aJob, stop_goal aGoal, duration aGrace)
{
  // A preemption does not replace a cancellation that is already in progress.
  if (aJob.mStopGoal != stop_goal::kCancel) {
    aJob.mStopGoal = aGoal;
  }
  aJob.mStopGrace = aJob.mRecord.mSpec.mCheckpointable ? aGrace : duration::zero();
  Perform(aJob, aJob.mRun->RequestStop(mContext.mLoop.Now()));
}

void scheduler::OnGangEnded(job_entry& aJob)
{
  const gang_run run = *aJob.mRun;
  const auto id = aJob.mRecord.mId;
  mJobOfAttempt.erase(run.Attempt());
  aJob.mRun.reset();
  aJob.mVictims.clear();
  if (run.Outcome() != gang_outcome::kCompleted) {
    mContext.mBroken.Add(run.Attempt());
  }
  EndAttempt(aJob, run);
  OnVictimStopped(id);
  RequestPlan();
}

void scheduler::EndAttempt(job_entry& aJob, const gang_run& aRun)
{
  auto& record = aJob.mRecord;
  if (!aRun.Checkpoint().empty()) {
    record.mCheckpoint = aRun.Checkpoint();
  }
  const bool committed = record.mAttempt == aRun.Attempt();
  if (aRun.Outcome() == gang_outcome::kNeverRan && committed) {
    --record.mCommittedAttempts;
    record.mAttempt.clear();
  }
  if (aRun.Outcome() == gang_outcome::kCompleted) {
    record.mResult = aRun.Result();
    for (const auto& worker : aRun.Workers()) {
      mQuarantine.OnSuccess(worker);
    }
    Finish(aJob, job_state::kCompleted, "");
  } else if (aJob.mStopGoal == stop_goal::kCancel) {
    Finish(aJob, job_state::kCancelled, "cancelled by the caller");
  } else if (aRun.Outcome() == gang_outcome::kNeverRan) {
    const auto& worker = aRun.UnreachableWorker();
    if (!worker.empty()) {
      mWorkers[worker].mSuspectUntil = mContext.mLoop.Now() + kSuspectDuration;
    }
    Requeue(aJob,
            worker.empty() ? "the gang was not started"
                           : "worker did not respond: " + worker);
  } else if (aRun.Outcome() == gang_outcome::kFailed) {
    OnTaskFailed(aJob, aRun);
  } else if (!record.mSpec.mIdempotent) {
    Finish(
      aJob,
      job_state::kFailed,
      "a gang member was lost; the job may have run partially and is not idempotent");
  } else {
    Requeue(aJob,
            aJob.mStopGoal == stop_goal::kRequeue
              ? "its borrowed capacity was reclaimed"
              : "a gang member was lost");
  }
}

void scheduler::OnTaskFailed(job_entry& aJob, const gang_run& aRun)
{
  const auto& record = aJob.mRecord;
  const auto now = mContext.mLoop.Now();
  const bool usable = mQuarantine.IsUsable(aRun.FailedWorker(), now);
  const auto verdict = mQuarantine.OnFailure(record.mId, aRun.FailedWorker(), now);
  const auto reason = aRun.FailureReason() + " on " + aRun.FailedWorker();
  if (usable && !mQuarantine.IsUsable(aRun.FailedWorker(), now)) {
    mContext.mLog.Write(
      log_event("worker_quarantined").Add("worker", aRun.FailedWorker()));
  }
  ++aJob.mFailures;
  const auto limit =
    mContext.mConfig.Current()->DefaultsFor(record.mSpec.mWorkspace).mJobAttempts;
  if (!record.mSpec.mIdempotent) {
    Finish(aJob, job_state::kFailed, reason);
  } else if (verdict == failure_action::kEndJob) {
    Finish(aJob,
           job_state::kFailed,
           "the job failed on several workers; last failure: " + reason);
  } else if (aJob.mFailures >= limit) {
    Finish(aJob,
           job_state::kFailed,
           "the attempt limit was reached; last failure: " + reason);
  } else {
    Requeue(aJob, reason);
  }
}

void scheduler::Requeue(job_entry& aJob, const std::string& aReason)
{
  auto& record = aJob.mRecord;
  const bool recorded = record.mState != job_state::kQueued;
  record.mState = job_state::kQueued;
  record.mPlacement.clear();
  record.mGuaranteed.reset();
  record.mReason = aReason;
  aJob.mStopGoal = stop_goal::kNone;
  aJob.mEarliestStart = mContext.mLoop.Now() + kRequeueDelay;
  mContext.mLoop.RunAfter(kRequeueDelay, [this] {
    std::lock_guard lock(mMutex);
    RequestPlan();
  });
  AppendHistory(aJob, "requeued: " + aReason);
  mContext.mLog.Write(
    log_event("job_requeued").Add("job", record.mId).Add("reason", aReason));
  if (recorded) {
    Record(aJob, [](job_entry&) {});
  }
}

void scheduler::Finish(job_entry& aJob, job_state aState, const std::string& aReason)
{
  auto& record = aJob.mRecord;
  record.mState = aState;
  record.mReason = aReason;
  record.mEnded = mContext.mLoop.Now();
  aJob.mRecordingEnd = true;
  Record(aJob, [this](job_entry& aEntry) {
    aEntry.mRecordingEnd = false;
    OnFinished(aEntry);
  });
}

void scheduler::OnFinished(job_entry& aJob)
{
  const auto& record = aJob.mRecord;
  const auto& spec = record.mSpec;
  mContext.mLog.Write(log_event("job_ended")
                        .Add("job", record.mId)
                        .Add("state", ToString(record.mState))
                        .Add("reason", record.mReason));
  mContext.mMetrics.Observe("job_completion_seconds",
                            spec.mWorkspace,
                            ToString(spec.mClass),
                            Seconds(record.mEnded - record.mSubmitted));
  mContext.mMetrics.Count("jobs_ended_total", "state", ToString(record.mState));
  if (record.mState == job_state::kCompleted) {
    mEstimator.Learn(spec.mWorkspace,
                     spec.mClass,
                     std::chrono::seconds(spec.mExpectedSeconds),
                     record.mEnded - record.mStarted);
  }
  mQuarantine.ForgetJob(record.mId);
  AppendHistory(aJob, std::string("ended: ") + ToString(record.mState));
  DiscardReports(aJob);
  AnswerWaiters(aJob);
  RequestPlan();
}

void scheduler::DiscardReports(const job_entry& aJob)
{
  for (const auto& part : aJob.mRecord.mPlacement) {
    if (!aJob.mRecord.mAttempt.empty()) {
      StopUntrackedAttempt(part.mWorker, aJob.mRecord.mAttempt);
    }
  }
}

void scheduler::AnswerWaiters(job_entry& aJob)
{
  const auto shown = VisibleRecord(aJob);
  for (auto& waiter : aJob.mWaiters) {
    mContext.mLoop.Post([done = std::move(waiter), shown] { done(shown); });
  }
  aJob.mWaiters.clear();
  const bool cancelled = shown.mState == job_state::kCancelled;
  const std::string cancelOutcome =
    shown.mCommittedAttempts > 0 ? "stopped" : "not_run";
  const cancel_answer answer{ shown,
                              cancelled ? cancelOutcome : ToString(shown.mState) };
  for (auto& cancel : aJob.mCancelWaiters) {
    mContext.mLoop.Post([done = std::move(cancel), answer] { done(answer); });
  }
  aJob.mCancelWaiters.clear();
}

} // namespace anvildoor
