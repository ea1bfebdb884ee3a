#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "scheduler/RequestLimits.h"
#include "store/TransactionStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace anvildoor {

/** Timing of the scheduler's lease and of its renewal. */
struct election_times
{
  /**
   * Duration of the lease. A takeover waits for the old lease to expire, so it is kept
   * short; the store grants no less than 1 s.
   */
  duration mTtl{ 1'200 };
  duration mRenewPeriod{ 400 }; ///< The lease outlasts two lost renewals in a row.
  /**
   * How long a holder that cannot reach the store keeps sending requests to workers
   * after its lease has expired. Workers reject these requests once they have received
   * a newer fencing token.
   */
  duration mRequestGrace{ 4'000 };
  /** Delay before a renewal that failed is sent again, if none has been sent since. */
  duration mRefusedRenewalDelay{ 50 };
  /** How long a VM that gave way leaves elections to the others. */
  duration mYieldTime{ 1'400 };
  duration mRetryDelay{ 150 }; ///< Delay before the key is read again after a failure.
  /** Delay before a refused step of an election is repeated. */
  duration mRefusedStepDelay{ 60 };
  /** After this time a VM doesn't repeat steps of an election, but reads the key again.
   */
  duration mMaxElectionTime{ 800 };
  /** Timeout of one watch call on the key; the platform allows at most 30 s. */
  duration mWatchTimeout{ 20'000 };

  auto operator<=>(const election_times&) const = default;
};

/** Resources of a VM on which its election delay depends. */
struct vm_size
{
  double mCores = 1.0;
  double mLinkMbps = 1'000.0;

  auto operator<=>(const vm_size&) const = default;
};

/**
 * Returns how long a VM waits before it tries to acquire the scheduler's key. Smaller
 * VMs wait longer, so that the largest available VM is elected; VMs of the same size
 * are staggered by a hash of their names. Pure.
 */
duration ElectionDelay(const std::string& aVm, const vm_size& aSize);

/** One term of a scheduler: its VM, address and fencing token. */
struct scheduler_term
{
  std::string mVm;
  std::string mAddress;   ///< Address for calls from peers, "IP:port".
  uint64_t mFence = 0;    ///< Fencing token, rises with each term; 0: no scheduler.
  uint64_t mRevision = 0; ///< Revision of the key, for write conditions.
  uint64_t mLease = 0;    ///< Lease of the key.

  auto operator<=>(const scheduler_term&) const = default;
};

/**
 * Elects the scheduler with a leased key in the store: this VM either holds the key or
 * watches it. A term ends when the store reports that the lease has expired, when
 * StepDown is called (because a worker or the store has rejected the fencing token), or
 * a bounded time after the last renewal. Not thread-safe.
 */
class scheduler_election
{
public:
  struct callbacks
  {
    /** Passes the new term and the last one known before; its fence is 0 if none is. */
    std::function<void(const scheduler_term&, const scheduler_term& aPredecessor)>
      mOnElected;
    std::function<void(const std::string& aReason)> mOnTermEnded;
    /** Passes each list of the keys that begin with the scheduler's. */
    std::function<void(const stored_range&)> mOnKeysRead;
    /**
     * Returns for how much longer than its election delay this VM waits, once this is
     * over, before it tries to succeed aPredecessor; may be empty. Asked again while
     * the VM waits.
     */
    std::function<duration(const scheduler_term& aPredecessor)> mExtraDelay;
    /** Reports whether a call to the store succeeded, for the readiness check. */
    std::function<void(bool aReached)> mOnStoreReachability;
  };

  /**
   * References must outlive the election and its pending calls. aElectionDelay is the
   * value of ElectionDelay for this VM.
   */
  scheduler_election(event_loop& aLoop,
                     transaction_store& aStore,
                     event_log& aLog,
                     const scheduler_term& aSelf,
                     duration aElectionDelay,
                     const election_times& aTimes,
                     callbacks aCallbacks);

  /**
   * Begins to read the key. No other process may use this VM's name and address by now:
   * a key that names them is that of a process that has ended.
   */
  void Begin();

  /** Reads the key again at once, unless this VM holds it. */
  void RereadKey() { ReadKey("probe"); }

  /** Ends this VM's term, if it has one, and takes part in no further election. */
  void Resign();

  /** Ends this VM's term because a worker or the store has rejected its token. */
  void StepDown(const std::string& aReason);

  /**
   * Ends this VM's term because it cannot do the scheduler's work, and takes part in no
   * election for a while, so that another VM is elected if there is one.
   */
  void GiveWay(const std::string& aReason);

  /**
   * Lets the lease of this VM's term run out, because it can do only a part of the
   * scheduler's work. It goes on to send requests for election_times::mRequestGrace, so
   * that runs are held until another VM has been elected. Does nothing without a term.
   */
  void StopRenewing(const std::string& aReason);

  /**
   * Sets whether another VM may remove the key of this VM's term, and end its lease,
   * because the term is impaired. Must be called with true before the store says so,
   * and with false once it no longer does.
   */
  void SetImpaired(bool aIsImpaired) { mIsImpaired = aIsImpaired; }

  bool IsHolder() const { return mIsHolder; }

  /** Returns what requests this VM's term allows; the times are 0 without a term. */
  request_limits RequestLimits() const;

  /** A term of another VM, and when this VM learned of its end. */
  struct former_term
  {
    scheduler_term mTerm;
    time_point mEndedAt{ 0 };
  };

  /** Returns the last few terms of other VMs that are known to have ended. */
  const std::deque<former_term>& Formers() const { return mFormers; }

  /** Returns the latest known term; its mFence is 0 if there is none. */
  const scheduler_term& Current() const { return mCurrent; }

private:
  /** Reads the key; aCause names in the log what made this VM read it. */
  void ReadKey(const char* aCause);
  void OnKeyRead(const result<stored_range>& aRead);
  void Follow(const stored_item& aItem, uint64_t aRevision);
  /**
   * Returns whether the key is that of a term of this VM at this address that no
   * process holds: one that was there before this process, or one of this process
   * itself.
   */
  bool IsAbandoned(const stored_item& aItem, bool aIsFirstRead) const;
  /**
   * Ends the lease of an abandoned term, so that nobody waits until it expires. Repeats
   * calls that fail for election_times::mMaxElectionTime.
   */
  void EndAbandonedLease(uint64_t aLease, time_point aBegunAt);
  void Watch(uint64_t aRevision);
  /**
   * Goes on with the election once callbacks::mExtraDelay has passed since aSince, or
   * it returns less than has passed by then.
   */
  void RequestLeaseAfterExtraDelay(time_point aSince);
  /**
   * Ends the lease of a former term that was impaired, so that its VM, whose renewals
   * fail then, sends no requests longer than after a lease that has expired.
   */
  void EndImpairedLease(time_point aBegunAt);
  void RequestLease(time_point aBegunAt);
  void CreateKey(uint64_t aLease, time_point aRequestedAt, time_point aBegunAt);
  /** Repeats a step of an election that failed, or begins with the read of the key. */
  void RepeatStep(const error& aError, time_point aBegunAt, task aStep);
  void BeginTerm(uint64_t aRevision, uint64_t aFence, time_point aLeaseRequestedAt);
  /** Notes that the last known term, if it is another VM's, has ended. */
  void NoteFormer();
  /** Logs that the key of the scheduler known so far is missing. */
  void LogMissingScheduler();
  /** Logs what this VM's new term has waited for. */
  void LogElected();
  /** Logs once that the lease has run out while this VM sends requests on. */
  void CheckRenewals();
  void ScheduleRenewal();
  void Renew();
  void SendRenewal();

  /** Sends the renewal that has just failed again, unless the next one comes first. */
  void RepeatRenewal();
  void EndTerm(const std::string& aReason);
  /** Ends a lease at the store, and with it the scheduler's key. */
  void EndLease(uint64_t aLease);
  void ReadKeyAfter(duration aAfter);
  void ReportStoreReachability(bool aReached);
  std::string EncodeKeyValue() const;

  event_loop& mLoop;
  transaction_store& mStore;
  event_log& mLog;
  scheduler_term mSelf;
  duration mElectionDelay;
  election_times mTimes;
  callbacks mCallbacks;
  scheduler_term mCurrent;
  scheduler_term mLastKnown; ///< Like mCurrent, but kept after the end of the term.
  std::deque<former_term> mFormers; ///< The last one first.
  bool mIsHolder = false;
  bool mIsImpaired = false; ///< See SetImpaired.
  bool mIsRenewing = false; ///< Whether the lease of this VM's term is renewed.
  bool mResigned = false;
  bool mHasReadKey = false; ///< Whether a read of the key has succeeded.
  bool mIsStoreReachable = true;
  uint64_t mLeaseId = 0;
  uint64_t mImpairedLease = 0; ///< See EndImpairedLease; 0: none.
  uint64_t mRenewalNumber = 0; ///< Counts the renewals that were sent.
  /** Rises with each change of role; callbacks of older generations do nothing. */
  uint64_t mGeneration = 0;
  time_point mRenewedAt{ 0 };     ///< When the last renewal that succeeded was sent.
  time_point mYieldsUntil{ 0 };   ///< Until then this VM takes part in no election.
  time_point mKeySeenAt{ 0 };     ///< When the store last showed the key of mCurrent.
  time_point mBegunAt{ 0 };       ///< When Begin was called.
  time_point mFollowedSince{ 0 }; ///< When this VM first saw the term that it follows.
  duration mFollowedFor{ 0 };     ///< How long it followed the last term that ended.
  std::optional<time_point> mVacantSince; ///< When it first saw that there is no key.
  const char* mReadCause = "begin";       ///< See ReadKey.
  bool mIsOnGrace = false; ///< The lease has run out at the last renewal, as is known.
  std::string mNonce;
};

} // namespace anvildoor
