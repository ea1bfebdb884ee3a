#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** One key of the store with its value. Revisions rise with each change of any key. */
struct stored_item
{
  std::string mKey;
  std::string mValue;
  uint64_t mRevision = 0; ///< Of the last change.
  uint64_t mCreated = 0;  ///< Of the creation.
  uint64_t mLease = 0;    ///< 0: the key outlives every lease.

  auto operator<=>(const stored_item&) const = default;
};

/** Keys under a prefix. Pages are read one after the other, so this is no snapshot. */
struct stored_range
{
  std::vector<stored_item> mItems;
  uint64_t mRevision = 0; ///< Of the store when the first page was read.

  auto operator<=>(const stored_range&) const = default;
};

struct stored_change
{
  stored_item mItem;
  bool mRemoved = false; ///< Then only key and revision of mItem are set.

  auto operator<=>(const stored_change&) const = default;
};

struct stored_changes
{
  std::vector<stored_change> mChanges;
  uint64_t mRevision = 0; ///< Where the next watch goes on.
  bool mLost = false;     ///< The history is gone: list again.

  auto operator<=>(const stored_changes&) const = default;
};

/** A key must have this revision; 0: it must not exist. */
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

/** All-or-nothing; conditions, puts and removals together at most kMaxEntries. */
struct store_transaction
{
  /** The platform's bound on the entries of one transaction. */
  static constexpr size_t kMaxEntries = 32;

  std::vector<store_condition> mConditions;
  std::vector<store_put> mPuts;
  std::vector<std::string> mRemovals;

  auto operator<=>(const store_transaction&) const = default;
};

struct transaction_outcome
{
  bool mCommitted = false;
  uint64_t mRevision = 0;            ///< Of the puts, if committed.
  std::vector<stored_item> mCurrent; ///< Else the conditions' keys as they are;
                                     ///< keys that do not exist are left out.

  auto operator<=>(const transaction_outcome&) const = default;
};

/**
 * The platform's store with transactions over several keys and leases on keys. Each
 * call answers exactly once, never inside the call. Reads fail with kUnavailable;
 * changes with kUnavailable or kRefused when nothing took effect, kUnknownEffect when
 * no answer came and the change may still happen while its conditions hold, kNotFound
 * when the lease has ended. All callbacks run on the loop's thread.
 */
class transaction_store
{
public:
  template<typename T>
  using done = std::function<void(result<T>)>;

  virtual ~transaction_store() = default;

  /** Reads a key; empty if it does not exist. */
  void Get(const std::string& aKey, done<std::optional<stored_item>> aDone)
  {
    OnGet(aKey, std::move(aDone));
  }

  /** Reads every key that begins with aPrefix. aMayBeStale: cheaper, seconds old. */
  void List(const std::string& aPrefix, bool aMayBeStale, done<stored_range> aDone)
  {
    OnList(aPrefix, aMayBeStale, std::move(aDone));
  }

  /**
   * Reads a key like Get, but with the revision of the store, from which a watch goes
   * on; that of the item may be older than the store's history.
   */
  void GetForWatch(const std::string& aKey, done<stored_range> aDone)
  {
    OnList(aKey, false, [aKey, done = std::move(aDone)](result<stored_range> aRange) {
      if (aRange) {
        std::erase_if(aRange->mItems,
                      [&](const stored_item& aItem) { return aItem.mKey != aKey; });
      }
      done(std::move(aRange));
    });
  }

  /** Answers with what changed after aRevision, or empty after aWait (<= 30 s). */
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

  /** Grants a lease of aTtl and returns its number. */
  void GrantLease(duration aTtl, done<uint64_t> aDone)
  {
    OnGrantLease(aTtl, std::move(aDone));
  }

  /** Renews a lease from now; kNotFound once it has ended. */
  void KeepLease(uint64_t aLease, done<uint64_t> aDone)
  {
    OnKeepLease(aLease, std::move(aDone));
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
  virtual void OnKeepLease(uint64_t aLease, done<uint64_t> aDone) = 0;
  virtual void OnEndLease(uint64_t aLease, done<uint64_t> aDone) = 0;
};

} // namespace anvildoor
