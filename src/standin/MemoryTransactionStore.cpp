#include "standin/MemoryTransactionStore.h"

#include <cassert>

namespace anvildoor {

namespace {

/** Number of changes kept for watches; older ones are compacted. */
constexpr size_t kHistory = 100'000;

bool Begins(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

uint64_t memory_transaction_store::Put(const std::string& aKey,
                                       const std::string& aValue)
{
  EndLapsed();
  ++mRevision;
  Write(aKey, aValue, 0);
  WakeWatches();
  return mRevision;
}

void memory_transaction_store::Remove(const std::string& aKey)
{
  EndLapsed();
  ++mRevision;
  Erase(aKey);
  WakeWatches();
}

void memory_transaction_store::Compact()
{
  mSilent = false;
  mHistory.clear();
  mCompacted = mRevision;
  auto watches = std::move(mWatches);
  mWatches.clear();
  for (auto& [number, watch] : watches) {
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
  Record({ item, false });
}

void memory_transaction_store::Erase(const std::string& aKey)
{
  if (mItems.erase(aKey) != 0) {
    stored_change change;
    change.mItem.mKey = aKey;
    change.mItem.mRevision = mRevision;
    change.mRemoved = true;
    Record(std::move(change));
  }
}

void memory_transaction_store::Record(stored_change aChange)
{
  mHistory.push_back(std::move(aChange));
  if (mHistory.size() > kHistory) {
    mCompacted = mHistory.front().mItem.mRevision;
    mHistory.pop_front();
  }
}

void memory_transaction_store::EndLapsed()
{
  std::vector<uint64_t> lapsed;
  for (const auto& [number, held] : mLeases) {
    if (mLoop.Now() >= held.mEndsAt) {
      lapsed.push_back(number);
    }
  }
  for (const auto number : lapsed) {
    DropLease(number);
  }
}

void memory_transaction_store::DropLease(uint64_t aLease)
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
  WakeWatches();
}

void memory_transaction_store::CheckLeaseAt(uint64_t aLease, duration aAfter)
{
  mLoop.RunAfter(aAfter, [this, aLease] {
    const auto found = mLeases.find(aLease);
    if (found == mLeases.end()) {
      return;
    }
    const auto left = found->second.mEndsAt - mLoop.Now();
    if (left <= duration::zero()) {
      DropLease(aLease);
    } else {
      CheckLeaseAt(aLease, left);
    }
  });
}

stored_changes memory_transaction_store::ChangesAfter(const std::string& aPrefix,
                                                      uint64_t aRevision) const
{
  stored_changes changes;
  changes.mRevision = mRevision;
  for (const auto& change : mHistory) {
    if (change.mItem.mRevision > aRevision && Begins(change.mItem.mKey, aPrefix)) {
      changes.mChanges.push_back(change);
    }
  }
  return changes;
}

void memory_transaction_store::WakeWatches()
{
  if (mSilent) {
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
  ++mCalls;
  EndLapsed();
  mLoop.Post([item = Peek(aKey), done = std::move(aDone)] { done(item); });
}

void memory_transaction_store::OnList(const std::string& aPrefix,
                                      bool,
                                      done<stored_range> aDone)
{
  ++mCalls;
  EndLapsed();
  stored_range range;
  range.mRevision = mRevision;
  for (auto at = mItems.lower_bound(aPrefix);
       at != mItems.end() && Begins(at->first, aPrefix);
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
  ++mCalls;
  EndLapsed();
  stored_changes changes;
  if (aRevision < mCompacted) {
    changes.mHistoryLost = true;
  } else if (!mSilent) {
    changes = ChangesAfter(aPrefix, aRevision);
  }
  if (changes.mHistoryLost || !changes.mChanges.empty()) {
    mLoop.Post(
      [changes = std::move(changes), done = std::move(aDone)] { done(changes); });
    return;
  }
  const auto number = mNextWatch++;
  mWatches[number] = { aPrefix, aRevision, std::move(aDone) };
  mLoop.RunAfter(aWait, [this, number] {
    const auto found = mWatches.find(number);
    if (found == mWatches.end()) {
      return;
    }
    stored_changes none;
    none.mRevision = found->second.mRevision;
    const auto done = std::move(found->second.mDone);
    mWatches.erase(found);
    done(none);
  });
}

void memory_transaction_store::OnCommit(const store_transaction& aChange,
                                        done<transaction_outcome> aDone)
{
  ++mCalls;
  EndLapsed();
  const auto entries =
    aChange.mConditions.size() + aChange.mPuts.size() + aChange.mRemovals.size();
  if (entries > store_transaction::kMaxEntries) {
    mLoop.Post([done = std::move(aDone)] {
      done(Fail(error_code::kRefused, "commit", "store", "too many entries"));
    });
    return;
  }
  for (const auto& put : aChange.mPuts) {
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
    WakeWatches();
  }
  mLoop.Post(
    [outcome = std::move(outcome), done = std::move(aDone)] { done(outcome); });
}

void memory_transaction_store::OnGrantLease(duration aTtl, done<uint64_t> aDone)
{
  ++mCalls;
  EndLapsed();
  const auto number = mNextLease++;
  mLeases[number] = { aTtl, mLoop.Now() + aTtl };
  CheckLeaseAt(number, aTtl);
  mLoop.Post([number, done = std::move(aDone)] { done(number); });
}

void memory_transaction_store::OnRenewLease(uint64_t aLease, done<uint64_t> aDone)
{
  ++mCalls;
  EndLapsed();
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    mLoop.Post([done = std::move(aDone)] {
      done(Fail(error_code::kNotFound, "keep lease", "store", "the lease has ended"));
    });
    return;
  }
  found->second.mEndsAt = mLoop.Now() + found->second.mTtl;
  mLoop.Post([aLease, done = std::move(aDone)] { done(aLease); });
}

void memory_transaction_store::OnEndLease(uint64_t aLease, done<uint64_t> aDone)
{
  ++mCalls;
  EndLapsed();
  const bool known = mLeases.count(aLease) != 0;
  if (known) {
    DropLease(aLease);
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
