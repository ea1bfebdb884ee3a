#pragma once

#include "planner/PlacementPolicy.h"
#include "planner/Victims.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * What one decision of the planner works on: the gangs as they are after the starts
 * decided so far, and the capacity that is left. Not thread-safe.
 */
class round_state
{
public:
  /** aInput must outlive the state. */
  round_state(const planner_input& aInput, guarantee_plan aPlan);

  const planner_input& Input() const { return mInput; }
  const fleet_view& Fleet() const { return mInput.mFleet; }
  const guarantee_plan& Plan() const { return mPlan; }
  const std::vector<running_gang>& Running() const { return mRunning; }
  const worker_amounts& Committed() const { return mCommitted; }
  const worker_amounts& Reserved() const { return mReserved; }
  const planner_decision& Decision() const { return mDecision; }

  /** Returns the indices into Running of the gangs with a task in a rack. */
  const std::vector<size_t>& GangsInRack(size_t aRack) const
  {
    return mGangsByRack[aRack];
  }

  /** Returns what no gang that is to stay holds on a worker. */
  resources FreeOn(size_t aWorker) const;

  /** Returns whether a worker may take tasks of aJob. */
  bool MayUse(size_t aWorker, const waiting_job& aJob) const;

  /** Returns whether this round starts the job. */
  bool IsStarted(const std::string& aJob) const { return mStarted.count(aJob) != 0; }

  /** Returns the accelerators that a workspace borrows, over its weight. */
  int64_t BorrowedShare(const std::string& aWorkspace) const;

  /** Returns the defaults as they hold for a job's workspace. */
  fleet_defaults Settings(const waiting_job& aJob) const;

  /** Returns a search for victims; what this round starts is never one. */
  victim_search Search(std::function<bool(const running_gang&)> aMayStop) const;

  /** Returns how often capacity came free so far; what failed before may fit now. */
  size_t Reclaims() const { return mReclaims; }

  /** Plans a shape at another place. */
  void MoveShape(const shape_id& aShape, const placement& aReserved);

  /** Decides that a job starts and its victims stop. */
  void Start(const waiting_job& aJob,
             const placement& aPlacement,
             const std::optional<shape_id>& aGuaranteed,
             const victim_choice& aVictims);

  /** Records why a job waits. */
  void Wait(const waiting_job& aJob, const std::string& aReason);

private:
  void IndexGang(size_t aGang);
  void StopVictims(const victim_choice& aVictims);

  const planner_input& mInput;
  guarantee_plan mPlan;
  std::vector<running_gang> mRunning;
  gang_index mGangs;
  std::vector<std::vector<size_t>> mGangsByRack;
  worker_amounts mCommitted;
  worker_amounts mReserved;
  std::map<std::string, int64_t> mBorrowed;
  std::set<std::string> mStarted;
  planner_decision mDecision;
  size_t mReclaims = 0;
};

} // namespace anvildoor
