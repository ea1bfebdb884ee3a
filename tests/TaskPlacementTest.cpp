#include "planner/TaskPlacement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace anvildoor;

namespace {

/** aRacks racks of aPerRack equal workers with 32 cores and 8 accelerators. */
placement_input Fleet(size_t aRacks, size_t aPerRack)
{
  placement_input input;
  for (size_t rack = 0; rack < aRacks; ++rack) {
    for (size_t number = 0; number < aPerRack; ++number) {
      placement_worker worker;
      worker.mId = "w" + std::to_string(rack) + "-" + std::to_string(number);
      worker.mPool = "pool";
      worker.mRack = "r" + std::to_string(rack);
      worker.mLabels = { "a", worker.mRack };
      worker.mWhole = { 32'000, 64'000, 8 };
      worker.mFree = worker.mWhole;
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

/** Occupies aAccelerators of a worker with a run that may be stopped. */
void Occupy(placement_input& aInput,
            size_t aWorker,
            int64_t aAccelerators,
            int64_t aPriority)
{
  placed_unit unit;
  unit.mTask.mJob = "other" + std::to_string(aInput.mUnits.size());
  unit.mPriority = aPriority;
  unit.mLoss = static_cast<double>(aAccelerators);
  unit.mParts.emplace_back(aWorker, task_resources{ 1'000, 1'000, aAccelerators });
  auto& free = aInput.mWorkers[aWorker].mFree;
  free.mCpuMillis -= 1'000;
  free.mMemoryMb -= 1'000;
  free.mAccelerators -= aAccelerators;
  aInput.mUnits.push_back(unit);
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

TEST_CASE("how many tasks of a group find a place", "[placement]")
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
             row{ 17, 2, true, false, 0, 0, 0 },  // A gang: all or none.
             row{ 8, 2, true, true, 0, 8, 1 },    // One whole rack.
             row{ 9, 2, true, true, 0, 9, 2 },    // Larger than any rack: spread.
             row{ 8, 1, false, false, 1, 4, 2 },  // One a worker.
             row{ 4, 9, false, false, 0, 0, 0 }); // Larger than any worker.
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

TEST_CASE("a gang for one rack waits for it rather than spread, until it may",
          "[placement]")
{
  const auto maySpread = GENERATE(false, true);
  auto input = Fleet(2, 2);
  Occupy(input, 0, 4, 1);
  Occupy(input, 2, 4, 1);
  auto group = Group(8, 2);
  group.mSpec.mGang = true;
  group.mSpec.mSameRack = true;
  group.mIndices.resize(8);
  group.mMaySpread = maySpread;
  input.mGroups.push_back(group);
  CHECK(PlaceTasks(input).mStarts.size() == (maySpread ? 8 : 0));
}

TEST_CASE("rules of a step about its workers", "[placement]")
{
  auto input = Fleet(3, 1);
  input.mWorkers[1].mOpen = false;
  input.mWorkers[2].mLabels.insert("b");
  auto group = Group(3, 1);
  SECTION("a closed worker gets nothing")
  {
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK(start.mWorker != 1);
    }
  }
  SECTION("a required label")
  {
    group.mSpec.mRequiredLabel = "b";
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK(start.mWorker == 2);
    }
  }
  SECTION("the rack of the data goes first")
  {
    group.mSpec.mDataRack = "r2";
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK(start.mWorker == 2);
    }
  }
  SECTION("another pool's workers are not used")
  {
    group.mPool = "elsewhere";
    input.mGroups.push_back(group);
    CHECK(PlaceTasks(input).mStarts.empty());
  }
  SECTION("workers to avoid, per task")
  {
    group.mAvoid[0] = { "w0-0" };
    input.mGroups.push_back(group);
    for (const auto& start : PlaceTasks(input).mStarts) {
      CHECK((start.mIndex != 0 || start.mWorker == 2));
    }
  }
}

TEST_CASE("a worker to be avoided is used where no other has room", "[placement]")
{
  struct row
  {
    bool mGang;
    uint32_t mTasks; // Each of them fills a worker; there are three.
    size_t mPlaced;
    bool mAvoided; // The avoided worker is among those used.
  };
  const auto [gang, tasks, placed, avoided] = GENERATE(row{ false, 2, 2, false },
                                                       row{ true, 2, 2, false },
                                                       row{ false, 3, 3, true },
                                                       row{ true, 3, 3, true });
  CAPTURE(gang, tasks);
  auto input = Fleet(1, 3);
  auto group = Group(tasks, 8);
  group.mSpec.mGang = gang;
  for (uint32_t index = 0; index < tasks; ++index) {
    group.mAvoid[index] = { "w0-0" };
  }
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.size() == placed);
  CHECK(std::any_of(plan.mStarts.begin(), plan.mStarts.end(), [](const auto& aStart) {
          return aStart.mWorker == 0;
        }) == avoided);
}

TEST_CASE("room made for a gang is taken by it, also where a member failed before",
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
  group.mAvoid[2] = { "w0-0", "w0-1", "w0-2" };
  input.mGroups.push_back(group);
  const auto plan = PlaceTasks(input);
  REQUIRE(plan.mStops.size() == 3);
  // The runs have ended: the next round finds the room free.
  for (auto& worker : input.mWorkers) {
    worker.mFree = worker.mWhole;
  }
  input.mUnits.clear();
  CHECK(PlaceTasks(input).mStarts.size() == 3);
}

TEST_CASE("whose runs are stopped for a group", "[placement]")
{
  struct row
  {
    int64_t mPriority;
    bool mMayPreempt;
    bool mGuaranteed;
    std::vector<int64_t> mRunning; // Priorities of runs of 2 accelerators each.
    size_t mStops;
  };
  const auto [priority, mayPreempt, guaranteed, running, stops] =
    GENERATE(row{ 0, true, false, { 1, 1, 2, 2 }, 2 },
             row{ 0, false, false, { 1, 1, 2, 2 }, 0 },
             row{ 0, true, false, { 0, 0, 0, 0 }, 0 },
             row{ 0, true, true, { 0, 0, 0, 0 }, 2 }, // Beyond their guarantee.
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
  CHECK(plan.mStops.size() == stops);
  for (const auto unit : plan.mStops) {
    // Of several the lowest priority goes first.
    CHECK(input.mUnits[unit].mPriority ==
          *std::max_element(running.begin(), running.end()));
  }
}

TEST_CASE("stops must be worth it, except for a guarantee", "[placement]")
{
  struct row
  {
    double mLoss; // Core-seconds of each of two runs in the way.
    bool mGuaranteed;
    size_t mStops;
  };
  // The group's work is 2 tasks x 36 cores x 1 s; three times that may be thrown away.
  const auto [loss, guaranteed, stops] = GENERATE(row{ 10.0, false, 2 },
                                                  row{ 105.0, false, 2 },
                                                  row{ 107.0, false, 0 },
                                                  row{ 1'000.0, false, 0 },
                                                  row{ 1'000.0, true, 2 });
  auto input = Fleet(1, 1);
  for (int each = 0; each < 2; ++each) {
    Occupy(input, 0, 4, 2);
    input.mUnits.back().mLoss = loss;
  }
  auto group = Group(2, 4);
  group.mSpec.mEstimate = duration(1'000);
  group.mPriority = 0;
  group.mMayPreempt = true;
  group.mGuaranteed = guaranteed;
  input.mGroups.push_back(group);
  CHECK(PlaceTasks(input).mStops.size() == stops);
}

TEST_CASE("of several racks the one where least is lost is cleared", "[placement]")
{
  auto input = Fleet(3, 2);
  const double losses[] = { 9.0, 9.0, 3.0, 4.0, 9.0, 1.0 };
  for (size_t worker = 0; worker < 6; ++worker) {
    Occupy(input, worker, 8, 2);
    input.mUnits.back().mLoss = losses[worker];
  }
  auto group = Group(2, 8);
  group.mSpec.mGang = true;
  group.mSpec.mSameRack = true;
  group.mPriority = 0;
  group.mMayPreempt = true;
  input.mGroups.push_back(group);
  CHECK(PlaceTasks(input).mStops == std::vector<size_t>{ 2, 3 });
}

TEST_CASE("room that is being freed is kept, and nothing else is stopped for it",
          "[placement]")
{
  auto input = Fleet(1, 1);
  Occupy(input, 0, 4, 2);
  input.mWorkers[0].mFree.mAccelerators = 0;
  input.mWorkers[0].mFreeing = { 1'000, 1'000, 4 };
  auto urgent = Group(2, 2);
  urgent.mPriority = 0;
  urgent.mMayPreempt = true;
  input.mGroups.push_back(urgent);
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.empty());
  CHECK(plan.mStops.empty());
}

TEST_CASE("the room kept for a group stays its own from round to round", "[placement]")
{
  // Whole workers are being cleared for a gang of three when another one becomes free:
  // small tasks may have that one, and none of those that were cleared.
  const auto reserved = GENERATE(false, true);
  auto input = Fleet(1, 4);
  for (const size_t freeing : { 1, 2 }) {
    input.mWorkers[freeing].mFreeing = input.mWorkers[freeing].mWhole;
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

TEST_CASE("room kept for one group is not made the room of another", "[placement]")
{
  auto input = Fleet(1, 2);
  input.mWorkers[0].mFreeing = input.mWorkers[0].mWhole;
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
  CHECK(plan.mStops.size() == 1); // The first one has the other worker cleared.
  REQUIRE(plan.mReserved.size() == 2);
  CHECK(plan.mReserved[0] == reservation{ 0, 1 });
  CHECK(plan.mReserved[1] == reservation{ 1, 0 });
}
