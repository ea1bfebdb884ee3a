#pragma once

#include "base/EventLog.h"
#include "base/ScopedLoop.h"
#include "base/VirtualLoop.h"
#include "entry/EntryNode.h"
#include "standin/MemoryTransactionStore.h"
#include "standin/RunWorker.h"

#include <map>
#include <memory>
#include <set>

namespace anvildoor {

/** Keeps what was logged, so that a test can ask for it. */
class kept_log : public event_log
{
public:
  size_t CountOf(const std::string& aText) const;
  std::vector<std::string> mLines;

protected:
  void OnWrite(const std::string& aLine) override { mLines.push_back(aLine); }
};

/** Where faults are switched on. Names: a VM's, a worker's, or "store". */
struct fake_faults
{
  std::set<std::pair<std::string, std::string>> mCuts; ///< No call, no answer.
  std::set<std::string> mRefusing;    ///< The store answers that it is busy, to these.
  std::set<std::string> mUnreachable; ///< Workers to which nothing can be sent.
  int mLoseCommits = 0;               ///< So many next commits happen unanswered.
  std::set<std::string> mLateStarts;  ///< Starts at these workers come mLateBy later.
  duration mLateBy{ 4'000 };
  /** Runs that begin at these workers take so many times as long. */
  std::map<std::string, int> mSlowBy;
};

class fake_vm;

/**
 * An installation on virtual time: entry VMs, workers and the platform's store, with
 * calls that take a hop and can be cut, lost or late.
 */
class fake_installation
{
public:
  fake_installation(size_t aVms, size_t aWorkers, size_t aPerRack = 4);
  ~fake_installation();

  /** Makes a job of one step for the queue "batch" or, with priority 0, "urgent". */
  static accepted_job MakeJob(const std::string& aId,
                              uint32_t aTasks,
                              bool aGang = false,
                              int64_t aPriority = 1);

  /** Submits at a VM and returns the answer, or nothing if none came in aWithin. */
  std::optional<job_answer> Submit(const std::string& aVm,
                                   const accepted_job& aJob,
                                   duration aWithin = duration(3'000));
  std::optional<job_answer> Cancel(const std::string& aVm, const std::string& aId);

  /** Returns the state that a VM shows, or nothing. */
  std::string StateAt(const std::string& aVm, const std::string& aId);

  /** Returns whether the job reaches aState at aVm within aLimit. */
  bool Reaches(const std::string& aVm,
               const std::string& aId,
               const std::string& aState,
               duration aLimit);

  void Kill(const std::string& aVm);
  void Restart(const std::string& aVm);
  void CrashWorker(const std::string& aId, bool aComesBack);
  void ListWorker(const std::string& aId,
                  bool aDraining = false,
                  duration aRemaining = duration::zero());

  /** Returns the VM that schedules, or "". */
  std::string SchedulerVm() const;
  entry_node& Node(const std::string& aVm);

  /** Returns the largest number of runs of one task that were there at the same time.
   */
  size_t MostAtOnce() const;
  size_t StartsOf(const std::string& aJob) const;

  void PutPolicy(uint64_t aVersion);

  virtual_loop mLoop;
  memory_transaction_store mStore{ mLoop };
  fake_faults mFaults;
  kept_log mLog;
  std::vector<run_trace> mTraces;
  size_t mHolds = 0; ///< Calls that reached a worker.
  std::map<std::string, std::unique_ptr<run_worker>> mWorkers;
  std::map<std::string, run_work> mWork; ///< By payload.

private:
  void AddWorker(const std::string& aId);

  size_t mPerRack;
  int64_t mBorn = 1'000;
  std::map<std::string, std::unique_ptr<fake_vm>> mVms;
  std::vector<std::unique_ptr<fake_vm>> mDead;
};

} // namespace anvildoor
