#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "scheduler/InboxMonitor.h"
#include "store/TransactionStore.h"

#include <functional>
#include <string>

namespace anvildoor {

/**
 * Follows what entry VMs write to the inbox: accepted jobs and cancellations. Usually a
 * watch delivers it. A watch call that is overdue is replaced by one on another
 * connection, and while watches are overdue or fail, the cancellations are listed, so
 * that one is read within two seconds as long as the store answers lists or watches.
 * Jobs, which may be many, are listed every two seconds then.
 * Not thread-safe: all calls come from the thread of the event loop.
 */
class inbox_reader
{
public:
  struct callbacks
  {
    /** Receives each written item at least once. */
    std::function<void(const stored_item& aItem, inbox_source aSource)> mOnItem;
    /** Receives the key of each removed item, unless the store's history was lost. */
    std::function<void(const std::string& aKey)> mOnRemoved;
    /** Runs when removals may have been missed, before the inbox is listed again. */
    std::function<void()> mOnHistoryLost;
    /** Runs when no list is under way any more, whether or not it succeeded. */
    std::function<void()> mOnListsEnded;
  };

  /**
   * References must outlive the reader and its pending calls to the store. Each answer
   * that shows new jobs is reported to aMonitor before its items are passed on.
   */
  inbox_reader(event_loop& aLoop,
               transaction_store& aStore,
               event_log& aLog,
               inbox_monitor& aMonitor,
               callbacks aCallbacks);

  /** Follows the inbox from aRevision on; ends what was followed before. */
  void Begin(uint64_t aRevision);

  /** Runs no further callback until the next Begin. */
  void End();

  /** Returns whether a list is under way, which may contain items removed since. */
  bool IsListing() const { return mListsInFlight > 0; }

private:
  void Watch();
  void OnWatchAnswer(const result<stored_changes>& aChanges);
  /** Lists the whole inbox, then watches from there. */
  void Relist();
  /**
   * Lists the cancellations, or the whole inbox if it has been silent for long, unless
   * such a list is under way or was sent just before.
   */
  void ListBesideWatch();
  void OnListAnswer(const result<stored_range>& aRange, bool aHasJobs);
  template<typename Callback>
  auto UnlessEnded(Callback aCallback);

  event_loop& mLoop;
  transaction_store& mStore;
  event_log& mLog;
  inbox_monitor& mMonitor;
  callbacks mCallbacks;
  uint64_t mRevision = 0;
  /** Rises with Begin and End; callbacks of older generations do nothing. */
  uint64_t mGeneration = 0;
  uint64_t mWatchNumber = 0;   ///< Answers to earlier watches are ignored.
  int64_t mOverdueWatches = 0; ///< Since the last answer.
  int mListsInFlight = 0;
  bool mIsListingBesideWatch = false;
  time_point mListedAt{ 0 };
  time_point mJobsReadAt{ 0 }; ///< When jobs were last read, or their list was sent.
};

} // namespace anvildoor
