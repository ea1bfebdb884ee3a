#include "planner/SlotSearch.h"

#include <algorithm>
#include <tuple>

namespace anvildoor {

namespace {

/** Exceeds the free cores of any worker, so that data locality outranks best fit. */
constexpr double kDataRackBonusCores = 1'000.0;
/** Reserved workers outrank best fit, but not data locality. */
constexpr double kReservationBonusCores = 500.0;

} // namespace

slot_search::slot_search(const placement_input& aInput)
  : mInput(aInput)
  , mTaken(aInput.mGroups.size())
{
  std::map<std::string, size_t> racks;
  for (size_t number = 0; number < aInput.mWorkers.size(); ++number) {
    const auto& worker = aInput.mWorkers[number];
    mFree.push_back(worker.mFree);
    mPaces.insert(worker.mPace);
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
  ApplyReservations();
}

void slot_search::ApplyReservations()
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

void slot_search::Allocate(const placement_group& aGroup,
                           size_t aWorker,
                           int64_t aTaskSlots)
{
  const auto need = OccupiedBy(aGroup.mSpec);
  if (aGroup.mSpec.mMaxPerWorker != 0) {
    mTaken[IndexOf(aGroup)][aWorker] += aTaskSlots;
  }
  Add(mFree[aWorker], need, -aTaskSlots);
  mFreeInRack[mRackOf[aWorker]] -= CoresOf(need) * static_cast<double>(aTaskSlots);
  Add(mFreeAfterStops[aWorker], need, -aTaskSlots);
}

void slot_search::ReleaseReservations(size_t aGroup)
{
  for (const auto worker : mReservedWorkers[aGroup]) {
    Allocate(mInput.mGroups[aGroup], worker, -1);
  }
}

void slot_search::AddReleased(size_t aWorker, const task_resources& aResources)
{
  Add(mFreeAfterStops[aWorker], aResources);
}

bool slot_search::IsReservedFor(size_t aGroup, size_t aWorker) const
{
  const auto& reserved = mReservedWorkers[aGroup];
  return std::find(reserved.begin(), reserved.end(), aWorker) != reserved.end();
}

uint32_t slot_search::RemainingSlots(const placement_group& aGroup,
                                     size_t aWorker) const
{
  const auto bound = aGroup.mSpec.mMaxPerWorker;
  if (bound == 0) {
    return UINT32_MAX;
  }
  const auto found = aGroup.mPlacedByWorker.find(mInput.mWorkers[aWorker].mId);
  int64_t used = found == aGroup.mPlacedByWorker.end() ? 0 : found->second;
  const auto& taken = mTaken[IndexOf(aGroup)];
  const auto inRound = taken.find(aWorker);
  used += inRound == taken.end() ? 0 : inRound->second;
  return used >= bound ? 0 : static_cast<uint32_t>(bound - used);
}

uint32_t slot_search::CountSlots(const placement_group& aGroup,
                                 const task_resources& aFree,
                                 size_t aWorker) const
{
  const auto need = OccupiedBy(aGroup.mSpec);
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

bool slot_search::FitsInEmptyRack(const placement_group& aGroup) const
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

task_slots slot_search::FindSlots(size_t aGroup,
                                  const std::vector<uint32_t>& aIndices,
                                  slot_supply aSupply,
                                  pace_class aMinPace) const
{
  const auto& group = mInput.mGroups[aGroup];
  const bool needsPace = group.mMinPace != pace_class::kSlow;
  if (!needsPace || !group.mSpec.mGang) {
    return FindSlotsAtPace(aGroup, aIndices, aSupply, aMinPace);
  }
  // A gang's slowest member decides when it ends, so the quickest that hold it are
  // tried first. The quicker ones have been tried when a lower bound is searched for
  // now.
  if (aSupply == slot_supply::kFree && aMinPace < group.mMinPace) {
    return FindSlotsAtPace(aGroup, aIndices, aSupply, aMinPace);
  }
  task_slots found;
  for (auto pace = mPaces.rbegin(); pace != mPaces.rend() && found.empty(); ++pace) {
    if (*pace >= aMinPace) {
      found = FindSlotsAtPace(aGroup, aIndices, aSupply, *pace);
    }
  }
  return found;
}

task_slots slot_search::FindSlotsAtPace(size_t aGroup,
                                        const std::vector<uint32_t>& aIndices,
                                        slot_supply aSupply,
                                        pace_class aMinPace) const
{
  const auto& group = mInput.mGroups[aGroup];
  const search_scope anyRack{ std::nullopt, aMinPace };
  if (group.mSpec.mGang && group.mSpec.mSameRack) {
    auto found = FindSlotsInOneRack(aGroup, aIndices, aSupply, aMinPace);
    const bool maySpanRacks =
      found.empty() && (group.mMaySpanRacks || !FitsInEmptyRack(group));
    return maySpanRacks ? FindSlotsOn(aGroup, aIndices, aSupply, anyRack) : found;
  }
  return FindSlotsOn(aGroup, aIndices, aSupply, anyRack);
}

task_slots slot_search::FindSlotsInOneRack(size_t aGroup,
                                           const std::vector<uint32_t>& aIndices,
                                           slot_supply aSupply,
                                           pace_class aMinPace) const
{
  const auto& group = mInput.mGroups[aGroup];
  task_slots best;
  double bestScore = 0.0;
  for (size_t rack = 0; rack < mRacks.size(); ++rack) {
    auto found = FindSlotsOn(aGroup, aIndices, aSupply, { rack, aMinPace });
    if (found.empty()) {
      continue;
    }
    double score =
      group.mSpec.mDataRack == mRackNames.at(rack) ? -kDataRackBonusCores : 0.0;
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

std::vector<slot_search::candidate> slot_search::Candidates(
  size_t aGroup,
  slot_supply aSupply,
  const search_scope& aScope) const
{
  const auto& group = mInput.mGroups[aGroup];
  const auto& free = aSupply == slot_supply::kFree ? mFree : mFreeAfterStops;
  // Single tasks that need some pace are each the better off the quicker their worker.
  // All others use the slowest workers in the scope, and leave the quick ones.
  const bool prefersQuick = group.mMinPace != pace_class::kSlow && !group.mSpec.mGang;
  const auto rankOf = [&](const placement_worker& aWorker) {
    const auto rank = static_cast<int>(aWorker.mPace);
    return prefersQuick ? -rank : rank;
  };
  std::vector<candidate> candidates;
  const auto consider = [&](size_t aWorker) {
    if (!IsEligible(mInput.mWorkers[aWorker], group) ||
        mInput.mWorkers[aWorker].mPace < aScope.mMinPace) {
      return;
    }
    const auto capacity = CountSlots(group, free[aWorker], aWorker);
    if (capacity == 0) {
      return;
    }
    const auto& workerInfo = mInput.mWorkers[aWorker];
    double preference = workerInfo.mScorePenalty;
    const auto& data = group.mSpec.mDataRack;
    preference -= !data.empty() && workerInfo.mRack == data ? kDataRackBonusCores : 0.0;
    preference -= IsReservedFor(aGroup, aWorker) ? kReservationBonusCores : 0.0;
    // Best fit is weighed against the preference only among workers of one pace.
    candidates.push_back({ mPaces.size() > 1 ? preference : 0.0,
                           rankOf(workerInfo),
                           CoresOf(free[aWorker]) + preference,
                           mFreeInRack[mRackOf[aWorker]],
                           aWorker,
                           capacity });
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
      const auto key = [](const candidate& aOne) {
        return std::tie(aOne.mPreference,
                        aOne.mPaceRank,
                        aOne.mScore,
                        aOne.mFreeInRack,
                        aOne.mWorker);
      };
      return key(aLeft) < key(aRight);
    });
  return candidates;
}

task_slots slot_search::FindSlotsOn(size_t aGroup,
                                    const std::vector<uint32_t>& aIndices,
                                    slot_supply aSupply,
                                    const search_scope& aScope) const
{
  const auto& group = mInput.mGroups[aGroup];
  auto candidates = Candidates(aGroup, aSupply, aScope);
  uint64_t total = 0;
  for (const auto& each : candidates) {
    total += each.mCapacity;
  }
  if (group.mSpec.mGang && total < aIndices.size()) {
    return {};
  }
  // Fills the workers one by one in the order of their scores.
  task_slots found;
  size_t first = 0;
  for (const auto index : aIndices) {
    while (first < candidates.size() && candidates[first].mCapacity == 0) {
      ++first;
    }
    size_t at = first;
    while (at < candidates.size() &&
           (candidates[at].mCapacity == 0 ||
            IsAvoided(group, index, candidates[at].mWorker))) {
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

bool slot_search::IsAvoided(const placement_group& aGroup,
                            uint32_t aIndex,
                            size_t aWorker) const
{
  if (aGroup.mAvoidedByIndex.empty()) {
    return false;
  }
  const auto found = aGroup.mAvoidedByIndex.find(aIndex);
  return found != aGroup.mAvoidedByIndex.end() &&
         found->second.count(mInput.mWorkers[aWorker].mId) != 0;
}

} // namespace anvildoor
