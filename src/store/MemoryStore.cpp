#include "store/MemoryStore.h"

namespace anvildoor {

namespace {

constexpr size_t kMaxValueBytes = size_t{ 1 } << 20U;

tl::unexpected<error> DownError(const char* aStep)
{
  return Fail(error_code::kUnavailable, aStep, "store", "the store is down");
}

} // namespace

memory_store::memory_store(event_loop& aLoop)
  : mLoop(aLoop)
{
}

void memory_store::SetFaults(const store_faults& aFaults)
{
  std::lock_guard lock(mMutex);
  mFaults = aFaults;
}

store_faults memory_store::Faults() const
{
  std::lock_guard lock(mMutex);
  return mFaults;
}

store_counts memory_store::Counts() const
{
  std::lock_guard lock(mMutex);
  return mCounts;
}

template<typename T>
void memory_store::Answer(store_done<T> aDone, result<T> aResult)
{
  mLoop.RunAfter(
    mFaults.mLatency,
    [done = std::move(aDone), value = std::move(aResult)] { done(value); });
}

void memory_store::AnswerWrite(store_done<uint64_t> aDone, result<uint64_t> aResult)
{
  if (mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    aResult =
      Fail(error_code::kUnknownEffect, "store.write", "store", "the answer was lost");
  }
  Answer(std::move(aDone), std::move(aResult));
}

std::optional<store_value> memory_store::Find(const std::string& aKey) const
{
  const auto found = mRows.find(aKey);
  if (found == mRows.end()) {
    return std::nullopt;
  }
  return found->second.mValue;
}

void memory_store::ExpireLeases()
{
  const auto now = mLoop.Now();
  for (auto it = mRows.begin(); it != mRows.end();) {
    const auto held = mLeases.find(it->second.mLease);
    const bool expired =
      it->second.mLease != 0 && (held == mLeases.end() || held->second.mExpires <= now);
    it = expired ? mRows.erase(it) : std::next(it);
  }
  std::erase_if(mLeases,
                [now](const auto& aItem) { return aItem.second.mExpires <= now; });
}

void memory_store::NotifyWatchers(const std::string& aKey)
{
  for (auto it = mWatchers.begin(); it != mWatchers.end();) {
    if (it->second.mKey != aKey) {
      ++it;
      continue;
    }
    Answer<std::optional<store_value>>(std::move(it->second.mDone), Find(aKey));
    it = mWatchers.erase(it);
  }
}

void memory_store::OnWatchTimeout(uint64_t aId)
{
  std::lock_guard lock(mMutex);
  const auto found = mWatchers.find(aId);
  if (found == mWatchers.end()) {
    return;
  }
  result<std::optional<store_value>> answer = Find(found->second.mKey);
  if (mFaults.mDown) {
    answer = DownError("store.watch");
  }
  Answer(std::move(found->second.mDone), std::move(answer));
  mWatchers.erase(found);
}

void memory_store::OnGet(const std::string& aKey,
                         store_done<std::optional<store_value>> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mReads;
  ExpireLeases();
  result<std::optional<store_value>> answer = Find(aKey);
  if (mFaults.mDown) {
    answer = DownError("store.get");
  }
  Answer(std::move(aDone), std::move(answer));
}

void memory_store::OnCas(const store_write& aWrite, store_done<uint64_t> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mWrites;
  mCounts.mBytesWritten += aWrite.mValue.size();
  if (mFaults.mDown) {
    Answer<uint64_t>(std::move(aDone), DownError("store.cas"));
    return;
  }
  ExpireLeases();
  if (aWrite.mValue.size() > kMaxValueBytes) {
    Answer<uint64_t>(
      std::move(aDone),
      Fail(error_code::kInvalid, "store.cas", "store", "the value exceeds 1 MB"));
    return;
  }
  const auto found = Find(aWrite.mKey);
  const uint64_t version = found ? found->mVersion : 0;
  const bool leaseEnded = aWrite.mLease != 0 && mLeases.count(aWrite.mLease) == 0;
  if (version != aWrite.mExpectedVersion || leaseEnded) {
    AnswerWrite(std::move(aDone),
                Fail(error_code::kConflict,
                     "store.cas",
                     "store",
                     "the version does not match or the lease has ended"));
    return;
  }
  mRows[aWrite.mKey] = row{ { aWrite.mValue, ++mRevision }, aWrite.mLease };
  NotifyWatchers(aWrite.mKey);
  AnswerWrite(std::move(aDone), mRevision);
}

void memory_store::OnRemove(const std::string& aKey,
                            uint64_t aVersion,
                            store_done<uint64_t> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mWrites;
  if (mFaults.mDown) {
    Answer<uint64_t>(std::move(aDone), DownError("store.remove"));
    return;
  }
  ExpireLeases();
  const auto found = Find(aKey);
  if (!found || found->mVersion != aVersion) {
    AnswerWrite(
      std::move(aDone),
      Fail(
        error_code::kConflict, "store.remove", "store", "the version does not match"));
    return;
  }
  mRows.erase(aKey);
  NotifyWatchers(aKey);
  AnswerWrite(std::move(aDone), ++mRevision);
}

void memory_store::OnList(const std::string& aPrefix,
                          store_done<std::vector<store_entry>> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mReads;
  ExpireLeases();
  if (mFaults.mDown) {
    Answer<std::vector<store_entry>>(std::move(aDone), DownError("store.list"));
    return;
  }
  std::vector<store_entry> entries;
  for (auto it = mRows.lower_bound(aPrefix); it != mRows.end(); ++it) {
    if (it->first.compare(0, aPrefix.size(), aPrefix) != 0) {
      break;
    }
    entries.push_back({ it->first, it->second.mValue });
  }
  Answer<std::vector<store_entry>>(std::move(aDone), std::move(entries));
}

void memory_store::OnWatch(const std::string& aKey,
                           uint64_t aKnownVersion,
                           duration aWait,
                           store_done<std::optional<store_value>> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mWatches;
  if (mFaults.mDown) {
    Answer<std::optional<store_value>>(std::move(aDone), DownError("store.watch"));
    return;
  }
  ExpireLeases();
  const auto found = Find(aKey);
  if ((found ? found->mVersion : 0) != aKnownVersion) {
    Answer<std::optional<store_value>>(std::move(aDone), found);
    return;
  }
  const uint64_t id = mNextId++;
  mWatchers.emplace(id, watcher{ aKey, aKnownVersion, std::move(aDone) });
  mLoop.RunAfter(aWait, [this, id] { OnWatchTimeout(id); });
}

void memory_store::OnGrantLease(duration aTtl, store_done<uint64_t> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mWrites;
  if (mFaults.mDown) {
    Answer<uint64_t>(std::move(aDone), DownError("store.lease"));
    return;
  }
  const uint64_t id = mNextId++;
  mLeases.emplace(id, lease{ aTtl, mLoop.Now() + aTtl });
  AnswerWrite(std::move(aDone), id);
}

void memory_store::OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone)
{
  std::lock_guard lock(mMutex);
  ++mCounts.mWrites;
  if (mFaults.mDown) {
    Answer<uint64_t>(std::move(aDone), DownError("store.lease"));
    return;
  }
  ExpireLeases();
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    AnswerWrite(
      std::move(aDone),
      Fail(error_code::kNotFound, "store.lease", "store", "the lease has expired"));
    return;
  }
  found->second.mExpires = mLoop.Now() + found->second.mTtl;
  AnswerWrite(std::move(aDone), aLease);
}

} // namespace anvildoor
