#include "planner/TaskPlacement.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace anvildoor {

namespace {

bool Fits(const task_resources& aNeed, const task_resources& aRoom)
{
  return aNeed.mCpuMillis <= aRoom.mCpuMillis && aNeed.mMemoryMb <= aRoom.mMemoryMb &&
         aNeed.mAccelerators <= aRoom.mAccelerators;
}

void Add(task_resources& aTo, const task_resources& aWhat, int64_t aTimes = 1)
{
  aTo.mCpuMillis += aTimes * aWhat.mCpuMillis;
  aTo.mMemoryMb += aTimes * aWhat.mMemoryMb;
  aTo.mAccelerators += aTimes * aWhat.mAccelerators;
}

/** What is left on a worker in units of one core; an accelerator weighs as eight. */
double Leftover(const task_resources& aRoom)
{
  constexpr double kMillisPerCore = 1000.0;
  constexpr double kCoresPerAccelerator = 8.0; // The platform's own price of work.
  return static_cast<double>(aRoom.mCpuMillis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(aRoom.mAccelerators);
}

/** Where each task of a group would go; empty if it does not fit as it must. */
using seats = std::vector<std::pair<uint32_t, size_t>>;

enum class preference
{
  kTightest, ///< Keeps large rooms whole.
  kRoomiest, ///< Needs the fewest stops.
};

/** One planning round over a copy of the workers' room. */
class placement_round
{
public:
  explicit placement_round(const placement_input& aInput)
    : mInput(aInput)
    , mStopped(aInput.mUnits.size(), false)
  {
    for (const auto& worker : aInput.mWorkers) {
      mFree.push_back(worker.mFree);
      auto soon = worker.mFree;
      Add(soon, worker.mFreeing);
      mSoon.push_back(soon);
    }
  }

  placement_plan Run()
  {
    for (size_t number = 0; number < mInput.mGroups.size(); ++number) {
      PlaceGroup(number);
    }
    return std::move(mPlan);
  }

private:
  using room = std::vector<task_resources>;

  void PlaceGroup(size_t aNumber)
  {
    const auto& group = mInput.mGroups[aNumber];
    auto found = Seat(group, group.mIndices, mFree, preference::kTightest);
    const auto need = NeedOf(group);
    for (const auto& [index, worker] : found) {
      mPlan.mStarts.push_back({ aNumber, index, worker });
      Add(mFree[worker], need, -1);
      Add(mSoon[worker], need, -1);
    }
    if (found.size() == group.mIndices.size()) {
      return;
    }
    mPlan.mWaiting.push_back(aNumber);
    if (!group.mMayPreempt) {
      return;
    }
    std::vector<uint32_t> left;
    for (const auto index : group.mIndices) {
      const bool placed =
        std::any_of(found.begin(), found.end(), [&](const auto& aSeat) {
          return aSeat.first == index;
        });
      if (!placed) {
        left.push_back(index);
      }
    }
    MakeRoom(group, left);
  }

  /** Keeps room that is being freed for the group, and stops what else is in its way.
   */
  void MakeRoom(const placement_group& aGroup, const std::vector<uint32_t>& aLeft)
  {
    const auto need = NeedOf(aGroup);
    auto kept = Seat(aGroup, aLeft, mSoon, preference::kTightest);
    if (kept.size() < aLeft.size()) {
      room reclaimable = mSoon;
      for (size_t unit = 0; unit < mInput.mUnits.size(); ++unit) {
        if (MayStop(unit, aGroup)) {
          for (const auto& [worker, resources] : mInput.mUnits[unit].mParts) {
            Add(reclaimable[worker], resources);
          }
        }
      }
      kept = Seat(aGroup, aLeft, reclaimable, preference::kRoomiest);
    }
    for (const auto& [index, worker] : kept) {
      Add(mSoon[worker], need, -1);
      Add(mFree[worker], need, -1);
      StopUntilFits(worker, aGroup);
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

  void StopUntilFits(size_t aWorker, const placement_group& aGroup)
  {
    while (!Fits(task_resources{}, mSoon[aWorker])) {
      std::optional<size_t> cheapest;
      for (size_t unit = 0; unit < mInput.mUnits.size(); ++unit) {
        if (!MayStop(unit, aGroup) || !IsOn(unit, aWorker)) {
          continue;
        }
        if (!cheapest || Cost(unit) < Cost(*cheapest)) {
          cheapest = unit;
        }
      }
      if (!cheapest) {
        return;
      }
      mStopped[*cheapest] = true;
      mPlan.mStops.push_back(*cheapest);
      for (const auto& [worker, resources] : mInput.mUnits[*cheapest].mParts) {
        Add(mSoon[worker], resources);
      }
    }
  }

  bool IsOn(size_t aUnit, size_t aWorker) const
  {
    const auto& parts = mInput.mUnits[aUnit].mParts;
    return std::any_of(parts.begin(), parts.end(), [&](const auto& aPart) {
      return aPart.first == aWorker;
    });
  }

  std::pair<int64_t, double> Cost(size_t aUnit) const
  {
    const auto& unit = mInput.mUnits[aUnit];
    return { -unit.mPriority, unit.mLoss };
  }

  static task_resources NeedOf(const placement_group& aGroup)
  {
    auto need = aGroup.mSpec.mPerTask;
    if (aGroup.mSpec.mFills) {
      need.mCpuMillis = 0;
    }
    return need;
  }

  /** Returns whether the group's tasks may run on the worker at all. */
  bool Suits(const placement_group& aGroup, size_t aWorker) const
  {
    const auto& worker = mInput.mWorkers[aWorker];
    const auto& label = aGroup.mSpec.mRequiredLabel;
    return worker.mOpen && worker.mPool == aGroup.mPool &&
           (label.empty() || worker.mLabels.count(label) != 0);
  }

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

  /** How many tasks of the group fit on the worker. */
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
    return static_cast<uint32_t>(std::min<int64_t>(fits, aGroup.mIndices.size()));
  }

  seats Seat(const placement_group& aGroup,
             const std::vector<uint32_t>& aIndices,
             const room& aRoom,
             preference aPreference) const
  {
    if (aGroup.mSpec.mGang && aGroup.mSpec.mSameRack) {
      auto found = SeatInOneRack(aGroup, aIndices, aRoom, aPreference);
      const bool mustSpread =
        found.empty() && (aGroup.mMaySpread || !AnyRackHolds(aGroup));
      return mustSpread ? SeatAnywhere(aGroup, aIndices, aRoom, "", aPreference)
                        : found;
    }
    return SeatAnywhere(aGroup, aIndices, aRoom, aGroup.mSpec.mDataRack, aPreference);
  }

  std::set<std::string> Racks(const placement_group& aGroup) const
  {
    std::set<std::string> racks;
    for (size_t worker = 0; worker < mInput.mWorkers.size(); ++worker) {
      if (Suits(aGroup, worker)) {
        racks.insert(mInput.mWorkers[worker].mRack);
      }
    }
    return racks;
  }

  /** Returns whether the gang would fit into some rack if nothing ran there. */
  bool AnyRackHolds(const placement_group& aGroup) const
  {
    std::map<std::string, uint64_t> capacity;
    for (size_t worker = 0; worker < mInput.mWorkers.size(); ++worker) {
      if (!Suits(aGroup, worker)) {
        continue;
      }
      auto whole = mInput.mWorkers[worker].mFree;
      Add(whole, mInput.mWorkers[worker].mFreeing);
      for (const auto& unit : mInput.mUnits) {
        for (const auto& [at, resources] : unit.mParts) {
          if (at == worker) {
            Add(whole, resources);
          }
        }
      }
      capacity[mInput.mWorkers[worker].mRack] += Capacity(aGroup, whole, worker);
    }
    return std::any_of(capacity.begin(), capacity.end(), [&](const auto& aRack) {
      return aRack.second >= aGroup.mIndices.size();
    });
  }

  seats SeatInOneRack(const placement_group& aGroup,
                      const std::vector<uint32_t>& aIndices,
                      const room& aRoom,
                      preference aPreference) const
  {
    seats best;
    double bestScore = 0.0;
    for (const auto& rack : Racks(aGroup)) {
      auto found = SeatAnywhere(aGroup, aIndices, aRoom, rack, aPreference, true);
      if (found.empty()) {
        continue;
      }
      double score = aGroup.mSpec.mDataRack == rack ? -kDataRackGain : 0.0;
      for (size_t worker = 0; worker < mInput.mWorkers.size(); ++worker) {
        if (mInput.mWorkers[worker].mRack == rack) {
          const double left = Leftover(mSoon[worker]);
          score += aPreference == preference::kTightest ? left : -left;
        }
      }
      if (best.empty() || score < bestScore) {
        best = std::move(found);
        bestScore = score;
      }
    }
    return best;
  }

  /** Seats tasks one by one; aRack is preferred, or the only one if aOnlyThere. */
  seats SeatAnywhere(const placement_group& aGroup,
                     const std::vector<uint32_t>& aIndices,
                     const room& aRoom,
                     const std::string& aRack,
                     preference aPreference,
                     bool aOnlyThere = false) const
  {
    std::vector<size_t> candidates;
    uint64_t total = 0;
    for (size_t worker = 0; worker < mInput.mWorkers.size(); ++worker) {
      const bool rackFits = !aOnlyThere || mInput.mWorkers[worker].mRack == aRack;
      if (rackFits && Suits(aGroup, worker)) {
        const auto capacity = Capacity(aGroup, aRoom[worker], worker);
        if (capacity > 0) {
          candidates.push_back(worker);
          total += capacity;
        }
      }
    }
    if (aGroup.mSpec.mGang && total < aIndices.size()) {
      return {};
    }
    const auto need = NeedOf(aGroup);
    seats found;
    std::map<size_t, task_resources> rest;
    std::map<size_t, uint32_t> taken;
    for (const auto worker : candidates) {
      rest[worker] = aRoom[worker];
    }
    for (const auto index : aIndices) {
      std::optional<size_t> best;
      double bestScore = 0.0;
      for (const auto worker : candidates) {
        if (!Fits(need, rest[worker]) || taken[worker] >= SeatsLeft(aGroup, worker) ||
            Avoids(aGroup, index, worker)) {
          continue;
        }
        const auto& about = mInput.mWorkers[worker];
        const double left = Leftover(rest[worker]);
        double score = aPreference == preference::kTightest ? left : -left;
        score += about.mReluctance;
        score -= !aRack.empty() && about.mRack == aRack ? kDataRackGain : 0.0;
        if (!best || score < bestScore) {
          best = worker;
          bestScore = score;
        }
      }
      if (!best) {
        if (aGroup.mSpec.mGang) {
          return {};
        }
        continue;
      }
      found.emplace_back(index, *best);
      Add(rest[*best], need, -1);
      ++taken[*best];
    }
    return found;
  }

  bool Avoids(const placement_group& aGroup, uint32_t aIndex, size_t aWorker) const
  {
    const auto found = aGroup.mAvoid.find(aIndex);
    return found != aGroup.mAvoid.end() &&
           found->second.count(mInput.mWorkers[aWorker].mId) != 0;
  }

  /** More than any worker's leftover: data nearby goes before a tight fit. */
  static constexpr double kDataRackGain = 1'000.0;

  const placement_input& mInput;
  room mFree;
  room mSoon;
  std::vector<bool> mStopped;
  placement_plan mPlan;
};

} // namespace

placement_plan PlaceTasks(const placement_input& aInput)
{
  return placement_round(aInput).Run();
}

} // namespace anvildoor
