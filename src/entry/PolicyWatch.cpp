#include "entry/PolicyWatch.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Watch timeout; limits how long a dead connection goes undetected. */
constexpr duration kWait{ 2'000 };
constexpr duration kRetry{ 150 };

} // namespace

policy_watch::policy_watch(event_loop& aLoop,
                           transaction_store& aStore,
                           event_log& aLog,
                           std::string aKey,
                           decode aDecode,
                           news aNews)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mKey(std::move(aKey))
  , mDecode(std::move(aDecode))
  , mNews(std::move(aNews))
{
}

void policy_watch::RetryRead()
{
  const auto round = mRound;
  mLoop.RunAfter(kRetry, [this, round] {
    if (round == mRound) {
      Read();
    }
  });
}

void policy_watch::Read()
{
  const auto round = ++mRound;
  mStore.GetForWatch(mKey, [this, round](const result<stored_range>& aRead) {
    if (round != mRound) {
      return;
    }
    if (!aRead || aRead->mItems.empty()) {
      RetryRead();
      return;
    }
    Take(aRead->mItems.front());
    Watch(aRead->mRevision);
  });
}

void policy_watch::Watch(uint64_t aRevision)
{
  const auto round = mRound;
  mStore.Watch(mKey,
               aRevision,
               kWait,
               [this, round, aRevision](const result<stored_changes>& aChanges) {
                 if (round != mRound) {
                   return;
                 }
                 if (!aChanges || aChanges->mLost) {
                   RetryRead();
                   return;
                 }
                 for (const auto& change : aChanges->mChanges) {
                   if (!change.mRemoved && change.mItem.mKey == mKey) {
                     Take(change.mItem);
                   }
                 }
                 Watch(std::max(aRevision, aChanges->mRevision));
               });
}

void policy_watch::Take(const stored_item& aItem)
{
  const auto read = mDecode(aItem.mValue);
  if (!read) {
    mLog.Write(log_event("policy_unreadable").Add("error", Describe(read.error())));
    return;
  }
  if (mCurrent && read->mVersion <= mCurrent->mVersion) {
    return;
  }
  mCurrent = std::make_shared<const fleet_policy>(*read);
  mLog.Write(log_event("policy_in_force")
               .Add("version", static_cast<int64_t>(read->mVersion))
               .Add("queues", static_cast<int64_t>(read->mQueues.size()))
               .Add("workspaces", static_cast<int64_t>(read->mWorkspaces.size())));
  mNews(mCurrent);
}

} // namespace anvildoor
