#include "planner/RackPatience.h"

#include "planner/PoolLoad.h"

#include <optional>
#include <set>

namespace anvildoor {

namespace {

/** A rack is often released by itself within this time. */
constexpr duration kClearAfter{ 1'000 };
/** Stops take up to 0.4 s, and nothing may wait for 3 s while the fleet has room. */
constexpr duration kSpanAfter{ 2'000 };
/**
 * A guaranteed gang waits for one rack for one part in this many of its bound. The rest
 * is left for stops and starts.
 */
constexpr int kBoundDivisor = 2;

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

void rack_patience::Prolong(waits& aWaits,
                            const waits& aBefore,
                            const placement_group& aGroup,
                            time_point aNow)
{
  const auto key = KeyOf(aGroup);
  const auto before = aBefore.find(key);
  aWaits[key] = before == aBefore.end() ? aNow : before->second;
}

void rack_patience::SetRights(placement_input& aInput, time_point aNow) const
{
  // A group that has not waited compares as less than any time.
  const auto waitedIn = [aNow](const waits& aWaits, const group_key& aKey) {
    const auto found = aWaits.find(aKey);
    return found == aWaits.end() ? std::optional<duration>() : aNow - found->second;
  };
  for (auto& group : aInput.mGroups) {
    const auto key = KeyOf(group);
    const auto besideRoom = waitedIn(mBesideRoom, key);
    group.mMayClearRack = besideRoom >= kClearAfter;
    group.mMaySpanRacks = group.mMaySpanRacks || besideRoom >= kSpanAfter ||
                          waitedIn(mGuaranteed, key) >= mReclaimBound / kBoundDivisor;
  }
}

void rack_patience::Observe(const placement_input& aInput,
                            const placement_plan& aPlan,
                            time_point aNow)
{
  waits besideRoom;
  waits guaranteed;
  const auto poolsWithRoom =
    aPlan.mWaiting.empty() ? std::set<std::string>() : PoolsWithRoom(aInput);
  for (const auto number : aPlan.mWaiting) {
    const auto& group = aInput.mGroups[number];
    if (!group.mSpec.mGang || !group.mSpec.mSameRack) {
      continue;
    }
    if (group.mGuaranteed) {
      Prolong(guaranteed, mGuaranteed, group, aNow);
    }
    if (poolsWithRoom.count(group.mPool) != 0 && HasRoomInFleet(aInput, group)) {
      Prolong(besideRoom, mBesideRoom, group, aNow);
    }
  }
  mBesideRoom = std::move(besideRoom);
  mGuaranteed = std::move(guaranteed);
}

void rack_patience::Clear()
{
  mBesideRoom.clear();
  mGuaranteed.clear();
}

} // namespace anvildoor
