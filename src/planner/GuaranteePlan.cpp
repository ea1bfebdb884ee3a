#include "planner/GuaranteePlan.h"

#include "planner/PlanBuilder.h"

#include <algorithm>
#include <map>
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

} // namespace

std::vector<running_gang> WithValidGuarantees(std::vector<running_gang> aRunning,
                                              const std::vector<planned_shape>& aShapes)
{
  std::map<shape_id, gang_shape> configuredShapes;
  for (const auto& shape : aShapes) {
    configuredShapes.emplace(shape.mId, shape.mShape);
  }
  for (auto& gang : aRunning) {
    if (!gang.mGuaranteed) {
      continue;
    }
    const auto found = configuredShapes.find(*gang.mGuaranteed);
    if (found == configuredShapes.end() ||
        !FitsIn(gang.mShape.mPerTask, found->second.mPerTask) ||
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

guarantee_plan guarantee_plan::WithReservation(const shape_id& aId,
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
