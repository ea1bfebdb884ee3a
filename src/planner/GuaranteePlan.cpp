#include "planner/GuaranteePlan.h"

#include "planner/Packing.h"

#include <algorithm>
#include <set>

namespace anvildoor {

namespace {

std::vector<planned_shape> ListShapes(const fleet_config& aConfig,
                                      const std::string& aDataCentre)
{
  std::vector<planned_shape> shapes;
  for (const auto& [name, workspace] : aConfig.mWorkspaces) {
    if (!workspace.mDataCentre.empty() && workspace.mDataCentre != aDataCentre) {
      continue;
    }
    for (size_t index = 0; index < workspace.mGuarantees.size(); ++index) {
      const auto& item = workspace.mGuarantees[index];
      for (int64_t copy = 0; copy < item.mCount; ++copy) {
        const shape_id id{ name, static_cast<int64_t>(index), copy };
        shapes.push_back({ id, item.mShape, {}, false });
      }
    }
  }
  return shapes;
}

/** Returns how many tasks' worth of a shape hold the amount in use on one worker. */
int64_t SlotsHolding(const resources& aPerTask, const resources& aUsed)
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

/** Builds one plan; the working state of guarantee_plan::Make. */
class plan_builder
{
public:
  plan_builder(const fleet_view& aFleet,
               std::vector<planned_shape> aShapes,
               const std::vector<running_gang>& aRunning)
    : mFleet(aFleet)
    , mShapes(std::move(aShapes))
    , mTaken(UnreclaimableOutside(aFleet, aRunning, mShapes))
  {
    for (const auto& gang : aRunning) {
      if (gang.mGuaranteed) {
        mUsers[*gang.mGuaranteed].push_back(&gang);
      }
    }
  }

  /**
   * Keeps as much of aPrevious as it can. Reservations that are in each other's way
   * are planned afresh: first the unused shapes, then also what used ones do not use.
   * What a loss of workers has left in the way is demoted as the last resort.
   */
  std::vector<planned_shape> Build(const guarantee_plan& aPrevious)
  {
    mAllShapes = mShapes;
    mAllTaken = mTaken;
    auto best = BestAttempt(aPrevious);
    if (IsWhole(best)) {
      return best;
    }
    const auto users = mUsers;
    for (const bool onlyUnbacked : { true, false }) {
      mUsers = users;
      auto demoted = DropRestartableUsers(best, onlyUnbacked);
      auto other = BestAttempt(aPrevious);
      if (Backed(other) > Backed(best)) {
        mDemoted = std::move(demoted);
        return other;
      }
    }
    return best;
  }

  /** Returns the gangs whose guarantee is now held elsewhere. */
  const std::vector<std::string>& Demoted() const { return mDemoted; }

private:
  /** One way to go about a plan. */
  struct strategy
  {
    bool mKeepUsed = false;
    bool mKeepUnused = false;
    bool mRackFirst = true;
    bool mSpread = false;
  };

  /** Tries the least disturbing way first, and others only while shapes are missing. */
  std::vector<planned_shape> BestAttempt(const guarantee_plan& aPrevious)
  {
    static constexpr strategy kStrategies[] = {
      { true, true, true, false },   { true, false, true, false },
      { false, false, true, false }, { false, false, false, false },
      { false, false, true, true },  { false, false, false, true },
    };
    std::vector<planned_shape> best;
    for (const auto& way : kStrategies) {
      auto other = Attempt(aPrevious, way);
      if (best.empty() || Backed(other) > Backed(best)) {
        best = std::move(other);
      }
      if (IsWhole(best)) {
        break;
      }
    }
    return best;
  }

  std::vector<planned_shape> Attempt(const guarantee_plan& aPrevious,
                                     const strategy& aStrategy)
  {
    mShapes = mAllShapes;
    mTaken = mAllTaken;
    mStrategy = aStrategy;
    PlaceUsed(aStrategy.mKeepUsed ? aPrevious : guarantee_plan());
    if (aStrategy.mKeepUnused) {
      KeepUnused(aPrevious);
    }
    PlaceMissing();
    return mShapes;
  }

  /** Makes borrowers of gangs that can be restarted in their shape wherever it is. */
  std::vector<std::string> DropRestartableUsers(
    const std::vector<planned_shape>& aShapes,
    bool aOnlyUnbacked)
  {
    std::vector<std::string> demoted;
    for (const auto& shape : aShapes) {
      const auto users = mUsers.find(shape.mId);
      const bool restartable =
        users != mUsers.end() &&
        std::all_of(users->second.begin(), users->second.end(), [](const auto* aGang) {
          return aGang->mRestartable;
        });
      if (!restartable || (aOnlyUnbacked && shape.mBacked)) {
        continue;
      }
      for (const auto* gang : users->second) {
        demoted.push_back(gang->mJob);
      }
      mUsers.erase(users);
    }
    return demoted;
  }

  static bool IsWhole(const std::vector<planned_shape>& aShapes)
  {
    return Backed(aShapes) == static_cast<int64_t>(aShapes.size());
  }

  static int64_t Backed(const std::vector<planned_shape>& aShapes)
  {
    return std::count_if(aShapes.begin(), aShapes.end(), [](const auto& aShape) {
      return aShape.mBacked;
    });
  }

  resources Spare(size_t aWorker) const
  {
    const auto& worker = mFleet.At(aWorker);
    return worker.mUsable ? worker.mCapacity - mTaken.At(aWorker) : resources{};
  }

  /** Returns whether aReserved can be held, aUsed of which is already taken. */
  bool Holds(const planned_shape& aShape,
             const placement& aReserved,
             const placement& aUsed) const
  {
    int64_t tasks = 0;
    std::set<size_t> racks;
    for (const auto& part : aReserved) {
      const size_t index = mFleet.Find(part.mWorker);
      const int64_t missing = part.mTasks - TasksOn(aUsed, part.mWorker);
      if (index >= mFleet.Size() || missing < 0 ||
          !FitsIn(aShape.mShape.mPerTask * missing, Spare(index))) {
        return false;
      }
      tasks += part.mTasks;
      racks.insert(mFleet.RackOf(index));
    }
    const bool covered =
      std::all_of(aUsed.begin(), aUsed.end(), [&](const auto& aPart) {
        return TasksOn(aReserved, aPart.mWorker) >= aPart.mTasks;
      });
    const bool adjacent =
      aShape.mShape.mAdjacency == adjacency::kAny || racks.size() <= 1;
    return covered && tasks >= aShape.mShape.mTasks && adjacent;
  }

  static int64_t TasksOn(const placement& aPlacement, const std::string& aWorker)
  {
    int64_t tasks = 0;
    for (const auto& part : aPlacement) {
      tasks += part.mWorker == aWorker ? part.mTasks : 0;
    }
    return tasks;
  }

  void Reserve(planned_shape& aShape, const placement& aReserved)
  {
    aShape.mReserved = aReserved;
    aShape.mBacked = true;
    mTaken.AddGang(mFleet, aShape.mShape, aReserved);
  }

  /** Plans the shapes in use; what runs in them stays where it is. */
  void PlaceUsed(const guarantee_plan& aPrevious)
  {
    std::vector<planned_shape*> used;
    for (auto& shape : mShapes) {
      if (mUsers.count(shape.mId) != 0) {
        shape.mReserved = SlotsInUse(shape);
        mTaken.AddGang(mFleet, shape.mShape, shape.mReserved);
        used.push_back(&shape);
      }
    }
    // Only now is it known what none of them may extend into.
    for (auto* shape : used) {
      const auto* previous = aPrevious.Find(shape->mId);
      if (previous != nullptr && previous->mShape == shape->mShape &&
          Holds(*shape, previous->mReserved, shape->mReserved)) {
        mTaken.SubtractGang(mFleet, shape->mShape, shape->mReserved);
        Reserve(*shape, previous->mReserved);
      }
    }
  }

  void KeepUnused(const guarantee_plan& aPrevious)
  {
    for (auto& shape : mShapes) {
      const auto* previous = aPrevious.Find(shape.mId);
      if (mUsers.count(shape.mId) == 0 && previous != nullptr && previous->mBacked &&
          previous->mShape == shape.mShape && Holds(shape, previous->mReserved, {})) {
        Reserve(shape, previous->mReserved);
      }
    }
  }

  placement SlotsInUse(const planned_shape& aShape)
  {
    worker_amounts used(mFleet.Size());
    for (const auto* gang : mUsers[aShape.mId]) {
      used.AddGang(mFleet, gang->mShape, gang->mPlacement);
    }
    placement slots;
    for (size_t worker = 0; worker < mFleet.Size(); ++worker) {
      const int64_t count = SlotsHolding(aShape.mShape.mPerTask, used.At(worker));
      if (count > 0) {
        slots.push_back({ mFleet.At(worker).mId, count });
      }
    }
    return slots;
  }

  /** Reserves what a shape in use lacks, next to what is used. */
  bool PlaceRest(planned_shape& aShape)
  {
    auto rest = aShape.mShape;
    for (const auto& part : aShape.mReserved) {
      rest.mTasks -= part.mTasks;
    }
    if (rest.mTasks <= 0) {
      return true;
    }
    const bool sameRack =
      aShape.mShape.mAdjacency == adjacency::kRack && !aShape.mReserved.empty();
    const size_t home = sameRack ? mFleet.Find(aShape.mReserved.front().mWorker) : 0;
    const auto spare = [&](size_t aWorker) {
      const bool usable = !sameRack || mFleet.RackOf(aWorker) == mFleet.RackOf(home);
      return usable ? Spare(aWorker) : resources{};
    };
    const auto packed = PackGang(mFleet, { rest, spare, {}, mStrategy.mSpread });
    if (!packed) {
      return false;
    }
    mTaken.AddGang(mFleet, aShape.mShape, *packed);
    for (const auto& part : *packed) {
      aShape.mReserved.push_back(part);
    }
    return true;
  }

  /** Places what is missing of every shape, the hardest to place first. */
  void PlaceMissing()
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
      shape->mBacked = PlaceRest(*shape);
    }
  }

  const fleet_view& mFleet;
  std::vector<planned_shape> mShapes;
  worker_amounts mTaken;
  std::vector<planned_shape> mAllShapes;
  worker_amounts mAllTaken{ 0 };
  std::vector<std::string> mDemoted;
  strategy mStrategy;
  std::map<shape_id, std::vector<const running_gang*>> mUsers;
};

} // namespace

std::vector<running_gang> WithValidGuarantees(std::vector<running_gang> aRunning,
                                              const std::vector<planned_shape>& aShapes)
{
  std::map<shape_id, gang_shape> left;
  for (const auto& shape : aShapes) {
    left.emplace(shape.mId, shape.mShape);
  }
  for (auto& gang : aRunning) {
    if (!gang.mGuaranteed) {
      continue;
    }
    const auto found = left.find(*gang.mGuaranteed);
    if (found == left.end() || !FitsIn(gang.mShape.mPerTask, found->second.mPerTask) ||
        gang.mShape.mTasks > found->second.mTasks) {
      gang.mGuaranteed.reset();
    }
  }
  return aRunning;
}

guarantee_plan guarantee_plan::Make(const guarantee_plan& aPrevious,
                                    const fleet_view& aFleet,
                                    const fleet_config& aConfig,
                                    const std::string& aDataCentre,
                                    const std::vector<running_gang>& aRunning)
{
  guarantee_plan plan;
  auto shapes = ListShapes(aConfig, aDataCentre);
  const auto running = WithValidGuarantees(aRunning, shapes);
  plan_builder builder(aFleet, std::move(shapes), running);
  plan.mShapes = builder.Build(aPrevious);
  plan.mDemoted = builder.Demoted();
  return plan;
}

const planned_shape* guarantee_plan::Find(const shape_id& aId) const
{
  const auto found = std::lower_bound(
    mShapes.begin(), mShapes.end(), aId, [](const auto& aShape, const auto& aWanted) {
      return aShape.mId < aWanted;
    });
  return found != mShapes.end() && found->mId == aId ? &*found : nullptr;
}

std::vector<shape_id> guarantee_plan::Unbacked() const
{
  std::vector<shape_id> ids;
  for (const auto& shape : mShapes) {
    if (!shape.mBacked) {
      ids.push_back(shape.mId);
    }
  }
  return ids;
}

guarantee_plan guarantee_plan::Moved(const shape_id& aId,
                                     const placement& aReserved) const
{
  guarantee_plan moved = *this;
  for (auto& shape : moved.mShapes) {
    if (shape.mId == aId) {
      shape.mReserved = aReserved;
    }
  }
  return moved;
}

worker_amounts UnreclaimableOutside(const fleet_view& aFleet,
                                    const std::vector<running_gang>& aRunning,
                                    const std::vector<planned_shape>& aShapes)
{
  std::set<shape_id> known;
  for (const auto& shape : aShapes) {
    known.insert(shape.mId);
  }
  worker_amounts outside(aFleet.Size());
  for (const auto& gang : aRunning) {
    const bool inShape = gang.mGuaranteed && known.count(*gang.mGuaranteed) != 0;
    if (!inShape && !gang.mRestartable) {
      outside.AddGang(aFleet, gang.mShape, gang.mPlacement);
    }
  }
  return outside;
}

status CheckGuaranteesFit(const fleet_view& aFleet,
                          const fleet_config& aConfig,
                          const std::string& aDataCentre,
                          const std::vector<running_gang>& aRunning)
{
  const auto plan =
    guarantee_plan::Make(guarantee_plan(), aFleet, aConfig, aDataCentre, aRunning);
  const auto unbacked = plan.Unbacked();
  if (unbacked.empty()) {
    return {};
  }
  const auto& id = unbacked.front();
  return Fail(error_code::kInvalid,
              "config.guarantees",
              "guarantees[" + std::to_string(id.mGuarantee) + "]",
              "copy " + std::to_string(id.mCopy) + " of workspace " + id.mWorkspace +
                " does not fit the fleet of " + aDataCentre);
}

} // namespace anvildoor
