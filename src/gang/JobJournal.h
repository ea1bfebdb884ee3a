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
 * Stores job records in a fixed number of buckets in the store. Records that arrive
 * while their bucket is being written share its next write (group commit). A takeover
 * rewrites every bucket, so that conditional writes by the previous owner fail.
 * Thread-safe.
 */
class job_journal
{
public:
  using record_done = std::function<void(status)>;
  using load_done = std::function<void(result<std::map<std::string, job_record>>)>;

  /** The references must outlive the journal. aPrefix begins the bucket keys. */
  job_journal(event_loop& aLoop,
              store_client& aStore,
              event_log& aLog,
              std::string aPrefix);

  /**
   * Takes ownership of all buckets under aEpoch and reads their records. Fails with
   * kUnavailable or kUnknownEffect if the store does not answer, with kConflict if
   * another owner writes a bucket at the same time, with kInvalid if a bucket is
   * malformed, and with kFenced if the journal is released or taken over again
   * meanwhile.
   */
  void TakeOver(uint64_t aEpoch, load_done aDone);

  /**
   * Records one job. Calls aDone once the record is durable; writes are retried for as
   * long as the store is unreachable. Fails with kFenced if the journal is released or
   * taken over by another owner; the record may be durable nevertheless.
   */
  void Record(const job_record& aRecord, record_done aDone);

  /** Omits jobs that ended before aBefore from future writes. */
  void DropEnded(time_point aBefore);

  /** Stops writing. Pending records fail with kFenced. */
  void ReleaseOwnership();

  /**
   * Returns whether this process owns the buckets. A takeover by another owner is
   * detected at the next write.
   */
  bool IsOwned() const;

  /** Returns the number of store writes and the number of records passed to Record. */
  std::pair<uint64_t, uint64_t> WriteAndRecordCounts() const;

private:
  static constexpr size_t kBucketCount = 16;

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
  void ReadBucket(const std::shared_ptr<takeover>& aTakeover, size_t aBucket);
  void RewriteBucket(const std::shared_ptr<takeover>& aTakeover,
                     size_t aBucket,
                     const std::optional<store_value>& aFound);
  void FinishBucket(const std::shared_ptr<takeover>& aTakeover, status aStatus);
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
  std::array<bucket, kBucketCount> mBuckets;
  uint64_t mEpoch = 0;
  uint64_t mGeneration = 0; ///< Incremented by each takeover and release.
  uint64_t mCommitCount = 0;
  uint64_t mWriteCount = 0;
  uint64_t mRecordCount = 0;
  bool mOwned = false;
};

} // namespace anvildoor
