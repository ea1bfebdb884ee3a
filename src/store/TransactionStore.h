#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** One key of the store with its value. Each change of any key raises the revision. */
struct stored_item
{
  std::string mKey;
  std::string mValue;
  uint64_t mRevision = 0;       ///< Revision of the last change.
  uint64_t mCreateRevision = 0; ///< Revision at which the key was created.
  uint64_t mLease = 0;          ///< 0 if the key has no lease.

  auto operator<=>(const stored_item&) const = default;
};

/** Keys under a prefix. Not a consistent snapshot: pages are read one by one. */
struct stored_range
{
  std::vector<stored_item> mItems;
  uint64_t mRevision = 0; ///< Store revision when the first page was read.

  /** Returns the item of aKey, or null; it points into this range. */
  const stored_item* Find(const std::string& aKey) const
  {
    const auto found =
      std::find_if(mItems.begin(), mItems.end(), [&](const stored_item& aItem) {
        return aItem.mKey == aKey;
      });
    return found == mItems.end() ? nullptr : &*found;
  }

  auto operator<=>(const stored_range&) const = default;
};

struct stored_change
{
  stored_item mItem;
  bool mRemoved = false; ///< If true, only the key and revision of mItem are set.

  auto operator<=>(const stored_change&) const = default;
};

struct stored_changes
{
  std::vector<stored_change> mChanges;
  uint64_t mRevision = 0;    ///< Revision from which to continue the watch.
  bool mHistoryLost = false; ///< The history is no longer available; list again.

  auto operator<=>(const stored_changes&) const = default;
};

/** Requires a key to have this revision; 0 requires that it does not exist. */
struct store_condition
{
  std::string mKey;
  uint64_t mRevision = 0;

  auto operator<=>(const store_condition&) const = default;
};

struct store_put
{
  std::string mKey;
  std::string mValue;
  uint64_t mLease = 0;

  auto operator<=>(const store_put&) const = default;
};

/**
 * Applied either completely or not at all. The conditions, puts and removals together
 * are at most kMaxEntries.
 */
struct store_transaction
{
  /** The platform's limit on the entries of one transaction. */
  static constexpr size_t kMaxEntries = 32;

  std::vector<store_condition> mConditions;
  std::vector<store_put> mPuts;
  std::vector<std::string> mRemovals;

  auto operator<=>(const store_transaction&) const = default;
};

struct transaction_outcome
{
  bool mCommitted = false;
  uint64_t mRevision = 0; ///< Revision of the puts if committed.
  /** If not committed, the current state of the existing keys in the conditions. */
  std::vector<stored_item> mCurrent;

  auto operator<=>(const transaction_outcome&) const = default;
};

/**
 * Client of the platform's store, with transactions over several keys and leases on
 * keys. Each call runs its callback exactly once, on the thread of the event loop and
 * never inside the call. Reads fail with kUnavailable. Changes fail with kUnavailable
 * or kRefused if nothing took effect, with kUnknownEffect if no answer arrived and the
 * change may still take effect while its conditions hold, and with kNotFound if the
 * lease has ended. Not thread-safe: all calls come from one thread.
 */
class transaction_store
{
public:
  template<typename T>
  using done = std::function<void(result<T>)>;

  virtual ~transaction_store() = default;

  /** Reads a key; an empty optional means that it does not exist. */
  void Get(const std::string& aKey, done<std::optional<stored_item>> aDone)
  {
    OnGet(aKey, std::move(aDone));
  }

  /**
   * Reads every key that begins with aPrefix. With aMayBeStale, the read is cheaper and
   * the result may be seconds old.
   */
  void List(const std::string& aPrefix, bool aMayBeStale, done<stored_range> aDone)
  {
    OnList(aPrefix, aMayBeStale, std::move(aDone));
  }

  /** Returns the changes after aRevision, or none once aWait (<= 30 s) has passed. */
  void Watch(const std::string& aPrefix,
             uint64_t aRevision,
             duration aWait,
             done<stored_changes> aDone)
  {
    OnWatch(aPrefix, aRevision, aWait, std::move(aDone));
  }

  void Commit(const store_transaction& aChange, done<transaction_outcome> aDone)
  {
    OnCommit(aChange, std::move(aDone));
  }

  /** Grants a lease with the given TTL and returns its id. */
  void GrantLease(duration aTtl, done<uint64_t> aDone)
  {
    OnGrantLease(aTtl, std::move(aDone));
  }

  /** Renews a lease for its full TTL; fails with kNotFound once it has ended. */
  void RenewLease(uint64_t aLease, done<uint64_t> aDone)
  {
    OnRenewLease(aLease, std::move(aDone));
  }

  /** Ends a lease and removes its keys. */
  void EndLease(uint64_t aLease, done<uint64_t> aDone)
  {
    OnEndLease(aLease, std::move(aDone));
  }

protected:
  virtual void OnGet(const std::string& aKey,
                     done<std::optional<stored_item>> aDone) = 0;
  virtual void OnList(const std::string& aPrefix,
                      bool aMayBeStale,
                      done<stored_range> aDone) = 0;
  virtual void OnWatch(const std::string& aPrefix,
                       uint64_t aRevision,
                       duration aWait,
                       done<stored_changes> aDone) = 0;
  virtual void OnCommit(const store_transaction& aChange,
                        done<transaction_outcome> aDone) = 0;
  virtual void OnGrantLease(duration aTtl, done<uint64_t> aDone) = 0;
  virtual void OnRenewLease(uint64_t aLease, done<uint64_t> aDone) = 0;
  virtual void OnEndLease(uint64_t aLease, done<uint64_t> aDone) = 0;
};

} // namespace anvildoor
