#include "planner/TaskPlacement.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>
#include <optional>
#include <tuple>

namespace anvildoor {

namespace {

/** Exceeds the free cores of any worker, so that data locality outranks best fit. */
constexpr double kDataRackBonusCores = 1'000.0;
/** Reserved workers outrank best fit, but not data locality. */
constexpr double kReservationBonusCores = 500.0;

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

/** Task indices with their workers; empty if the group cannot be placed. */
using task_slots = std::vector<std::pair<uint32_t, size_t>>;
using worker_resources = std::vector<task_resources>;

/** The workers that a search may use. */
struct search_scope
{
  std::optional<size_t> mOnlyRack;
};

/**
 * The properties that determine whether a group fits. If one group does not fit, no
 * other group with an equal key fits in the same round.
 */
using fit_key =
  std::tuple<task_resources, std::string, std::string, bool, bool, size_t>;

/** One placement round on a copy of the workers' free resources. */
class placement_round
{
public:
  explicit placement_round(const placement_input& aInput)
    : mInput(aInput)
    , mAllowances(aInput.mAllowances)
    , mStopped(aInput.mPreemptionUnits.size(), false)
  {
    std::map<std::string, size_t> racks;
    for (size_t number = 0; number < aInput.mWorkers.size(); ++number) {
      const auto& worker = aInput.mWorkers[number];
      mFree.push_back(worker.mFree);
      auto freeAfterStops = worker.mFree;
      Add(freeAfterStops, worker.mReleasedByStops);
      mFreeAfterStops.push_back(freeAfterStops);
      const auto rack = racks.emplace(worker.mRack, racks.size()).first->second;
      if (rack == mRacks.size()) {
        mRacks.emplace_back();
        mFreeInRack.push_back(0.0);
      }
      mRacks[rack].push_back(number);
      mRackOf.push_back(rack);
      mFreeInRack[rack] += CoresOf(worker.mFree);
    }
    for (const auto& [name, number] : racks) {
      mRackNames[number] = name;
    }
    mUnitsOnWorker.resize(aInput.mWorkers.size());
    for (size_t unit = 0; unit < aInput.mPreemptionUnits.size(); ++unit) {
      for (const auto& [worker, used] :
           aInput.mPreemptionUnits[unit].mResourcesByWorker) {
        mUnitsOnWorker[worker].push_back(unit);
      }
    }
    ApplyReservations();
  }

  placement_plan Run()
  {
    for (size_t number = 0; number < mInput.mGroups.size(); ++number) {
      PlaceGroup(number);
    }
    return std::move(mPlan);
  }

private:
  /** Subtracts the reservations of the last round from the free resources. */
  void ApplyReservations()
  {
    std::map<std::string, size_t> numbers;
    for (size_t number = 0; number < mInput.mWorkers.size(); ++number) {
      numbers[mInput.mWorkers[number].mId] = number;
    }
    mReservedWorkers.resize(mInput.mGroups.size());
    for (size_t number = 0; number < mInput.mGroups.size(); ++number) {
      const auto& group = mInput.mGroups[number];
      for (const auto& id : group.mReserved) {
        const auto worker = numbers.find(id);
        if (worker != numbers.end() &&
            IsEligible(mInput.mWorkers[worker->second], group)) {
          mReservedWorkers[number].push_back(worker->second);
          Allocate(group, worker->second, 1);
        }
      }
    }
  }

  /** Allocates task slots on a worker; a negative number releases them. */
  void Allocate(const placement_group& aGroup, size_t aWorker, int64_t aTaskSlots)
  {
    const auto need = ResourcesPerTask(aGroup);
    Add(mFree[aWorker], need, -aTaskSlots);
    mFreeInRack[mRackOf[aWorker]] -= CoresOf(need) * static_cast<double>(aTaskSlots);
    Add(mFreeAfterStops[aWorker], need, -aTaskSlots);
  }

  bool IsReservedFor(const placement_group& aGroup, size_t aWorker) const
  {
    const auto& reservedWorkers =
      mReservedWorkers[static_cast<size_t>(&aGroup - mInput.mGroups.data())];
    return std::find(reservedWorkers.begin(), reservedWorkers.end(), aWorker) !=
           reservedWorkers.end();
  }

  void PlaceGroup(size_t aNumber)
  {
    const auto& group = mInput.mGroups[aNumber];
    for (const auto worker : mReservedWorkers[aNumber]) {
      Allocate(group, worker, -1);
    }
    const fit_key fitKey{ ResourcesPerTask(group),
                          group.mPool,
                          group.mSpec.mRequiredLabel,
                          group.mSpec.mGang,
                          group.mSpec.mSameRack && !group.mMaySpanRacks,
                          group.mSpec.mGang ? group.mIndices.size() : 0 };
    task_slots found;
    if (mUnplaceable.count(fitKey) == 0 || !mReservedWorkers[aNumber].empty()) {
      const auto allowed = AllowedIndices(group);
      found = FindSlots(group, allowed, mFree);
      if (found.empty() && !allowed.empty() && group.mAvoidedByIndex.empty() &&
          group.mSpec.mMaxPerWorker == 0) {
        mUnplaceable.insert(fitKey);
      }
    }
    for (const auto& [index, worker] : found) {
      mPlan.mStarts.push_back({ aNumber, index, worker });
      Allocate(group, worker, 1);
    }
    ReduceAllowances(group, found.size());
    if (found.size() == group.mIndices.size()) {
      return;
    }
    mPlan.mWaiting.push_back(aNumber);
    if (group.mMayPreempt || group.mMayClearRack) {
      ReserveOrPreempt(group, Unplaced(group.mIndices, found));
    }
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
                        DominantShare(ResourcesPerTask(aGroup), typical->second));
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

  /** Reserves capacity that is being released, then preempts runs for the rest. */
  void ReserveOrPreempt(const placement_group& aGroup,
                        const std::vector<uint32_t>& aLeft)
  {
    const auto reserved = FindSlots(aGroup, aLeft, mFreeAfterStops);
    Reserve(aGroup, reserved);
    const auto missing = Unplaced(aLeft, reserved);
    if (missing.empty()) {
      return;
    }
    const auto chosen = CheapestPreemption(aGroup, missing);
    if (!chosen) {
      return;
    }
    for (const auto unit : chosen->mUnits) {
      mStopped[unit] = true;
      (aGroup.mMayPreempt ? mPlan.mUnitsToStop : mPlan.mUnitsToMove).push_back(unit);
      for (const auto& [worker, resources] :
           mInput.mPreemptionUnits[unit].mResourcesByWorker) {
        Add(mFreeAfterStops[worker], resources);
      }
    }
    Reserve(aGroup, FindSlotsOn(aGroup, missing, mFreeAfterStops, chosen->mScope));
  }

  void Reserve(const placement_group& aGroup, const task_slots& aTaskSlots)
  {
    const auto number = static_cast<size_t>(&aGroup - mInput.mGroups.data());
    for (const auto& [index, worker] : aTaskSlots) {
      mPlan.mReserved.push_back({ number, worker });
      Allocate(aGroup, worker, 1);
    }
  }

  bool MayPreempt(size_t aUnit, const placement_group& aGroup) const
  {
    const auto& unit = mInput.mPreemptionUnits[aUnit];
    const bool hasLowerPriority =
      unit.mPriority > aGroup.mPriority ||
      (unit.mPriority == aGroup.mPriority && aGroup.mGuaranteed && !unit.mGuaranteed);
    const bool mayMove =
      aGroup.mMayClearRack && unit.mMayMove && unit.mPriority >= aGroup.mPriority;
    return !mStopped[aUnit] && ((aGroup.mMayPreempt && hasLowerPriority) || mayMove);
  }

  /** Units to stop, and the workers on which the group then fits. */
  struct preemption
  {
    std::vector<size_t> mUnits;
    double mCost = 0.0;
    search_scope mScope;
  };

  /** Returns the cheapest preemption, or nothing if it would cost too much. */
  std::optional<preemption> CheapestPreemption(
    const placement_group& aGroup,
    const std::vector<uint32_t>& aMissing) const
  {
    std::optional<preemption> best;
    const bool requiresOneRack = aGroup.mSpec.mGang && aGroup.mSpec.mSameRack &&
                                 !aGroup.mMaySpanRacks && FitsInEmptyRack(aGroup);
    if (requiresOneRack) {
      for (size_t rack = 0; rack < mRacks.size(); ++rack) {
        auto found = PreemptionOn(aGroup, aMissing.size(), mRacks[rack]);
        if (found && (!best || found->mCost < best->mCost)) {
          best = std::move(found);
          best->mScope.mOnlyRack = rack;
        }
      }
    } else {
      std::vector<size_t> all(mInput.mWorkers.size());
      std::iota(all.begin(), all.end(), size_t(0));
      best = PreemptionOn(aGroup, aMissing.size(), all);
    }
    // Guaranteed groups preempt at any cost, others only within the ratio.
    const auto maxRatio = aGroup.mMayPreempt ? kMaxLostWorkRatio : kMaxMovedWorkRatio;
    if (best && !(aGroup.mMayPreempt && aGroup.mGuaranteed) &&
        best->mCost > maxRatio * ExpectedCoreSeconds(aGroup, aMissing.size())) {
      return std::nullopt;
    }
    return best;
  }

  /** Returns the expected core-seconds of aTasks tasks of the group. */
  static double ExpectedCoreSeconds(const placement_group& aGroup, size_t aTasks)
  {
    constexpr double kMsPerSecond = 1'000.0;
    const auto estimate = std::max(aGroup.mSpec.mEstimate, kMinEstimate);
    return static_cast<double>(aTasks) * CoresOf(aGroup.mSpec.mPerTask) *
           static_cast<double>(estimate.count()) / kMsPerSecond;
  }

  double PreemptionCost(size_t aUnit) const
  {
    const auto& unit = mInput.mPreemptionUnits[aUnit];
    return (unit.mLostCoreSeconds + kStopCostCoreSeconds) *
           (unit.mPriority <= 1 ? kHighPriorityCostFactor : 1.0);
  }

  /**
   * Selects units to stop on aWorkers to free aTaskSlots: adds the cheapest ones first,
   * then removes those that are not needed.
   */
  std::optional<preemption> PreemptionOn(const placement_group& aGroup,
                                         size_t aTaskSlots,
                                         const std::vector<size_t>& aWorkers) const
  {
    std::map<size_t, task_resources> left;
    int64_t freeSlots = 0;
    for (const auto worker : aWorkers) {
      if (IsEligible(mInput.mWorkers[worker], aGroup)) {
        left[worker] = mFreeAfterStops[worker];
        freeSlots += CountSlots(aGroup, mFreeAfterStops[worker], worker);
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
    std::sort(units.begin(), units.end(), [this](size_t aLeft, size_t aRight) {
      return std::make_pair(PreemptionCost(aLeft), aLeft) <
             std::make_pair(PreemptionCost(aRight), aRight);
    });
    const auto wantedSlots = static_cast<int64_t>(aTaskSlots);
    const auto changeSlots = [&](size_t aUnit, int64_t aSign) {
      int64_t gained = 0;
      for (const auto& [worker, resources] :
           mInput.mPreemptionUnits[aUnit].mResourcesByWorker) {
        const auto at = left.find(worker);
        if (at != left.end()) {
          gained -= CountSlots(aGroup, at->second, worker);
          Add(at->second, resources, aSign);
          gained += CountSlots(aGroup, at->second, worker);
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
      found.mCost += PreemptionCost(unit);
    }
    return found;
  }

  static task_resources ResourcesPerTask(const placement_group& aGroup)
  {
    return OccupiedBy(aGroup.mSpec);
  }

  /** Returns how many more tasks mMaxPerWorker allows on the worker. */
  uint32_t RemainingSlots(const placement_group& aGroup, size_t aWorker) const
  {
    const auto bound = aGroup.mSpec.mMaxPerWorker;
    if (bound == 0) {
      return UINT32_MAX;
    }
    const auto found = aGroup.mPlacedByWorker.find(mInput.mWorkers[aWorker].mId);
    const uint32_t used = found == aGroup.mPlacedByWorker.end() ? 0 : found->second;
    return used >= bound ? 0 : bound - used;
  }

  /** Returns how many tasks of the group fit into aFree on the worker. */
  uint32_t CountSlots(const placement_group& aGroup,
                      const task_resources& aFree,
                      size_t aWorker) const
  {
    const auto need = ResourcesPerTask(aGroup);
    int64_t fits = RemainingSlots(aGroup, aWorker);
    const auto bound = [&fits](int64_t aNeed, int64_t aHave) {
      if (aNeed > 0) {
        fits = std::min(fits, std::max<int64_t>(0, aHave) / aNeed);
      }
    };
    bound(need.mCpuMillis, aFree.mCpuMillis);
    bound(need.mMemoryMb, aFree.mMemoryMb);
    bound(need.mAccelerators, aFree.mAccelerators);
    return static_cast<uint32_t>(
      std::min(fits, static_cast<int64_t>(aGroup.mIndices.size())));
  }

  task_slots FindSlots(const placement_group& aGroup,
                       const std::vector<uint32_t>& aIndices,
                       const worker_resources& aFree) const
  {
    if (aGroup.mSpec.mGang && aGroup.mSpec.mSameRack) {
      auto found = FindSlotsInOneRack(aGroup, aIndices, aFree);
      const bool maySpanRacks =
        found.empty() && (aGroup.mMaySpanRacks || !FitsInEmptyRack(aGroup));
      return maySpanRacks ? FindSlotsOn(aGroup, aIndices, aFree, search_scope())
                          : found;
    }
    return FindSlotsOn(aGroup, aIndices, aFree, search_scope());
  }

  /** Returns whether the gang would fit into at least one rack if it were empty. */
  bool FitsInEmptyRack(const placement_group& aGroup) const
  {
    return std::any_of(mRacks.begin(), mRacks.end(), [&](const auto& aRack) {
      uint64_t capacity = 0;
      for (const auto worker : aRack) {
        if (IsEligible(mInput.mWorkers[worker], aGroup)) {
          capacity += CountSlots(aGroup, mInput.mWorkers[worker].mTotal, worker);
        }
      }
      return capacity >= aGroup.mIndices.size();
    });
  }

  task_slots FindSlotsInOneRack(const placement_group& aGroup,
                                const std::vector<uint32_t>& aIndices,
                                const worker_resources& aFree) const
  {
    task_slots best;
    double bestScore = 0.0;
    for (size_t rack = 0; rack < mRacks.size(); ++rack) {
      auto found = FindSlotsOn(aGroup, aIndices, aFree, search_scope{ rack });
      if (found.empty()) {
        continue;
      }
      double score =
        aGroup.mSpec.mDataRack == mRackNames.at(rack) ? -kDataRackBonusCores : 0.0;
      for (const auto worker : mRacks[rack]) {
        score += CoresOf(mFreeAfterStops[worker]);
        score -= IsReservedFor(aGroup, worker) ? kReservationBonusCores : 0.0;
      }
      if (best.empty() || score < bestScore) {
        best = std::move(found);
        bestScore = score;
      }
    }
    return best;
  }

  struct candidate
  {
    double mScore = 0.0;
    double mFreeInRack = 0.0; ///< In cores; fuller racks are preferred.
    size_t mWorker = 0;
    uint32_t mCapacity = 0;
  };

  std::vector<candidate> Candidates(const placement_group& aGroup,
                                    const worker_resources& aFree,
                                    const search_scope& aScope) const
  {
    std::vector<candidate> candidates;
    const auto consider = [&](size_t aWorker) {
      if (!IsEligible(mInput.mWorkers[aWorker], aGroup)) {
        return;
      }
      const auto capacity = CountSlots(aGroup, aFree[aWorker], aWorker);
      if (capacity == 0) {
        return;
      }
      const auto& workerInfo = mInput.mWorkers[aWorker];
      double score = CoresOf(aFree[aWorker]) + workerInfo.mScorePenalty;
      const auto& data = aGroup.mSpec.mDataRack;
      score -= !data.empty() && workerInfo.mRack == data ? kDataRackBonusCores : 0.0;
      score -= IsReservedFor(aGroup, aWorker) ? kReservationBonusCores : 0.0;
      candidates.push_back({ score, mFreeInRack[mRackOf[aWorker]], aWorker, capacity });
    };
    if (aScope.mOnlyRack) {
      std::for_each(
        mRacks[*aScope.mOnlyRack].begin(), mRacks[*aScope.mOnlyRack].end(), consider);
    } else {
      for (size_t worker = 0; worker < mInput.mWorkers.size(); ++worker) {
        consider(worker);
      }
    }
    std::sort(
      candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
        return std::tie(aLeft.mScore, aLeft.mFreeInRack, aLeft.mWorker) <
               std::tie(aRight.mScore, aRight.mFreeInRack, aRight.mWorker);
      });
    return candidates;
  }

  /** Fills the workers one by one in the order of their scores. */
  task_slots FindSlotsOn(const placement_group& aGroup,
                         const std::vector<uint32_t>& aIndices,
                         const worker_resources& aFree,
                         const search_scope& aScope) const
  {
    auto candidates = Candidates(aGroup, aFree, aScope);
    uint64_t total = 0;
    for (const auto& each : candidates) {
      total += each.mCapacity;
    }
    if (aGroup.mSpec.mGang && total < aIndices.size()) {
      return {};
    }
    task_slots found;
    size_t first = 0;
    for (const auto index : aIndices) {
      while (first < candidates.size() && candidates[first].mCapacity == 0) {
        ++first;
      }
      size_t at = first;
      while (at < candidates.size() &&
             (candidates[at].mCapacity == 0 ||
              IsAvoided(aGroup, index, candidates[at].mWorker))) {
        ++at;
      }
      if (at == candidates.size()) {
        // Only avoided workers have capacity left. The capacity check for gangs
        // included them, so that the task has to use one of them.
        at = first;
      }
      if (at == candidates.size()) {
        break;
      }
      found.emplace_back(index, candidates[at].mWorker);
      --candidates[at].mCapacity;
    }
    return found;
  }

  bool IsAvoided(const placement_group& aGroup, uint32_t aIndex, size_t aWorker) const
  {
    if (aGroup.mAvoidedByIndex.empty()) {
      return false;
    }
    const auto found = aGroup.mAvoidedByIndex.find(aIndex);
    return found != aGroup.mAvoidedByIndex.end() &&
           found->second.count(mInput.mWorkers[aWorker].mId) != 0;
  }

  const placement_input& mInput;
  worker_resources mFree;
  worker_resources mFreeAfterStops;
  std::vector<std::vector<size_t>> mRacks;
  std::vector<size_t> mRackOf;     ///< By worker.
  std::vector<double> mFreeInRack; ///< Free cores by rack.
  std::map<std::pair<std::string, int64_t>, double> mAllowances;
  std::map<size_t, std::string> mRackNames;
  std::set<fit_key> mUnplaceable;
  /** Reserved workers by group; one entry per task. */
  std::vector<std::vector<size_t>> mReservedWorkers;
  std::vector<std::vector<size_t>> mUnitsOnWorker; ///< Preemption units by worker.
  std::vector<bool> mStopped;
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
