#include "planner/TaskPlacement.h"

#include <benchmark/benchmark.h>

using namespace anvildoor;

namespace {

/**
 * Returns a placement round of a fleet that is full of small runs: aWorkers workers in
 * racks of 20, four urgent gangs that may preempt, and aWaiting groups of small tasks.
 */
placement_input SamplePlacement(int aWorkers, int aWaiting)
{
  constexpr int kWorkersPerRack = 20;
  constexpr int64_t kAccelerators = 8;
  const task_resources small{ 2'800, 15'000, 1 };
  placement_input input;
  for (int number = 0; number < aWorkers; ++number) {
    placement_worker worker;
    worker.mId = std::to_string(number);
    worker.mPool = "pool";
    worker.mRack = std::to_string(number / kWorkersPerRack);
    worker.mTotal = { 32'000, 131'072, kAccelerators };
    worker.mFree = worker.mTotal;
    Add(worker.mFree, small, -kAccelerators);
    input.mWorkers.push_back(worker);
    for (int64_t run = 0; run < kAccelerators; ++run) {
      preemption_unit unit;
      unit.mPriority = 2;
      unit.mLostCoreSeconds = static_cast<double>((number * kAccelerators + run) % 60);
      unit.mResourcesByWorker.emplace_back(static_cast<size_t>(number), small);
      input.mPreemptionUnits.push_back(unit);
    }
  }
  const auto addGroup = [&](int64_t aPriority, uint32_t aTasks, int64_t aEach) {
    placement_group group;
    group.mJob = std::to_string(input.mGroups.size());
    group.mPool = "pool";
    group.mPriority = aPriority;
    group.mMayPreempt = aPriority == 0;
    group.mSpec.mGang = aPriority == 0;
    group.mSpec.mSameRack = aPriority == 0;
    group.mSpec.mEstimate = duration(2'500);
    group.mSpec.mPerTask = { small.mCpuMillis, small.mMemoryMb, aEach };
    for (uint32_t index = 0; index < aTasks; ++index) {
      group.mIndices.push_back(index);
    }
    input.mGroups.push_back(group);
  };
  constexpr int kUrgentGangs = 4;
  for (int number = 0; number < kUrgentGangs; ++number) {
    addGroup(0, 5, kAccelerators);
  }
  for (int number = 0; number < aWaiting; ++number) {
    addGroup(2, 38, 1);
  }
  return input;
}

/** One round with preemption for urgent gangs. Arguments: workers, waiting groups. */
void PlacementRound(benchmark::State& aState)
{
  const auto input = SamplePlacement(static_cast<int>(aState.range(0)),
                                     static_cast<int>(aState.range(1)));
  for (auto unused : aState) {
    benchmark::DoNotOptimize(PlaceTasks(input));
  }
}

} // namespace

// The sizes cover a small site, the large fleet and the full target size.
BENCHMARK(PlacementRound)
  ->ArgsProduct({ { 54, 540, 2'900 }, { 10, 1'000 } })
  ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
