#include "scheduler/RecordWriter.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace anvildoor {

namespace {

/** Delay of records that are not urgent, so that they share a transaction. */
constexpr duration kBatchDelay{ 120 };
/** Delay before a transaction is sent again after a failed call to the store. */
constexpr duration kRetryDelay{ 120 };

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
  ++mGeneration;
  mActive = false;
  mInFlight = false;
  mSendAt.reset();
  mPendingWrites.clear();
  mRemovals.clear();
  mInFlightCallbacks.clear();
  mInFlightTransaction = store_transaction();
}

std::vector<std::string> record_writer::UnconfirmedKeys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, callbacks] : mPendingWrites) {
    keys.push_back(key);
  }
  for (const auto& put : mInFlightTransaction.mPuts) {
    if (put.mKey != store_keys::kWriter && mPendingWrites.count(put.mKey) == 0) {
      keys.push_back(put.mKey);
    }
  }
  return keys;
}

bool record_writer::IsOfLaterTerm(const std::string& aName, uint64_t aFence)
{
  if (aName.empty()) {
    return false;
  }
  uint64_t fence = 0;
  const auto end = aName.data() + aName.size();
  const auto parsed = std::from_chars(aName.data(), end, fence);
  const bool isWellFormed =
    parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == '.';
  return !isWellFormed || fence > aFence;
}

void record_writer::Write(const std::string& aKey,
                          urgency aUrgency,
                          std::function<void()> aDurable)
{
  if (!mActive) {
    return;
  }
  auto& callbacksOfKey = mPendingWrites[aKey];
  if (aDurable) {
    callbacksOfKey.push_back(std::move(aDurable));
  }
  ScheduleSend(aUrgency == urgency::kImmediate ? duration::zero() : kBatchDelay);
}

bool record_writer::IsInFlight(const std::string& aKey) const
{
  const auto& puts = mInFlightTransaction.mPuts;
  return std::any_of(puts.begin(), puts.end(), [&](const store_put& aPut) {
    return aPut.mKey == aKey;
  });
}

void record_writer::WhenStored(const std::string& aKey, std::function<void()> aDurable)
{
  if (!mActive) {
    return;
  }
  const auto pending = mPendingWrites.find(aKey);
  if (pending != mPendingWrites.end()) {
    pending->second.push_back(std::move(aDurable));
  } else if (IsInFlight(aKey)) {
    mInFlightCallbacks.push_back(std::move(aDurable));
  } else {
    mLoop.Post([this, generation = mGeneration, durable = std::move(aDurable)] {
      if (generation == mGeneration) {
        durable();
      }
    });
  }
}

void record_writer::Remove(const std::vector<std::string>& aKeys,
                           std::function<void()> aDurable)
{
  assert(aKeys.size() <= kMaxRecordsPerTransaction);
  if (mActive) {
    mRemovals.push_back({ aKeys, std::move(aDurable) });
    ScheduleSend(kBatchDelay);
  }
}

void record_writer::ScheduleSend(duration aDelay)
{
  const auto at = mLoop.Now() + aDelay;
  if (mSendAt && *mSendAt <= at) {
    return;
  }
  mSendAt = at;
  if (mInFlight) {
    return;
  }
  const auto timer = ++mTimerGeneration;
  mLoop.RunAfter(aDelay, [this, timer] {
    if (timer == mTimerGeneration && !mInFlight) {
      Send();
    }
  });
}

void record_writer::Send()
{
  if (mInFlight || (mPendingWrites.empty() && mRemovals.empty())) {
    return;
  }
  mInFlight = true;
  mSendAt.reset();
  mBatchName = std::to_string(mTerm.mFence) + "." + std::to_string(++mBatchNumber);
  mInFlightTransaction = store_transaction();
  mInFlightTransaction.mConditions.push_back(
    { store_keys::kScheduler, mTerm.mRevision });
  mInFlightTransaction.mConditions.push_back({ store_keys::kWriter, mWriterRevision });
  mInFlightTransaction.mPuts.push_back({ store_keys::kWriter, mBatchName, 0 });
  size_t recordsLeft = kMaxRecordsPerTransaction;
  while (recordsLeft > 0 && !mPendingWrites.empty()) {
    auto first = mPendingWrites.begin();
    mInFlightTransaction.mPuts.push_back(
      { first->first, mCallbacks.mEncode(first->first), 0 });
    std::move(first->second.begin(),
              first->second.end(),
              std::back_inserter(mInFlightCallbacks));
    mPendingWrites.erase(first);
    --recordsLeft;
  }
  auto& removedKeys = mInFlightTransaction.mRemovals;
  while (!mRemovals.empty() && mRemovals.front().mKeys.size() <= recordsLeft) {
    auto& next = mRemovals.front();
    recordsLeft -= next.mKeys.size();
    std::move(next.mKeys.begin(), next.mKeys.end(), std::back_inserter(removedKeys));
    mInFlightCallbacks.push_back(std::move(next.mDurable));
    mRemovals.pop_front();
  }
  Commit();
}

void record_writer::Commit()
{
  const auto generation = mGeneration;
  ++mTransactions;
  mStore.Commit(mInFlightTransaction,
                [this, generation](const result<transaction_outcome>& aOutcome) {
                  if (generation == mGeneration) {
                    OnCommitResult(aOutcome);
                  }
                });
}

void record_writer::OnCommitResult(const result<transaction_outcome>& aOutcome)
{
  if (!aOutcome) {
    mLog.Write(log_event("record_write_failed")
                 .Add("batch", mBatchName)
                 .Add("error", Describe(aOutcome.error())));
    const auto generation = mGeneration;
    mLoop.RunAfter(kRetryDelay, [this, generation] {
      if (generation == mGeneration) {
        Commit();
      }
    });
    return;
  }
  if (aOutcome->mCommitted) {
    OnCommitted(aOutcome->mRevision);
    return;
  }
  // If the first attempt of a retried transaction was committed, the retry fails its
  // condition. The writer's key then holds the name of this batch.
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
  mInFlightTransaction = store_transaction();
  const auto generation = mGeneration;
  const auto durableCallbacks = std::move(mInFlightCallbacks);
  mInFlightCallbacks.clear();
  for (const auto& callback : durableCallbacks) {
    callback();
    if (generation != mGeneration) {
      return;
    }
  }
  if (mPendingWrites.empty() && mRemovals.empty()) {
    return;
  }
  const auto sendAt = mSendAt.value_or(mLoop.Now());
  mSendAt.reset();
  ScheduleSend(std::max(duration::zero(), sendAt - mLoop.Now()));
}

} // namespace anvildoor
