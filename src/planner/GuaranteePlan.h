#pragma once

#include "config/FleetConfig.h"
#include "planner/PlannerTypes.h"

#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** One guaranteed shape and the workers on which it can be assembled. */
struct planned_shape
{
  shape_id mId;
  gang_shape mShape;
  placement mReserved;
  bool mBacked = false; ///< False: the fleet cannot hold it at present.

  auto operator<=>(const planned_shape&) const = default;
};

/**
 * A concrete reservation for every guaranteed shape. Reservations never overlap, and
 * whatever runs inside a foreign reservation can be reclaimed; so every backed shape
 * can be assembled, all at once. Immutable value.
 */
class guarantee_plan
{
public:
  guarantee_plan() = default;

  /**
   * Plans the shapes that aConfig guarantees in aDataCentre. A reservation of
   * aPrevious is kept while it holds; shapes in use never move. Pure.
   */
  static guarantee_plan Make(const guarantee_plan& aPrevious,
                             const fleet_view& aFleet,
                             const fleet_config& aConfig,
                             const std::string& aDataCentre,
                             const std::vector<running_gang>& aRunning);

  /** Returns every shape, backed or not. */
  const std::vector<planned_shape>& Shapes() const { return mShapes; }

  /** Returns the shape with this id, or null. */
  const planned_shape* Find(const shape_id& aId) const;

  /**
   * Returns the gangs that ran in a shape which could only be backed elsewhere; they
   * are borrowers from now on. After a loss of workers only.
   */
  const std::vector<std::string>& Demoted() const { return mDemoted; }

  /** Returns the shapes that the fleet cannot hold at present. */
  std::vector<shape_id> Unbacked() const;

  /** Returns a plan in which aId is reserved at aReserved instead. */
  guarantee_plan Moved(const shape_id& aId, const placement& aReserved) const;

private:
  std::vector<planned_shape> mShapes;
  std::vector<std::string> mDemoted;
};

/**
 * Returns per worker what no shape may be planned on: gangs that can neither be
 * reclaimed nor belong to a shape of aPlan. Pure.
 */
worker_amounts UnreclaimableOutside(const fleet_view& aFleet,
                                    const std::vector<running_gang>& aRunning,
                                    const std::vector<planned_shape>& aShapes);

/**
 * Returns aRunning with the guarantee taken off those gangs that no longer fit the
 * shape they were started in, after a change of configuration. Pure.
 */
std::vector<running_gang> WithValidGuarantees(
  std::vector<running_gang> aRunning,
  const std::vector<planned_shape>& aShapes);

/** Checks that every shape of aConfig fits an empty aFleet; kInvalid names the shape.
 */
status CheckGuaranteesFit(const fleet_view& aFleet,
                          const fleet_config& aConfig,
                          const std::string& aDataCentre,
                          const std::vector<running_gang>& aRunning);

} // namespace anvildoor
