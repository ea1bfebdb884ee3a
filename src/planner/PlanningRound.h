#pragma once

#include "planner/PlacementPolicy.h"
#include "planner/Victims.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace anvildoor {

/** The working state of one decision of the planner. Not thread-safe. */
class planning_round
{
public:
  /** aInput must outlive the round. */
  planning_round(const planner_input& aInput,
                 guarantee_plan aPlan,
                 std::vector<rack_reservation> aReservations);

  /** Decides on every waiting job once. Call it once. */
  planner_decision Run();

  const guarantee_plan& Plan() const { return mPlan; }
  const std::vector<rack_reservation>& Reservations() const { return mReservations; }

private:
  struct guaranteed_option
  {
    shape_id mShape;
    placement mPlacement;
    std::optional<placement> mMoveTo;
    victim_choice mVictims;
  };
  struct rack_choice
  {
    std::string mRack;
    time_point mFree{};
  };
  using job_queue = std::vector<const waiting_job*>;

  std::map<int, std::map<std::string, job_queue>> QueuesByRank() const;
  void ServeGuarantees();
  void ServeReservations();
  void ServeRank(std::map<std::string, job_queue>& aQueues);
  int64_t ShareOf(const std::string& aWorkspace) const;
  int RankOf(const waiting_job& aJob) const;
  bool TryStart(const waiting_job& aJob);

  bool TryGuaranteed(const waiting_job& aJob);
  std::optional<guaranteed_option> OptionIn(const planned_shape& aShape,
                                            const waiting_job& aJob) const;
  std::optional<guaranteed_option> MoveOption(const planned_shape& aShape,
                                              const waiting_job& aJob) const;
  std::optional<guaranteed_option> OptionAt(
    const planned_shape& aShape,
    const waiting_job& aJob,
    const std::function<resources(size_t)>& aSpare) const;
  worker_amounts SpareInShape(const planned_shape& aShape) const;
  bool IsInUse(const shape_id& aShape) const;

  bool TryBorrow(const waiting_job& aJob);
  bool TryPreempt(const waiting_job& aJob);
  bool MayPreempt(const waiting_job& aJob, const running_gang& aGang) const;
  resources BorrowSpare(size_t aWorker, const waiting_job& aJob) const;
  int64_t BorrowCost(size_t aRack, const waiting_job& aJob) const;
  bool MayBackfill(size_t aRack, const waiting_job& aJob) const;

  void RefreshReservations();
  size_t RackNamed(const std::string& aName) const;
  rack_reservation* ReservationOf(const std::string& aJob);
  bool TryReserved(const waiting_job& aJob, const rack_reservation& aReservation);
  bool MayClear(const waiting_job& aJob,
                const rack_reservation& aReservation,
                const running_gang& aGang) const;
  void MaybeReserve(const waiting_job& aJob);
  size_t ReservationLimit() const;
  std::optional<rack_choice> BestRack(const waiting_job& aJob, time_point aSince) const;
  void IndexGang(size_t aGang);
  std::optional<time_point> ExpectedFree(size_t aRack,
                                         const waiting_job& aJob,
                                         time_point aSince) const;

  void Commit(const waiting_job& aJob,
              const placement& aPlacement,
              const std::optional<shape_id>& aGuaranteed,
              const victim_choice& aVictims);
  void Wait(const waiting_job& aJob, const std::string& aReason);
  std::string WaitReason(const waiting_job& aJob) const;
  resources FreeOn(size_t aWorker) const;
  victim_search Search(std::function<bool(const running_gang&)> aMayStop) const;
  fleet_defaults Settings(const waiting_job& aJob) const;

  const planner_input& mInput;
  guarantee_plan mPlan;
  std::vector<rack_reservation> mReservations;
  std::vector<running_gang> mRunning;
  gang_index mGangs;
  std::vector<std::vector<size_t>> mGangsByRack; ///< Indices into mRunning.
  worker_amounts mCommitted;
  worker_amounts mReserved;
  std::map<std::string, int64_t> mBorrowed;
  job_queue mLeft;                ///< Jobs that this round leaves waiting.
  std::set<std::string> mStarted; ///< Jobs that this round starts.
  std::set<std::pair<gang_shape, bool>> mUnplaceable;
  std::set<std::pair<std::string, gang_shape>> mUnpreemptable;
  planner_decision mDecision;
};

} // namespace anvildoor
