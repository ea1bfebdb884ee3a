#include "entry/JobCancellations.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvildoor {

namespace {

/** Shortest time for which an early cancellation keeps its job from being stored. */
constexpr duration kMinEarlyCancelTime{ 60'000 };
/** Longest such time: that of the lease which the early cancellations of a VM share. */
constexpr duration kMaxEarlyCancelTime{ 120'000 };
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

/** Returns why a cancellation could not be stored. */
const char* Reason(error_code aCode)
{
  return aCode == error_code::kUnknownEffect ? "the store did not answer the write"
                                             : "the store did not accept the write";
}

} // namespace

void job_cancellations::FinishCancel(const std::string& aId,
                                     time_point aAskedAt,
                                     const cancel_outcome& aOutcome,
                                     const respond& aRespond)
{
  const auto& term = mPorts.mElection.Current();
  const bool isAcknowledged = aOutcome.mAnswer == job_answer::kAccepted;
  mPorts.mLog.Write(
    log_event("job_cancel")
      .Add("job", aId)
      .Add("answer", isAcknowledged ? "acknowledged" : ToString(aOutcome.mAnswer))
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

void job_cancellations::Cancel(const std::string& aId,
                               const job_caller& aCaller,
                               time_point aDeadline,
                               respond aRespond)
{
  const auto finish = [this, aId, askedAt = mPorts.mLoop.Now(), aRespond](
                        const cancel_outcome& aOutcome) {
    FinishCancel(aId, askedAt, aOutcome, aRespond);
  };
  CancelStored(aId, aCaller, aDeadline, finish);
}

bool job_cancellations::CheckCaller(const accepted_job& aJob,
                                    const job_caller& aCaller) const
{
  const auto owners = mPorts.mOwners();
  if (owners && owners->MayCancel(aJob, aCaller)) {
    return true;
  }
  const auto* owner = owners ? owners->OwnerOf(aJob) : nullptr;
  mPorts.mLog.Write(log_event("cancel_refused")
                      .Add("job", aJob.mId)
                      .Add("queue", aJob.mQueue)
                      .Add("called_queue", aCaller.mQueue)
                      .Add("submitted_by", aJob.mWorkspace)
                      .Add("owner", owner == nullptr ? "" : owner->mName)
                      .Add("has_key", aCaller.mKeyDigest.empty() ? 0 : 1));
  return false;
}

void job_cancellations::CancelStored(const std::string& aId,
                                     const job_caller& aCaller,
                                     time_point aDeadline,
                                     const finish_cancel& aFinish)
{
  mPorts.mStore.Get(
    store_keys::kJobs + aId,
    [this, aId, aCaller, aDeadline, finish = aFinish](
      const result<std::optional<stored_item>>& aItem) {
      if (!aItem) {
        finish({ job_answer::kUnavailable, 0, "the job could not be read" });
        return;
      }
      if (!*aItem) {
        CancelBeforeSubmission(aId, aCaller, aDeadline, finish);
        return;
      }
      const auto job = DecodeJob(aId, (*aItem)->mValue);
      if (!job) {
        finish({ job_answer::kUnavailable, 0, "the stored job is unreadable" });
        return;
      }
      if (!CheckCaller(*job, aCaller)) {
        finish({ job_answer::kForbidden, 0, "the caller has no right to the job" });
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

void job_cancellations::CancelBeforeSubmission(const std::string& aId,
                                               const job_caller& aCaller,
                                               time_point aDeadline,
                                               const finish_cancel& aFinish)
{
  const auto now = mPorts.mLoop.Now();
  if (mEarlyCancelLease != 0 && now < mEarlyCancelLeaseUsableUntil) {
    StoreEarlyCancellation(aId, aCaller, aDeadline, aFinish);
    return;
  }
  mPorts.mStore.GrantLease(
    kMaxEarlyCancelTime,
    [this, aId, aCaller, aDeadline, aFinish, now](const result<uint64_t>& aLease) {
      if (!aLease) {
        aFinish({ job_answer::kUnavailable, 0, "the store granted no lease" });
        return;
      }
      mEarlyCancelLease = *aLease;
      mEarlyCancelLeaseUsableUntil = now + kMaxEarlyCancelTime - kMinEarlyCancelTime;
      StoreEarlyCancellation(aId, aCaller, aDeadline, aFinish);
    });
}

void job_cancellations::StoreEarlyCancellation(const std::string& aId,
                                               const job_caller& aCaller,
                                               time_point aDeadline,
                                               const finish_cancel& aFinish)
{
  store_transaction change;
  change.mConditions.push_back({ store_keys::kJobs + aId, 0 });
  change.mPuts.push_back({ store_keys::kCancels + aId, "1", mEarlyCancelLease });
  mPorts.mStore.Commit(
    change,
    [this, aId, aCaller, aDeadline, aFinish](
      const result<transaction_outcome>& aOutcome) {
      if (!aOutcome) {
        mEarlyCancelLease = 0; // It may have ended.
        aFinish({ job_answer::kUnavailable, 0, Reason(aOutcome.error().mCode) });
      } else if (aOutcome->mCommitted) {
        aFinish(
          { job_answer::kNotFound, aOutcome->mRevision, "the job is not stored" });
      } else {
        CancelStored(
          aId, aCaller, aDeadline, aFinish); // The job has been stored meanwhile.
      }
    });
}

void job_cancellations::OnCancelStored(const std::string& aId,
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

void job_cancellations::AwaitSettlement(const pending_settlement& aSettlement)
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

void job_cancellations::OnProgress(const pending_settlement& aSettlement,
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

void job_cancellations::CheckRecord(const pending_settlement& aSettlement)
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

void job_cancellations::NoteApplied(const pending_settlement& aSettlement,
                                    uint64_t aFence) const
{
  aSettlement->mAppliedFence = aFence;
  aSettlement->mAppliedAt = mPorts.mLoop.Now();
}

void job_cancellations::FinishUnsettled(const pending_settlement& aSettlement)
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

void job_cancellations::NotifyScheduler(cancel_notice aNotice)
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

void job_cancellations::NotifyFormerSchedulers(const cancel_notice& aNotice)
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

void job_cancellations::ReportNotice(const cancel_notice& aNotice, const char* aAnswer)
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

} // namespace anvildoor
