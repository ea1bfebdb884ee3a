#pragma once

#include "store/StoreClient.h"

#include <map>
#include <mutex>

namespace anvildoor {

/** Faults of the platform's store that tests and the stand-in switch on. */
struct store_faults
{
  bool mDown = false;
  duration mLatency{ 2 };
  uint32_t mLoseAnswers = 0; ///< How many of the next writes lose their answer.

  auto operator<=>(const store_faults&) const = default;
};

/** Calls that the store has counted, a waiting watch as one. */
struct store_counts
{
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mBytesWritten = 0;

  auto operator<=>(const store_counts&) const = default;
};

/** The platform's store in memory, with switchable faults. Thread-safe. */
class memory_store : public store_client
{
public:
  /** aLoop must outlive the store. */
  explicit memory_store(event_loop& aLoop);

  /** Replaces the faults in force. Thread-safe. */
  void SetFaults(const store_faults& aFaults);

  /** Returns the faults in force. Thread-safe. */
  store_faults Faults() const;

  /** Returns the calls counted so far. Thread-safe. */
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
               uint64_t aKnown,
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
    uint64_t mKnown = 0;
    store_done<std::optional<store_value>> mDone;
  };

  template<typename T>
  void Answer(store_done<T> aDone, result<T> aResult);
  void AnswerWrite(store_done<uint64_t> aDone, result<uint64_t> aResult);
  std::optional<store_value> Find(const std::string& aKey) const;
  void ExpireLeases();
  void WakeWatchers(const std::string& aKey);
  void EndWatch(uint64_t aId);

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
