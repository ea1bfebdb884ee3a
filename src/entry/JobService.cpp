#include "entry/JobService.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Each job uses one condition and one put of the transaction. */
constexpr size_t kJobsAtOnce = store_transaction::kMaxEntries / 2;
/** Jobs submitted within this time are batched into one transaction. */
constexpr duration kGather{ 2 };
/** Delay before a write without an answer is retried. */
constexpr duration kRetry{ 60 };
/** Maximum age of a cached pending count; the platform allows 2 s. */
constexpr duration kPendingKept{ 1'800 };

} // namespace

job_service::job_service(const ports& aPorts)
  : mPorts(aPorts)
{
}

void job_service::Submit(const accepted_job& aJob, time_point aUntil, respond aRespond)
{
  if (!mPorts.mStoreReached()) {
    // Fails immediately so that the caller can try another VM.
    Report(aJob, job_answer::kNotAccepted, "the store is silent");
    job_reply reply;
    reply.mAnswer = job_answer::kNotAccepted;
    aRespond(reply);
    return;
  }
  auto& open = mOpen[aJob.mId];
  open.mResponds.push_back(std::move(aRespond));
  if (open.mResponds.size() > 1) {
    return;
  }
  open.mJob = aJob;
  open.mText = EncodeJob(aJob);
  open.mUntil = aUntil;
  const auto id = aJob.mId;
  const auto left = std::max(duration::zero(), aUntil - mPorts.mLoop.Now());
  mPorts.mLoop.RunAfter(left, [this, id, aUntil] {
    GiveUp(id, aUntil, "the store did not answer in time");
  });
  // If the store answers no call of this VM, it is unlikely to answer by the deadline.
  // Fails early because another VM may reach it.
  mPorts.mLoop.RunAfter(mPorts.mStoreSilent, [this, id, aUntil] {
    if (!mPorts.mStoreReached()) {
      GiveUp(id, aUntil, "the store is silent");
    }
  });
  mQueue.push_back(id);
  SendSoon(kGather);
}

void job_service::GiveUp(const std::string& aId, time_point aUntil, const char* aReason)
{
  const auto found = mOpen.find(aId);
  if (found == mOpen.end() || found->second.mUntil != aUntil) {
    return;
  }
  const bool nothingSent = !found->second.mInFlight && !found->second.mMaybeStored;
  Finish(aId, nothingSent ? job_answer::kNotAccepted : job_answer::kUnknown, aReason);
}

void job_service::SendSoon(duration aAfter)
{
  if (mSendScheduled) {
    return;
  }
  mSendScheduled = true;
  mPorts.mLoop.RunAfter(aAfter, [this] {
    mSendScheduled = false;
    Send();
  });
}

void job_service::Send()
{
  store_transaction change;
  std::vector<std::string> ids;
  while (!mQueue.empty() && ids.size() < kJobsAtOnce) {
    const auto id = mQueue.front();
    mQueue.pop_front();
    const auto found = mOpen.find(id);
    if (found == mOpen.end() || found->second.mInFlight) {
      continue;
    }
    found->second.mInFlight = true;
    ids.push_back(id);
    change.mConditions.push_back({ store_keys::kJobs + id, 0 });
    change.mPuts.push_back({ store_keys::kJobs + id, found->second.mText, 0 });
  }
  if (!ids.empty()) {
    mPorts.mStore.Commit(change,
                         [this, ids](const result<transaction_outcome>& aOutcome) {
                           OnStored(ids, aOutcome);
                         });
  }
  if (!mQueue.empty()) {
    SendSoon(duration::zero());
  }
}

void job_service::OnStored(const std::vector<std::string>& aIds,
                           const result<transaction_outcome>& aOutcome)
{
  for (const auto& id : aIds) {
    const auto found = mOpen.find(id);
    if (found == mOpen.end()) {
      continue;
    }
    auto& open = found->second;
    open.mInFlight = false;
    if (aOutcome && aOutcome->mCommitted) {
      Finish(id, job_answer::kAccepted, "stored");
      continue;
    }
    if (aOutcome) {
      const auto& current = aOutcome->mCurrent;
      const bool isThere =
        std::any_of(current.begin(), current.end(), [&](const auto& aItem) {
          return aItem.mKey == store_keys::kJobs + id;
        });
      if (isThere) {
        Finish(id, job_answer::kAccepted, "already stored");
      } else {
        mQueue.push_back(id);
        SendSoon(duration::zero());
      }
      continue;
    }
    const auto code = aOutcome.error().mCode;
    open.mMaybeStored = open.mMaybeStored || code == error_code::kUnknownEffect;
    if (!open.mMaybeStored) {
      Finish(id, job_answer::kNotAccepted, "the store did not accept the write");
      continue;
    }
    // Safe to retry with the same condition: only the first write stores the job.
    mQueue.push_back(id);
    SendSoon(kRetry);
  }
}

void job_service::Report(const accepted_job& aJob,
                         job_answer aAnswer,
                         const char* aReason)
{
  static constexpr const char* kNames[] = {
    "accepted", "not_accepted", "unknown", "not_found", "unavailable"
  };
  const auto* name = kNames[static_cast<size_t>(aAnswer)];
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
  const auto found = mOpen.find(aId);
  const auto open = std::move(found->second);
  mOpen.erase(found);
  Report(open.mJob, aAnswer, aReason);
  job_reply reply;
  reply.mAnswer = aAnswer;
  for (const auto& each : open.mResponds) {
    each(reply);
  }
}

void job_service::Cancel(const std::string& aId,
                         const std::string& aWorkspace,
                         respond aRespond)
{
  mPorts.mStore.Get(
    store_keys::kJobs + aId,
    [this, aId, aWorkspace, aRespond](const result<std::optional<stored_item>>& aItem) {
      job_reply reply;
      if (!aItem) {
        aRespond(reply);
        return;
      }
      const auto job =
        *aItem
          ? DecodeJob(aId, (*aItem)->mValue)
          : result<accepted_job>(Fail(error_code::kNotFound, "cancel", "store", aId));
      if (!job || (!aWorkspace.empty() && job->mWorkspace != aWorkspace)) {
        reply.mAnswer = job_answer::kNotFound;
        aRespond(reply);
        return;
      }
      store_transaction change;
      change.mPuts.push_back({ store_keys::kCancels + aId, "1", 0 });
      mPorts.mStore.Commit(
        change, [this, aId, aRespond](const result<transaction_outcome>& aOutcome) {
          job_reply done;
          done.mAnswer = aOutcome && aOutcome->mCommitted ? job_answer::kAccepted
                                                          : job_answer::kUnavailable;
          mPorts.mLog.Write(
            log_event("job_cancel").Add("job", aId).Add("stored", aOutcome ? 1 : 0));
          aRespond(done);
        });
    });
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
      job_reply told;
      told.mAnswer = job_answer::kAccepted;
      told.mState = **aState;
      aRespond(told);
    });
}

void job_service::StateFromStore(const std::string& aId, const respond& aRespond)
{
  mPorts.mStore.Get(
    store_keys::kProgress + aId,
    [this, aId, aRespond](const result<std::optional<stored_item>>& aItem) {
      job_reply reply;
      if (aItem && *aItem) {
        const auto outcome = OutcomeIn((*aItem)->mValue);
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
      job_reply told;
      told.mAnswer = job_answer::kAccepted;
      told.mPending = **aCount;
      aRespond(told);
    });
}

void job_service::PendingFromCache(const std::string& aQueue, const respond& aRespond)
{
  job_reply reply;
  const auto found = mPending.find(aQueue);
  if (found != mPending.end() &&
      mPorts.mLoop.Now() - found->second.mAt < kPendingKept) {
    reply.mAnswer = job_answer::kAccepted;
    reply.mPending = found->second.mCount;
  }
  aRespond(reply);
}

} // namespace anvildoor
