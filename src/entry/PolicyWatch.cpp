#include "entry/PolicyWatch.h"

namespace anvildoor {

policy_watch::policy_watch(event_loop& aLoop,
                           transaction_store& aStore,
                           event_log& aLog,
                           std::string aKey,
                           decoder aDecode,
                           listener aListener)
  : mLog(aLog)
  , mKey(std::move(aKey))
  , mDecode(std::move(aDecode))
  , mListener(std::move(aListener))
  , mWatch(aLoop,
           aStore,
           mKey,
           { [this](const stored_range& aRange) {
              const auto* item = aRange.Find(mKey);
              if (item != nullptr) {
                Apply(*item);
              }
              return item != nullptr;
            },
             [this](const stored_change& aChange) {
               if (!aChange.mRemoved && aChange.mItem.mKey == mKey) {
                 Apply(aChange.mItem);
               }
             } })
{
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
