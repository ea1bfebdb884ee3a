#pragma once

#include "planner/PlacementPolicy.h"

namespace anvildoor {

/**
 * The production policy. Serves guaranteed shapes first and then lets workspaces borrow
 * free capacity in proportion to their weights. Gangs are placed by best fit per rack,
 * and racks are drained for large gangs that have waited longer than drain_after_ms.
 */
class planner : public placement_policy
{
public:
  const guarantee_plan& Plan() const override { return mPlan; }
  const std::vector<rack_reservation>& Reservations() const override
  {
    return mReservations;
  }

protected:
  planner_decision OnDecide(const planner_input& aInput) override;

private:
  guarantee_plan mPlan;
  std::vector<rack_reservation> mReservations;
};

} // namespace anvildoor
