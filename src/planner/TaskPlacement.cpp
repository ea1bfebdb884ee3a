#include "planner/TaskPlacement.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <tuple>

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

/** More than any worker's leftover: data nearby goes before a tight fit. */
constexpr double kDataRackGain = 1'000.0;

/** Where each task of a group would go; empty if it does not fit as it must. */
using seats = std::vector<std::pair<uint32_t, size_t>>;
using room = std::vector<task_resources>;

enum class preference
{
  kTightest, ///< Keeps large rooms whole.
  kRoomiest, ///< Needs the fewest stops.
};

/** Which workers a search may use. */
struct search
{
  preference mPreference = preference::kTightest;
  std::optional<size_t> mOnlyRack;
};

/** What decides whether a group fits at all: groups alike fail alike in one round. */
using shape = std::tuple<task_resources, std::string, std::string, bool, bool, size_t>;

/** One planning round over a copy of the workers' room. */
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
    const shape like{ NeedOf(group),
                      group.mPool,
                      group.mSpec.mRequiredLabel,
                      group.mSpec.mGang,
                      group.mSpec.mSameRack && !group.mMaySpread,
                      group.mSpec.mGang ? group.mIndices.size() : 0 };
    seats found;
    if (mFailed.count(like) == 0) {
      found = Seat(group, group.mIndices, mFree, preference::kTightest);
      if (found.empty() && group.mAvoid.empty() && group.mSpec.mMaxPerWorker == 0) {
        mFailed.insert(like);
      }
    }
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
    if (group.mMayPreempt) {
      MakeRoom(group, Left(group, found));
    }
  }

  static std::vector<uint32_t> Left(const placement_group& aGroup, const seats& aFound)
  {
    std::vector<uint32_t> left;
    for (const auto index : aGroup.mIndices) {
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

  /** Keeps room that is being freed for the group, and stops what else is in its way.
   */
  void MakeRoom(const placement_group& aGroup, const std::vector<uint32_t>& aLeft)
  {
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
    const auto need = NeedOf(aGroup);
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

  /** How many tasks of the group may still go to the worker, by its own rule. */
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

  /** How many tasks of the group fit into aRoom of the worker. */
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
             const room& aRoom,
             preference aPreference) const
  {
    if (aGroup.mSpec.mGang && aGroup.mSpec.mSameRack) {
      auto found = SeatInOneRack(aGroup, aIndices, aRoom, aPreference);
      const bool maySpread =
        found.empty() && (aGroup.mMaySpread || !AnyRackHolds(aGroup));
      return maySpread ? SeatOn(aGroup, aIndices, aRoom, { aPreference, std::nullopt })
                       : found;
    }
    return SeatOn(aGroup, aIndices, aRoom, { aPreference, std::nullopt });
  }

  /** Returns whether the gang would fit into some rack if nothing ran there. */
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
                      const room& aRoom,
                      preference aPreference) const
  {
    seats best;
    double bestScore = 0.0;
    for (size_t rack = 0; rack < mRacks.size(); ++rack) {
      auto found = SeatOn(aGroup, aIndices, aRoom, { aPreference, rack });
      if (found.empty()) {
        continue;
      }
      double score =
        aGroup.mSpec.mDataRack == mRackNames.at(rack) ? -kDataRackGain : 0.0;
      for (const auto worker : mRacks[rack]) {
        const double left = Leftover(mSoon[worker]);
        score += aPreference == preference::kTightest ? left : -left;
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
      const double left = Leftover(aRoom[aWorker]);
      double score = aSearch.mPreference == preference::kTightest ? left : -left;
      score += about.mReluctance;
      const auto& data = aGroup.mSpec.mDataRack;
      score -= !data.empty() && about.mRack == data ? kDataRackGain : 0.0;
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

  /** Fills one worker after the other, the best first. */
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
        if (aGroup.mSpec.mGang) {
          return {};
        }
        continue;
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
  std::vector<bool> mStopped;
  placement_plan mPlan;
};

} // namespace

placement_plan PlaceTasks(const placement_input& aInput)
{
  return placement_round(aInput).Run();
}

} // namespace anvildoor
