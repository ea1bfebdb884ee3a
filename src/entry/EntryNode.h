#pragma once

#include "entry/CancellationGuard.h"
#include "entry/JobCancellations.h"
#include "entry/JobService.h"
#include "entry/LoopMonitor.h"
#include "entry/PolicyWatch.h"
#include "entry/Standby.h"

namespace anvildoor {

/** Dependencies of an entry node. All must outlive the node. */
struct entry_ports
{
  event_loop& mLoop;
  transaction_store& mStore;
  run_port& mWorkers;
  worker_directory& mDirectory;
  peer_query& mPeers;
  event_log& mLog;
  metrics& mMetrics;
  std::function<int64_t()> mUnixMs;
};

/** Configuration of an entry node. */
struct entry_options
{
  std::string mVm;
  std::string mPeerAddress; ///< "IP:port" at which other entry VMs query this one.
  std::string mPolicyKey;
  policy_watch::decoder mDecodePolicy;
  scheduler_bounds mScheduler;
  election_times mElection;
  duration mElectionDelay{ 0 };
};

/**
 * One entry VM: accepts jobs, follows the desired state, and runs the scheduler while
 * it is elected. Not thread-safe: all calls come from the event loop's thread.
 */
class entry_node
{
public:
  entry_node(const entry_ports& aPorts, const entry_options& aOptions);

  void Begin();

  /** Reports not ready and resigns as scheduler. Calls are still served. */
  void StartDraining();

  /** Returns whether the VM can serve new clients. */
  bool IsReady() const;

  /** Returns whether this VM still stops cancelled runs of a term that has ended. */
  bool HasUnsettledStops() const { return mGuard.HasUnsettledStops(); }

  /** Returns whether the store has answered recently. */
  bool IsStoreReachable() const;

  const std::shared_ptr<const fleet_policy>& Policy() const
  {
    return mPolicy.Current();
  }
  job_service& Jobs() { return mJobs; }
  const fleet_scheduler& Scheduler() const { return mScheduler; }

  /**
   * See fleet_scheduler::ObserveCancellation. The runs that the job may have of an
   * ended term of this VM are stopped, too, if need be, whatever is returned.
   */
  bool ObserveCancellation(const std::string& aJob, uint64_t aRevision)
  {
    mGuard.Observe(aJob, aRevision);
    return mScheduler.ObserveCancellation(aJob, aRevision);
  }

  /**
   * Applies a stored cancellation like ObserveCancellation, and passes on how far the
   * scheduler of this VM has got with it: at once if it does not schedule the job, or
   * once it is settled, at the latest after aAtMost.
   */
  void AwaitCancellation(const std::string& aJob,
                         uint64_t aRevision,
                         duration aAtMost,
                         std::function<void(cancel_progress)> aDone);

  /**
   * Returns the summary of this VM's last term for a successor with the fencing token
   * aFence; nothing if this VM had no earlier term. A term still in progress ends.
   */
  std::optional<term_summary> SummaryForSuccessor(uint64_t aFence);

  const scheduler_election& Election() const { return mElection; }

  /** Sets the callback for each new version of the desired state. */
  void SetPolicyListener(policy_watch::listener aListener)
  {
    mPolicyListener = std::move(aListener);
  }

private:
  void ProbeStore();
  /** Applies a possibly old list of the scheduler's key and the intake's. */
  void ObserveSchedulerKeys(const stored_range& aRange);
  void EndTerm();
  /** Tells the scheduler, if it is another VM, of a stored cancellation. */
  void AskScheduler(const std::string& aJob,
                    uint64_t aRevision,
                    const std::function<void(bool)>& aDone);
  /** Relieves the scheduler if aRange says that it can't do its work. */
  void ObserveImpairment(const stored_range& aRange);
  /** Returns whether this VM may relieve the scheduler that it knows. */
  bool MayRelieve() const;
  /** Returns how much longer than others this VM waits before it tries to be elected.
   */
  duration ExtraElectionDelay(const scheduler_term& aPredecessor) const;

  entry_ports mPorts;
  entry_options mOptions;
  loop_monitor mLoopMonitor;
  policy_watch::listener mPolicyListener;
  policy_watch mPolicy;
  std::shared_ptr<const job_owners> mOwners; ///< By mPolicy; null before the first.
  fleet_scheduler mScheduler;
  cancellation_guard mGuard;
  scheduler_election mElection;
  standby mStandby;
  job_cancellations mCancellations;
  job_service mJobs;
  bool mDraining = false;
  time_point mStoreAnsweredAt{ 0 };
  bool mWasStoreReachable = false;
  bool mHadImpairedTerm = false; ///< Whether this VM's last term ended impaired.
  uint64_t mProbes = 0; ///< Probes sent while this VM didn't hold the scheduler's key.
  bool mIsIntakeClosed = false; ///< As last read from the store.
};

} // namespace anvildoor
