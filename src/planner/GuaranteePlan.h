#pragma once

#include "config/FleetConfig.h"
#include "planner/PlannerTypes.h"

#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** One guaranteed shape and the workers reserved for it. */
struct planned_shape
{
  shape_id mId;
  gang_shape mShape;
  placement mReserved;
  bool mBacked = false; ///< Whether the fleet can currently hold it.

  auto operator<=>(const planned_shape&) const = default;
};

/**
 * Reservations of workers for all guaranteed shapes. Reservations do not overlap, and
 * any other gang on reserved capacity can be reclaimed. All backed shapes can therefore
 * be assembled at the same time. Immutable value.
 */
class guarantee_plan
{
public:
  guarantee_plan() = default;

  /**
   * Plans the shapes that aConfig guarantees in aDataCentre. Keeps the reservations of
   * aPrevious unless a shape would then remain unbacked, and never moves the part of a
   * shape that is in use; see Demoted for the exception. Pure.
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
   * Returns the gangs that lose their guarantee because their shape can only be backed
   * on other workers; they become borrowers. Happens only after a loss of workers.
   */
  const std::vector<std::string>& Demoted() const { return mDemoted; }

  /** Returns the shapes that the fleet cannot currently hold. */
  std::vector<shape_id> Unbacked() const;

  /** Returns a copy of the plan with aReserved as the reservation of aId. */
  guarantee_plan WithReservation(const shape_id& aId, const placement& aReserved) const;

private:
  std::vector<planned_shape> mShapes;
  std::vector<std::string> mDemoted;
};

/**
 * Returns per worker the resources that are unavailable to shapes: those of gangs that
 * cannot be reclaimed and do not belong to one of aShapes. Pure.
 */
worker_amounts UnreclaimableOutside(const fleet_view& aFleet,
                                    const std::vector<running_gang>& aRunning,
                                    const std::vector<planned_shape>& aShapes);

/**
 * Returns aRunning without the guarantees of gangs that, after a configuration change,
 * no longer fit the shape in which they were started. Pure.
 */
std::vector<running_gang> WithValidGuarantees(
  std::vector<running_gang> aRunning,
  const std::vector<planned_shape>& aShapes);

/**
 * Checks that aFleet can hold every shape of aConfig beside the gangs of aRunning that
 * cannot be reclaimed. Fails with kInvalid and the first shape that does not fit.
 */
status CheckGuaranteesFit(const fleet_view& aFleet,
                          const fleet_config& aConfig,
                          const std::string& aDataCentre,
                          const std::vector<running_gang>& aRunning);

} // namespace anvildoor
