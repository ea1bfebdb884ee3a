#pragma once

#include "base/EventLog.h"
#include "base/ScopedLoop.h"
#include "base/VirtualLoop.h"
#include "entry/EntryNode.h"
#include "standin/MemoryTransactionStore.h"
#include "standin/RunWorker.h"

#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace anvildoor {

/** An event log that records its lines for tests. */
class recording_log : public event_log
{
public:
  /** Returns the number of lines that contain aText. */
  size_t CountLines(const std::string& aText) const;
  std::vector<std::string> mLines;

protected:
  void OnWrite(const std::string& aLine) override { mLines.push_back(aLine); }
};

/** Kinds of calls to the store. */
enum class store_call
{
  kGet,
  kList,
  kStaleList, ///< A list that may be stale.
  kWatch,
  kCommit,
  kGrantLease,
  kRenewLease,
  kEndLease
};

/** What becomes of a call to the store. */
enum class store_fate
{
  kRefused,    ///< Nothing is done; the answer says "busy".
  kUnsent,     ///< Nothing is done and nothing is answered.
  kDelayed,    ///< Done after store_fault::mDelay and not answered.
  kUnanswered, ///< Done; an answer that falls into the time of the fault is lost.
  kEventLost,  ///< Like kUnanswered, but only for answers that carry changes.
  kHistoryLost ///< A watch that would carry changes tells that its history is gone.
};

/** A fault of some of the calls to the store. */
struct store_fault
{
  store_fate mFate = store_fate::kRefused;
  std::string mVm{};             ///< The VM whose calls are affected; empty: all.
  std::set<store_call> mCalls{}; ///< The affected kinds of calls; empty: all.
  std::string mPrefix{};         ///< Prefix of the affected keys; empty: all calls.
  time_point mUntil = time_point::max();            ///< When the fault ends.
  int mCallsLeft = std::numeric_limits<int>::max(); ///< How many calls it affects.
  int mEvery = 1; ///< It affects every mEvery-th call; the others go to later faults.
  duration mDelay{ 0 };
  int mCallsSeen = 0;    ///< Calls that matched so far.
  bool mIsExact = false; ///< Whether mPrefix is the whole key or prefix of the call.
  int mPercent = 100;    ///< Share of calls affected, drawn by fake_faults::mRandom.

  auto operator<=>(const store_fault&) const = default;
};

/** What becomes of one call to a worker. */
struct order_fate
{
  bool mIsRefused = false;    ///< As by an unhealthy worker, without effect.
  bool mIsLost = false;       ///< Neither carried out nor answered.
  bool mIsAnswered = true;    ///< Only calls without a delay are answered.
  duration mDelay{ 0 };       ///< Until it is carried out.
  duration mAnswerDelay{ 0 }; ///< Of an answer, which newer ones may overtake.
  std::function<void(run_request_status)> mOnCarriedOut; ///< Of starts; may be null.
};

/** Injected faults. Names are those of a VM, of a worker, "store" or "directory". */
struct fake_faults
{
  /** Pairs of a VM and the peer, worker, store or directory that it cannot reach. */
  std::set<std::pair<std::string, std::string>> mBlockedLinks;
  duration mListDelay{ 0 };                  ///< Delay of answers to lists.
  std::set<std::string> mStoreBusyFor;       ///< VMs to which the store answers "busy".
  std::set<std::string> mUnreachableWorkers; ///< Workers to which no call can be sent.
  std::set<std::string> mUnhealthyWorkers;   ///< They refuse starts.
  /** Watches sent before this time get no answer, as on connections that went silent.
   */
  time_point mSilentBefore{ 0 };
  /** The first one that matches a call decides its fate. */
  std::vector<store_fault> mStoreFaults;
  std::mt19937 mRandom; ///< Draws the calls that a store_fault::mPercent affects.
  /** Age of the answers to lists that may be stale. */
  duration mStaleReadAge{ 0 };
  /** Whether the first stop of each run is lost, with its answer. */
  bool mLosesFirstStops = false;
  /**
   * How many kept connections to a worker are dead. Each call takes one, and is lost,
   * until one of them has timed out. Of stops and holds.
   */
  std::map<std::string, int> mDeadConnections;
  /** How many of the next commits take effect but are not answered. */
  int mUnansweredCommits = 0;
  bool mLosesNotifications = false; ///< VMs don't hear of each other's cancellations.
  /** Workers whose starts are delayed by mStartDelay. */
  std::set<std::string> mDelayedStartWorkers;
  duration mStartDelay{ 4'000 };
  /** Decides the fate of each call (start, stop, hold) to a worker, if set. */
  std::function<order_fate(const std::string& aWorker, const std::string& aOrder)>
    mFateOfOrder;
  /** By how much the Unix clock of a VM is off, in milliseconds. */
  std::map<std::string, int64_t> mUnixStepsMs;
  /** Workers whose clock is slow by 2 %, from their next start on. */
  std::set<std::string> mSlowClockWorkers;
  /** Factor on the duration of runs that begin on a worker. */
  std::map<std::string, double> mSlowdownFactors;
};

class fake_vm;

/**
 * A simulated installation on virtual time: entry VMs, workers and the platform's
 * store. Calls between them have a latency and can be blocked, lost or delayed.
 */
class fake_installation
{
public:
  fake_installation(size_t aVmCount,
                    size_t aWorkerCount,
                    size_t aWorkersPerRack = 4,
                    const scheduler_bounds& aBounds = {});
  ~fake_installation();

  /** Makes a job of one step for queue "urgent", "batch" or "later", by aPriority. */
  static accepted_job MakeJob(const std::string& aId,
                              uint32_t aTasks,
                              bool aGang = false,
                              int64_t aPriority = 1);

  /** Submits to a VM and returns the answer, or nothing if none arrived in time. */
  std::optional<job_answer> Submit(const std::string& aVm,
                                   const accepted_job& aJob,
                                   duration aWithin = duration(3'000));
  /** The API key of the workspace "gyms". */
  static const std::string kKey;
  /** The caller of Cancel. */
  static job_caller Caller();
  /** How long callers wait for the answer to a cancellation, less the margin. */
  static constexpr duration kCallersPatience{ 2'900 };
  std::optional<job_answer> Cancel(const std::string& aVm, const std::string& aId);
  /**
   * Like Cancel, but returns kAccepted as soon as the VM knows that the cancellation is
   * stored, which is before it is acknowledged.
   */
  std::optional<job_answer> StoreCancellation(const std::string& aVm,
                                              const std::string& aId);

  /** Returns the state that a VM shows, "not found", or "" without an answer. */
  std::string StateAt(const std::string& aVm, const std::string& aId);

  /** Returns whether the job reaches aState at aVm within aLimit. */
  bool ReachesState(const std::string& aVm,
                    const std::string& aId,
                    const std::string& aState,
                    duration aLimit);

  void Kill(const std::string& aVm);
  void Restart(const std::string& aVm);
  /** Halts a VM, whose calls and answers wait until it is thawed. */
  void Freeze(const std::string& aVm);
  void Thaw(const std::string& aVm);
  bool IsFrozen(const std::string& aVm) const { return mFrozenVms.count(aVm) != 0; }
  void CrashWorker(const std::string& aId, bool aRestarts);
  void ListWorker(const std::string& aId,
                  bool aDraining = false,
                  duration aMinTimeToShutdown = duration::zero());

  /** Returns the VM that is the scheduler, or "". */
  std::string SchedulerVm() const;
  entry_node& Node(const std::string& aVm);
  /** Returns the metrics of a VM in the Prometheus text format. */
  std::string MetricsOf(const std::string& aVm) const;
  bool IsUp(const std::string& aVm) const { return mVms.count(aVm) != 0; }

  /** Returns the largest number of concurrent runs of one task. */
  size_t MaxConcurrentRuns() const;
  size_t CountStarts(const std::string& aJob) const;
  /** Returns the start time of the last life of a worker. */
  int64_t StartedAtMsOf(const std::string& aWorker) const
  {
    return mStartedAtMsByWorker.at(aWorker);
  }

  /**
   * Returns a policy with the queues "urgent", "batch" and "later", and with the
   * workspace "gyms", which has kKey and is guaranteed 8 accelerators.
   */
  static fleet_policy MakePolicy(uint64_t aVersion);
  void PutPolicy(uint64_t aVersion) { PutPolicy(MakePolicy(aVersion)); }
  void PutPolicy(const fleet_policy& aPolicy);

  const scheduler_bounds& Bounds() const { return mBounds; }

  virtual_loop mLoop;
  memory_transaction_store mStore{ mLoop };
  fake_faults mFaults;
  recording_log mLog;
  std::vector<run_trace> mTraces;
  size_t mHoldCalls = 0; ///< Hold calls that reached a worker.
  /** When a VM that was up first received the list with the end of a run. */
  std::map<std::pair<task_ref, uint32_t>, time_point> mListedAt;
  /** When a VM first learned that the cancellation of a job is stored, by job. */
  std::map<std::string, time_point> mCancelStoredAt;
  std::map<std::string, size_t> mStoredCancels; ///< Writes of cancellations, by job.
  /** When the last call of StoreCancellation for a job was answered. */
  std::map<std::string, time_point> mCancelAnsweredAt;
  gang_registry mGangs{ mLoop };
  std::map<std::string, std::unique_ptr<run_worker>> mWorkers;
  /** When a VM first had an answer or an entry of a worker's life, by its start time.
   */
  std::map<int64_t, time_point> mLifeKnownAt;
  /** When the leases of a worker's lives ran out, as far as later calls showed it. */
  std::map<std::string, std::vector<time_point>> mLapses;
  /** Behaviour of runs by the payload of their job. */
  std::map<std::string, run_behaviour> mBehaviourByPayload;

private:
  friend class fake_vm;

  void AddWorker(const std::string& aId);
  /** Records the lease that a call with aFence gives a worker, and lapses before it. */
  void NoteLease(const run_worker& aWorker,
                 uint64_t aFence,
                 std::optional<int64_t> aDeadlineMs);

  struct lease
  {
    uint64_t mFence = 0;
    int64_t mUntilMs = 0; ///< On the worker's clock.
  };

  size_t mWorkersPerRack;
  scheduler_bounds mBounds;
  int64_t mLastWorkerStartedAtMs = 1'000;
  /** Start time of the last life of each worker, which its entry tells. */
  std::map<std::string, int64_t> mStartedAtMsByWorker;
  std::map<int64_t, lease> mLeases;           ///< By the start time of the life.
  std::map<uint64_t, fleet_policy> mPolicies; ///< By version.
  std::map<std::string, std::unique_ptr<fake_vm>> mVms;
  std::vector<std::unique_ptr<fake_vm>> mStoppedVms;
  std::set<std::string> mFrozenVms;
  /** Runs of which a stop has been sent. */
  std::set<std::pair<task_ref, uint32_t>> mRunsToStop;
  /** Former answers to lists that may be stale, by prefix and time. */
  std::map<std::string, std::map<time_point, stored_range>> mFormerRanges;
};

} // namespace anvildoor
