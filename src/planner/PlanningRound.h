#pragma once

#include "planner/GuaranteeSearch.h"
#include "planner/RackDrains.h"
#include "planner/RoundState.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvildoor {

/** Makes one decision of the planner: the order of jobs and how each may start. */
class planning_round
{
public:
  /** aInput must outlive the round. */
  planning_round(const planner_input& aInput,
                 guarantee_plan aPlan,
                 std::vector<rack_reservation> aReservations);

  /** Decides on every waiting job. Must be called only once. */
  planner_decision Run();

  const guarantee_plan& Plan() const { return mState.Plan(); }
  const std::vector<rack_reservation>& Reservations() const
  {
    return mDrains.Reservations();
  }

private:
  using job_queue = std::vector<const waiting_job*>;
  using memo_key = std::pair<std::string, gang_shape>; ///< Workspace, or "" for any.
  using shape_memo = std::set<memo_key>;

  void ServeGuarantees();
  void ServeRank(std::map<std::string, job_queue>& aQueues);
  void ServeRemaining();
  std::map<int, std::map<std::string, job_queue>> QueuesByRank() const;
  int RankOf(const waiting_job& aJob) const;

  bool TryStart(const waiting_job& aJob);
  bool TryBorrow(const waiting_job& aJob);
  bool TryPreempt(const waiting_job& aJob);
  bool MayPreempt(const waiting_job& aJob, const running_gang& aGang) const;
  int64_t BorrowCost(size_t aRack, const waiting_job& aJob) const;
  bool HasFailed(const shape_memo& aMemo, const memo_key& aKey);
  void RememberFailure(shape_memo& aMemo,
                       const memo_key& aKey,
                       const waiting_job& aJob);
  std::string WaitReason(const waiting_job& aJob) const;

  round_state mState;
  guarantee_search mGuarantees;
  rack_drains mDrains;
  shape_memo mUnplaceable;      ///< Did not fit as borrowers in this round.
  shape_memo mUnpreemptable;    ///< Did not fit even with preemption.
  size_t mMemoReclaimCount = 0; ///< Reclaim count for which the memos hold.
  job_queue mRemainingJobs;     ///< Jobs that this round did not start.
};

} // namespace anvildoor
