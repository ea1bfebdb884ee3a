#include "store/RangeWatch.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Time after which the store answers a watch without changes. */
constexpr duration kWatchTimeout{ 1'500 };
/** A watch that is not answered this long after its timeout is overdue. */
constexpr duration kOverdueMargin{ 250 };
constexpr duration kReadRetryDelay{ 150 };

} // namespace

range_watch::range_watch(event_loop& aLoop,
                         transaction_store& aStore,
                         std::string aPrefix,
                         listener aListener)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mListener(std::move(aListener))
{
}

void range_watch::ScheduleRead()
{
  const auto number = mCallNumber;
  mLoop.RunAfter(kReadRetryDelay, [this, number] {
    if (number == mCallNumber) {
      Read();
    }
  });
}

void range_watch::Read()
{
  const auto number = ++mCallNumber;
  mStore.List(mPrefix, false, [this, number](const result<stored_range>& aRead) {
    if (number != mCallNumber) {
      return;
    }
    if (!aRead) {
      ScheduleRead();
      return;
    }
    mAnsweredAt = mLoop.Now();
    if (mListener.mOnRead(*aRead)) {
      Watch(aRead->mRevision);
    } else {
      ScheduleRead();
    }
  });
}

void range_watch::Watch(uint64_t aRevision)
{
  const auto number = ++mCallNumber;
  mStore.Watch(mPrefix,
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
                 mAnsweredAt = mLoop.Now();
                 for (const auto& change : aChanges->mChanges) {
                   mListener.mOnChange(change);
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

} // namespace anvildoor
