#pragma once

#include "base/EventLog.h"
#include "gang/JobRecord.h"
#include "store/StoreClient.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Keeps job records in a few buckets of the store. Records that arrive while a bucket
 * is being written go together into its next write (group commit). A takeover rewrites
 * each bucket, so that a former owner's conditional writes fail. Thread-safe.
 */
class job_journal
{
public:
  using record_done = std::function<void(status)>;
  using load_done = std::function<void(result<std::map<std::string, job_record>>)>;

  /** The references must outlive the journal; aPrefix is the data centre's own. */
  job_journal(event_loop& aLoop,
              store_client& aStore,
              event_log& aLog,
              std::string aPrefix);

  /**
   * Takes the buckets over under aEpoch and reads every record. Fails with
   * kUnavailable while the store cannot be reached and with kFenced if another owner
   * took them over meanwhile.
   */
  void TakeOver(uint64_t aEpoch, load_done aDone);

  /**
   * Records one job. Answers when it is durable, however long the store stays away,
   * or with kFenced when the journal was released or taken over by another owner; the
   * record may then have become durable or not.
   */
  void Record(const job_record& aRecord, record_done aDone);

  /** Drops ended jobs that ended before aBefore from the next writes. */
  void Forget(time_point aBefore);

  /** Stops writing; pending records are answered with kFenced. */
  void Release();

  /** Returns whether this process owns the buckets, as far as it knows. */
  bool IsOwned() const;

  /** Returns how many store writes were made and how many records they carried. */
  std::pair<uint64_t, uint64_t> WritesAndRecords() const;

private:
  static constexpr size_t kBuckets = 16;

  struct bucket
  {
    std::map<std::string, job_record> mRecords;
    uint64_t mVersion = 0;
    bool mWriting = false;
    std::vector<record_done> mInFlight;
    std::vector<record_done> mPending;
  };
  struct takeover;

  static size_t BucketOf(const std::string& aJob);
  std::string KeyOf(size_t aBucket) const;
  void TakeBucket(const std::shared_ptr<takeover>& aRun, size_t aBucket);
  void RewriteBucket(const std::shared_ptr<takeover>& aRun,
                     size_t aBucket,
                     const std::optional<store_value>& aFound);
  void FinishBucket(const std::shared_ptr<takeover>& aRun, status aStatus);
  void WriteBucket(size_t aBucket);
  void OnWritten(size_t aBucket, uint64_t aGeneration, const result<uint64_t>& aAnswer);
  void OnWriteFailed(size_t aBucket, uint64_t aGeneration, const error& aError);
  void CheckOwner(size_t aBucket, uint64_t aGeneration);
  std::string NextCommitId();

  event_loop& mLoop;
  store_client& mStore;
  event_log& mLog;
  std::string mPrefix;
  mutable std::mutex mMutex;
  std::array<bucket, kBuckets> mBuckets;
  uint64_t mEpoch = 0;
  uint64_t mGeneration = 0; ///< Rises with each takeover and release.
  uint64_t mCommits = 0;
  uint64_t mWrites = 0;
  uint64_t mRecorded = 0;
  bool mOwned = false;
};

} // namespace anvildoor
