#include "entry/PolicyWatch.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Time after which the store answers a watch without changes. */
constexpr duration kWatchTimeout{ 1'500 };
/** A watch that is not answered this long after its timeout is overdue. */
constexpr duration kOverdueMargin{ 250 };
constexpr duration kReadRetryDelay{ 150 };

} // namespace

policy_watch::policy_watch(event_loop& aLoop,
                           transaction_store& aStore,
                           event_log& aLog,
                           std::string aKey,
                           decoder aDecode,
                           listener aListener)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mKey(std::move(aKey))
  , mDecode(std::move(aDecode))
  , mListener(std::move(aListener))
{
}

void policy_watch::ScheduleRead()
{
  const auto number = mCallNumber;
  mLoop.RunAfter(kReadRetryDelay, [this, number] {
    if (number == mCallNumber) {
      Read();
    }
  });
}

void policy_watch::Read()
{
  const auto number = ++mCallNumber;
  mStore.GetForWatch(mKey, [this, number](const result<stored_range>& aRead) {
    if (number != mCallNumber) {
      return;
    }
    if (!aRead || aRead->mItems.empty()) {
      ScheduleRead();
      return;
    }
    Apply(aRead->mItems.front());
    Watch(aRead->mRevision);
  });
}

void policy_watch::Watch(uint64_t aRevision)
{
  const auto number = ++mCallNumber;
  mStore.Watch(mKey,
               aRevision,
               kWatchTimeout,
               [this, number, aRevision](const result<stored_changes>& aChanges) {
                 if (number != mCallNumber) {
                   return;
                 }
                 if (!aChanges || aChanges->mHistoryLost) {
                   ScheduleRead();
                   return;
                 }
                 for (const auto& change : aChanges->mChanges) {
                   if (!change.mRemoved && change.mItem.mKey == mKey) {
                     Apply(change.mItem);
                   }
                 }
                 Watch(std::max(aRevision, aChanges->mRevision));
               });
  mLoop.RunAfter(kWatchTimeout + kOverdueMargin, [this, number] {
    if (number == mCallNumber) {
      // Its connection may have gone silent; a read shows what it would have told.
      Read();
    }
  });
}

void policy_watch::Apply(const stored_item& aItem)
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
  mListener(mCurrent);
}

} // namespace anvildoor
