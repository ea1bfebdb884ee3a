#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "store/TransactionStore.h"

#include <functional>
#include <memory>

namespace anvildoor {

/** Times of the scheduler's lease. */
struct election_times
{
  /** Short, as a takeover waits for it; the store grants no less than 1 s. */
  duration mTtl{ 1'200 };
  duration mRenewEvery{ 400 }; ///< Two renewals may be lost in a row.
  /** A holder without the store goes on this long past its lease, fenced by workers. */
  duration mGoOnFor{ 4'000 };
  duration mRetry{ 150 };
  /** The wait of a watch on the key; the platform allows 30 s. */
  duration mWatchWait{ 20'000 };

  auto operator<=>(const election_times&) const = default;
};

/** What this VM brings along for scheduling. */
struct vm_size
{
  double mCores = 1.0;
  double mLinkMbps = 1'000.0;

  auto operator<=>(const vm_size&) const = default;
};

/**
 * Returns how long a VM waits before it stands for the scheduler's key: the smaller,
 * the longer, so that the largest VM that is there gets it; VMs of one size differ by
 * their name. Pure.
 */
duration ElectionDelay(const std::string& aVm, const vm_size& aSize);

/** Who schedules, as far as this VM knows. */
struct scheduler_term
{
  std::string mVm;
  std::string mAddress;   ///< Of its peers' side, "IP:port".
  uint64_t mFence = 0;    ///< Rises with each term; 0: nobody.
  uint64_t mRevision = 0; ///< Of the key, for conditions of writes.

  auto operator<=>(const scheduler_term&) const = default;
};

/**
 * Holds or follows the scheduler's leased key. The holder's term ends when the lease
 * has ended at the store, when it is told to (a worker or the store has refused its
 * fence), or a bounded time after it last renewed. One thread.
 */
class scheduler_election
{
public:
  struct callbacks
  {
    std::function<void(const scheduler_term&)> mOnWon;
    std::function<void(const std::string& aReason)> mOnLost;
    /** The store answered, or did not. For readiness. */
    std::function<void(bool aReached)> mOnStore;
  };

  /** References must outlive the election and its calls. aDelay: this VM's rank. */
  scheduler_election(event_loop& aLoop,
                     transaction_store& aStore,
                     event_log& aLog,
                     const scheduler_term& aSelf,
                     duration aDelay,
                     const election_times& aTimes,
                     callbacks aCallbacks);

  void Begin();

  /** Reads the key again unless this VM holds it. */
  void LookAgain() { Look(); }

  /** Gives the term up, if there is one, and stands for no other. */
  void Resign();

  /** Ends this VM's term because somebody has seen a newer fence. */
  void StepDown(const std::string& aReason);

  bool Holds() const { return mHolds; }

  /** Returns until when orders may be given under this VM's term. */
  time_point OrdersUntil() const { return mOrdersUntil; }

  /** Returns the latest known term; mFence is 0 if there is none. */
  const scheduler_term& Current() const { return mCurrent; }

private:
  void Look();
  void OnLooked(const result<stored_range>& aRead);
  void Follow(const stored_item& aItem, uint64_t aRevision);
  void Watch(uint64_t aRevision);
  void Stand();
  void Claim(uint64_t aLease, time_point aGrantedAt);
  void Win(uint64_t aRevision, uint64_t aFence, time_point aRenewedAt);
  void RenewSoon();
  void Renew();
  void Lose(const std::string& aReason);
  void RetryLook(duration aAfter);
  void NoteStore(bool aReached);
  std::string EncodeSelf() const;

  event_loop& mLoop;
  transaction_store& mStore;
  event_log& mLog;
  scheduler_term mSelf;
  duration mDelay;
  election_times mTimes;
  callbacks mCallbacks;
  scheduler_term mCurrent;
  bool mHolds = false;
  bool mResigned = false;
  bool mReached = true;
  uint64_t mLease = 0;
  uint64_t mRound = 0; ///< Rises with each change of role: older callbacks end.
  time_point mOrdersUntil{ 0 };
  std::string mNonce;
};

} // namespace anvildoor
