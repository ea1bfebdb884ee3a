#include "planner/CapacityReport.h"

#include "planner/PreemptionSearch.h"

#include <algorithm>
#include <cassert>

namespace anvildoor {

namespace {

/** Returns the free resources by worker after the starts and reservations of aPlan. */
std::vector<task_resources> FreeAfter(const placement_input& aInput,
                                      const placement_plan& aPlan)
{
  std::vector<task_resources> free;
  for (const auto& worker : aInput.mWorkers) {
    free.push_back(worker.mFree);
  }
  for (const auto& start : aPlan.mStarts) {
    Add(free[start.mWorker], OccupiedBy(aInput.mGroups[start.mGroup].mSpec), -1);
  }
  for (const auto& [group, worker] : aPlan.mReserved) {
    Add(free[worker], OccupiedBy(aInput.mGroups[group].mSpec), -1);
  }
  return free;
}

/** Returns how many tasks of the group were not placed. */
int64_t UnplacedTasks(const placement_input& aInput,
                      const placement_plan& aPlan,
                      size_t aGroup)
{
  const auto placed =
    std::count_if(aPlan.mStarts.begin(),
                  aPlan.mStarts.end(),
                  [&](const task_start& aStart) { return aStart.mGroup == aGroup; });
  return static_cast<int64_t>(aInput.mGroups[aGroup].mIndices.size()) - placed;
}

/** Returns the share of a free worker; resources in use beyond the total count as 0. */
double FreeShare(const task_resources& aFree, const task_resources& aTotal)
{
  // What is taken of the scarcest resource is not free.
  auto used = aTotal;
  Add(used, aFree, -1);
  return std::clamp(1.0 - DominantShare(used, aTotal), 0.0, 1.0);
}

/** Returns why a group waits if aFree is free and nothing can be stopped. */
waiting_reason ReasonOf(const placement_input& aInput,
                        const placement_plan& aPlan,
                        const std::vector<task_resources>& aFree,
                        size_t aGroup)
{
  const auto& group = aInput.mGroups[aGroup];
  task_resources sum;
  bool isAnyEligible = false;
  for (size_t number = 0; number < aFree.size(); ++number) {
    if (IsEligible(aInput.mWorkers[number], group)) {
      isAnyEligible = true;
      Add(sum, aFree[number]);
    }
  }
  if (!isAnyEligible) {
    return waiting_reason::kNoEligibleWorker;
  }
  const auto tasks = group.mSpec.mGang ? UnplacedTasks(aInput, aPlan, aGroup) : 1;
  task_resources need;
  Add(need, OccupiedBy(group.mSpec), tasks);
  if (!Fits(need, sum)) {
    return waiting_reason::kCapacity;
  }
  return aInput.mAllowances.count({ group.mPool, group.mPriority }) != 0
           ? waiting_reason::kHeadroom
           : waiting_reason::kFragmentation;
}

/** Returns whether a gang waits for one rack, and no room is being made for it. */
bool NeedsClearableRack(const placement_input& aInput,
                        const placement_plan& aPlan,
                        size_t aGroup)
{
  const auto& group = aInput.mGroups[aGroup];
  return group.mSpec.mGang && group.mSpec.mSameRack && !group.mMaySpanRacks &&
         std::none_of(
           aPlan.mReserved.begin(),
           aPlan.mReserved.end(),
           [&](const reservation& aReserved) { return aReserved.mGroup == aGroup; });
}

/** Adds to aFree what the units release that the group may have stopped. */
void AddStoppable(const placement_input& aInput,
                  const placement_group& aGroup,
                  std::vector<task_resources>& aFree)
{
  for (const auto& unit : aInput.mPreemptionUnits) {
    if (!Outranks(aGroup, unit)) {
      continue;
    }
    for (const auto& [worker, used] : unit.mResourcesByWorker) {
      Add(aFree[worker], used);
    }
  }
}

} // namespace

const char* ToString(waiting_reason aReason)
{
  static constexpr const char* kNames[] = {
    "no_eligible_worker", "headroom", "capacity", "fragmentation", "no_clearable_rack"
  };
  return kNames[static_cast<size_t>(aReason)];
}

waiting_reason ExplainWaiting(const placement_input& aInput,
                              const placement_plan& aPlan,
                              size_t aGroup)
{
  assert(aGroup < aInput.mGroups.size());
  auto free = FreeAfter(aInput, aPlan);
  const auto reason = ReasonOf(aInput, aPlan, free, aGroup);
  if (reason != waiting_reason::kCapacity ||
      !NeedsClearableRack(aInput, aPlan, aGroup)) {
    return reason;
  }
  AddStoppable(aInput, aInput.mGroups[aGroup], free);
  return ReasonOf(aInput, aPlan, free, aGroup) == waiting_reason::kCapacity
           ? waiting_reason::kCapacity
           : waiting_reason::kNoClearableRack;
}

capacity_report ReportCapacity(const placement_input& aInput,
                               const placement_plan& aPlan)
{
  capacity_report report;
  const auto free = FreeAfter(aInput, aPlan);
  for (size_t number = 0; number < free.size(); ++number) {
    const auto& worker = aInput.mWorkers[number];
    report.mFree += worker.mAcceptsTasks ? FreeShare(free[number], worker.mTotal) : 0.0;
  }
  for (const auto group : aPlan.mWaiting) {
    const auto& waiting = aInput.mGroups[group];
    const auto typical = aInput.mTypicalWorkers.find(waiting.mPool);
    if (typical == aInput.mTypicalWorkers.end()) {
      continue;
    }
    const auto need = static_cast<double>(UnplacedTasks(aInput, aPlan, group)) *
                      DominantShare(OccupiedBy(waiting.mSpec), typical->second);
    report.mWaiting += need;
    if (waiting.mSpec.mGang &&
        ReasonOf(aInput, aPlan, free, group) == waiting_reason::kFragmentation) {
      report.mFragmented = std::min(report.mFree, report.mFragmented + need);
    }
  }
  return report;
}

} // namespace anvildoor
