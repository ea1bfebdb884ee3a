#include "planner/CapacityReport.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace anvildoor;

namespace {

/** Returns two racks of two workers, each with aFree of 8 accelerators free. */
placement_input Fleet(int64_t aFree)
{
  placement_input input;
  for (size_t number = 0; number < 4; ++number) {
    placement_worker worker;
    worker.mId = std::to_string(number);
    worker.mPool = "pool";
    worker.mRack = std::to_string(number / 2);
    worker.mTotal = { 32'000, 64'000, 8 };
    worker.mFree = { 4'000 * aFree, 8'000 * aFree, aFree };
    input.mWorkers.push_back(worker);
  }
  input.mTypicalWorkers["pool"] = input.mWorkers.front().mTotal;
  return input;
}

placement_group Group(uint32_t aTasks, int64_t aAccelerators, bool aGang)
{
  placement_group group;
  group.mPool = "pool";
  group.mPriority = 1;
  group.mSpec.mGang = aGang;
  group.mSpec.mPerTask = { 1'000, 1'000, aAccelerators };
  group.mIndices.resize(aTasks);
  std::iota(group.mIndices.begin(), group.mIndices.end(), 0U);
  return group;
}

} // namespace

TEST_CASE("the report tells why a group waits and how much is free", "[placement]")
{
  struct row
  {
    const char* mPool;
    int64_t mFree; // Accelerators of each worker.
    uint32_t mTasks;
    int64_t mAccelerators;
    bool mGang;
    std::optional<double> mAllowance;
    waiting_reason mReason;
    double mFreeWorkers;
    double mFragmented;
  };
  const auto [pool,
              free,
              tasks,
              accelerators,
              gang,
              allowance,
              reason,
              freeWorkers,
              fragmented] =
    GENERATE(
      row{ "none", 8, 1, 1, false, {}, waiting_reason::kNoEligibleWorker, 4.0, 0.0 },
      row{ "pool", 0, 1, 1, false, {}, waiting_reason::kCapacity, 0.0, 0.0 },
      row{ "pool", 2, 9, 1, true, {}, waiting_reason::kCapacity, 1.0, 0.0 },
      row{ "pool", 4, 2, 8, true, {}, waiting_reason::kFragmentation, 2.0, 2.0 },
      row{ "pool", 4, 1, 8, true, {}, waiting_reason::kFragmentation, 2.0, 1.0 },
      row{ "pool", 4, 4, 1, false, 0.0, waiting_reason::kHeadroom, 2.0, 0.0 });
  CAPTURE(tasks, accelerators, ToString(reason));
  auto input = Fleet(free);
  auto group = Group(tasks, accelerators, gang);
  group.mPool = pool;
  input.mGroups.push_back(group);
  if (allowance) {
    input.mAllowances[{ "pool", 1 }] = *allowance;
  }
  const auto plan = PlaceTasks(input);
  REQUIRE(plan.mWaiting == std::vector<size_t>{ 0 });
  CHECK(ExplainWaiting(input, plan, 0) == reason);
  const auto report = ReportCapacity(input, plan);
  CHECK(report.mFree == Approx(freeWorkers));
  CHECK(report.mFragmented == Approx(fragmented));
}

TEST_CASE("started and reserved tasks are not free", "[placement]")
{
  auto input = Fleet(8);
  input.mGroups.push_back(Group(3, 8, false));
  placement_plan plan;
  plan.mStarts = { { 0, 0, 0 } };
  plan.mReserved = { { 0, 1 } };
  CHECK(ReportCapacity(input, plan).mFree == Approx(2.0));
}

TEST_CASE("the report tells that no rack can be cleared for a gang", "[placement]")
{
  struct row
  {
    uint32_t mTasks;
    bool mGuaranteed;
    bool mMaySpanRacks;
    size_t mFirstOfOthers; // Worker of the first run that may be stopped.
    waiting_reason mReason;
  };
  const auto [tasks, guaranteed, maySpanRacks, firstOfOthers, reason] =
    GENERATE(row{ 2, true, false, 0, waiting_reason::kNoClearableRack },
             row{ 2, true, true, 0, waiting_reason::kCapacity },
             row{ 2, false, false, 0, waiting_reason::kCapacity },
             row{ 2, true, false, 2, waiting_reason::kCapacity },
             row{ 3, true, false, 0, waiting_reason::kCapacity });
  CAPTURE(tasks, guaranteed, maySpanRacks, firstOfOthers);
  auto input = Fleet(0);
  auto group = Group(tasks, 8, true);
  group.mPriority = 0;
  group.mSpec.mSameRack = true;
  group.mMayPreempt = true;
  group.mGuaranteed = guaranteed;
  group.mMaySpanRacks = maySpanRacks;
  input.mGroups.push_back(group);
  for (size_t worker = firstOfOthers; worker < 4; worker += 2) {
    preemption_unit unit;
    unit.mResourcesByWorker.emplace_back(worker, input.mWorkers[worker].mTotal);
    input.mPreemptionUnits.push_back(unit); // One in each rack.
  }
  const auto plan = PlaceTasks(input);
  REQUIRE(plan.mWaiting == std::vector<size_t>{ 0 });
  CHECK(ExplainWaiting(input, plan, 0) == reason);
}
