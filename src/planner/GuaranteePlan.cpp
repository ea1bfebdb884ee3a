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

  std::vector<planned_shape> Build(const guarantee_plan& aPrevious)
  {
    KeepUsed(aPrevious);
    const auto usedOnly = mTaken;
    const auto shapesUsedOnly = mShapes;
    KeepUnused(aPrevious);
    if (PlaceMissing()) {
      return mShapes;
    }
    // Unused shapes may be in the way of each other: plan all of them afresh.
    const auto incremental = mShapes;
    mTaken = usedOnly;
    mShapes = shapesUsedOnly;
    PlaceMissing();
    return Backed(mShapes) >= Backed(incremental) ? mShapes : incremental;
  }

private:
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

  bool Holds(const planned_shape& aShape, const placement& aReserved) const
  {
    int64_t tasks = 0;
    std::set<size_t> racks;
    for (const auto& part : aReserved) {
      const size_t index = mFleet.Find(part.mWorker);
      if (index >= mFleet.Size() ||
          !FitsIn(aShape.mShape.mPerTask * part.mTasks, Spare(index))) {
        return false;
      }
      tasks += part.mTasks;
      racks.insert(mFleet.RackOf(index));
    }
    const bool adjacent =
      aShape.mShape.mAdjacency == adjacency::kAny || racks.size() <= 1;
    return tasks == aShape.mShape.mTasks && adjacent;
  }

  void Reserve(planned_shape& aShape, const placement& aReserved)
  {
    aShape.mReserved = aReserved;
    aShape.mBacked = true;
    mTaken.AddGang(mFleet, aShape.mShape, aReserved);
  }

  void KeepUsed(const guarantee_plan& aPrevious)
  {
    for (auto& shape : mShapes) {
      const auto* previous = aPrevious.Find(shape.mId);
      const bool used = mUsers.count(shape.mId) != 0;
      if (!used) {
        continue;
      }
      if (previous != nullptr && previous->mShape == shape.mShape &&
          Holds(shape, previous->mReserved)) {
        Reserve(shape, previous->mReserved);
      } else {
        PlaceAroundUsers(shape);
      }
    }
  }

  void KeepUnused(const guarantee_plan& aPrevious)
  {
    for (auto& shape : mShapes) {
      const auto* previous = aPrevious.Find(shape.mId);
      if (mUsers.count(shape.mId) == 0 && previous != nullptr && previous->mBacked &&
          previous->mShape == shape.mShape && Holds(shape, previous->mReserved)) {
        Reserve(shape, previous->mReserved);
      }
    }
  }

  /** Plans a shape anew so that the gangs which run in it stay where they are. */
  void PlaceAroundUsers(planned_shape& aShape)
  {
    worker_amounts used(mFleet.Size());
    for (const auto* gang : mUsers[aShape.mId]) {
      used.AddGang(mFleet, gang->mShape, gang->mPlacement);
    }
    placement kept;
    int64_t missing = aShape.mShape.mTasks;
    for (size_t worker = 0; worker < mFleet.Size(); ++worker) {
      const int64_t slots = SlotsHolding(aShape.mShape.mPerTask, used.At(worker));
      if (slots > 0) {
        kept.push_back({ mFleet.At(worker).mId, slots });
        missing -= slots;
      }
    }
    mTaken.AddGang(mFleet, aShape.mShape, kept);
    aShape.mReserved = kept;
    aShape.mBacked = missing <= 0 || PlaceRest(aShape, missing);
  }

  bool PlaceRest(planned_shape& aShape, int64_t aMissing)
  {
    const bool sameRack =
      aShape.mShape.mAdjacency == adjacency::kRack && !aShape.mReserved.empty();
    const size_t home = sameRack ? mFleet.Find(aShape.mReserved.front().mWorker) : 0;
    auto rest = aShape.mShape;
    rest.mTasks = aMissing;
    const auto spare = [&](size_t aWorker) {
      const bool usable = !sameRack || mFleet.RackOf(aWorker) == mFleet.RackOf(home);
      return usable ? Spare(aWorker) : resources{};
    };
    const auto packed = PackGang(mFleet, { rest, spare, {} });
    if (!packed) {
      return false;
    }
    mTaken.AddGang(mFleet, aShape.mShape, *packed);
    for (const auto& part : *packed) {
      aShape.mReserved.push_back(part);
    }
    return true;
  }

  bool PlaceMissing()
  {
    std::vector<planned_shape*> missing;
    for (auto& shape : mShapes) {
      if (!shape.mBacked && mUsers.count(shape.mId) == 0) {
        missing.push_back(&shape);
      }
    }
    std::stable_sort(missing.begin(), missing.end(), [](auto* aLeft, auto* aRight) {
      const auto rank = [](const planned_shape& aShape) {
        return std::pair(aShape.mShape.mAdjacency == adjacency::kRack,
                         aShape.mShape.Accelerators());
      };
      return rank(*aLeft) > rank(*aRight);
    });
    bool all = true;
    for (auto* shape : missing) {
      const auto packed = PackGang(
        mFleet,
        { shape->mShape, [this](size_t aWorker) { return Spare(aWorker); }, {} });
      if (packed) {
        Reserve(*shape, *packed);
      } else {
        all = false;
      }
    }
    return all;
  }

  const fleet_view& mFleet;
  std::vector<planned_shape> mShapes;
  worker_amounts mTaken;
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
