#include "entry/JobService.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvildoor {

namespace {

/** Each job uses two conditions and one put of the transaction. */
constexpr size_t kMaxJobsPerTransaction = store_transaction::kMaxEntries / 3;
/** Shortest time for which an early cancellation keeps its job from being stored. */
constexpr duration kMinEarlyCancelTime{ 60'000 };
/** Longest such time: that of the lease which the early cancellations of a VM share. */
constexpr duration kMaxEarlyCancelTime{ 120'000 };
/** Jobs submitted within this time are batched into one transaction. */
constexpr duration kBatchDelay{ 2 };
/** Delay before a write without an answer is retried. */
constexpr duration kWriteRetryDelay{ 60 };
/**
 * How long a VM tries to tell the scheduler of a cancellation: until one that can't
 * read its inbox has been relieved.
 */
constexpr duration kMaxNotificationTime{ 10'000 };
/** Delay between these attempts. */
constexpr duration kNotificationRetryDelay{ 250 };
/** How long after it was stored a cancellation is answered at the latest. */
constexpr duration kMaxSettlementTime{ 2'000 };
/** A confirmation that is older doesn't tell that the scheduler can still be reached.
 */
constexpr duration kMaxConfirmationAge{ 700 };
/**
 * How long before the answer the job's record is read, which tells what the scheduler
 * has done if it can't be asked.
 */
constexpr duration kRecordCheckTime{ 300 };
/** Period at which a scheduler in this process is asked whether it has settled one. */
constexpr duration kLocalSettlementPeriod{ 10 };
/** The same, if there is no scheduler, or another VM that hasn't applied it. */
constexpr duration kSettlementRetryDelay{ 30 };
/** Maximum age of a cached pending count; the platform allows 2 s. */
constexpr duration kMaxPendingCountAge{ 1'800 };

const char* Name(job_answer aAnswer)
{
  static constexpr const char* kNames[] = { "accepted",   "not_accepted", "overloaded",
                                            "unknown",    "not_found",    "unavailable",
                                            "unconfirmed" };
  return kNames[static_cast<size_t>(aAnswer)];
}

/** Returns why a cancellation could not be stored. */
const char* Reason(error_code aCode)
{
  return aCode == error_code::kUnknownEffect ? "the store did not answer the write"
                                             : "the store did not accept the write";
}

} // namespace

job_service::job_service(const ports& aPorts)
  : mPorts(aPorts)
{
}

void job_service::Submit(const accepted_job& aJob,
                         time_point aDeadline,
                         respond aRespond)
{
  const bool isReachable = mPorts.mStoreIsReachable();
  const bool isInFlight = mSubmissions.count(aJob.mId) != 0;
  if (!isReachable || (!isInFlight && !mPorts.mIsIntakeOpen())) {
    // Fails immediately; if the store is unreachable, the caller can try another VM.
    job_reply reply;
    reply.mAnswer = isReachable ? job_answer::kOverloaded : job_answer::kNotAccepted;
    Report(aJob,
           reply.mAnswer,
           isReachable ? "too many jobs are open" : "the store is unreachable");
    aRespond(reply);
    return;
  }
  auto& pending = mSubmissions[aJob.mId];
  pending.mResponders.push_back(std::move(aRespond));
  if (pending.mResponders.size() > 1) {
    return;
  }
  pending.mJob = aJob;
  pending.mEncodedJob = EncodeJob(aJob);
  pending.mDeadline = aDeadline;
  const auto id = aJob.mId;
  const auto timeLeft = std::max(duration::zero(), aDeadline - mPorts.mLoop.Now());
  mPorts.mLoop.RunAfter(timeLeft, [this, id, aDeadline] {
    AbandonSubmission(id, aDeadline, "the store did not answer in time");
  });
  // If the store answers no call of this VM, it is unlikely to answer by the deadline.
  // Fails early because another VM may reach it.
  mPorts.mLoop.RunAfter(mPorts.mStoreAnswerTimeout, [this, id, aDeadline] {
    if (!mPorts.mStoreIsReachable()) {
      AbandonSubmission(id, aDeadline, "the store is unreachable");
    }
  });
  mQueue.push_back(id);
  ScheduleBatch(kBatchDelay);
}

void job_service::AbandonSubmission(const std::string& aId,
                                    time_point aDeadline,
                                    const char* aReason)
{
  const auto found = mSubmissions.find(aId);
  if (found == mSubmissions.end() || found->second.mDeadline != aDeadline) {
    return;
  }
  const bool wasNeverSent = !found->second.mInFlight && !found->second.mMaybeStored;
  Finish(aId, wasNeverSent ? job_answer::kNotAccepted : job_answer::kUnknown, aReason);
}

void job_service::ScheduleBatch(duration aAfter)
{
  if (mBatchScheduled) {
    return;
  }
  mBatchScheduled = true;
  mPorts.mLoop.RunAfter(aAfter, [this] {
    mBatchScheduled = false;
    SendBatch();
  });
}

void job_service::SendBatch()
{
  store_transaction change;
  std::vector<std::string> ids;
  while (!mQueue.empty() && ids.size() < kMaxJobsPerTransaction) {
    const auto id = mQueue.front();
    mQueue.pop_front();
    const auto found = mSubmissions.find(id);
    if (found == mSubmissions.end() || found->second.mInFlight) {
      continue;
    }
    found->second.mInFlight = true;
    ids.push_back(id);
    change.mConditions.push_back({ store_keys::kJobs + id, 0 });
    change.mConditions.push_back({ store_keys::kCancels + id, 0 });
    change.mPuts.push_back({ store_keys::kJobs + id, found->second.mEncodedJob, 0 });
  }
  if (!ids.empty()) {
    mPorts.mStore.Commit(change,
                         [this, ids](const result<transaction_outcome>& aOutcome) {
                           OnBatchOutcome(ids, aOutcome);
                         });
  }
  if (!mQueue.empty()) {
    ScheduleBatch(duration::zero());
  }
}

void job_service::OnBatchOutcome(const std::vector<std::string>& aIds,
                                 const result<transaction_outcome>& aOutcome)
{
  for (const auto& id : aIds) {
    const auto found = mSubmissions.find(id);
    if (found == mSubmissions.end()) {
      continue;
    }
    auto& pending = found->second;
    pending.mInFlight = false;
    if (aOutcome && aOutcome->mCommitted) {
      Finish(id, job_answer::kAccepted, "stored");
      continue;
    }
    if (aOutcome) {
      const auto exists = [&](const std::string& aKey) {
        const auto& current = aOutcome->mCurrent;
        return std::any_of(current.begin(), current.end(), [&](const auto& aItem) {
          return aItem.mKey == aKey;
        });
      };
      if (exists(store_keys::kJobs + id)) {
        Finish(id, job_answer::kAccepted, "already stored");
      } else if (exists(store_keys::kCancels + id)) {
        Finish(id, job_answer::kNotAccepted, "the job was cancelled before");
      } else {
        mQueue.push_back(id);
        ScheduleBatch(duration::zero());
      }
      continue;
    }
    const auto code = aOutcome.error().mCode;
    pending.mMaybeStored = pending.mMaybeStored || code == error_code::kUnknownEffect;
    if (!pending.mMaybeStored) {
      Finish(id, job_answer::kNotAccepted, "the store did not accept the write");
      continue;
    }
    // Safe to retry with the same condition: only the first write stores the job.
    mQueue.push_back(id);
    ScheduleBatch(kWriteRetryDelay);
  }
}

void job_service::Report(const accepted_job& aJob,
                         job_answer aAnswer,
                         const char* aReason)
{
  const auto* name = Name(aAnswer);
  mPorts.mLog.Write(log_event("job_submitted")
                      .Add("job", aJob.mId)
                      .Add("queue", aJob.mQueue)
                      .Add("workspace", aJob.mWorkspace)
                      .Add("answer", name)
                      .Add("reason", aReason));
  mPorts.mMetrics.Count("submissions_total", "answer", name);
}

void job_service::Finish(const std::string& aId,
                         job_answer aAnswer,
                         const char* aReason)
{
  const auto found = mSubmissions.find(aId);
  const auto pending = std::move(found->second);
  mSubmissions.erase(found);
  Report(pending.mJob, aAnswer, aReason);
  job_reply reply;
  reply.mAnswer = aAnswer;
  for (const auto& each : pending.mResponders) {
    each(reply);
  }
}

void job_service::FinishCancel(const std::string& aId,
                               time_point aAskedAt,
                               const cancel_outcome& aOutcome,
                               const respond& aRespond)
{
  const auto& term = mPorts.mElection.Current();
  const bool isAcknowledged = aOutcome.mAnswer == job_answer::kAccepted;
  mPorts.mLog.Write(
    log_event("job_cancel")
      .Add("job", aId)
      .Add("answer", isAcknowledged ? "acknowledged" : Name(aOutcome.mAnswer))
      .Add("reason", aOutcome.mReason)
      .Add("revision", static_cast<int64_t>(aOutcome.mRevision))
      .Add("ms", (mPorts.mLoop.Now() - aAskedAt).count())
      .Add("settle_ms", aOutcome.mSettledAfter.count())
      .Add("scheduler", term.mVm)
      .Add("fence", static_cast<int64_t>(term.mFence))
      .Add("schedules", mPorts.mElection.IsHolder() ? 1 : 0)
      .Add("drains", mPorts.mIsDraining() ? 1 : 0));
  job_reply reply;
  reply.mAnswer = aOutcome.mAnswer;
  aRespond(reply);
}

void job_service::Cancel(const std::string& aId,
                         const std::string& aWorkspace,
                         time_point aDeadline,
                         respond aRespond)
{
  const auto finish = [this, aId, askedAt = mPorts.mLoop.Now(), aRespond](
                        const cancel_outcome& aOutcome) {
    FinishCancel(aId, askedAt, aOutcome, aRespond);
  };
  CancelStored(aId, aWorkspace, aDeadline, finish);
}

void job_service::CancelStored(const std::string& aId,
                               const std::string& aWorkspace,
                               time_point aDeadline,
                               const finish_cancel& aFinish)
{
  mPorts.mStore.Get(
    store_keys::kJobs + aId,
    [this, aId, aWorkspace, aDeadline, finish = aFinish](
      const result<std::optional<stored_item>>& aItem) {
      if (!aItem) {
        finish({ job_answer::kUnavailable, 0, "the job could not be read" });
        return;
      }
      if (!*aItem) {
        CancelBeforeSubmission(aId, aWorkspace, aDeadline, finish);
        return;
      }
      const auto job = DecodeJob(aId, (*aItem)->mValue);
      if (!job || (!aWorkspace.empty() && job->mWorkspace != aWorkspace)) {
        finish({ job_answer::kNotFound, 0, "the workspace has no such job" });
        return;
      }
      // A job's key is written once, so a failed condition means that the job has been
      // removed, and that nobody would remove a cancellation written now.
      store_transaction change;
      change.mConditions.push_back({ store_keys::kJobs + aId, (*aItem)->mRevision });
      change.mPuts.push_back({ store_keys::kCancels + aId, "1", 0 });
      mPorts.mStore.Commit(
        change,
        [this, aId, aDeadline, finish](const result<transaction_outcome>& aOutcome) {
          if (!aOutcome) {
            finish({ job_answer::kUnavailable, 0, Reason(aOutcome.error().mCode) });
          } else if (!aOutcome->mCommitted) {
            finish({ job_answer::kNotFound, 0, "the job has been removed" });
          } else {
            OnCancelStored(aId, aOutcome->mRevision, aDeadline, finish);
          }
        });
    });
}

void job_service::CancelBeforeSubmission(const std::string& aId,
                                         const std::string& aWorkspace,
                                         time_point aDeadline,
                                         const finish_cancel& aFinish)
{
  const auto now = mPorts.mLoop.Now();
  if (mEarlyCancelLease != 0 && now < mEarlyCancelLeaseUsableUntil) {
    StoreEarlyCancellation(aId, aWorkspace, aDeadline, aFinish);
    return;
  }
  mPorts.mStore.GrantLease(
    kMaxEarlyCancelTime,
    [this, aId, aWorkspace, aDeadline, aFinish, now](const result<uint64_t>& aLease) {
      if (!aLease) {
        aFinish({ job_answer::kUnavailable, 0, "the store granted no lease" });
        return;
      }
      mEarlyCancelLease = *aLease;
      mEarlyCancelLeaseUsableUntil = now + kMaxEarlyCancelTime - kMinEarlyCancelTime;
      StoreEarlyCancellation(aId, aWorkspace, aDeadline, aFinish);
    });
}

void job_service::StoreEarlyCancellation(const std::string& aId,
                                         const std::string& aWorkspace,
                                         time_point aDeadline,
                                         const finish_cancel& aFinish)
{
  store_transaction change;
  change.mConditions.push_back({ store_keys::kJobs + aId, 0 });
  change.mPuts.push_back({ store_keys::kCancels + aId, "1", mEarlyCancelLease });
  mPorts.mStore.Commit(
    change,
    [this, aId, aWorkspace, aDeadline, aFinish](
      const result<transaction_outcome>& aOutcome) {
      if (!aOutcome) {
        mEarlyCancelLease = 0; // It may have ended.
        aFinish({ job_answer::kUnavailable, 0, Reason(aOutcome.error().mCode) });
      } else if (aOutcome->mCommitted) {
        aFinish(
          { job_answer::kNotFound, aOutcome->mRevision, "the job is not stored" });
      } else {
        CancelStored(
          aId, aWorkspace, aDeadline, aFinish); // The job has been stored meanwhile.
      }
    });
}

void job_service::OnCancelStored(const std::string& aId,
                                 uint64_t aRevision,
                                 time_point aDeadline,
                                 const finish_cancel& aFinish)
{
  const auto now = mPorts.mLoop.Now();
  const auto& term = mPorts.mElection.Current();
  mPorts.mLog.Write(log_event("cancel_stored")
                      .Add("job", aId)
                      .Add("revision", static_cast<int64_t>(aRevision))
                      .Add("scheduler", term.mVm)
                      .Add("fence", static_cast<int64_t>(term.mFence)));
  auto pending = std::make_shared<settlement>();
  pending->mJob = aId;
  pending->mRevision = aRevision;
  pending->mStoredAt = now;
  pending->mFinish = aFinish;
  cancel_notice notice;
  notice.mJob = aId;
  notice.mRevision = aRevision;
  notice.mStoredAt = now;
  notice.mSettlement = pending;
  mPorts.mGuard.Observe(aId, aRevision);
  NotifyFormerSchedulers(notice);
  NotifyScheduler(notice);
  const auto wait = std::clamp(aDeadline - now, duration::zero(), kMaxSettlementTime);
  mPorts.mLoop.RunAfter(std::max(duration::zero(), wait - kRecordCheckTime),
                        [this, pending] { CheckRecord(pending); });
  mPorts.mLoop.RunAfter(wait, [this, pending] { FinishUnsettled(pending); });
  AwaitSettlement(pending);
}

void job_service::AwaitSettlement(const pending_settlement& aSettlement)
{
  if (aSettlement->mIsAnswered) {
    return;
  }
  const auto term = mPorts.mElection.Current();
  if (term.mFence == 0 || mPorts.mElection.IsHolder()) {
    mPorts.mScheduler.ObserveCancellation(aSettlement->mJob, aSettlement->mRevision);
    OnProgress(aSettlement,
               term.mFence,
               mPorts.mScheduler.ProgressOfCancellation(aSettlement->mJob),
               kLocalSettlementPeriod);
    return;
  }
  mPorts.mPeers.AwaitCancellation(
    term.mAddress,
    aSettlement->mJob,
    aSettlement->mRevision,
    [this, aSettlement, fence = term.mFence](
      const result<std::optional<cancel_progress>>& aAnswer) {
      const auto progress = aAnswer ? aAnswer->value_or(cancel_progress::kNotApplied)
                                    : cancel_progress::kNotApplied;
      OnProgress(aSettlement, fence, progress, kSettlementRetryDelay);
    });
}

void job_service::OnProgress(const pending_settlement& aSettlement,
                             uint64_t aFence,
                             cancel_progress aProgress,
                             duration aRetryDelay)
{
  if (aSettlement->mIsAnswered) {
    return;
  }
  if (aProgress != cancel_progress::kNotApplied) {
    NoteApplied(aSettlement, aFence);
  }
  // A successor may have placed runs that the scheduler which was asked can't know.
  const bool isOfPresentTerm = aFence == mPorts.mElection.Current().mFence;
  if (aProgress != cancel_progress::kSettled || !isOfPresentTerm) {
    mPorts.mLoop.RunAfter(aRetryDelay,
                          [this, aSettlement] { AwaitSettlement(aSettlement); });
    return;
  }
  aSettlement->mIsAnswered = true;
  const auto settledAfter = mPorts.mLoop.Now() - aSettlement->mStoredAt;
  mPorts.mMetrics.Observe("cancel_settle_seconds", "", "", ToSeconds(settledAfter));
  aSettlement->mFinish(
    { job_answer::kAccepted, aSettlement->mRevision, "settled", settledAfter });
}

void job_service::CheckRecord(const pending_settlement& aSettlement)
{
  if (aSettlement->mIsAnswered) {
    return;
  }
  mPorts.mStore.Get(
    store_keys::kProgress + aSettlement->mJob,
    [this, aSettlement](const result<std::optional<stored_item>>& aItem) {
      const auto outcome =
        aItem && *aItem ? DecodeOutcome((*aItem)->mValue) : std::nullopt;
      if (outcome && *outcome != job_outcome::kOpen) {
        NoteApplied(aSettlement, mPorts.mElection.Current().mFence);
      }
    });
}

void job_service::NoteApplied(const pending_settlement& aSettlement,
                              uint64_t aFence) const
{
  aSettlement->mAppliedFence = aFence;
  aSettlement->mAppliedAt = mPorts.mLoop.Now();
}

void job_service::FinishUnsettled(const pending_settlement& aSettlement)
{
  if (std::exchange(aSettlement->mIsAnswered, true)) {
    return;
  }
  // A worker may be cut off for long; the scheduler goes on telling it to stop. One
  // that has been cut off from here since may not reach the workers beside this VM.
  const bool isApplied =
    aSettlement->mAppliedAt &&
    mPorts.mLoop.Now() - *aSettlement->mAppliedAt <= kMaxConfirmationAge &&
    aSettlement->mAppliedFence == mPorts.mElection.Current().mFence;
  aSettlement->mFinish({ isApplied ? job_answer::kAccepted : job_answer::kUnconfirmed,
                         aSettlement->mRevision,
                         isApplied ? "a worker has not answered its stop"
                                   : "no scheduler has confirmed it" });
}

void job_service::NotifyScheduler(cancel_notice aNotice)
{
  if (mPorts.mLoop.Now() - aNotice.mStoredAt >= kMaxNotificationTime) {
    ReportNotice(aNotice, "given_up");
    return;
  }
  ++aNotice.mAttempts;
  if (mPorts.mScheduler.ObserveCancellation(aNotice.mJob, aNotice.mRevision)) {
    NoteApplied(aNotice.mSettlement, mPorts.mElection.Current().mFence);
    ReportNotice(aNotice, "confirmed");
    return;
  }
  const auto retry = [this, aNotice] {
    mPorts.mLoop.RunAfter(kNotificationRetryDelay,
                          [this, aNotice] { NotifyScheduler(aNotice); });
  };
  const auto& term = mPorts.mElection.Current();
  if (term.mFence == 0 || mPorts.mElection.IsHolder()) {
    retry();
    return;
  }
  mPorts.mPeers.NotifyOfCancellation(
    term.mAddress,
    aNotice.mJob,
    aNotice.mRevision,
    [this, aNotice, retry, fence = term.mFence](
      const result<std::optional<std::string>>& aAnswer) {
      if (!aAnswer || !*aAnswer) {
        retry();
      } else {
        NoteApplied(aNotice.mSettlement, fence);
        ReportNotice(aNotice, "confirmed");
      }
    });
}

void job_service::NotifyFormerSchedulers(const cancel_notice& aNotice)
{
  std::set<std::string> notified{ mPorts.mElection.Current().mAddress };
  for (const auto& former : mPorts.mElection.Formers()) {
    const bool isRecent = mPorts.mLoop.Now() - former.mEndedAt < mPorts.mLongestLease;
    if (isRecent && notified.insert(former.mTerm.mAddress).second) {
      mPorts.mPeers.NotifyOfCancellation(
        former.mTerm.mAddress,
        aNotice.mJob,
        aNotice.mRevision,
        [](const result<std::optional<std::string>>&) {});
    }
  }
}

void job_service::ReportNotice(const cancel_notice& aNotice, const char* aAnswer)
{
  if (aNotice.mAttempts == 1) {
    return;
  }
  const auto& term = mPorts.mElection.Current();
  mPorts.mLog.Write(log_event("cancel_notice")
                      .Add("job", aNotice.mJob)
                      .Add("answer", aAnswer)
                      .Add("attempts", aNotice.mAttempts)
                      .Add("ms", (mPorts.mLoop.Now() - aNotice.mStoredAt).count())
                      .Add("scheduler", term.mVm)
                      .Add("fence", static_cast<int64_t>(term.mFence)));
}

void job_service::State(const std::string& aId, respond aRespond)
{
  job_reply reply;
  reply.mAnswer = job_answer::kAccepted;
  if (const auto state = mPorts.mScheduler.StateOf(aId)) {
    reply.mState = *state;
    aRespond(reply);
    return;
  }
  const auto& term = mPorts.mElection.Current();
  if (term.mFence == 0 || mPorts.mElection.IsHolder()) {
    StateFromStore(aId, aRespond);
    return;
  }
  mPorts.mPeers.StateOf(
    term.mAddress,
    aId,
    [this, aId, aRespond](const result<std::optional<std::string>>& aState) {
      if (!aState || !*aState) {
        StateFromStore(aId, aRespond);
        return;
      }
      job_reply peerReply;
      peerReply.mAnswer = job_answer::kAccepted;
      peerReply.mState = **aState;
      aRespond(peerReply);
    });
}

void job_service::StateFromStore(const std::string& aId, const respond& aRespond)
{
  mPorts.mStore.Get(
    store_keys::kProgress + aId,
    [this, aId, aRespond](const result<std::optional<stored_item>>& aItem) {
      job_reply reply;
      if (aItem && *aItem) {
        const auto outcome = DecodeOutcome((*aItem)->mValue);
        reply.mAnswer = outcome ? job_answer::kAccepted : job_answer::kUnavailable;
        reply.mState =
          outcome && *outcome != job_outcome::kOpen ? ToString(*outcome) : "running";
        aRespond(reply);
        return;
      }
      if (!aItem) {
        aRespond(reply);
        return;
      }
      mPorts.mStore.Get(store_keys::kJobs + aId,
                        [aRespond](const result<std::optional<stored_item>>& aJob) {
                          job_reply found;
                          if (aJob) {
                            found.mAnswer =
                              *aJob ? job_answer::kAccepted : job_answer::kNotFound;
                            found.mState = "queued";
                          }
                          aRespond(found);
                        });
    });
}

void job_service::Pending(const std::string& aQueue, respond aRespond)
{
  job_reply reply;
  reply.mAnswer = job_answer::kAccepted;
  if (const auto count = mPorts.mScheduler.PendingOf(aQueue)) {
    reply.mPending = *count;
    aRespond(reply);
    return;
  }
  const auto& term = mPorts.mElection.Current();
  if (term.mFence == 0 || mPorts.mElection.IsHolder()) {
    PendingFromCache(aQueue, aRespond);
    return;
  }
  mPorts.mPeers.PendingOf(
    term.mAddress,
    aQueue,
    [this, aQueue, aRespond](const result<std::optional<size_t>>& aCount) {
      if (!aCount || !*aCount) {
        PendingFromCache(aQueue, aRespond);
        return;
      }
      mPending[aQueue] = { **aCount, mPorts.mLoop.Now() };
      job_reply peerReply;
      peerReply.mAnswer = job_answer::kAccepted;
      peerReply.mPending = **aCount;
      aRespond(peerReply);
    });
}

void job_service::PendingFromCache(const std::string& aQueue, const respond& aRespond)
{
  job_reply reply;
  const auto found = mPending.find(aQueue);
  if (found != mPending.end() &&
      mPorts.mLoop.Now() - found->second.mReceivedAt < kMaxPendingCountAge) {
    reply.mAnswer = job_answer::kAccepted;
    reply.mPending = found->second.mCount;
  }
  aRespond(reply);
}

} // namespace anvildoor
