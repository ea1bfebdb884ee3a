#include "planner/RackPatience.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace anvildoor;

namespace {

constexpr time_point kStart{ 100'000 };
constexpr duration kReclaimBound{ 2'900 };

/** Returns 2 racks of 4 workers, of which aUsed in all are in use, and a waiting gang.
 */
placement_input WaitingGang(size_t aUsed, uint32_t aTasks, bool aSameRack)
{
  placement_input input;
  for (size_t number = 0; number < 8; ++number) {
    placement_worker worker;
    worker.mId = "w" + std::to_string(number);
    worker.mPool = "pool";
    worker.mRack = "r" + std::to_string(number % 2);
    worker.mTotal = { 32'000, 64'000, 8 };
    worker.mFree = number < aUsed ? task_resources() : worker.mTotal;
    if (number < aUsed) {
      worker.mLoadByPriority[2] = 1.0;
    }
    input.mWorkers.push_back(worker);
  }
  placement_group group;
  group.mJob = "job";
  group.mPool = "pool";
  group.mSpec.mCount = aTasks;
  group.mSpec.mPerTask = { 1'000, 1'000, 8 };
  group.mSpec.mGang = true;
  group.mSpec.mSameRack = aSameRack;
  group.mIndices.resize(aTasks);
  std::iota(group.mIndices.begin(), group.mIndices.end(), 0U);
  input.mGroups.push_back(group);
  return input;
}

} // namespace

TEST_CASE("a gang's rights grow while it waits although the fleet has room",
          "[placement]")
{
  struct row
  {
    size_t mUsed; // Workers of 8.
    uint32_t mTasks;
    bool mSameRack;
    int64_t mWaitedMs;
    bool mMayClearRack;
    bool mMaySpanRacks;
  };
  const auto [used, tasks, sameRack, waitedMs, mayClearRack, maySpanRacks] =
    GENERATE(row{ 3, 4, true, 900, false, false },
             row{ 3, 4, true, 1'000, true, false },
             row{ 3, 4, true, 2'000, true, true },
             row{ 4, 4, true, 2'000, true, true },
             row{ 5, 3, true, 2'000, false, false }, // The fleet is busy.
             row{ 4, 5, true, 2'000, false, false }, // Too few are free in sum.
             row{ 3, 4, false, 2'000, false, false });
  CAPTURE(used, tasks, sameRack, waitedMs);
  rack_patience patience(kReclaimBound);
  auto input = WaitingGang(used, tasks, sameRack);
  placement_plan plan;
  plan.mWaiting = { 0 };
  patience.SetRights(input, kStart);
  CHECK_FALSE(input.mGroups.front().mMayClearRack);
  patience.Observe(input, plan, kStart);
  patience.Observe(input, plan, kStart + duration(500)); // The wait goes on.
  patience.SetRights(input, kStart + duration(waitedMs));
  CHECK(input.mGroups.front().mMayClearRack == mayClearRack);
  CHECK(input.mGroups.front().mMaySpanRacks == maySpanRacks);
}

TEST_CASE("a gang's wait begins anew once it was placed or the fleet was busy",
          "[placement]")
{
  const auto isPlaced = GENERATE(true, false);
  rack_patience patience(kReclaimBound);
  placement_plan waiting;
  waiting.mWaiting = { 0 };
  auto input = WaitingGang(3, 4, true);
  patience.Observe(input, waiting, kStart);
  const auto busy = WaitingGang(7, 4, true);
  patience.Observe(
    busy, isPlaced ? placement_plan() : waiting, kStart + duration(1'500));
  patience.Observe(input, waiting, kStart + duration(1'600));
  patience.SetRights(input, kStart + duration(2'500));
  CHECK_FALSE(input.mGroups.front().mMayClearRack);
}

// Guards against gangs that wait beside free workers while others are lost in full use.
TEST_CASE("the load of workers that take no tasks doesn't end a gang's patience",
          "[placement]")
{
  const bool acceptsTasks = GENERATE(true, false);
  CAPTURE(acceptsTasks);
  rack_patience patience(kReclaimBound);
  placement_plan waiting;
  waiting.mWaiting = { 0 };
  auto input = WaitingGang(5, 3, true); // Three workers are free, in two racks.
  for (auto& worker : input.mWorkers) {
    worker.mAcceptsTasks = worker.mLoadByPriority.empty() || acceptsTasks;
  }
  patience.Observe(input, waiting, kStart);
  patience.SetRights(input, kStart + duration(2'000));
  CHECK(input.mGroups.front().mMaySpanRacks != acceptsTasks);
}

// Guards against a guarantee that waits for a rack which nobody can clear.
TEST_CASE("a guaranteed gang may span racks after half of the bound on a busy fleet",
          "[placement]")
{
  struct row
  {
    bool mGuaranteed;
    bool mSameRack;
    int64_t mBoundMs;
    int64_t mWaitedMs;
    bool mMaySpanRacks;
  };
  const auto [guaranteed, sameRack, boundMs, waitedMs, maySpanRacks] =
    GENERATE(row{ true, true, 2'900, 1'449, false },
             row{ true, true, 2'900, 1'450, true },
             row{ true, true, 3'400, 1'699, false },
             row{ true, true, 3'400, 1'700, true },
             row{ true, false, 2'900, 10'000, false },
             row{ false, true, 2'900, 10'000, false });
  CAPTURE(guaranteed, sameRack, boundMs, waitedMs);
  rack_patience patience{ duration(boundMs) };
  auto input = WaitingGang(8, 4, sameRack);
  input.mGroups.front().mGuaranteed = guaranteed;
  placement_plan plan;
  plan.mWaiting = { 0 };
  patience.Observe(input, plan, kStart);
  patience.Observe(input, plan, kStart + duration(500));
  patience.SetRights(input, kStart + duration(waitedMs));
  CHECK(input.mGroups.front().mMaySpanRacks == maySpanRacks);
  CHECK_FALSE(input.mGroups.front().mMayClearRack);
  patience.Clear();
  input.mGroups.front().mMaySpanRacks = false;
  patience.SetRights(input, kStart + duration(waitedMs));
  CHECK_FALSE(input.mGroups.front().mMaySpanRacks);
}
