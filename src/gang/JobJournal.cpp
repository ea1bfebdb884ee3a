#include "gang/JobJournal.h"

#include "base/Hash.h"
#include "store/CasWithReadBack.h"

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

constexpr duration kRetryDelay{ 250 };
constexpr read_back_policy kWritePolicy{ duration(3'000), duration(100) };

/** Returns the epoch in the commit id of an encoded bucket, or 0 if it has none. */
uint64_t EpochOfBucket(const std::string& aText)
{
  const auto bucket = nlohmann::json::parse(aText, nullptr, false);
  if (!bucket.is_object() || !bucket.contains("commit")) {
    return 0;
  }
  return std::strtoull(bucket["commit"].get<std::string>().c_str(), nullptr, 10);
}

status FencedError()
{
  return Fail(error_code::kFenced,
              "journal.record",
              "store",
              "another owner has taken over the job records");
}

} // namespace

/** State of one takeover, which succeeds once every bucket is read and rewritten. */
struct job_journal::takeover
{
  uint64_t mEpoch = 0;
  uint64_t mGeneration = 0;
  size_t mBucketsLeft = kBucketCount;
  bool mFailed = false;
  std::array<bucket, kBucketCount> mBuckets;
  load_done mDone;
};

job_journal::job_journal(event_loop& aLoop,
                         store_client& aStore,
                         event_log& aLog,
                         std::string aPrefix)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mPrefix(std::move(aPrefix))
{
}

size_t job_journal::BucketOf(const std::string& aJob)
{
  return Hash64(aJob) % kBucketCount;
}

std::string job_journal::KeyOf(size_t aBucket) const
{
  return mPrefix + "/jobs/" + std::to_string(aBucket);
}

std::string job_journal::NextCommitId()
{
  return std::to_string(mEpoch) + "." + std::to_string(++mCommitCount);
}

void job_journal::TakeOver(uint64_t aEpoch, load_done aDone)
{
  auto newTakeover = std::make_shared<takeover>();
  newTakeover->mEpoch = aEpoch;
  newTakeover->mDone = std::move(aDone);
  {
    std::lock_guard lock(mMutex);
    mOwned = false;
    mEpoch = aEpoch;
    newTakeover->mGeneration = ++mGeneration;
  }
  for (size_t i = 0; i < kBucketCount; ++i) {
    ReadBucket(newTakeover, i);
  }
}

void job_journal::ReadBucket(const std::shared_ptr<takeover>& aTakeover, size_t aBucket)
{
  mStore.Get(KeyOf(aBucket),
             [this, aTakeover, aBucket](result<std::optional<store_value>> aAnswer) {
               if (!aAnswer) {
                 FinishBucket(aTakeover, tl::unexpected<error>(aAnswer.error()));
                 return;
               }
               RewriteBucket(aTakeover, aBucket, *aAnswer);
             });
}

void job_journal::RewriteBucket(const std::shared_ptr<takeover>& aTakeover,
                                size_t aBucket,
                                const std::optional<store_value>& aFound)
{
  auto& target = aTakeover->mBuckets[aBucket];
  if (aFound) {
    auto decoded = DecodeBucket(aFound->mValue);
    if (!decoded) {
      FinishBucket(aTakeover, tl::unexpected<error>(decoded.error()));
      return;
    }
    target.mRecords = std::move(*decoded);
  }
  std::string commit;
  {
    std::lock_guard lock(mMutex);
    commit = NextCommitId();
  }
  const store_write write{ KeyOf(aBucket),
                           EncodeBucket(target.mRecords, commit),
                           aFound ? aFound->mVersion : 0,
                           0 };
  CasWithReadBack(mLoop,
                  mStore,
                  write,
                  kWritePolicy,
                  [this, aTakeover, aBucket](result<uint64_t> aAnswer) {
                    if (!aAnswer) {
                      FinishBucket(aTakeover, tl::unexpected<error>(aAnswer.error()));
                      return;
                    }
                    aTakeover->mBuckets[aBucket].mVersion = *aAnswer;
                    FinishBucket(aTakeover, {});
                  });
}

void job_journal::FinishBucket(const std::shared_ptr<takeover>& aTakeover,
                               status aStatus)
{
  std::map<std::string, job_record> records;
  {
    std::lock_guard lock(mMutex);
    --aTakeover->mBucketsLeft;
    const bool isFirstFailure = !aTakeover->mFailed;
    aTakeover->mFailed = aTakeover->mFailed || !aStatus;
    if (aTakeover->mFailed) {
      if (!isFirstFailure) {
        return;
      }
    } else if (aTakeover->mBucketsLeft > 0) {
      return;
    } else if (aTakeover->mGeneration != mGeneration) {
      aStatus = FencedError();
    } else {
      mBuckets = std::move(aTakeover->mBuckets);
      mOwned = true;
      for (const auto& item : mBuckets) {
        records.insert(item.mRecords.begin(), item.mRecords.end());
      }
    }
  }
  if (!aStatus) {
    aTakeover->mDone(tl::unexpected<error>(aStatus.error()));
    return;
  }
  aTakeover->mDone(std::move(records));
}

void job_journal::Record(const job_record& aRecord, record_done aDone)
{
  const size_t index = BucketOf(aRecord.mId);
  {
    std::lock_guard lock(mMutex);
    if (!mOwned) {
      mLoop.Post([done = std::move(aDone)] { done(FencedError()); });
      return;
    }
    auto& target = mBuckets[index];
    target.mRecords.insert_or_assign(aRecord.mId, aRecord);
    target.mPending.push_back(std::move(aDone));
    ++mRecordCount;
    if (target.mWriting) {
      return;
    }
    target.mWriting = true;
  }
  // Deferred so that records made in the same event loop step share one write.
  mLoop.Post([this, index] { WriteBucket(index); });
}

void job_journal::WriteBucket(size_t aBucket)
{
  store_write write;
  uint64_t generation = 0;
  {
    std::lock_guard lock(mMutex);
    auto& target = mBuckets[aBucket];
    if (!mOwned) {
      return;
    }
    for (auto& done : target.mPending) {
      target.mInFlight.push_back(std::move(done));
    }
    target.mPending.clear();
    write = {
      KeyOf(aBucket), EncodeBucket(target.mRecords, NextCommitId()), target.mVersion, 0
    };
    generation = mGeneration;
    ++mWriteCount;
  }
  CasWithReadBack(mLoop,
                  mStore,
                  write,
                  kWritePolicy,
                  [this, aBucket, generation](result<uint64_t> aAnswer) {
                    OnWritten(aBucket, generation, aAnswer);
                  });
}

void job_journal::OnWritten(size_t aBucket,
                            uint64_t aGeneration,
                            const result<uint64_t>& aAnswer)
{
  std::vector<record_done> answered;
  bool hasPending = false;
  {
    std::lock_guard lock(mMutex);
    if (aGeneration != mGeneration) {
      return;
    }
    auto& target = mBuckets[aBucket];
    if (aAnswer) {
      answered.swap(target.mInFlight);
      target.mVersion = *aAnswer;
      hasPending = !target.mPending.empty();
      target.mWriting = hasPending;
    }
  }
  if (!aAnswer) {
    OnWriteFailed(aBucket, aGeneration, aAnswer.error());
    return;
  }
  for (const auto& done : answered) {
    done({});
  }
  if (hasPending) {
    WriteBucket(aBucket);
  }
}

void job_journal::OnWriteFailed(size_t aBucket,
                                uint64_t aGeneration,
                                const error& aError)
{
  mLog.Write(log_event("journal_write_failed").Add("error", Describe(aError)));
  if (aError.mCode == error_code::kConflict) {
    CheckOwner(aBucket, aGeneration);
    return;
  }
  mLoop.RunAfter(kRetryDelay, [this, aBucket, aGeneration] {
    {
      std::lock_guard lock(mMutex);
      if (aGeneration != mGeneration) {
        return;
      }
    }
    WriteBucket(aBucket);
  });
}

/**
 * Reads the bucket to find out who wrote it. The conflicting write may be this
 * process's own if the reply to it was lost.
 */
void job_journal::CheckOwner(size_t aBucket, uint64_t aGeneration)
{
  mStore.Get(KeyOf(aBucket),
             [this, aBucket, aGeneration](result<std::optional<store_value>> aAnswer) {
               if (!aAnswer || !*aAnswer) {
                 OnWriteFailed(
                   aBucket,
                   aGeneration,
                   error{ error_code::kUnavailable, "journal.check", "store", "" });
                 return;
               }
               {
                 std::lock_guard lock(mMutex);
                 if (aGeneration != mGeneration) {
                   return;
                 }
                 if (EpochOfBucket((*aAnswer)->mValue) == mEpoch) {
                   mBuckets[aBucket].mVersion = (*aAnswer)->mVersion;
                 } else {
                   mOwned = false;
                 }
               }
               if (IsOwned()) {
                 WriteBucket(aBucket);
               } else {
                 ReleaseOwnership();
               }
             });
}

bool job_journal::IsOwned() const
{
  std::lock_guard lock(mMutex);
  return mOwned;
}

void job_journal::DropEnded(time_point aBefore)
{
  std::lock_guard lock(mMutex);
  for (auto& item : mBuckets) {
    std::erase_if(item.mRecords, [aBefore](const auto& aEntry) {
      return IsFinal(aEntry.second.mState) && aEntry.second.mEnded < aBefore;
    });
  }
}

void job_journal::ReleaseOwnership()
{
  std::vector<record_done> dropped;
  {
    std::lock_guard lock(mMutex);
    mOwned = false;
    ++mGeneration;
    for (auto& item : mBuckets) {
      for (auto* list : { &item.mInFlight, &item.mPending }) {
        for (auto& done : *list) {
          dropped.push_back(std::move(done));
        }
        list->clear();
      }
      item.mWriting = false;
    }
  }
  for (auto& done : dropped) {
    mLoop.Post([item = std::move(done)] { item(FencedError()); });
  }
}

std::pair<uint64_t, uint64_t> job_journal::WriteAndRecordCounts() const
{
  std::lock_guard lock(mMutex);
  return { mWriteCount, mRecordCount };
}

} // namespace anvildoor
