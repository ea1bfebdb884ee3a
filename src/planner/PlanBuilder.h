#pragma once

#include "planner/GuaranteePlan.h"

#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** Builds the reservations of one guarantee_plan. Not thread-safe. */
class plan_builder
{
public:
  /** aFleet and aRunning must outlive the builder. */
  plan_builder(const fleet_view& aFleet,
               std::vector<planned_shape> aShapes,
               const std::vector<running_gang>& aRunning);

  /**
   * Keeps as much of aPrevious as possible. If shapes remain unbacked, replans the
   * unused shapes, then also the unused parts of shapes in use. As the last resort,
   * demotes restartable gangs, which is needed only after a loss of workers.
   */
  std::vector<planned_shape> Build(const guarantee_plan& aPrevious);

  /** Returns the gangs that became borrowers; see guarantee_plan::Demoted. */
  const std::vector<std::string>& Demoted() const { return mDemoted; }

private:
  /** Options of one planning attempt. */
  struct strategy
  {
    bool mKeepUsed = false;
    bool mKeepUnused = false;
    bool mRackFirst = true;
    bool mSpreadEvenly = false;
  };

  std::vector<planned_shape> TryStrategies(const guarantee_plan& aPrevious);
  std::vector<planned_shape> TryStrategy(const guarantee_plan& aPrevious,
                                         const strategy& aStrategy);
  std::vector<std::string> DemoteRestartableGangs(
    const std::vector<planned_shape>& aShapes,
    bool aOnlyUnbacked);
  static bool IsFullyBacked(const std::vector<planned_shape>& aShapes);
  static int64_t CountBacked(const std::vector<planned_shape>& aShapes);
  resources SpareOn(size_t aWorker) const;
  bool CanReserve(const planned_shape& aShape,
                  const placement& aReserved,
                  const placement& aUsed) const;
  static int64_t TasksOn(const placement& aPlacement, const std::string& aWorker);
  void Reserve(planned_shape& aShape, const placement& aReserved);
  void PlaceShapesInUse(const guarantee_plan& aPrevious);
  void KeepUnusedReservations(const guarantee_plan& aPrevious);
  placement SlotsInUse(const planned_shape& aShape);
  bool PlaceRemainder(planned_shape& aShape);
  void PlaceMissing();

  const fleet_view& mFleet;
  std::vector<planned_shape> mShapes;
  worker_amounts mUnavailable;
  std::vector<planned_shape> mInitialShapes;
  worker_amounts mInitialUnavailable{ 0 };
  std::vector<std::string> mDemoted;
  strategy mStrategy;
  std::map<shape_id, std::vector<const running_gang*>> mGangsByShape;
};

} // namespace anvildoor
