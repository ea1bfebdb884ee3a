#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "scheduler/Election.h"
#include "store/TransactionStore.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace anvildoor {

/**
 * Writes the scheduler's records, many in one transaction and one transaction at a
 * time. Each one rewrites a key of its own under its former revision, so that a
 * transaction whose answer was lost can never be carried out after a later one; and
 * each depends on the scheduler's term. One thread.
 */
class record_writer
{
public:
  struct callbacks
  {
    /** Returns the record's value as it is now. */
    std::function<std::string(const std::string& aKey)> mEncode;
    /** The term is over: the store refused a write for it. */
    std::function<void(const std::string& aReason)> mOnFenced;
  };

  /** References must outlive the writer and its calls. */
  record_writer(event_loop& aLoop,
                transaction_store& aStore,
                event_log& aLog,
                callbacks aCallbacks);

  /** Begins a term. aWriterRevision is that of the writer's key, 0 if it is not there.
   */
  void Begin(const scheduler_term& aTerm, uint64_t aWriterRevision);

  /** Ends the term: what is not written yet is forgotten. */
  void End();

  /** How soon a record is wanted in the store. */
  enum class haste
  {
    kNow,  ///< Something waits for it: an order, or a caller.
    kSoon, ///< It may wait for others to share its transaction.
  };

  /** Writes aKey; aDurable runs when the value of now or a later one is stored. */
  void Write(const std::string& aKey, haste aHaste, std::function<void()> aDurable);

  /** Removes aKeys, some time after the writes. */
  void Remove(const std::vector<std::string>& aKeys);

  /** Returns whether everything given to Write is stored. */
  bool Idle() const { return mWaiting.empty() && !mInFlight; }

  uint64_t Transactions() const { return mTransactions; }

private:
  using notices = std::vector<std::function<void()>>;

  void SendAfter(duration aDelay);
  void Send();
  void Commit();
  void OnOutcome(const result<transaction_outcome>& aOutcome);
  void OnCommitted(uint64_t aRevision);

  event_loop& mLoop;
  transaction_store& mStore;
  event_log& mLog;
  callbacks mCallbacks;
  scheduler_term mTerm;
  uint64_t mRound = 0;
  bool mActive = false;
  bool mInFlight = false;
  uint64_t mTimer = 0; ///< Rises with each timer: older ones do nothing.
  std::optional<time_point> mSendAt;
  uint64_t mWriterRevision = 0;
  uint64_t mBatch = 0;
  uint64_t mTransactions = 0;
  std::string mBatchName;
  std::map<std::string, notices> mWaiting;
  std::vector<std::string> mRemovals;
  store_transaction mSent;
  notices mSentNotices;
};

} // namespace anvildoor
