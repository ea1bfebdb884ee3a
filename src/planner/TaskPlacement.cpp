#include "planner/TaskPlacement.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <optional>
#include <tuple>

namespace anvildoor {

namespace {

/** Exceeds the free cores of any worker, so that data locality outranks best fit. */
constexpr double kDataRackGain = 1'000.0;
/** Reserved workers outrank best fit, but not data locality. */
constexpr double kReservedGain = 500.0;

/**
 * Upper bound for the cost of a preemption, in core-seconds, relative to the work that
 * it makes room for. The target function values an urgent job at four, and lost work
 * costs a seventh of that.
 */
constexpr double kWorthwhile = 3.0;
/** Lower bound for the estimate of a step; also applies if it has none. */
constexpr duration kLeastEstimate{ 1'000 };
/** Core-seconds added to the cost of each stop, because it also delays the job. */
constexpr double kCostOfAnyStop = 2.0;
/**
 * Cost factor for stopping runs of priority 0 or 1. Their jobs are worth three times as
 * much as those of lower priority.
 */
constexpr double kHigherPriority = 2.0;

/** Task indices with their workers; empty if the group cannot be placed. */
using seats = std::vector<std::pair<uint32_t, size_t>>;
using room = std::vector<task_resources>;

/** The workers that a search may use. */
struct search
{
  std::optional<size_t> mOnlyRack;
};

/** Decides whether a group fits: in one round, groups with equal keys fail alike. */
using shape = std::tuple<task_resources, std::string, std::string, bool, bool, size_t>;

/** One placement round on a copy of the workers' free resources. */
class placement_round
{
public:
  explicit placement_round(const placement_input& aInput)
    : mInput(aInput)
    , mStopped(aInput.mUnits.size(), false)
  {
    std::map<std::string, size_t> racks;
    for (size_t number = 0; number < aInput.mWorkers.size(); ++number) {
      const auto& worker = aInput.mWorkers[number];
      mFree.push_back(worker.mFree);
      auto soon = worker.mFree;
      Add(soon, worker.mFreeing);
      mSoon.push_back(soon);
      const auto rack = racks.emplace(worker.mRack, racks.size()).first->second;
      if (rack == mRacks.size()) {
        mRacks.emplace_back();
      }
      mRacks[rack].push_back(number);
    }
    for (const auto& [name, number] : racks) {
      mRackNames[number] = name;
    }
    HoldReserved();
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
  void HoldReserved()
  {
    std::map<std::string, size_t> numbers;
    for (size_t number = 0; number < mInput.mWorkers.size(); ++number) {
      numbers[mInput.mWorkers[number].mId] = number;
    }
    mHeld.resize(mInput.mGroups.size());
    for (size_t number = 0; number < mInput.mGroups.size(); ++number) {
      const auto& group = mInput.mGroups[number];
      for (const auto& id : group.mReserved) {
        const auto worker = numbers.find(id);
        if (worker != numbers.end() && Suits(group, worker->second)) {
          mHeld[number].push_back(worker->second);
          Take(group, worker->second, 1);
        }
      }
    }
  }

  /** Allocates task slots on a worker; a negative number releases them. */
  void Take(const placement_group& aGroup, size_t aWorker, int64_t aSeats)
  {
    const auto need = NeedOf(aGroup);
    Add(mFree[aWorker], need, -aSeats);
    Add(mSoon[aWorker], need, -aSeats);
  }

  bool IsHeldFor(const placement_group& aGroup, size_t aWorker) const
  {
    const auto& held = mHeld[static_cast<size_t>(&aGroup - mInput.mGroups.data())];
    return std::find(held.begin(), held.end(), aWorker) != held.end();
  }

  void PlaceGroup(size_t aNumber)
  {
    const auto& group = mInput.mGroups[aNumber];
    for (const auto worker : mHeld[aNumber]) {
      Take(group, worker, -1);
    }
    const shape like{ NeedOf(group),
                      group.mPool,
                      group.mSpec.mRequiredLabel,
                      group.mSpec.mGang,
                      group.mSpec.mSameRack && !group.mMaySpread,
                      group.mSpec.mGang ? group.mIndices.size() : 0 };
    seats found;
    if (mFailed.count(like) == 0 || !mHeld[aNumber].empty()) {
      found = Seat(group, group.mIndices, mFree);
      if (found.empty() && group.mAvoid.empty() && group.mSpec.mMaxPerWorker == 0) {
        mFailed.insert(like);
      }
    }
    for (const auto& [index, worker] : found) {
      mPlan.mStarts.push_back({ aNumber, index, worker });
      Take(group, worker, 1);
    }
    if (found.size() == group.mIndices.size()) {
      return;
    }
    mPlan.mWaiting.push_back(aNumber);
    if (group.mMayPreempt) {
      MakeRoom(group, Left(group.mIndices, found));
    }
  }

  /** Returns those of aIndices that are not in aFound. */
  static std::vector<uint32_t> Left(const std::vector<uint32_t>& aIndices,
                                    const seats& aFound)
  {
    std::vector<uint32_t> left;
    for (const auto index : aIndices) {
      const bool placed =
        std::any_of(aFound.begin(), aFound.end(), [&](const auto& aSeat) {
          return aSeat.first == index;
        });
      if (!placed) {
        left.push_back(index);
      }
    }
    return left;
  }

  /** Reserves capacity that is being released, then preempts runs for the rest. */
  void MakeRoom(const placement_group& aGroup, const std::vector<uint32_t>& aLeft)
  {
    const auto kept = Seat(aGroup, aLeft, mSoon);
    Keep(aGroup, kept);
    const auto missing = Left(aLeft, kept);
    if (missing.empty()) {
      return;
    }
    const auto freed = CheapestStops(aGroup, missing);
    if (!freed) {
      return;
    }
    for (const auto unit : freed->mUnits) {
      mStopped[unit] = true;
      mPlan.mStops.push_back(unit);
      for (const auto& [worker, resources] : mInput.mUnits[unit].mParts) {
        Add(mSoon[worker], resources);
      }
    }
    Keep(aGroup, SeatOn(aGroup, missing, mSoon, freed->mSearch));
  }

  void Keep(const placement_group& aGroup, const seats& aSeats)
  {
    const auto number = static_cast<size_t>(&aGroup - mInput.mGroups.data());
    for (const auto& [index, worker] : aSeats) {
      mPlan.mReserved.push_back({ number, worker });
      Take(aGroup, worker, 1);
    }
  }

  bool MayStop(size_t aUnit, const placement_group& aGroup) const
  {
    const auto& unit = mInput.mUnits[aUnit];
    const bool lower =
      unit.mPriority > aGroup.mPriority ||
      (unit.mPriority == aGroup.mPriority && aGroup.mGuaranteed && !unit.mGuaranteed);
    return !mStopped[aUnit] && lower;
  }

  /** Units to stop, and the workers on which the group then fits. */
  struct stops
  {
    std::vector<size_t> mUnits;
    double mCost = 0.0;
    search mSearch;
  };

  /** Returns the cheapest preemption, or nothing if it would cost too much. */
  std::optional<stops> CheapestStops(const placement_group& aGroup,
                                     const std::vector<uint32_t>& aMissing) const
  {
    std::optional<stops> best;
    const bool oneRack = aGroup.mSpec.mGang && aGroup.mSpec.mSameRack &&
                         !aGroup.mMaySpread && AnyRackHolds(aGroup);
    if (oneRack) {
      for (size_t rack = 0; rack < mRacks.size(); ++rack) {
        auto found = StopsOn(aGroup, aMissing.size(), mRacks[rack]);
        if (found && (!best || found->mCost < best->mCost)) {
          best = std::move(found);
          best->mSearch.mOnlyRack = rack;
        }
      }
    } else {
      std::vector<size_t> all(mInput.mWorkers.size());
      std::iota(all.begin(), all.end(), size_t(0));
      best = StopsOn(aGroup, aMissing.size(), all);
    }
    // Guaranteed groups preempt at any cost; others within the bound for lost work.
    if (best && !aGroup.mGuaranteed &&
        best->mCost > kWorthwhile * WorkOf(aGroup, aMissing.size())) {
      return std::nullopt;
    }
    return best;
  }

  /** Returns the expected core-seconds of aTasks tasks of the group. */
  static double WorkOf(const placement_group& aGroup, size_t aTasks)
  {
    constexpr double kMsPerSecond = 1'000.0;
    const auto estimate = std::max(aGroup.mSpec.mEstimate, kLeastEstimate);
    return static_cast<double>(aTasks) * CoresOf(aGroup.mSpec.mPerTask) *
           static_cast<double>(estimate.count()) / kMsPerSecond;
  }

  double CostOf(size_t aUnit) const
  {
    const auto& unit = mInput.mUnits[aUnit];
    return (unit.mLoss + kCostOfAnyStop) *
           (unit.mPriority <= 1 ? kHigherPriority : 1.0);
  }

  /**
   * Selects units to stop on aWorkers to free aSeats: adds the cheapest ones first,
   * then removes those that are not needed.
   */
  std::optional<stops> StopsOn(const placement_group& aGroup,
                               size_t aSeats,
                               const std::vector<size_t>& aWorkers) const
  {
    std::map<size_t, task_resources> left;
    int64_t seatsThere = 0;
    for (const auto worker : aWorkers) {
      if (Suits(aGroup, worker)) {
        left[worker] = mSoon[worker];
        seatsThere += Capacity(aGroup, mSoon[worker], worker);
      }
    }
    std::vector<size_t> units;
    for (size_t unit = 0; unit < mInput.mUnits.size(); ++unit) {
      const auto& parts = mInput.mUnits[unit].mParts;
      const bool isThere =
        std::any_of(parts.begin(), parts.end(), [&](const auto& aPart) {
          return left.count(aPart.first) != 0;
        });
      if (isThere && MayStop(unit, aGroup)) {
        units.push_back(unit);
      }
    }
    std::sort(units.begin(), units.end(), [this](size_t aLeft, size_t aRight) {
      return std::make_pair(CostOf(aLeft), aLeft) <
             std::make_pair(CostOf(aRight), aRight);
    });
    const auto wanted = static_cast<int64_t>(aSeats);
    const auto change = [&](size_t aUnit, int64_t aSign) {
      int64_t gained = 0;
      for (const auto& [worker, resources] : mInput.mUnits[aUnit].mParts) {
        const auto at = left.find(worker);
        if (at != left.end()) {
          gained -= Capacity(aGroup, at->second, worker);
          Add(at->second, resources, aSign);
          gained += Capacity(aGroup, at->second, worker);
        }
      }
      return gained;
    };
    stops found;
    for (const auto unit : units) {
      if (seatsThere >= wanted) {
        break;
      }
      seatsThere += change(unit, 1);
      found.mUnits.push_back(unit);
    }
    if (seatsThere < wanted && (aGroup.mSpec.mGang || found.mUnits.empty())) {
      return std::nullopt;
    }
    const auto enough = std::min(wanted, seatsThere);
    for (size_t at = found.mUnits.size(); at-- > 0;) {
      const auto lost = change(found.mUnits[at], -1);
      if (seatsThere + lost >= enough) {
        seatsThere += lost;
        found.mUnits.erase(found.mUnits.begin() + static_cast<std::ptrdiff_t>(at));
      } else {
        change(found.mUnits[at], 1);
      }
    }
    for (const auto unit : found.mUnits) {
      found.mCost += CostOf(unit);
    }
    return found;
  }

  static task_resources NeedOf(const placement_group& aGroup)
  {
    return OccupiedBy(aGroup.mSpec);
  }

  /** Returns whether the worker satisfies the group's constraints, capacity aside. */
  bool Suits(const placement_group& aGroup, size_t aWorker) const
  {
    const auto& worker = mInput.mWorkers[aWorker];
    const auto& label = aGroup.mSpec.mRequiredLabel;
    return worker.mOpen && worker.mPool == aGroup.mPool &&
           (label.empty() || worker.mLabels.count(label) != 0);
  }

  /** Returns how many more tasks mMaxPerWorker allows on the worker. */
  uint32_t SeatsLeft(const placement_group& aGroup, size_t aWorker) const
  {
    const auto bound = aGroup.mSpec.mMaxPerWorker;
    if (bound == 0) {
      return UINT32_MAX;
    }
    const auto found = aGroup.mAlready.find(mInput.mWorkers[aWorker].mId);
    const uint32_t used = found == aGroup.mAlready.end() ? 0 : found->second;
    return used >= bound ? 0 : bound - used;
  }

  /** Returns how many tasks of the group fit into aRoom on the worker. */
  uint32_t Capacity(const placement_group& aGroup,
                    const task_resources& aRoom,
                    size_t aWorker) const
  {
    const auto need = NeedOf(aGroup);
    int64_t fits = SeatsLeft(aGroup, aWorker);
    const auto bound = [&fits](int64_t aNeed, int64_t aHave) {
      if (aNeed > 0) {
        fits = std::min(fits, std::max<int64_t>(0, aHave) / aNeed);
      }
    };
    bound(need.mCpuMillis, aRoom.mCpuMillis);
    bound(need.mMemoryMb, aRoom.mMemoryMb);
    bound(need.mAccelerators, aRoom.mAccelerators);
    return static_cast<uint32_t>(
      std::min(fits, static_cast<int64_t>(aGroup.mIndices.size())));
  }

  seats Seat(const placement_group& aGroup,
             const std::vector<uint32_t>& aIndices,
             const room& aRoom) const
  {
    if (aGroup.mSpec.mGang && aGroup.mSpec.mSameRack) {
      auto found = SeatInOneRack(aGroup, aIndices, aRoom);
      const bool maySpread =
        found.empty() && (aGroup.mMaySpread || !AnyRackHolds(aGroup));
      return maySpread ? SeatOn(aGroup, aIndices, aRoom, search()) : found;
    }
    return SeatOn(aGroup, aIndices, aRoom, search());
  }

  /** Returns whether the gang would fit into at least one rack if it were empty. */
  bool AnyRackHolds(const placement_group& aGroup) const
  {
    return std::any_of(mRacks.begin(), mRacks.end(), [&](const auto& aRack) {
      uint64_t capacity = 0;
      for (const auto worker : aRack) {
        if (Suits(aGroup, worker)) {
          capacity += Capacity(aGroup, mInput.mWorkers[worker].mWhole, worker);
        }
      }
      return capacity >= aGroup.mIndices.size();
    });
  }

  seats SeatInOneRack(const placement_group& aGroup,
                      const std::vector<uint32_t>& aIndices,
                      const room& aRoom) const
  {
    seats best;
    double bestScore = 0.0;
    for (size_t rack = 0; rack < mRacks.size(); ++rack) {
      auto found = SeatOn(aGroup, aIndices, aRoom, search{ rack });
      if (found.empty()) {
        continue;
      }
      double score =
        aGroup.mSpec.mDataRack == mRackNames.at(rack) ? -kDataRackGain : 0.0;
      for (const auto worker : mRacks[rack]) {
        score += CoresOf(mSoon[worker]);
        score -= IsHeldFor(aGroup, worker) ? kReservedGain : 0.0;
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
    size_t mWorker = 0;
    uint32_t mCapacity = 0;
  };

  std::vector<candidate> Candidates(const placement_group& aGroup,
                                    const room& aRoom,
                                    const search& aSearch) const
  {
    std::vector<candidate> candidates;
    const auto consider = [&](size_t aWorker) {
      if (!Suits(aGroup, aWorker)) {
        return;
      }
      const auto capacity = Capacity(aGroup, aRoom[aWorker], aWorker);
      if (capacity == 0) {
        return;
      }
      const auto& about = mInput.mWorkers[aWorker];
      double score = CoresOf(aRoom[aWorker]) + about.mReluctance;
      const auto& data = aGroup.mSpec.mDataRack;
      score -= !data.empty() && about.mRack == data ? kDataRackGain : 0.0;
      score -= IsHeldFor(aGroup, aWorker) ? kReservedGain : 0.0;
      candidates.push_back({ score, aWorker, capacity });
    };
    if (aSearch.mOnlyRack) {
      std::for_each(
        mRacks[*aSearch.mOnlyRack].begin(), mRacks[*aSearch.mOnlyRack].end(), consider);
    } else {
      for (size_t worker = 0; worker < mInput.mWorkers.size(); ++worker) {
        consider(worker);
      }
    }
    std::sort(
      candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
        return std::tie(aLeft.mScore, aLeft.mWorker) <
               std::tie(aRight.mScore, aRight.mWorker);
      });
    return candidates;
  }

  /** Fills the workers one by one in the order of their scores. */
  seats SeatOn(const placement_group& aGroup,
               const std::vector<uint32_t>& aIndices,
               const room& aRoom,
               const search& aSearch) const
  {
    auto candidates = Candidates(aGroup, aRoom, aSearch);
    uint64_t total = 0;
    for (const auto& each : candidates) {
      total += each.mCapacity;
    }
    if (aGroup.mSpec.mGang && total < aIndices.size()) {
      return {};
    }
    seats found;
    size_t first = 0;
    for (const auto index : aIndices) {
      while (first < candidates.size() && candidates[first].mCapacity == 0) {
        ++first;
      }
      size_t at = first;
      while (at < candidates.size() &&
             (candidates[at].mCapacity == 0 ||
              Avoids(aGroup, index, candidates[at].mWorker))) {
        ++at;
      }
      if (at == candidates.size()) {
        // Only avoided workers are left. Use one: the capacity check included them.
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

  bool Avoids(const placement_group& aGroup, uint32_t aIndex, size_t aWorker) const
  {
    if (aGroup.mAvoid.empty()) {
      return false;
    }
    const auto found = aGroup.mAvoid.find(aIndex);
    return found != aGroup.mAvoid.end() &&
           found->second.count(mInput.mWorkers[aWorker].mId) != 0;
  }

  const placement_input& mInput;
  room mFree;
  room mSoon;
  std::vector<std::vector<size_t>> mRacks;
  std::map<size_t, std::string> mRackNames;
  std::set<shape> mFailed;
  /** Reserved workers by group; one entry per task. */
  std::vector<std::vector<size_t>> mHeld;
  std::vector<bool> mStopped;
  placement_plan mPlan;
};

} // namespace

placement_plan PlaceTasks(const placement_input& aInput)
{
  return placement_round(aInput).Run();
}

} // namespace anvildoor
