#include "entry/JobService.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace anvildoor {

namespace {

/** Each job uses two conditions and one put of the transaction. */
constexpr size_t kMaxJobsPerTransaction = store_transaction::kMaxEntries / 3;
/** Jobs submitted within this time are batched into one transaction. */
constexpr duration kBatchDelay{ 2 };
/** Delay before a write without an answer is retried. */
constexpr duration kWriteRetryDelay{ 60 };
/** Maximum age of a cached pending count; the platform allows 2 s. */
constexpr duration kMaxPendingCountAge{ 1'800 };

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
  const auto* name = ToString(aAnswer);
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
