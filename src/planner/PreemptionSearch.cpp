#include "planner/PreemptionSearch.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>

namespace anvildoor {

namespace {

/**
 * Upper bound for the cost of a preemption relative to the expected work of the tasks
 * that it frees capacity for, both in core-seconds. Up to this ratio, the preempting
 * tasks are worth more than the work that is lost.
 */
constexpr double kMaxLostWorkRatio = 3.0;
/**
 * The same bound for clearing a rack: beyond it the gang loses less by spanning racks,
 * on which it takes a multiple of its time.
 */
constexpr double kMaxMovedWorkRatio = 1.0;
/** Lower bound for the estimate of a step; also applies if it has none. */
constexpr duration kMinEstimate{ 1'000 };
/** Core-seconds added to the cost of each stop, because it also delays the job. */
constexpr double kStopCostCoreSeconds = 2.0;
/** Cost factor for stopping runs of priority 0 or 1, whose jobs have a higher value. */
constexpr double kHighPriorityCostFactor = 2.0;

/** Returns the expected core-seconds of aTasks tasks of the group. */
double ExpectedCoreSeconds(const placement_group& aGroup, size_t aTasks)
{
  constexpr double kMsPerSecond = 1'000.0;
  const auto estimate = std::max(aGroup.mSpec.mEstimate, kMinEstimate);
  return static_cast<double>(aTasks) * CoresOf(aGroup.mSpec.mPerTask) *
         static_cast<double>(estimate.count()) / kMsPerSecond;
}

double CostFactor(const preemption_unit& aUnit)
{
  return aUnit.mPriority <= 1 ? kHighPriorityCostFactor : 1.0;
}

} // namespace

bool Outranks(const placement_group& aGroup, const preemption_unit& aUnit)
{
  const bool hasLowerPriority =
    aUnit.mPriority > aGroup.mPriority ||
    (aUnit.mPriority == aGroup.mPriority && aGroup.mGuaranteed && !aUnit.mGuaranteed);
  return aGroup.mMayPreempt && hasLowerPriority;
}

preemption_search::preemption_search(const placement_input& aInput,
                                     const slot_search& aSlots)
  : mInput(aInput)
  , mSlots(aSlots)
  , mUnitsOnWorker(aInput.mWorkers.size())
  , mStopped(aInput.mPreemptionUnits.size(), false)
{
  for (size_t unit = 0; unit < aInput.mPreemptionUnits.size(); ++unit) {
    for (const auto& [worker, used] :
         aInput.mPreemptionUnits[unit].mResourcesByWorker) {
      mUnitsOnWorker[worker].push_back(unit);
    }
  }
}

bool preemption_search::MayPreempt(size_t aUnit, const placement_group& aGroup) const
{
  const auto& unit = mInput.mPreemptionUnits[aUnit];
  const bool mayMove =
    aGroup.mMayClearRack && unit.mMayMove && unit.mPriority >= aGroup.mPriority;
  return !mStopped[aUnit] && (Outranks(aGroup, unit) || mayMove);
}

double preemption_search::WorkCost(size_t aUnit, const placement_group& aGroup) const
{
  const auto& unit = mInput.mPreemptionUnits[aUnit];
  return IsAwaited(aUnit, aGroup)
           ? 0.0
           : (unit.mLostCoreSeconds + kStopCostCoreSeconds) * CostFactor(unit);
}

double preemption_search::Cost(size_t aUnit, const placement_group& aGroup) const
{
  const auto& unit = mInput.mPreemptionUnits[aUnit];
  const auto late = unit.mLateCoreSeconds * CostFactor(unit);
  return WorkCost(aUnit, aGroup) + (IsAwaited(aUnit, aGroup) ? 0.0 : late);
}

std::optional<preemption> preemption_search::Cheapest(
  const placement_group& aGroup,
  const std::vector<uint32_t>& aMissing,
  pace_class aMinPace,
  bool aHasAlternative) const
{
  std::optional<preemption> best;
  const bool requiresOneRack = aGroup.mSpec.mGang && aGroup.mSpec.mSameRack &&
                               !aGroup.mMaySpanRacks && mSlots.FitsInEmptyRack(aGroup);
  if (requiresOneRack) {
    const auto& racks = mSlots.Racks();
    for (size_t rack = 0; rack < racks.size(); ++rack) {
      auto found = SearchOn(aGroup, aMissing.size(), racks[rack], aMinPace);
      if (found && (!best || found->mCost < best->mCost)) {
        best = std::move(found);
        best->mScope.mOnlyRack = rack;
      }
    }
  } else {
    std::vector<size_t> all(mInput.mWorkers.size());
    std::iota(all.begin(), all.end(), size_t(0));
    best = SearchOn(aGroup, aMissing.size(), all, aMinPace);
  }
  if (best) {
    best->mScope.mMinPace = aMinPace;
  }
  const bool isBounded = !aGroup.mMayPreempt || !aGroup.mGuaranteed || aHasAlternative;
  const auto maxRatio = aGroup.mMayPreempt ? kMaxLostWorkRatio : kMaxMovedWorkRatio;
  if (best && isBounded &&
      best->mWorkCost > maxRatio * ExpectedCoreSeconds(aGroup, aMissing.size())) {
    return std::nullopt;
  }
  return best;
}

std::optional<preemption> preemption_search::SearchOn(
  const placement_group& aGroup,
  size_t aTaskSlots,
  const std::vector<size_t>& aWorkers,
  pace_class aMinPace) const
{
  std::map<size_t, task_resources> left;
  int64_t freeSlots = 0;
  for (const auto worker : aWorkers) {
    if (IsEligible(mInput.mWorkers[worker], aGroup) &&
        mInput.mWorkers[worker].mPace >= aMinPace) {
      left[worker] = mSlots.FreeAfterStops(worker);
      freeSlots += mSlots.CountSlots(aGroup, left[worker], worker);
    }
  }
  std::vector<size_t> units;
  for (const auto& [worker, free] : left) {
    std::copy_if(mUnitsOnWorker[worker].begin(),
                 mUnitsOnWorker[worker].end(),
                 std::back_inserter(units),
                 [&](size_t aUnit) { return MayPreempt(aUnit, aGroup); });
  }
  // A unit with runs on several workers occurs several times.
  std::sort(units.begin(), units.end());
  units.erase(std::unique(units.begin(), units.end()), units.end());
  std::sort(units.begin(), units.end(), [&](size_t aLeft, size_t aRight) {
    return std::make_pair(Cost(aLeft, aGroup), aLeft) <
           std::make_pair(Cost(aRight, aGroup), aRight);
  });
  const auto wantedSlots = static_cast<int64_t>(aTaskSlots);
  const auto changeSlots = [&](size_t aUnit, int64_t aSign) {
    int64_t gained = 0;
    for (const auto& [worker, resources] :
         mInput.mPreemptionUnits[aUnit].mResourcesByWorker) {
      const auto at = left.find(worker);
      if (at != left.end()) {
        gained -= mSlots.CountSlots(aGroup, at->second, worker);
        Add(at->second, resources, aSign);
        gained += mSlots.CountSlots(aGroup, at->second, worker);
      }
    }
    return gained;
  };
  preemption found;
  for (const auto unit : units) {
    if (freeSlots >= wantedSlots) {
      break;
    }
    freeSlots += changeSlots(unit, 1);
    found.mUnits.push_back(unit);
  }
  if (freeSlots < wantedSlots && (aGroup.mSpec.mGang || found.mUnits.empty())) {
    return std::nullopt;
  }
  const auto requiredSlots = std::min(wantedSlots, freeSlots);
  for (size_t at = found.mUnits.size(); at-- > 0;) {
    const auto lost = changeSlots(found.mUnits[at], -1);
    if (freeSlots + lost >= requiredSlots) {
      freeSlots += lost;
      found.mUnits.erase(found.mUnits.begin() + static_cast<std::ptrdiff_t>(at));
    } else {
      changeSlots(found.mUnits[at], 1);
    }
  }
  for (const auto unit : found.mUnits) {
    found.mCost += Cost(unit, aGroup);
    found.mWorkCost += WorkCost(unit, aGroup);
  }
  return found;
}

} // namespace anvildoor
