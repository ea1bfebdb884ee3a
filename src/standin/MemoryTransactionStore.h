#pragma once

#include "base/EventLoop.h"
#include "store/TransactionStore.h"

#include <deque>
#include <map>

namespace anvildoor {

/**
 * In-memory stand-in for the platform's store, with leases, watches and a change
 * history that tests can discard. Not thread-safe: all calls come from one thread.
 */
class memory_transaction_store : public transaction_store
{
public:
  /** aLoop must outlive the store. */
  explicit memory_transaction_store(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /**
   * Writes a key unconditionally, as an operator or a worker would. Returns the new
   * revision.
   */
  uint64_t Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  /**
   * Discards the change history and resumes suspended watches. Pending watches end with
   * mHistoryLost, so that their callers list again.
   */
  void Compact();

  /** Delivers no changes to watches until Compact; writes still take effect. */
  void SuspendWatches() { mWatchesSuspended = true; }

  /** Refuses transactions with a longer value from now on; the platform's limit. */
  void SetMaxValueBytes(size_t aBytes) { mMaxValueBytes = aBytes; }

  /** Returns the item of a key, if it exists, without counting a call. */
  std::optional<stored_item> Peek(const std::string& aKey) const;
  uint64_t Revision() const { return mRevision; }

  /** Returns the number of calls made through transaction_store. */
  uint64_t CallCount() const { return mCallCount; }

protected:
  void OnGet(const std::string& aKey, done<std::optional<stored_item>> aDone) override;
  void OnList(const std::string& aPrefix,
              bool aMayBeStale,
              done<stored_range> aDone) override;
  void OnWatch(const std::string& aPrefix,
               uint64_t aRevision,
               duration aWait,
               done<stored_changes> aDone) override;
  void OnCommit(const store_transaction& aChange,
                done<transaction_outcome> aDone) override;
  void OnGrantLease(duration aTtl, done<uint64_t> aDone) override;
  void OnRenewLease(uint64_t aLease, done<uint64_t> aDone) override;
  void OnEndLease(uint64_t aLease, done<uint64_t> aDone) override;

private:
  struct lease
  {
    duration mTtl{ 0 };
    time_point mExpiresAt{ 0 };
  };
  struct pending_watch
  {
    std::string mPrefix;
    uint64_t mRevision = 0;
    done<stored_changes> mDone;
  };

  void Write(const std::string& aKey, const std::string& aValue, uint64_t aLease);
  void Erase(const std::string& aKey);
  void AppendHistory(stored_change aChange);
  void RevokeExpiredLeases();
  void RevokeLease(uint64_t aLease);
  void ScheduleLeaseCheck(uint64_t aLease, duration aDelay);
  stored_changes ChangesAfter(const std::string& aPrefix, uint64_t aRevision) const;
  void NotifyWatches();

  event_loop& mLoop;
  std::map<std::string, stored_item> mItems;
  std::deque<stored_change> mHistory;
  uint64_t mCallCount = 0;
  uint64_t mRevision = 1;
  uint64_t mCompactedRevision = 0; ///< Changes up to this revision are discarded.
  bool mWatchesSuspended = false;
  size_t mMaxValueBytes = 1'048'576;
  uint64_t mNextLeaseId = 1;
  std::map<uint64_t, lease> mLeases;
  uint64_t mNextWatchId = 1;
  std::map<uint64_t, pending_watch> mWatches;
};

} // namespace anvildoor
