#include "planner/CapacityHeadroom.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace anvildoor {

namespace {

/** Only tasks of this priority preempt others. */
constexpr int64_t kUrgentPriority = 0;
/** Time constant of the mean of the urgent load. */
constexpr duration kMeanWindow{ 5'000 };
/** Multiple of the mean urgent load that is kept for urgent tasks. */
constexpr double kUrgentMargin = 1.3;
/** Share of the capacity that waiting tasks of higher priority leave to the others. */
constexpr double kMinShare = 0.3;
/** Share of the capacity up to which tasks are not limited. */
constexpr double kUnlimitedUse = 0.6;

double TotalOf(const priority_load& aLoad)
{
  return aLoad.mRunning + aLoad.mWaiting;
}

double UrgentLoad(const pool_load& aLoad)
{
  const auto urgent = aLoad.mByPriority.find(kUrgentPriority);
  return urgent == aLoad.mByPriority.end() ? 0.0 : TotalOf(urgent->second);
}

/** Sets mTypicalWorkers of aInput to the mean of the workers that accept tasks. */
void SetTypicalWorkers(placement_input& aInput)
{
  std::map<std::string, int64_t> counts;
  for (const auto& worker : aInput.mWorkers) {
    if (worker.mAcceptsTasks) {
      Add(aInput.mTypicalWorkers[worker.mPool], worker.mTotal);
      ++counts[worker.mPool];
    }
  }
  for (auto& [pool, capacity] : aInput.mTypicalWorkers) {
    const auto count = counts.at(pool);
    capacity = { capacity.mCpuMillis / count,
                 capacity.mMemoryMb / count,
                 capacity.mAccelerators / count };
  }
}

/** Returns the load by pool; pools without a typical worker are left out. */
std::map<std::string, pool_load> LoadsOf(const placement_input& aInput)
{
  // Only these pools have a typical worker.
  auto loads = RunningLoads(aInput.mWorkers);
  for (const auto& group : aInput.mGroups) {
    const auto typical = aInput.mTypicalWorkers.find(group.mPool);
    if (typical != aInput.mTypicalWorkers.end() &&
        group.mForecast != completion_forecast::kTooLate) {
      loads[group.mPool].mByPriority[group.mPriority].mWaiting +=
        DominantShare(OccupiedBy(group.mSpec), typical->second) *
        static_cast<double>(group.mIndices.size());
    }
  }
  return loads;
}

} // namespace

std::optional<double> AllowanceOf(const pool_load& aLoad, int64_t aPriority)
{
  if (aPriority <= kUrgentPriority) {
    return std::nullopt;
  }
  double higher = std::max(UrgentLoad(aLoad), kUrgentMargin * aLoad.mMeanUrgent);
  double others = 0.0; // Running tasks of aPriority and lower priorities.
  for (const auto& [priority, load] : aLoad.mByPriority) {
    const bool isHigher = priority < aPriority;
    higher += isHigher && priority > kUrgentPriority ? TotalOf(load) : 0.0;
    others += isHigher ? 0.0 : load.mRunning;
  }
  if (RunningLoadOf(aLoad) < kUnlimitedUse * aLoad.mCapacity) {
    return std::nullopt;
  }
  const double limit = std::max(aLoad.mCapacity - higher, kMinShare * aLoad.mCapacity);
  return std::max(0.0, limit - others);
}

void capacity_headroom::SetAllowances(placement_input& aInput, time_point aNow)
{
  SetTypicalWorkers(aInput);
  auto loads = LoadsOf(aInput);
  Observe(loads, aNow);
  for (auto& [pool, load] : loads) {
    load.mMeanUrgent = mMeanUrgent[pool];
  }
  for (const auto& group : aInput.mGroups) {
    const auto load = loads.find(group.mPool);
    if (load == loads.end()) {
      continue;
    }
    if (const auto allowance = AllowanceOf(load->second, group.mPriority)) {
      aInput.mAllowances[{ group.mPool, group.mPriority }] = *allowance;
    }
  }
}

void capacity_headroom::Observe(const std::map<std::string, pool_load>& aLoads,
                                time_point aNow)
{
  assert(!mObservedAt || *mObservedAt <= aNow);
  const auto elapsed =
    mObservedAt ? static_cast<double>((aNow - *mObservedAt).count()) : 0.0;
  const auto weight =
    1.0 - std::exp(-elapsed / static_cast<double>(kMeanWindow.count()));
  for (const auto& [pool, load] : aLoads) {
    auto& mean = mMeanUrgent[pool];
    mean += weight * (UrgentLoad(load) - mean);
  }
  mObservedAt = aNow;
}

} // namespace anvildoor
