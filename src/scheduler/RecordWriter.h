#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "scheduler/Election.h"
#include "store/TransactionStore.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace anvildoor {

/**
 * Writes the scheduler's records in batches, one transaction at a time. Each
 * transaction rewrites the writer's key on condition of its previous revision, so that
 * one whose answer was lost cannot take effect after a later one. It also requires that
 * the scheduler's term still holds. If the store refuses a batch, its records are sent
 * one by one. One that is refused alone is set aside with what waits for it, and sent
 * again, alone, soon after it is written again, and from time to time otherwise. Not
 * thread-safe.
 */
class record_writer
{
public:
  struct callbacks
  {
    /** Returns the current value of the record. */
    std::function<std::string(const std::string& aKey)> mEncode;
    /** Called when the store rejects a write because the term has ended. */
    std::function<void(const std::string& aReason)> mOnFenced;
    /**
     * Called each time the store refuses a record alone, which is then not stored; what
     * waits for it goes on waiting. May be null, and may write records.
     */
    std::function<void(const std::string& aKey)> mOnRefused;
  };

  /** References must outlive the writer and its pending calls. */
  record_writer(event_loop& aLoop,
                transaction_store& aStore,
                event_log& aLog,
                callbacks aCallbacks);

  /** Begins a term. aWriterRevision: revision of the writer's key; 0: no such key. */
  void Begin(const scheduler_term& aTerm, uint64_t aWriterRevision);

  /** Ends the term and discards pending writes. */
  void End();

  /** How soon a record must be written. */
  enum class urgency
  {
    kImmediate, ///< A request to a worker, or a caller, waits for it.
    kBatched,   ///< It may be delayed to share a transaction with others.
  };

  /**
   * Writes aKey; aDurable runs when the current value or a later one is stored. It goes
   * on waiting while the store refuses the record.
   */
  void Write(const std::string& aKey, urgency aUrgency, std::function<void()> aDurable);

  /**
   * Runs aDurable once every earlier write of aKey is stored; never before this call
   * returns, and not after the end of the term. Writes nothing itself.
   */
  void WhenStored(const std::string& aKey, std::function<void()> aDurable);

  /**
   * Removes aKeys, at most kMaxRecordsPerTransaction, in one transaction; aDurable runs
   * once they are removed. Pending writes are sent first.
   */
  void Remove(const std::vector<std::string>& aKeys, std::function<void()> aDurable);

  /** Returns whether every write of aKey is stored. */
  bool IsStored(const std::string& aKey) const
  {
    return mPendingWrites.count(aKey) == 0 && mRefusedWrites.count(aKey) == 0 &&
           !IsInFlight(aKey);
  }

  /** Returns for how long the transaction in flight has not been stored; 0: none is. */
  duration InFlightFor() const
  {
    return mInFlight ? mLoop.Now() - mInFlightSince : duration::zero();
  }

  /** Returns the keys whose last write may not be stored yet. */
  std::vector<std::string> UnconfirmedKeys() const;

  /**
   * Returns whether aName, a value of the writer's key, names a transaction of a term
   * after the one with the fencing token aFence. False if aName is empty, as no term
   * has written then; true if it is malformed. Thread-safe.
   */
  static bool IsOfLaterTerm(const std::string& aName, uint64_t aFence);

  uint64_t TransactionCount() const { return mTransactions; }

  /** Limit on entries, less the two conditions and the put of the writer's key. */
  static constexpr size_t kMaxRecordsPerTransaction =
    store_transaction::kMaxEntries - 3;

private:
  using durable_callbacks = std::vector<std::function<void()>>;

  struct in_flight_write
  {
    std::string mKey;
    durable_callbacks mDurable;
  };
  /** A record that the store has refused alone. */
  struct refused_write
  {
    durable_callbacks mDurable;
    time_point mRefusedAt{ 0 };
    time_point mSendAt{ 0 };
  };
  /** Keys that are removed together. */
  struct removal
  {
    std::vector<std::string> mKeys;
    std::function<void()> mDurable;
  };

  void ScheduleSend(duration aDelay);
  void Send();
  void Commit();
  void OnCommitResult(const result<transaction_outcome>& aOutcome);
  void OnCommitted(uint64_t aRevision);
  /** Logs the transaction in flight, which has just been stored, if it took long. */
  void ReportSlowWrite() const;
  void OnBatchRefused(const error& aError);
  /** Sets the record in flight, which is alone, aside. */
  void SetAside(const error& aError);
  /** Makes a timer for the refused record that is to be sent next, if there is one. */
  void ScheduleRefused();
  /** Returns the refused record that is to be sent by now; the end if there is none. */
  std::map<std::string, refused_write>::iterator FindDueRefused();
  /** Puts aKey into the transaction in flight; returns the size of its value. */
  size_t AddToTransaction(const std::string& aKey, durable_callbacks aDurable);
  /** Returns whether the transaction in flight writes aKey. */
  bool IsInFlight(const std::string& aKey) const;

  event_loop& mLoop;
  transaction_store& mStore;
  event_log& mLog;
  callbacks mCallbacks;
  scheduler_term mTerm;
  uint64_t mGeneration = 0;
  bool mActive = false;
  bool mInFlight = false;
  time_point mInFlightSince{ 0 }; ///< When the transaction in flight was first sent.
  uint64_t mAttempts = 0;         ///< How often the transaction in flight was sent.
  uint64_t mTimerGeneration = 0;  ///< Rises with each timer; older timers do nothing.
  std::optional<time_point> mSendAt;
  uint64_t mWriterRevision = 0;
  uint64_t mBatchNumber = 0;
  uint64_t mTransactions = 0;
  std::string mBatchName;
  std::map<std::string, durable_callbacks> mPendingWrites;
  std::map<std::string, refused_write> mRefusedWrites; ///< None of them is pending.
  bool mIsRefusedInFlight = false;      ///< A refused record has been sent again.
  time_point mRefusedSentAt{ 0 };       ///< When a refused record was last sent again.
  uint64_t mRefusedTimerGeneration = 0; ///< Like mTimerGeneration.
  std::deque<removal> mRemovals;
  store_transaction mInFlightTransaction;
  std::vector<in_flight_write> mInFlightWrites;
  std::vector<removal> mInFlightRemovals;
  size_t mSinglesLeft = 0; ///< Records still to be sent one by one after a refusal.
};

} // namespace anvildoor
