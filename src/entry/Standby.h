#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "runs/RunPort.h"
#include "runs/WorkerDirectory.h"
#include "scheduler/Election.h"
#include "scheduler/TermHealth.h"
#include "store/TransactionStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Relieves a scheduler that has written to the store that it can't do a part of its
 * work. A VM that finds that it does better removes the scheduler's key, so that an
 * election begins. While no VM does, the scheduler goes on and holds the runs. Not
 * thread-safe: all calls come from the thread of the event loop.
 */
class standby
{
public:
  /** References must outlive the object and its pending calls. */
  struct ports
  {
    event_loop& mLoop;
    transaction_store& mStore;
    run_port& mWorkers;
    worker_directory& mDirectory;
    event_log& mLog;
    std::function<bool()> mMayRelieve; ///< Whether this VM may become the scheduler.
  };

  explicit standby(const ports& aPorts)
    : mPorts(aPorts)
  {
  }

  /**
   * Applies a list of the keys that begin with the scheduler's. aTerm is the term of
   * another VM that is known to this one. Begins a check of this VM if the list says
   * that this term is impaired, less often the more checks of it have found this VM
   * unfit. The list may be old: the key is removed only if the store still says the
   * same, and two checks have found this VM fit.
   */
  void Observe(const scheduler_term& aTerm, const stored_range& aKeys);

  /**
   * Returns whether the term with the fencing token aFence is known to be impaired and
   * this VM is not known to do better.
   */
  bool IsUnfitAfter(uint64_t aFence) const
  {
    return aFence != 0 && mImpairedFence == aFence && mFitFence != aFence;
  }

private:
  /** The scheduler of an impaired term, as the store shows it. */
  struct impaired_scheduler
  {
    scheduler_term mTerm;
    impaired_term mImpaired;
    uint64_t mRevision = 0; ///< Of the key that says that the term is impaired.
  };
  /** One check of this VM. */
  struct check
  {
    impaired_scheduler mScheduler;
    bool mIsSecond = false; ///< Confirms a first one that found this VM fit.
    size_t mPendingProbes = 0;
    worker_reach mReach; ///< Of this VM, in a sample of the workers.
  };

  void Begin(const impaired_scheduler& aScheduler, bool aIsSecond);
  /** Reads what a takeover has to read, one of aPrefixes after the other. */
  void ReadRecords(const std::shared_ptr<check>& aCheck,
                   std::vector<std::string> aPrefixes);
  void ListWorkers(const std::shared_ptr<check>& aCheck);
  void ProbeWorkers(const std::shared_ptr<check>& aCheck,
                    const std::vector<listed_worker>& aWorkers);
  /**
   * Returns whether this VM, which has read what the scheduler has to, does better than
   * the scheduler by its reach, or, if the scheduler can't read, not clearly worse.
   */
  static bool IsFit(const check& aCheck);
  /**
   * Ends the check, and logs it if it is the first of a term or aIsFit. With aIsFit,
   * begins the second check, or removes the key after it.
   */
  void Finish(const check& aCheck, bool aIsFit);
  void RemoveKey(const impaired_scheduler& aScheduler);

  ports mPorts;
  bool mIsChecking = false;
  time_point mMayCheckFrom{ 0 };
  duration mCheckDelay{ 0 };   ///< Between the last check and the next one.
  uint64_t mCheckedFence = 0;  ///< Of the term that was checked last.
  uint64_t mImpairedFence = 0; ///< Of the last term known to be impaired.
  uint64_t mFitFence = 0;      ///< Of the last impaired term that this VM can replace.
};

} // namespace anvildoor
