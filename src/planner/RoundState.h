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
 * The state of one decision of the planner: the gangs and the remaining capacity after
 * the starts decided so far. Not thread-safe.
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

  /** Returns the gangs with a task in a rack, as indices into Running(). */
  const std::vector<size_t>& GangsInRack(size_t aRack) const
  {
    return mGangsByRack[aRack];
  }

  /** Returns the resources of a worker that are free once all stopping gangs end. */
  resources FreeOn(size_t aWorker) const;

  /** Returns whether a worker is usable and not avoided by aJob. */
  bool MayUse(size_t aWorker, const waiting_job& aJob) const;

  /** Returns whether this round starts the job. */
  bool IsStarted(const std::string& aJob) const { return mStarted.count(aJob) != 0; }

  /** Returns the accelerators that a workspace borrows per weight, in millionths. */
  int64_t BorrowedShare(const std::string& aWorkspace) const;

  /** Returns the defaults that apply to the workspace of a job. */
  fleet_defaults SettingsFor(const waiting_job& aJob) const;

  /** Returns a search for victims that excludes gangs started in this round. */
  victim_search MakeVictimSearch(
    std::function<bool(const running_gang&)> aMayStop) const;

  /**
   * Returns how many gangs this round stopped so far. When the count changes, jobs
   * that did not fit before may fit.
   */
  size_t ReclaimCount() const { return mReclaimCount; }

  /** Moves the reservation of a shape. */
  void MoveShape(const shape_id& aShape, const placement& aReserved);

  /** Decides that a job starts and its victims stop. */
  void Start(const waiting_job& aJob,
             const placement& aPlacement,
             const std::optional<shape_id>& aGuaranteed,
             const victim_choice& aVictims);

  /** Records why a job waits. */
  void RecordWait(const waiting_job& aJob, const std::string& aReason);

private:
  void IndexGang(size_t aGang);
  void StopVictims(const victim_choice& aVictims);

  const planner_input& mInput;
  guarantee_plan mPlan;
  std::vector<running_gang> mRunning;
  gang_index mGangsByWorker;
  std::vector<std::vector<size_t>> mGangsByRack;
  worker_amounts mCommitted;
  worker_amounts mReserved;
  std::map<std::string, int64_t> mBorrowed;
  std::set<std::string> mStarted;
  planner_decision mDecision;
  size_t mReclaimCount = 0;
};

} // namespace anvildoor
