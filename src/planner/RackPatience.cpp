#include "planner/RackPatience.h"

#include "planner/PoolLoad.h"

#include <set>

namespace anvildoor {

namespace {

/** A rack is often released by itself within this time. */
constexpr duration kClearAfter{ 1'000 };
/** Stops take up to 0.4 s, and nothing may wait for 3 s while the fleet has room. */
constexpr duration kSpanAfter{ 2'000 };

/** Share of a pool in use above which gangs keep waiting for a rack. */
constexpr double kMaxUse = 0.6;

/** Returns the pools of which less than kMaxUse is in use. */
std::set<std::string> PoolsWithRoom(const placement_input& aInput)
{
  std::set<std::string> pools;
  for (const auto& [pool, load] : RunningLoads(aInput.mWorkers)) {
    if (RunningLoadOf(load) < kMaxUse * load.mCapacity) {
      pools.insert(pool);
    }
  }
  return pools;
}

/** Returns whether the free resources of all eligible workers hold the whole gang. */
bool HasRoomInFleet(const placement_input& aInput, const placement_group& aGroup)
{
  const auto need = OccupiedBy(aGroup.mSpec);
  size_t slots = 0;
  for (const auto& worker : aInput.mWorkers) {
    if (!IsEligible(worker, aGroup)) {
      continue;
    }
    auto free = worker.mFree;
    while (slots < aGroup.mIndices.size() && Fits(need, free)) {
      Add(free, need, -1);
      ++slots;
    }
  }
  return slots >= aGroup.mIndices.size();
}

} // namespace

rack_patience::group_key rack_patience::KeyOf(const placement_group& aGroup)
{
  return { aGroup.mJob, aGroup.mOccurrence, aGroup.mStep };
}

void rack_patience::SetRights(placement_input& aInput, time_point aNow) const
{
  for (auto& group : aInput.mGroups) {
    const auto found = mWaitingSince.find(KeyOf(group));
    if (found == mWaitingSince.end()) {
      continue;
    }
    const auto waited = aNow - found->second;
    group.mMayClearRack = waited >= kClearAfter;
    group.mMaySpanRacks = group.mMaySpanRacks || waited >= kSpanAfter;
  }
}

void rack_patience::Observe(const placement_input& aInput,
                            const placement_plan& aPlan,
                            time_point aNow)
{
  std::map<group_key, time_point> waiting;
  const auto poolsWithRoom =
    aPlan.mWaiting.empty() ? std::set<std::string>() : PoolsWithRoom(aInput);
  for (const auto number : aPlan.mWaiting) {
    const auto& group = aInput.mGroups[number];
    if (!group.mSpec.mGang || !group.mSpec.mSameRack ||
        poolsWithRoom.count(group.mPool) == 0 || !HasRoomInFleet(aInput, group)) {
      continue;
    }
    const auto key = KeyOf(group);
    const auto before = mWaitingSince.find(key);
    waiting[key] = before == mWaitingSince.end() ? aNow : before->second;
  }
  mWaitingSince = std::move(waiting);
}

} // namespace anvildoor
