#include "standin/MemoryTransactionStore.h"

#include <cassert>

namespace anvildoor {

namespace {

/** Number of changes kept for watches; older ones are compacted. */
constexpr size_t kMaxHistoryEntries = 100'000;

bool HasPrefix(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

uint64_t memory_transaction_store::Put(const std::string& aKey,
                                       const std::string& aValue)
{
  RevokeExpiredLeases();
  ++mRevision;
  Write(aKey, aValue, 0);
  NotifyWatches();
  return mRevision;
}

void memory_transaction_store::Remove(const std::string& aKey)
{
  RevokeExpiredLeases();
  ++mRevision;
  Erase(aKey);
  NotifyWatches();
}

void memory_transaction_store::Compact()
{
  mWatchesSuspended = false;
  mHistory.clear();
  mCompactedRevision = mRevision;
  auto watches = std::move(mWatches);
  mWatches.clear();
  for (auto& [id, watch] : watches) {
    stored_changes lost;
    lost.mHistoryLost = true;
    mLoop.Post([done = std::move(watch.mDone), lost] { done(lost); });
  }
}

std::optional<stored_item> memory_transaction_store::Peek(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? std::nullopt : std::optional(found->second);
}

void memory_transaction_store::Write(const std::string& aKey,
                                     const std::string& aValue,
                                     uint64_t aLease)
{
  auto& item = mItems[aKey];
  item.mKey = aKey;
  item.mValue = aValue;
  item.mRevision = mRevision;
  item.mCreateRevision = item.mCreateRevision == 0 ? mRevision : item.mCreateRevision;
  item.mLease = aLease;
  AppendHistory({ item, false });
}

void memory_transaction_store::Erase(const std::string& aKey)
{
  if (mItems.erase(aKey) != 0) {
    stored_change change;
    change.mItem.mKey = aKey;
    change.mItem.mRevision = mRevision;
    change.mRemoved = true;
    AppendHistory(std::move(change));
  }
}

void memory_transaction_store::AppendHistory(stored_change aChange)
{
  mHistory.push_back(std::move(aChange));
  if (mHistory.size() > kMaxHistoryEntries) {
    mCompactedRevision = mHistory.front().mItem.mRevision;
    mHistory.pop_front();
  }
}

void memory_transaction_store::RevokeExpiredLeases()
{
  std::vector<uint64_t> expiredIds;
  for (const auto& [id, entry] : mLeases) {
    if (mLoop.Now() >= entry.mExpiresAt) {
      expiredIds.push_back(id);
    }
  }
  for (const auto id : expiredIds) {
    RevokeLease(id);
  }
}

void memory_transaction_store::RevokeLease(uint64_t aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    ++mRevision;
    Erase(key);
  }
  NotifyWatches();
}

void memory_transaction_store::ScheduleLeaseCheck(uint64_t aLease, duration aDelay)
{
  mLoop.RunAfter(aDelay, [this, aLease] {
    const auto found = mLeases.find(aLease);
    if (found == mLeases.end()) {
      return;
    }
    const auto remaining = found->second.mExpiresAt - mLoop.Now();
    if (remaining <= duration::zero()) {
      RevokeLease(aLease);
    } else {
      ScheduleLeaseCheck(aLease, remaining);
    }
  });
}

stored_changes memory_transaction_store::ChangesAfter(const std::string& aPrefix,
                                                      uint64_t aRevision) const
{
  stored_changes changes;
  changes.mRevision = mRevision;
  for (const auto& change : mHistory) {
    if (change.mItem.mRevision > aRevision && HasPrefix(change.mItem.mKey, aPrefix)) {
      changes.mChanges.push_back(change);
    }
  }
  return changes;
}

void memory_transaction_store::NotifyWatches()
{
  if (mWatchesSuspended) {
    return;
  }
  for (auto at = mWatches.begin(); at != mWatches.end();) {
    auto changes = ChangesAfter(at->second.mPrefix, at->second.mRevision);
    if (changes.mChanges.empty()) {
      ++at;
      continue;
    }
    mLoop.Post([done = std::move(at->second.mDone), changes = std::move(changes)] {
      done(changes);
    });
    at = mWatches.erase(at);
  }
}

void memory_transaction_store::OnGet(const std::string& aKey,
                                     done<std::optional<stored_item>> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  mLoop.Post([item = Peek(aKey), done = std::move(aDone)] { done(item); });
}

void memory_transaction_store::OnList(const std::string& aPrefix,
                                      bool,
                                      done<stored_range> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  stored_range range;
  range.mRevision = mRevision;
  for (auto at = mItems.lower_bound(aPrefix);
       at != mItems.end() && HasPrefix(at->first, aPrefix);
       ++at) {
    range.mItems.push_back(at->second);
  }
  mLoop.Post([range = std::move(range), done = std::move(aDone)] { done(range); });
}

void memory_transaction_store::OnWatch(const std::string& aPrefix,
                                       uint64_t aRevision,
                                       duration aWait,
                                       done<stored_changes> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  stored_changes changes;
  if (aRevision < mCompactedRevision) {
    changes.mHistoryLost = true;
  } else if (!mWatchesSuspended) {
    changes = ChangesAfter(aPrefix, aRevision);
  }
  if (changes.mHistoryLost || !changes.mChanges.empty()) {
    mLoop.Post(
      [changes = std::move(changes), done = std::move(aDone)] { done(changes); });
    return;
  }
  const auto id = mNextWatchId++;
  mWatches[id] = { aPrefix, aRevision, std::move(aDone) };
  mLoop.RunAfter(aWait, [this, id] {
    const auto found = mWatches.find(id);
    if (found == mWatches.end()) {
      return;
    }
    stored_changes noChanges;
    noChanges.mRevision = found->second.mRevision;
    const auto done = std::move(found->second.mDone);
    mWatches.erase(found);
    done(noChanges);
  });
}

void memory_transaction_store::OnCommit(const store_transaction& aChange,
                                        done<transaction_outcome> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  const auto entries =
    aChange.mConditions.size() + aChange.mPuts.size() + aChange.mRemovals.size();
  if (entries > store_transaction::kMaxEntries) {
    mLoop.Post([done = std::move(aDone)] {
      done(Fail(error_code::kRefused, "commit", "store", "too many entries"));
    });
    return;
  }
  for (const auto& put : aChange.mPuts) {
    if (put.mValue.size() > mMaxValueBytes) {
      mLoop.Post([done = std::move(aDone)] {
        done(Fail(error_code::kRefused, "commit", "store", "a value is too large"));
      });
      return;
    }
    if (put.mLease != 0 && mLeases.count(put.mLease) == 0) {
      mLoop.Post([done = std::move(aDone)] {
        done(Fail(error_code::kNotFound, "commit", "store", "no such lease"));
      });
      return;
    }
  }
  transaction_outcome outcome;
  outcome.mCommitted = true;
  for (const auto& condition : aChange.mConditions) {
    const auto item = Peek(condition.mKey);
    const uint64_t revision = item ? item->mRevision : 0;
    outcome.mCommitted = outcome.mCommitted && revision == condition.mRevision;
    if (item) {
      outcome.mCurrent.push_back(*item);
    }
  }
  if (outcome.mCommitted) {
    outcome.mCurrent.clear();
    outcome.mRevision = ++mRevision;
    for (const auto& put : aChange.mPuts) {
      Write(put.mKey, put.mValue, put.mLease);
    }
    for (const auto& key : aChange.mRemovals) {
      Erase(key);
    }
    NotifyWatches();
  }
  mLoop.Post(
    [outcome = std::move(outcome), done = std::move(aDone)] { done(outcome); });
}

void memory_transaction_store::OnGrantLease(duration aTtl, done<uint64_t> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  const auto id = mNextLeaseId++;
  mLeases[id] = { aTtl, mLoop.Now() + aTtl };
  ScheduleLeaseCheck(id, aTtl);
  mLoop.Post([id, done = std::move(aDone)] { done(id); });
}

void memory_transaction_store::OnRenewLease(uint64_t aLease, done<uint64_t> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    mLoop.Post([done = std::move(aDone)] {
      done(Fail(error_code::kNotFound, "renew lease", "store", "the lease has ended"));
    });
    return;
  }
  found->second.mExpiresAt = mLoop.Now() + found->second.mTtl;
  mLoop.Post([aLease, done = std::move(aDone)] { done(aLease); });
}

void memory_transaction_store::OnEndLease(uint64_t aLease, done<uint64_t> aDone)
{
  ++mCallCount;
  RevokeExpiredLeases();
  const bool known = mLeases.count(aLease) != 0;
  if (known) {
    RevokeLease(aLease);
  }
  mLoop.Post([aLease, known, done = std::move(aDone)] {
    if (known) {
      done(aLease);
    } else {
      done(Fail(error_code::kNotFound, "end lease", "store", "the lease has ended"));
    }
  });
}

} // namespace anvildoor
