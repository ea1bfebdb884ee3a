#include "planner/TaskPlacement.h"

#include "planner/PreemptionSearch.h"
#include "planner/SlotSearch.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace anvildoor {

namespace {

/**
 * The properties that determine whether a group fits. If one group does not fit, no
 * other group with an equal key fits in the same round.
 */
using fit_key =
  std::tuple<task_resources, std::string, std::string, bool, bool, size_t, pace_class>;

/** One placement round on a copy of the workers' free resources. */
class placement_round
{
public:
  explicit placement_round(const placement_input& aInput)
    : mInput(aInput)
    , mAllowances(aInput.mAllowances)
    , mSlots(aInput)
    , mPreemptions(aInput, mSlots)
  {
  }

  placement_plan Run()
  {
    for (size_t number = 0; number < mInput.mGroups.size(); ++number) {
      PlaceGroup(number);
    }
    return std::move(mPlan);
  }

private:
  void PlaceGroup(size_t aNumber)
  {
    const auto& group = mInput.mGroups[aNumber];
    mSlots.ReleaseReservations(aNumber);
    const auto allowed = AllowedIndices(group);
    const auto found = FindFree(aNumber, allowed, group.mMinPace);
    Start(aNumber, found);
    if (found.size() == group.mIndices.size()) {
      return;
    }
    auto left = Unplaced(group.mIndices, found);
    if (group.mMinPace != pace_class::kSlow) {
      left = Unplaced(left, PlaceOnSlower(aNumber, Unplaced(allowed, found)));
    }
    const bool isWaitingForPace =
      !mPlan.mWaitingForPace.empty() && mPlan.mWaitingForPace.back() == aNumber;
    if (left.empty() && !isWaitingForPace) {
      return;
    }
    mPlan.mWaiting.push_back(aNumber);
    if (!left.empty() && (group.mMayPreempt || group.mMayClearRack)) {
      ReserveOrPreempt(aNumber, left, pace_class::kSlow, false);
    }
  }

  /**
   * Places tasks for which no worker of their pace is free on slower ones, except for
   * those for which room is being made. Returns both.
   */
  task_slots PlaceOnSlower(size_t aNumber, const std::vector<uint32_t>& aIndices)
  {
    const auto& group = mInput.mGroups[aNumber];
    auto slower = FindFree(aNumber, aIndices);
    if (slower.empty() || !group.mMayPreempt || !group.mMayWaitForPace) {
      Start(aNumber, slower);
      return slower;
    }
    std::vector<uint32_t> wanted;
    std::transform(slower.begin(),
                   slower.end(),
                   std::back_inserter(wanted),
                   [](const auto& aTaskSlot) { return aTaskSlot.first; });
    const auto reserved = ReserveOrPreempt(aNumber, wanted, group.mMinPace, true);
    const auto unreserved = Unplaced(wanted, reserved);
    task_slots started;
    std::copy_if(slower.begin(),
                 slower.end(),
                 std::back_inserter(started),
                 [&](const auto& aTaskSlot) {
                   return std::find(unreserved.begin(),
                                    unreserved.end(),
                                    aTaskSlot.first) != unreserved.end();
                 });
    Start(aNumber, started);
    mPlan.mHasSlowStarts |= !started.empty();
    if (!reserved.empty()) {
      mPlan.mWaitingForPace.push_back(aNumber);
    }
    return slower;
  }

  /** Finds free slots for tasks of a group, unless it is known that none are left. */
  task_slots FindFree(size_t aNumber,
                      const std::vector<uint32_t>& aIndices,
                      pace_class aMinPace = pace_class::kSlow)
  {
    const auto& group = mInput.mGroups[aNumber];
    const fit_key fitKey{ OccupiedBy(group.mSpec),
                          group.mPool,
                          group.mSpec.mRequiredLabel,
                          group.mSpec.mGang,
                          group.mSpec.mSameRack && !group.mMaySpanRacks,
                          group.mSpec.mGang ? group.mIndices.size() : 0,
                          aMinPace };
    if (mUnplaceable.count(fitKey) != 0 && !mSlots.HasReservations(aNumber)) {
      return {};
    }
    auto found = mSlots.FindSlots(aNumber, aIndices, slot_supply::kFree, aMinPace);
    if (found.empty() && !aIndices.empty() && group.mAvoidedByIndex.empty() &&
        group.mSpec.mMaxPerWorker == 0) {
      mUnplaceable.insert(fitKey);
    }
    return found;
  }

  void Start(size_t aNumber, const task_slots& aSlots)
  {
    const auto& group = mInput.mGroups[aNumber];
    for (const auto& [index, worker] : aSlots) {
      mPlan.mStarts.push_back({ aNumber, index, worker });
      mSlots.Allocate(group, worker, 1);
    }
    ReduceAllowances(group, aSlots.size());
  }

  /** Returns the tasks of the group that its allowance covers; of a gang all or none.
   */
  std::vector<uint32_t> AllowedIndices(const placement_group& aGroup) const
  {
    const auto found = mAllowances.find({ aGroup.mPool, aGroup.mPriority });
    if (found == mAllowances.end()) {
      return aGroup.mIndices;
    }
    const auto share = ShareOfWorker(aGroup);
    const auto tasks = static_cast<size_t>(std::max(0.0, found->second) / share);
    if (tasks >= aGroup.mIndices.size()) {
      return aGroup.mIndices;
    }
    if (aGroup.mSpec.mGang) {
      return {};
    }
    return { aGroup.mIndices.begin(),
             aGroup.mIndices.begin() + static_cast<std::ptrdiff_t>(tasks) };
  }

  void ReduceAllowances(const placement_group& aGroup, size_t aTasks)
  {
    for (auto& [key, allowance] : mAllowances) {
      if (key.first == aGroup.mPool && key.second <= aGroup.mPriority) {
        allowance -= ShareOfWorker(aGroup) * static_cast<double>(aTasks);
      }
    }
  }

  /** Returns the share of a typical worker of its pool that a task takes. */
  double ShareOfWorker(const placement_group& aGroup) const
  {
    constexpr double kMinShare = 0.001; // Avoids a division by zero.
    const auto typical = mInput.mTypicalWorkers.find(aGroup.mPool);
    return typical == mInput.mTypicalWorkers.end()
             ? kMinShare
             : std::max(kMinShare,
                        DominantShare(OccupiedBy(aGroup.mSpec), typical->second));
  }

  /** Returns those of aIndices that are not in aFound. */
  static std::vector<uint32_t> Unplaced(const std::vector<uint32_t>& aIndices,
                                        const task_slots& aFound)
  {
    std::vector<uint32_t> left;
    for (const auto index : aIndices) {
      const bool placed =
        std::any_of(aFound.begin(), aFound.end(), [&](const auto& aTaskSlot) {
          return aTaskSlot.first == index;
        });
      if (!placed) {
        left.push_back(index);
      }
    }
    return left;
  }

  /**
   * Reserves capacity that is being released, then preempts runs for the rest. Returns
   * the tasks that have a reservation now.
   */
  task_slots ReserveOrPreempt(size_t aNumber,
                              const std::vector<uint32_t>& aLeft,
                              pace_class aMinPace,
                              bool aHasAlternative)
  {
    const auto& group = mInput.mGroups[aNumber];
    auto reserved =
      mSlots.FindSlots(aNumber, aLeft, slot_supply::kAfterStops, aMinPace);
    Reserve(aNumber, reserved);
    const auto missing = Unplaced(aLeft, reserved);
    if (missing.empty()) {
      return reserved;
    }
    const auto chosen =
      mPreemptions.Cheapest(group, missing, aMinPace, aHasAlternative);
    if (!chosen) {
      return reserved;
    }
    for (const auto unit : chosen->mUnits) {
      mPreemptions.MarkStopped(unit);
      auto& stops = group.mMayPreempt ? mPlan.mUnitsToStop : mPlan.mUnitsToMove;
      (mPreemptions.IsAwaited(unit, group) ? mPlan.mUnitsAwaited : stops)
        .push_back(unit);
      for (const auto& [worker, resources] :
           mInput.mPreemptionUnits[unit].mResourcesByWorker) {
        mSlots.AddReleased(worker, resources);
      }
    }
    const auto preempted =
      mSlots.FindSlotsOn(aNumber, missing, slot_supply::kAfterStops, chosen->mScope);
    Reserve(aNumber, preempted);
    reserved.insert(reserved.end(), preempted.begin(), preempted.end());
    return reserved;
  }

  void Reserve(size_t aNumber, const task_slots& aTaskSlots)
  {
    for (const auto& [index, worker] : aTaskSlots) {
      mPlan.mReserved.push_back({ aNumber, worker });
      mSlots.Allocate(mInput.mGroups[aNumber], worker, 1);
    }
  }

  const placement_input& mInput;
  std::map<std::pair<std::string, int64_t>, double> mAllowances;
  slot_search mSlots;
  preemption_search mPreemptions;
  std::set<fit_key> mUnplaceable;
  placement_plan mPlan;
};

} // namespace

bool IsEligible(const placement_worker& aWorker, const placement_group& aGroup)
{
  const auto& label = aGroup.mSpec.mRequiredLabel;
  return aWorker.mAcceptsTasks && aWorker.mPool == aGroup.mPool &&
         (label.empty() || aWorker.mLabels.count(label) != 0);
}

placement_plan PlaceTasks(const placement_input& aInput)
{
  return placement_round(aInput).Run();
}

} // namespace anvildoor
