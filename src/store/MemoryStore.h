#pragma once

#include "store/StoreClient.h"

#include <map>
#include <mutex>

namespace anvildoor {

/** Store faults that tests and the stand-in simulate. */
struct store_faults
{
  bool mDown = false;
  duration mLatency{ 2 };
  uint32_t mLoseAnswers = 0; ///< Number of upcoming writes whose answer is lost.

  auto operator<=>(const store_faults&) const = default;
};

/** Numbers of calls received. A watch counts as one call however long it waits. */
struct store_counts
{
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mBytesWritten = 0;

  auto operator<=>(const store_counts&) const = default;
};

/** In-memory implementation of the store with simulated faults. Thread-safe. */
class memory_store : public store_client
{
public:
  /** aLoop must outlive the store. */
  explicit memory_store(event_loop& aLoop);

  /** Replaces the simulated faults. */
  void SetFaults(const store_faults& aFaults);

  /** Returns the simulated faults. */
  store_faults Faults() const;

  /** Returns the numbers of calls so far. */
  store_counts Counts() const;

protected:
  void OnGet(const std::string& aKey,
             store_done<std::optional<store_value>> aDone) override;
  void OnCas(const store_write& aWrite, store_done<uint64_t> aDone) override;
  void OnRemove(const std::string& aKey,
                uint64_t aVersion,
                store_done<uint64_t> aDone) override;
  void OnList(const std::string& aPrefix,
              store_done<std::vector<store_entry>> aDone) override;
  void OnWatch(const std::string& aKey,
               uint64_t aKnownVersion,
               duration aWait,
               store_done<std::optional<store_value>> aDone) override;
  void OnGrantLease(duration aTtl, store_done<uint64_t> aDone) override;
  void OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone) override;

private:
  struct row
  {
    store_value mValue;
    uint64_t mLease = 0;
  };
  struct lease
  {
    duration mTtl{};
    time_point mExpires{};
  };
  struct watcher
  {
    std::string mKey;
    uint64_t mKnownVersion = 0;
    store_done<std::optional<store_value>> mDone;
  };

  template<typename T>
  void Answer(store_done<T> aDone, result<T> aResult);
  void AnswerWrite(store_done<uint64_t> aDone, result<uint64_t> aResult);
  std::optional<store_value> Find(const std::string& aKey) const;
  void ExpireLeases();
  void NotifyWatchers(const std::string& aKey);
  void OnWatchTimeout(uint64_t aId);

  event_loop& mLoop;
  mutable std::mutex mMutex;
  store_faults mFaults;
  store_counts mCounts;
  std::map<std::string, row> mRows;
  std::map<uint64_t, lease> mLeases;
  std::map<uint64_t, watcher> mWatchers;
  uint64_t mRevision = 0;
  uint64_t mNextId = 1;
};

} // namespace anvildoor
