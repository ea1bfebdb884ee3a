#include "scheduler/RecordWriter.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <iterator>
#include <utility>

namespace anvildoor {

namespace {

/** Delay of records that are not urgent, so that they share a transaction. */
constexpr duration kBatchDelay{ 120 };
/** Delay before a transaction is sent again after a failed call to the store. */
constexpr duration kRetryDelay{ 120 };
/** Delay before a refused record is sent again if it has been written again. */
constexpr duration kChangedRefusedDelay{ 1'000 };
/** The same if it hasn't: the store may take later what it refuses now. */
constexpr duration kRefusedDelay{ 10'000 };
/** Refused records are sent this far apart, so that others needn't wait for many. */
constexpr duration kRefusedGap{ 200 };
/**
 * Size in bytes after which no further record joins a transaction, so that the smallest
 * links carry it well within the timeout of the call.
 */
constexpr size_t kMaxBatchBytes = 262'144;
/** Transactions that take longer than this until they are stored are logged. */
constexpr duration kSlowWriteAfter{ 1'000 };

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
  mRefusedWrites.clear();
  mRemovals.clear();
  mInFlightWrites.clear();
  mInFlightRemovals.clear();
  mInFlightTransaction = store_transaction();
  mIsRefusedInFlight = false;
  mSinglesLeft = 0;
}

std::vector<std::string> record_writer::UnconfirmedKeys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, callbacks] : mPendingWrites) {
    keys.push_back(key);
  }
  for (const auto& [key, refused] : mRefusedWrites) {
    keys.push_back(key);
  }
  for (const auto& write : mInFlightWrites) {
    if (mPendingWrites.count(write.mKey) == 0) {
      keys.push_back(write.mKey);
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
  if (const auto refused = mRefusedWrites.find(aKey); refused != mRefusedWrites.end()) {
    if (aDurable) {
      refused->second.mDurable.push_back(std::move(aDurable));
    }
    refused->second.mSendAt = std::min(
      refused->second.mSendAt, refused->second.mRefusedAt + kChangedRefusedDelay);
    ScheduleRefused();
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
  return std::any_of(
    mInFlightWrites.begin(), mInFlightWrites.end(), [&](const in_flight_write& aWrite) {
      return aWrite.mKey == aKey;
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
    return;
  }
  const auto refused = mRefusedWrites.find(aKey);
  if (refused != mRefusedWrites.end()) {
    refused->second.mDurable.push_back(std::move(aDurable));
    return;
  }
  for (auto& write : mInFlightWrites) {
    if (write.mKey == aKey) {
      write.mDurable.push_back(std::move(aDurable));
      return;
    }
  }
  mLoop.Post([this, generation = mGeneration, durable = std::move(aDurable)] {
    if (generation == mGeneration) {
      durable();
    }
  });
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

void record_writer::ScheduleRefused()
{
  if (mRefusedWrites.empty()) {
    return;
  }
  const auto next =
    std::min_element(mRefusedWrites.begin(),
                     mRefusedWrites.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.mSendAt < aRight.second.mSendAt;
                     });
  const auto at = std::max(next->second.mSendAt, mRefusedSentAt + kRefusedGap);
  const auto timer = ++mRefusedTimerGeneration;
  mLoop.RunAfter(std::max(duration::zero(), at - mLoop.Now()), [this, timer] {
    if (timer == mRefusedTimerGeneration && !mInFlight) {
      Send();
    }
  });
}

std::map<std::string, record_writer::refused_write>::iterator
record_writer::FindDueRefused()
{
  const auto now = mLoop.Now();
  const bool sendsSingles = mSinglesLeft > 0 && !mPendingWrites.empty();
  if (sendsSingles || now < mRefusedSentAt + kRefusedGap) {
    return mRefusedWrites.end();
  }
  return std::find_if(
    mRefusedWrites.begin(), mRefusedWrites.end(), [now](const auto& aWrite) {
      return aWrite.second.mSendAt <= now;
    });
}

size_t record_writer::AddToTransaction(const std::string& aKey,
                                       durable_callbacks aDurable)
{
  auto value = mCallbacks.mEncode(aKey);
  const auto bytes = value.size();
  mInFlightTransaction.mPuts.push_back({ aKey, std::move(value), 0 });
  mInFlightWrites.push_back({ aKey, std::move(aDurable) });
  return bytes;
}

void record_writer::Send()
{
  const auto dueRefused = FindDueRefused();
  const bool sendsRefused = dueRefused != mRefusedWrites.end();
  if (mInFlight || (mPendingWrites.empty() && mRemovals.empty() && !sendsRefused)) {
    return;
  }
  mInFlight = true;
  mInFlightSince = mLoop.Now();
  mAttempts = 0;
  mSendAt.reset();
  mBatchName = std::to_string(mTerm.mFence) + "." + std::to_string(++mBatchNumber);
  mInFlightTransaction = store_transaction();
  mInFlightTransaction.mConditions.push_back(
    { store_keys::kScheduler, mTerm.mRevision });
  mInFlightTransaction.mConditions.push_back({ store_keys::kWriter, mWriterRevision });
  mInFlightTransaction.mPuts.push_back({ store_keys::kWriter, mBatchName, 0 });
  if (sendsRefused) {
    auto refused = mRefusedWrites.extract(dueRefused);
    mRefusedSentAt = mLoop.Now();
    mIsRefusedInFlight = true;
    AddToTransaction(refused.key(), std::move(refused.mapped().mDurable));
    Commit();
    return;
  }
  size_t recordsLeft = mSinglesLeft > 0 ? 1 : kMaxRecordsPerTransaction;
  size_t bytes = 0;
  while (recordsLeft > 0 && bytes < kMaxBatchBytes && !mPendingWrites.empty()) {
    auto first = mPendingWrites.extract(mPendingWrites.begin());
    bytes += AddToTransaction(first.key(), std::move(first.mapped()));
    --recordsLeft;
  }
  auto& removedKeys = mInFlightTransaction.mRemovals;
  while (mSinglesLeft == 0 && !mRemovals.empty() &&
         mRemovals.front().mKeys.size() <= recordsLeft) {
    const auto& keys = mRemovals.front().mKeys;
    recordsLeft -= keys.size();
    removedKeys.insert(removedKeys.end(), keys.begin(), keys.end());
    mInFlightRemovals.push_back(std::move(mRemovals.front()));
    mRemovals.pop_front();
  }
  mSinglesLeft -= std::min(mSinglesLeft, mInFlightWrites.size());
  Commit();
}

void record_writer::Commit()
{
  const auto generation = mGeneration;
  ++mTransactions;
  ++mAttempts;
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
    if (aOutcome.error().mCode == error_code::kRefused) {
      OnBatchRefused(aOutcome.error());
      return;
    }
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

void record_writer::OnBatchRefused(const error& aError)
{
  mInFlight = false;
  mInFlightTransaction = store_transaction();
  mSendAt.reset();
  if (mInFlightWrites.size() == 1 && mInFlightRemovals.empty()) {
    SetAside(aError);
    return;
  }
  mSinglesLeft = mInFlightWrites.size();
  for (auto& write : mInFlightWrites) {
    auto& callbacks = mPendingWrites[write.mKey];
    callbacks.insert(callbacks.begin(),
                     std::make_move_iterator(write.mDurable.begin()),
                     std::make_move_iterator(write.mDurable.end()));
  }
  std::move(
    mInFlightRemovals.begin(), mInFlightRemovals.end(), std::back_inserter(mRemovals));
  mInFlightWrites.clear();
  mInFlightRemovals.clear();
  ScheduleSend(kRetryDelay);
}

void record_writer::SetAside(const error& aError)
{
  const bool wasSentAgain = std::exchange(mIsRefusedInFlight, false);
  auto write = std::move(mInFlightWrites.front());
  mInFlightWrites.clear();
  auto& refused = mRefusedWrites[write.mKey];
  refused.mDurable = std::move(write.mDurable);
  refused.mRefusedAt = mLoop.Now();
  refused.mSendAt = mLoop.Now() + kRefusedDelay;
  if (auto pending = mPendingWrites.extract(write.mKey)) {
    refused.mDurable.insert(refused.mDurable.end(),
                            std::make_move_iterator(pending.mapped().begin()),
                            std::make_move_iterator(pending.mapped().end()));
    refused.mSendAt = mLoop.Now() + kChangedRefusedDelay;
  }
  ScheduleRefused();
  if (!mPendingWrites.empty() || !mRemovals.empty()) {
    // One that was refused before is sent at intervals, so the others needn't wait.
    ScheduleSend(wasSentAgain ? duration::zero() : kRetryDelay);
  }
  if (!wasSentAgain) {
    mLog.Write(log_event("record_refused")
                 .Add("key", write.mKey)
                 .Add("error", Describe(aError)));
  }
  if (mCallbacks.mOnRefused) {
    mCallbacks.mOnRefused(write.mKey);
  }
}

void record_writer::ReportSlowWrite() const
{
  const auto took = mLoop.Now() - mInFlightSince;
  if (took <= kSlowWriteAfter) {
    return;
  }
  // The writer's key, which each transaction writes, is no record.
  const auto records =
    mInFlightTransaction.mPuts.size() - 1 + mInFlightTransaction.mRemovals.size();
  auto waiting = mPendingWrites.size();
  for (const auto& removed : mRemovals) {
    waiting += removed.mKeys.size();
  }
  mLog.Write(log_event("record_write_slow")
               .Add("batch", mBatchName)
               .Add("ms", took.count())
               .Add("attempts", static_cast<int64_t>(mAttempts))
               .Add("records", static_cast<int64_t>(records))
               .Add("waiting", static_cast<int64_t>(waiting)));
}

void record_writer::OnCommitted(uint64_t aRevision)
{
  ReportSlowWrite();
  mWriterRevision = aRevision;
  mInFlight = false;
  mIsRefusedInFlight = false;
  mInFlightTransaction = store_transaction();
  const auto generation = mGeneration;
  const auto writes = std::exchange(mInFlightWrites, {});
  const auto removals = std::exchange(mInFlightRemovals, {});
  durable_callbacks callbacks;
  for (const auto& write : writes) {
    callbacks.insert(callbacks.end(), write.mDurable.begin(), write.mDurable.end());
  }
  for (const auto& removed : removals) {
    callbacks.push_back(removed.mDurable);
  }
  for (const auto& callback : callbacks) {
    callback();
    if (generation != mGeneration) {
      return;
    }
  }
  ScheduleRefused();
  if (mPendingWrites.empty() && mRemovals.empty()) {
    return;
  }
  const auto sendAt = mSendAt.value_or(mLoop.Now());
  mSendAt.reset();
  ScheduleSend(std::max(duration::zero(), sendAt - mLoop.Now()));
}

} // namespace anvildoor
