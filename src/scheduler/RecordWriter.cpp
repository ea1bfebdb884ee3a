#include "scheduler/RecordWriter.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Delay of records that nothing waits for, so that they share a transaction. */
constexpr duration kGather{ 120 };
/** Delay before a transaction is sent again after a failed call to the store. */
constexpr duration kRetry{ 120 };
/** Limit of a transaction less its two conditions and the writer's key. */
constexpr size_t kRecordsAtOnce = store_transaction::kMaxEntries - 3;

} // namespace

record_writer::record_writer(event_loop& aLoop,
                             transaction_store& aStore,
                             event_log& aLog,
                             callbacks aCallbacks)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mCallbacks(std::move(aCallbacks))
{
}

void record_writer::Begin(const scheduler_term& aTerm, uint64_t aWriterRevision)
{
  End();
  mTerm = aTerm;
  mWriterRevision = aWriterRevision;
  mActive = true;
}

void record_writer::End()
{
  ++mRound;
  mActive = false;
  mInFlight = false;
  mSendAt.reset();
  mWaiting.clear();
  mRemovals.clear();
  mSentNotices.clear();
}

void record_writer::Write(const std::string& aKey,
                          haste aHaste,
                          std::function<void()> aDurable)
{
  if (!mActive) {
    return;
  }
  auto& waiting = mWaiting[aKey];
  if (aDurable) {
    waiting.push_back(std::move(aDurable));
  }
  SendAfter(aHaste == haste::kNow ? duration::zero() : kGather);
}

void record_writer::Remove(const std::vector<std::string>& aKeys)
{
  if (mActive) {
    mRemovals.insert(mRemovals.end(), aKeys.begin(), aKeys.end());
    SendAfter(kGather);
  }
}

void record_writer::SendAfter(duration aDelay)
{
  const auto at = mLoop.Now() + aDelay;
  if (mSendAt && *mSendAt <= at) {
    return;
  }
  mSendAt = at;
  if (mInFlight) {
    return;
  }
  const auto timer = ++mTimer;
  mLoop.RunAfter(aDelay, [this, timer] {
    if (timer == mTimer && !mInFlight) {
      Send();
    }
  });
}

void record_writer::Send()
{
  if (mInFlight || (mWaiting.empty() && mRemovals.empty())) {
    return;
  }
  mInFlight = true;
  mSendAt.reset();
  mBatchName = std::to_string(mTerm.mFence) + "." + std::to_string(++mBatch);
  mSent = store_transaction();
  mSent.mConditions.push_back({ store_keys::kScheduler, mTerm.mRevision });
  mSent.mConditions.push_back({ store_keys::kWriter, mWriterRevision });
  mSent.mPuts.push_back({ store_keys::kWriter, mBatchName, 0 });
  size_t room = kRecordsAtOnce;
  while (room > 0 && !mWaiting.empty()) {
    auto first = mWaiting.begin();
    mSent.mPuts.push_back({ first->first, mCallbacks.mEncode(first->first), 0 });
    std::move(
      first->second.begin(), first->second.end(), std::back_inserter(mSentNotices));
    mWaiting.erase(first);
    --room;
  }
  while (room > 0 && !mRemovals.empty()) {
    mSent.mRemovals.push_back(std::move(mRemovals.back()));
    mRemovals.pop_back();
    --room;
  }
  Commit();
}

void record_writer::Commit()
{
  const auto round = mRound;
  ++mTransactions;
  mStore.Commit(mSent, [this, round](const result<transaction_outcome>& aOutcome) {
    if (round == mRound) {
      OnOutcome(aOutcome);
    }
  });
}

void record_writer::OnOutcome(const result<transaction_outcome>& aOutcome)
{
  if (!aOutcome) {
    mLog.Write(log_event("record_write_failed")
                 .Add("batch", mBatchName)
                 .Add("error", Describe(aOutcome.error())));
    const auto round = mRound;
    mLoop.RunAfter(kRetry, [this, round] {
      if (round == mRound) {
        Commit();
      }
    });
    return;
  }
  if (aOutcome->mCommitted) {
    OnCommitted(aOutcome->mRevision);
    return;
  }
  // A retried transaction whose first attempt was committed fails its condition; the
  // writer's key then holds this batch's name.
  for (const auto& item : aOutcome->mCurrent) {
    if (item.mKey == store_keys::kWriter && item.mValue == mBatchName) {
      OnCommitted(item.mRevision);
      return;
    }
  }
  mCallbacks.mOnFenced("the store rejected a write of this term");
}

void record_writer::OnCommitted(uint64_t aRevision)
{
  mWriterRevision = aRevision;
  mInFlight = false;
  const auto round = mRound;
  const auto notices = std::move(mSentNotices);
  mSentNotices.clear();
  for (const auto& notice : notices) {
    notice();
    if (round != mRound) {
      return;
    }
  }
  if (mWaiting.empty() && mRemovals.empty()) {
    return;
  }
  const auto wanted = mSendAt.value_or(mLoop.Now());
  mSendAt.reset();
  SendAfter(std::max(duration::zero(), wanted - mLoop.Now()));
}

} // namespace anvildoor
