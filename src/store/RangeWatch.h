#pragma once

#include "base/EventLoop.h"
#include "store/TransactionStore.h"

#include <functional>
#include <string>

namespace anvildoor {

/**
 * Follows the keys under a prefix: reads them, then watches for changes, and reads
 * again when a watch fails, has lost its history or is overdue, as on a connection that
 * has gone silent. Not thread-safe: all calls come from one thread.
 */
class range_watch
{
public:
  struct listener
  {
    /**
     * Receives all keys, after each read. Returns whether to watch from there; if not,
     * the read is repeated after a short delay.
     */
    std::function<bool(const stored_range&)> mOnRead;
    std::function<void(const stored_change&)> mOnChange;
  };

  /** The references must outlive the watch and its calls. */
  range_watch(event_loop& aLoop,
              transaction_store& aStore,
              std::string aPrefix,
              listener aListener);

  /** Begins to follow the keys, or reads them again at once. */
  void Read();

  /** Stops; the listener is not called any more. */
  void End() { ++mCallNumber; }

  /** Returns when the store last answered a read or a watch; 0: never. */
  time_point AnsweredAt() const { return mAnsweredAt; }

private:
  void Watch(uint64_t aRevision);
  void ScheduleRead();

  event_loop& mLoop;
  transaction_store& mStore;
  std::string mPrefix;
  listener mListener;
  uint64_t mCallNumber = 0; ///< Counts reads and watches; earlier ones do nothing.
  time_point mAnsweredAt{ 0 };
};

} // namespace anvildoor
