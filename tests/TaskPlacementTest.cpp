#include "planner/TaskPlacement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace anvildoor;

namespace {

/** Returns racks of equal workers with 32 cores and 8 accelerators each. */
placement_input Fleet(size_t aRacks, size_t aWorkersPerRack)
{
  placement_input input;
  for (size_t rack = 0; rack < aRacks; ++rack) {
    for (size_t number = 0; number < aWorkersPerRack; ++number) {
      placement_worker worker;
      worker.mId = "w" + std::to_string(rack) + "-" + std::to_string(number);
      worker.mPool = "pool";
      worker.mRack = "r" + std::to_string(rack);
      worker.mLabels = { "a", worker.mRack };
      worker.mTotal = { 32'000, 64'000, 8 };
      worker.mFree = worker.mTotal;
      input.mWorkers.push_back(worker);
    }
  }
  return input;
}

placement_group Group(uint32_t aTasks, int64_t aAccelerators)
{
  placement_group group;
  group.mJob = "job";
  group.mPool = "pool";
  group.mPriority = 1;
  group.mSpec.mCount = aTasks;
  group.mSpec.mPerTask = { 4'000, 1'000, aAccelerators };
  group.mIndices.resize(aTasks);
  std::iota(group.mIndices.begin(), group.mIndices.end(), 0U);
  return group;
}

/** Adds a preemptible run with aAccelerators to a worker. */
void Occupy(placement_input& aInput,
            size_t aWorker,
            int64_t aAccelerators,
            int64_t aPriority)
{
  preemption_unit unit;
  unit.mTask.mJob = "other" + std::to_string(aInput.mPreemptionUnits.size());
  unit.mPriority = aPriority;
  unit.mLostCoreSeconds = static_cast<double>(aAccelerators);
  unit.mResourcesByWorker.emplace_back(aWorker,
                                       task_resources{ 1'000, 1'000, aAccelerators });
  auto& free = aInput.mWorkers[aWorker].mFree;
  free.mCpuMillis -= 1'000;
  free.mMemoryMb -= 1'000;
  free.mAccelerators -= aAccelerators;
  aInput.mPreemptionUnits.push_back(unit);
}

std::set<std::string> RacksOf(const placement_input& aInput,
                              const placement_plan& aPlan)
{
  std::set<std::string> racks;
  for (const auto& start : aPlan.mStarts) {
    racks.insert(aInput.mWorkers[start.mWorker].mRack);
  }
  return racks;
}

} // namespace

TEST_CASE("a group gets as many tasks as fit, a gang all or none", "[placement]")
{
  struct row
  {
    uint32_t mTasks;
    int64_t mAccelerators;
    bool mGang;
    bool mSameRack;
    uint32_t mPerWorker;
    size_t mPlaced;
    size_t mRacks;
  };
  const auto [tasks, accelerators, gang, sameRack, perWorker, placed, racks] =
    GENERATE(row{ 4, 2, false, false, 0, 4, 1 },
             row{ 40, 2, false, false, 0, 16, 2 }, // Single tasks: as many as fit.
             row{ 16, 2, true, false, 0, 16, 2 },
             row{ 17, 2, true, false, 0, 0, 0 },  // Gang: all or none.
             row{ 8, 2, true, true, 0, 8, 1 },    // Fills one rack.
             row{ 9, 2, true, true, 0, 9, 2 },    // Exceeds any rack: uses two.
             row{ 8, 1, false, false, 1, 4, 2 },  // One per worker.
             row{ 4, 9, false, false, 0, 0, 0 }); // Exceeds any worker.
  CAPTURE(tasks, accelerators, gang, sameRack, perWorker);
  auto input = Fleet(2, 2);
  auto group = Group(tasks, accelerators);
  group.mSpec.mGang = gang;
  group.mSpec.mSameRack = sameRack;
  group.mSpec.mMaxPerWorker = perWorker;
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.size() == placed);
  CHECK(RacksOf(input, plan).size() == racks);
  CHECK(plan.mWaiting.empty() == (placed == tasks));
}

TEST_CASE("a same-rack gang uses several racks only if it is allowed to", "[placement]")
{
  const auto maySpanRacks = GENERATE(false, true);
  auto input = Fleet(2, 2);
  Occupy(input, 0, 4, 1);
  Occupy(input, 2, 4, 1);
  auto group = Group(8, 2);
  group.mSpec.mGang = true;
  group.mSpec.mSameRack = true;
  group.mIndices.resize(8);
  group.mMaySpanRacks = maySpanRacks;
  input.mGroups.push_back(group);
  CHECK(PlaceTasks(input).mStarts.size() == (maySpanRacks ? 8 : 0));
}

TEST_CASE("a step keeps its limit per worker on workers of any pace", "[placement]")
{
  // Rows: tasks per worker, tasks placed before, and whether the group may preempt.
  const auto [perWorker, placedBefore, mayPreempt] =
    GENERATE(table<uint32_t, uint32_t, bool>({ { 1, 0, false },
                                               { 1, 0, true },
                                               { 2, 0, false },
                                               { 2, 1, true },
                                               { 3, 1, false } }));
  CAPTURE(perWorker, placedBefore, mayPreempt);
  auto input = Fleet(2, 2);
  input.mWorkers[1].mPace = pace_class::kSlow;
  input.mWorkers[3].mPace = pace_class::kQuick;
  auto group = Group(20, 1);
  group.mPriority = 0;
  group.mMinPace = pace_class::kUsual;
  group.mMayPreempt = mayPreempt;
  group.mSpec.mMaxPerWorker = perWorker;
  for (const auto& worker : input.mWorkers) {
    group.mPlacedByWorker[worker.mId] = placedBefore;
  }
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  std::map<size_t, uint32_t> placed;
  for (const auto& start : plan.mStarts) {
    ++placed[start.mWorker];
  }
  for (const auto& [worker, count] : placed) {
    CHECK(count + placedBefore <= perWorker);
  }
  CHECK(plan.mStarts.size() == input.mWorkers.size() * (perWorker - placedBefore));
}

TEST_CASE("placement respects the constraints of a step", "[placement]")
{
  auto input = Fleet(3, 1);
  input.mWorkers[1].mAcceptsTasks = false;
  input.mWorkers[2].mLabels.insert("b");
  auto group = Group(3, 1);
  SECTION("a worker that does not accept tasks gets none")
  {
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK(start.mWorker != 1);
    }
  }
  SECTION("only workers with the required label are used")
  {
    group.mSpec.mRequiredLabel = "b";
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK(start.mWorker == 2);
    }
  }
  SECTION("the data rack is preferred")
  {
    group.mSpec.mDataRack = "r2";
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK(start.mWorker == 2);
    }
  }
  SECTION("workers of another pool are not used")
  {
    group.mPool = "elsewhere";
    input.mGroups.push_back(group);
    CHECK(PlaceTasks(input).mStarts.empty());
  }
  SECTION("a task does not use the workers that it avoids")
  {
    group.mAvoidedByIndex[0] = { "w0-0" };
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK((start.mIndex != 0 || start.mWorker == 2));
    }
  }
}

TEST_CASE("an avoided worker is used if no other has capacity", "[placement]")
{
  struct row
  {
    bool mGang;
    uint32_t mTasks; // Each fills one of the three workers.
    size_t mPlaced;
    bool mUsesAvoided; // Whether the avoided worker is used.
  };
  const auto [gang, tasks, placed, usesAvoided] = GENERATE(row{ false, 2, 2, false },
                                                           row{ true, 2, 2, false },
                                                           row{ false, 3, 3, true },
                                                           row{ true, 3, 3, true });
  CAPTURE(gang, tasks);
  auto input = Fleet(1, 3);
  auto group = Group(tasks, 8);
  group.mSpec.mGang = gang;
  for (uint32_t index = 0; index < tasks; ++index) {
    group.mAvoidedByIndex[index] = { "w0-0" };
  }
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.size() == placed);
  CHECK(std::any_of(plan.mStarts.begin(), plan.mStarts.end(), [](const auto& aStart) {
          return aStart.mWorker == 0;
        }) == usesAvoided);
}

TEST_CASE("a gang starts on preempted workers even if a member must avoid them",
          "[placement]")
{
  auto input = Fleet(1, 3);
  for (size_t worker = 0; worker < 3; ++worker) {
    Occupy(input, worker, 1, 2);
  }
  auto group = Group(3, 8);
  group.mSpec.mGang = true;
  group.mPriority = 0;
  group.mMayPreempt = true;
  group.mGuaranteed = true;
  group.mAvoidedByIndex[2] = { "w0-0", "w0-1", "w0-2" };
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  REQUIRE(plan.mUnitsToStop.size() == 3);
  // After the preempted runs have ended, the workers are free in the next round.
  for (auto& worker : input.mWorkers) {
    worker.mFree = worker.mTotal;
  }
  input.mPreemptionUnits.clear();
  CHECK(PlaceTasks(input).mStarts.size() == 3);
}

TEST_CASE("priorities and guarantees decide which runs are preempted", "[placement]")
{
  struct row
  {
    int64_t mPriority;
    bool mMayPreempt;
    bool mGuaranteed;
    std::vector<int64_t> mRunning; // Priorities of the runs; each has 2 accelerators.
    size_t mUnitsToStop;
  };
  const auto [priority, mayPreempt, guaranteed, running, stops] =
    GENERATE(row{ 0, true, false, { 1, 1, 2, 2 }, 2 },
             row{ 0, false, false, { 1, 1, 2, 2 }, 0 },
             row{ 0, true, false, { 0, 0, 0, 0 }, 0 },
             row{ 0, true, true, { 0, 0, 0, 0 }, 2 }, // Runs outside their guarantee.
             row{ 0, true, false, { 0, 0, 0, 2 }, 1 });
  auto input = Fleet(1, 1);
  for (const auto each : running) {
    Occupy(input, 0, 2, each);
  }
  auto group = Group(2, 2);
  group.mPriority = priority;
  group.mMayPreempt = mayPreempt;
  group.mGuaranteed = guaranteed;
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.empty());
  CHECK(plan.mUnitsToStop.size() == stops);
  for (const auto unit : plan.mUnitsToStop) {
    // Runs of the lowest priority are stopped first.
    CHECK(input.mPreemptionUnits[unit].mPriority ==
          *std::max_element(running.begin(), running.end()));
  }
}

TEST_CASE("lost work bounds preemption except for guaranteed groups", "[placement]")
{
  struct row
  {
    double mLostCoreSeconds; // Core-seconds lost by stopping each of two runs.
    bool mGuaranteed;
    size_t mUnitsToStop;
  };
  // The group's work is 2 tasks x 36 cores x 1 s. Stops may cost three times that.
  const auto [loss, guaranteed, stops] = GENERATE(row{ 10.0, false, 2 },
                                                  row{ 105.0, false, 2 },
                                                  row{ 107.0, false, 0 },
                                                  row{ 1'000.0, false, 0 },
                                                  row{ 1'000.0, true, 2 });
  auto input = Fleet(1, 1);
  for (int each = 0; each < 2; ++each) {
    Occupy(input, 0, 4, 2);
    input.mPreemptionUnits.back().mLostCoreSeconds = loss;
  }
  auto group = Group(2, 4);
  group.mSpec.mEstimate = duration(1'000);
  group.mPriority = 0;
  group.mMayPreempt = true;
  group.mGuaranteed = guaranteed;
  input.mGroups.push_back(group);
  CHECK(PlaceTasks(input).mUnitsToStop.size() == stops);
}

TEST_CASE("a same-rack gang preempts in the rack with the least lost work",
          "[placement]")
{
  auto input = Fleet(3, 2);
  const double losses[] = { 9.0, 9.0, 3.0, 4.0, 9.0, 1.0 };
  for (size_t worker = 0; worker < 6; ++worker) {
    Occupy(input, worker, 8, 2);
    input.mPreemptionUnits.back().mLostCoreSeconds = losses[worker];
  }
  auto group = Group(2, 8);
  group.mSpec.mGang = true;
  group.mSpec.mSameRack = true;
  group.mPriority = 0;
  group.mMayPreempt = true;
  input.mGroups.push_back(group);
  CHECK(PlaceTasks(input).mUnitsToStop == std::vector<size_t>{ 2, 3 });
}

TEST_CASE("a gang clears the rack from which the least work has to move", "[placement]")
{
  struct row
  {
    bool mMayClearRack;
    bool mMayMove; // Of the run in the way on the second rack.
    int64_t mPriority;
    double mLostCoreSeconds;
    std::vector<size_t> mMoved;
  };
  // The gang's own work is 2 x 68 core-seconds; to lose more than that isn't worth it.
  const auto [mayClearRack, mayMove, priority, lost, moved] =
    GENERATE(row{ true, true, 2, 10.0, { 1 } },
             row{ true, true, 1, 10.0, { 1 } },
             row{ true, true, 0, 10.0, { 0 } },
             row{ true, false, 2, 10.0, { 0 } },
             row{ true, true, 2, 60.0, { 0 } },
             row{ false, true, 2, 10.0, {} });
  CAPTURE(mayClearRack, mayMove, priority, lost);
  auto input = Fleet(2, 2);
  Occupy(input, 0, 8, 2);
  input.mPreemptionUnits.back().mMayMove = true;
  input.mPreemptionUnits.back().mLostCoreSeconds = 50.0;
  Occupy(input, 2, 8, priority);
  input.mPreemptionUnits.back().mMayMove = mayMove;
  input.mPreemptionUnits.back().mLostCoreSeconds = lost;
  auto group = Group(2, 8);
  group.mSpec.mGang = true;
  group.mSpec.mSameRack = true;
  group.mMayClearRack = mayClearRack;
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.empty());
  CHECK(plan.mUnitsToStop.empty());
  CHECK(plan.mUnitsToMove == moved);
  CHECK(plan.mReserved.size() == (moved.empty() ? 0 : 2));
}

TEST_CASE("capacity of stopping runs is reserved without further preemption",
          "[placement]")
{
  auto input = Fleet(1, 1);
  Occupy(input, 0, 4, 2);
  input.mWorkers[0].mFree.mAccelerators = 0;
  input.mWorkers[0].mReleasedByStops = { 1'000, 1'000, 4 };
  auto urgent = Group(2, 2);
  urgent.mPriority = 0;
  urgent.mMayPreempt = true;
  input.mGroups.push_back(urgent);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.empty());
  CHECK(plan.mUnitsToStop.empty());
}

TEST_CASE("reservations of a group are kept in the next round", "[placement]")
{
  // Two workers are still being released for a gang of three, and the other two are
  // free. With the reservations of the last round, small tasks may use only the worker
  // that is not reserved. Without them, the reservations move and the small tasks take
  // a worker that was reserved for the gang.
  const auto reserved = GENERATE(false, true);
  auto input = Fleet(1, 4);
  for (const size_t freeing : { 1, 2 }) {
    input.mWorkers[freeing].mReleasedByStops = input.mWorkers[freeing].mTotal;
    input.mWorkers[freeing].mFree = task_resources();
  }
  auto gang = Group(3, 8);
  gang.mSpec.mGang = true;
  gang.mPriority = 0;
  gang.mMayPreempt = true;
  if (reserved) {
    gang.mReserved = { "w0-1", "w0-2", "w0-3" };
  }
  auto small = Group(16, 1);
  small.mJob = "small";
  input.mGroups = { gang, small };
  const auto plan = PlaceTasks(input);
  REQUIRE(plan.mStarts.size() == 8);
  CHECK(plan.mStarts.front().mWorker == (reserved ? 0 : 3));
  REQUIRE(plan.mReserved.size() == 3);
  CHECK(plan.mReserved.front().mWorker == (reserved ? 1 : 0));
}

TEST_CASE("reserved capacity is not given to another group", "[placement]")
{
  auto input = Fleet(1, 2);
  input.mWorkers[0].mReleasedByStops = input.mWorkers[0].mTotal;
  input.mWorkers[0].mFree = task_resources();
  Occupy(input, 1, 4, 2);
  auto first = Group(1, 8);
  first.mSpec.mGang = true;
  first.mPriority = 0;
  first.mMayPreempt = true;
  auto second = first;
  second.mJob = "second";
  second.mReserved = { "w0-0" };
  input.mGroups = { first, second };
  const auto plan = PlaceTasks(input);
  CHECK(plan.mUnitsToStop.size() == 1); // The first group preempts on the other worker.
  REQUIRE(plan.mReserved.size() == 2);
  CHECK(plan.mReserved[0] == reservation{ 0, 1 });
  CHECK(plan.mReserved[1] == reservation{ 1, 0 });
}

TEST_CASE("the limit per worker holds where quick workers don't hold all tasks",
          "[placement]")
{
  auto input = Fleet(1, 3);
  input.mWorkers[1].mPace = pace_class::kSlow;
  input.mWorkers[2].mPace = pace_class::kSlow;
  auto group = Group(3, 1);
  group.mSpec.mMaxPerWorker = 1;
  group.mMinPace = pace_class::kUsual;
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  REQUIRE_FALSE(plan.mStarts.empty());
  std::map<size_t, int> startsByWorker;
  for (const auto& start : plan.mStarts) {
    CHECK(++startsByWorker[start.mWorker] == 1);
  }
}
