#include "planner/PlanBuilder.h"

#include "planner/Packing.h"

#include <algorithm>
#include <set>

namespace anvildoor {

namespace {

/** Returns the number of task slots needed to cover the resources used on a worker. */
int64_t SlotsNeeded(const resources& aPerTask, const resources& aUsed)
{
  int64_t slots = 0;
  const auto bound = [&slots](int64_t aEach, int64_t aAmount) {
    if (aEach > 0 && aAmount > 0) {
      slots = std::max(slots, (aAmount + aEach - 1) / aEach);
    }
  };
  bound(aPerTask.mAccelerators, aUsed.mAccelerators);
  bound(aPerTask.mCores, aUsed.mCores);
  bound(aPerTask.mMemoryMb, aUsed.mMemoryMb);
  return slots;
}

} // namespace

plan_builder::plan_builder(const fleet_view& aFleet,
                           std::vector<planned_shape> aShapes,
                           const std::vector<running_gang>& aRunning)
  : mFleet(aFleet)
  , mShapes(std::move(aShapes))
  , mUnavailable(UnreclaimableOutside(aFleet, aRunning, mShapes))
{
  for (const auto& gang : aRunning) {
    if (gang.mGuaranteed) {
      mGangsByShape[*gang.mGuaranteed].push_back(&gang);
    }
  }
}

std::vector<planned_shape> plan_builder::Build(const guarantee_plan& aPrevious)
{
  mInitialShapes = mShapes;
  mInitialUnavailable = mUnavailable;
  auto best = TryStrategies(aPrevious);
  if (IsFullyBacked(best)) {
    return best;
  }
  const auto users = mGangsByShape;
  for (const bool onlyUnbacked : { true, false }) {
    mGangsByShape = users;
    auto demoted = DemoteRestartableGangs(best, onlyUnbacked);
    auto alternative = TryStrategies(aPrevious);
    if (CountBacked(alternative) > CountBacked(best)) {
      mDemoted = std::move(demoted);
      return alternative;
    }
  }
  return best;
}

/** Tries strategies, least disruptive first, until all shapes are backed. */
std::vector<planned_shape> plan_builder::TryStrategies(const guarantee_plan& aPrevious)
{
  static constexpr strategy kStrategies[] = {
    { true, true, true, false },   { true, false, true, false },
    { false, false, true, false }, { false, false, false, false },
    { false, false, true, true },  { false, false, false, true },
  };
  std::vector<planned_shape> best;
  for (const auto& candidate : kStrategies) {
    auto alternative = TryStrategy(aPrevious, candidate);
    if (best.empty() || CountBacked(alternative) > CountBacked(best)) {
      best = std::move(alternative);
    }
    if (IsFullyBacked(best)) {
      break;
    }
  }
  return best;
}

std::vector<planned_shape> plan_builder::TryStrategy(const guarantee_plan& aPrevious,
                                                     const strategy& aStrategy)
{
  mShapes = mInitialShapes;
  mUnavailable = mInitialUnavailable;
  mStrategy = aStrategy;
  PlaceShapesInUse(aStrategy.mKeepUsed ? aPrevious : guarantee_plan());
  if (aStrategy.mKeepUnused) {
    KeepUnusedReservations(aPrevious);
  }
  PlaceMissing();
  return mShapes;
}

/**
 * Demotes the gangs of shapes whose gangs can all be restarted, so that these shapes
 * may be planned on other workers. Skips backed shapes if aOnlyUnbacked is set. Returns
 * the jobs of the demoted gangs.
 */
std::vector<std::string> plan_builder::DemoteRestartableGangs(
  const std::vector<planned_shape>& aShapes,
  bool aOnlyUnbacked)
{
  std::vector<std::string> demoted;
  for (const auto& shape : aShapes) {
    const auto users = mGangsByShape.find(shape.mId);
    const bool restartable =
      users != mGangsByShape.end() &&
      std::all_of(users->second.begin(), users->second.end(), [](const auto* aGang) {
        return aGang->mRestartable;
      });
    if (!restartable || (aOnlyUnbacked && shape.mBacked)) {
      continue;
    }
    for (const auto* gang : users->second) {
      demoted.push_back(gang->mJob);
    }
    mGangsByShape.erase(users);
  }
  return demoted;
}

bool plan_builder::IsFullyBacked(const std::vector<planned_shape>& aShapes)
{
  return CountBacked(aShapes) == static_cast<int64_t>(aShapes.size());
}

int64_t plan_builder::CountBacked(const std::vector<planned_shape>& aShapes)
{
  return std::count_if(
    aShapes.begin(), aShapes.end(), [](const auto& aShape) { return aShape.mBacked; });
}

resources plan_builder::SpareOn(size_t aWorker) const
{
  const auto& worker = mFleet.At(aWorker);
  return worker.mUsable ? worker.mCapacity - mUnavailable.At(aWorker) : resources{};
}

/**
 * Returns whether aReserved fits and covers aUsed, the part of it that is in use and
 * already counted in mUnavailable.
 */
bool plan_builder::CanReserve(const planned_shape& aShape,
                              const placement& aReserved,
                              const placement& aUsed) const
{
  int64_t tasks = 0;
  std::set<size_t> racks;
  for (const auto& part : aReserved) {
    const size_t index = mFleet.Find(part.mWorker);
    const int64_t missing = part.mTasks - TasksOn(aUsed, part.mWorker);
    if (index >= mFleet.Size() || missing < 0 ||
        !FitsIn(aShape.mShape.mPerTask * missing, SpareOn(index))) {
      return false;
    }
    tasks += part.mTasks;
    racks.insert(mFleet.RackOf(index));
  }
  const bool covered = std::all_of(aUsed.begin(), aUsed.end(), [&](const auto& aPart) {
    return TasksOn(aReserved, aPart.mWorker) >= aPart.mTasks;
  });
  const bool adjacent =
    aShape.mShape.mAdjacency == adjacency::kAny || racks.size() <= 1;
  return covered && tasks >= aShape.mShape.mTasks && adjacent;
}

int64_t plan_builder::TasksOn(const placement& aPlacement, const std::string& aWorker)
{
  int64_t tasks = 0;
  for (const auto& part : aPlacement) {
    tasks += part.mWorker == aWorker ? part.mTasks : 0;
  }
  return tasks;
}

void plan_builder::Reserve(planned_shape& aShape, const placement& aReserved)
{
  aShape.mReserved = aReserved;
  aShape.mBacked = true;
  mUnavailable.AddGang(mFleet, aShape.mShape, aReserved);
}

/** Reserves the shapes in use on the workers of their running gangs. */
void plan_builder::PlaceShapesInUse(const guarantee_plan& aPrevious)
{
  std::vector<planned_shape*> used;
  for (auto& shape : mShapes) {
    if (mGangsByShape.count(shape.mId) != 0) {
      shape.mReserved = SlotsInUse(shape);
      mUnavailable.AddGang(mFleet, shape.mShape, shape.mReserved);
      used.push_back(&shape);
    }
  }
  // The reservations are extended only after the slots in use of all shapes are counted
  // in mUnavailable.
  for (auto* shape : used) {
    const auto* previous = aPrevious.Find(shape->mId);
    if (previous != nullptr && previous->mShape == shape->mShape &&
        CanReserve(*shape, previous->mReserved, shape->mReserved)) {
      mUnavailable.SubtractGang(mFleet, shape->mShape, shape->mReserved);
      Reserve(*shape, previous->mReserved);
    }
  }
}

void plan_builder::KeepUnusedReservations(const guarantee_plan& aPrevious)
{
  for (auto& shape : mShapes) {
    const auto* previous = aPrevious.Find(shape.mId);
    if (mGangsByShape.count(shape.mId) == 0 && previous != nullptr &&
        previous->mBacked && previous->mShape == shape.mShape &&
        CanReserve(shape, previous->mReserved, {})) {
      Reserve(shape, previous->mReserved);
    }
  }
}

placement plan_builder::SlotsInUse(const planned_shape& aShape)
{
  worker_amounts used(mFleet.Size());
  for (const auto* gang : mGangsByShape[aShape.mId]) {
    used.AddGang(mFleet, gang->mShape, gang->mPlacement);
  }
  placement slots;
  for (size_t worker = 0; worker < mFleet.Size(); ++worker) {
    const int64_t count = SlotsNeeded(aShape.mShape.mPerTask, used.At(worker));
    if (count > 0) {
      slots.push_back({ mFleet.At(worker).mId, count });
    }
  }
  return slots;
}

/** Reserves the missing tasks of a shape, in the rack in use if it needs adjacency. */
bool plan_builder::PlaceRemainder(planned_shape& aShape)
{
  auto remainder = aShape.mShape;
  for (const auto& part : aShape.mReserved) {
    remainder.mTasks -= part.mTasks;
  }
  if (remainder.mTasks <= 0) {
    return true;
  }
  const bool sameRack =
    aShape.mShape.mAdjacency == adjacency::kRack && !aShape.mReserved.empty();
  const size_t firstWorker =
    sameRack ? mFleet.Find(aShape.mReserved.front().mWorker) : 0;
  const auto spare = [&](size_t aWorker) {
    const bool usable =
      !sameRack || mFleet.RackOf(aWorker) == mFleet.RackOf(firstWorker);
    return usable ? SpareOn(aWorker) : resources{};
  };
  const auto packed =
    PackGang(mFleet, { remainder, spare, {}, mStrategy.mSpreadEvenly });
  if (!packed) {
    return false;
  }
  mUnavailable.AddGang(mFleet, aShape.mShape, *packed);
  for (const auto& part : *packed) {
    aShape.mReserved.push_back(part);
  }
  return true;
}

/** Completes the reservations of unbacked shapes, large or adjacent ones first. */
void plan_builder::PlaceMissing()
{
  std::vector<planned_shape*> missing;
  for (auto& shape : mShapes) {
    if (!shape.mBacked) {
      missing.push_back(&shape);
    }
  }
  std::stable_sort(missing.begin(), missing.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->mShape.Accelerators() > aRight->mShape.Accelerators();
  });
  if (mStrategy.mRackFirst) {
    std::stable_partition(missing.begin(), missing.end(), [](auto* aShape) {
      return aShape->mShape.mAdjacency == adjacency::kRack;
    });
  }
  for (auto* shape : missing) {
    shape->mBacked = PlaceRemainder(*shape);
  }
}

} // namespace anvildoor
