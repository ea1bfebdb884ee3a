#include "scheduler/InboxReader.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace anvildoor {

namespace {

/** Delay before a failed call to the store is retried. */
constexpr duration kRetryDelay{ 150 };
/** Time after which the store answers a watch without changes. */
constexpr duration kWatchTimeout{ 1'000 };
/** A watch that is not answered this long after its timeout is overdue. */
constexpr duration kOverdueMargin{ 300 };
/** Shortest time between two lists beside a watch that fails. */
constexpr duration kMinListPeriod{ 500 };
/** After this time without an answer to a watch, the jobs are listed, too. */
constexpr duration kMaxWatchSilence{ 2'000 };

} // namespace

inbox_reader::inbox_reader(event_loop& aLoop,
                           transaction_store& aStore,
                           event_log& aLog,
                           inbox_monitor& aMonitor,
                           callbacks aCallbacks)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mMonitor(aMonitor)
  , mCallbacks(std::move(aCallbacks))
{
}

template<typename Callback>
auto inbox_reader::UnlessEnded(Callback aCallback)
{
  return [this, generation = mGeneration, callback = std::move(aCallback)](
           auto&&... aArguments) {
    if (generation == mGeneration) {
      callback(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

void inbox_reader::Begin(uint64_t aRevision)
{
  End();
  mRevision = aRevision;
  mJobsReadAt = mLoop.Now();
  Watch();
}

void inbox_reader::End()
{
  ++mGeneration;
  ++mWatchNumber;
  mOverdueWatches = 0;
  mListsInFlight = 0;
  mIsListingBesideWatch = false;
  mListedAt = time_point(0);
}

void inbox_reader::Watch()
{
  const auto number = ++mWatchNumber;
  mStore.Watch(store_keys::kInbox,
               mRevision,
               kWatchTimeout,
               [this, number](const result<stored_changes>& aChanges) {
                 if (number == mWatchNumber) {
                   OnWatchAnswer(aChanges);
                 }
               });
  mLoop.RunAfter(kWatchTimeout + kOverdueMargin, [this, number] {
    if (number == mWatchNumber) {
      if (++mOverdueWatches == 1) {
        mLog.Write(log_event("inbox_watch_overdue")
                     .Add("revision", static_cast<int64_t>(mRevision)));
      }
      ListBesideWatch();
      Watch();
    }
  });
}

void inbox_reader::OnWatchAnswer(const result<stored_changes>& aChanges)
{
  if (!aChanges) {
    const auto number = ++mWatchNumber;
    ListBesideWatch();
    mLoop.RunAfter(kRetryDelay, [this, number] {
      if (number == mWatchNumber) {
        Watch();
      }
    });
    return;
  }
  if (aChanges->mHistoryLost) {
    mLog.Write(
      log_event("inbox_history_lost").Add("revision", static_cast<int64_t>(mRevision)));
    ++mWatchNumber;
    mCallbacks.mOnHistoryLost();
    ListBesideWatch();
    Relist();
    return;
  }
  mMonitor.OnAnswer(inbox_source::kWatch, mLoop.Now());
  mJobsReadAt = mLoop.Now();
  if (mOverdueWatches > 0) {
    mLog.Write(log_event("inbox_watch_answered").Add("overdue", mOverdueWatches));
    mOverdueWatches = 0;
  }
  for (const auto& change : aChanges->mChanges) {
    if (change.mRemoved) {
      mCallbacks.mOnRemoved(change.mItem.mKey);
    } else {
      mCallbacks.mOnItem(change.mItem, inbox_source::kWatch);
    }
  }
  mRevision = std::max(mRevision, aChanges->mRevision);
  Watch();
}

void inbox_reader::Relist()
{
  ++mListsInFlight;
  mStore.List(
    store_keys::kInbox, false, UnlessEnded([this](const result<stored_range>& aRange) {
      OnListAnswer(aRange, true);
      if (!aRange) {
        ListBesideWatch();
        mLoop.RunAfter(kRetryDelay, UnlessEnded([this] { Relist(); }));
        return;
      }
      mRevision = aRange->mRevision;
      Watch();
    }));
}

void inbox_reader::ListBesideWatch()
{
  const auto now = mLoop.Now();
  if (mIsListingBesideWatch || now - mListedAt < kMinListPeriod) {
    return;
  }
  mIsListingBesideWatch = true;
  mListedAt = now;
  ++mListsInFlight;
  const bool listsJobs = now - mJobsReadAt >= kMaxWatchSilence;
  if (listsJobs) {
    mJobsReadAt = now;
  }
  mStore.List(listsJobs ? store_keys::kInbox : store_keys::kCancels,
              false,
              UnlessEnded([this, listsJobs](const result<stored_range>& aRange) {
                mIsListingBesideWatch = false;
                OnListAnswer(aRange, listsJobs);
              }));
}

void inbox_reader::OnListAnswer(const result<stored_range>& aRange, bool aHasJobs)
{
  if (aRange) {
    if (aHasJobs) {
      mMonitor.OnAnswer(inbox_source::kList, mLoop.Now());
    }
    for (const auto& item : aRange->mItems) {
      mCallbacks.mOnItem(item, inbox_source::kList);
    }
  }
  --mListsInFlight;
  if (!IsListing()) {
    mCallbacks.mOnListsEnded();
  }
}

} // namespace anvildoor
