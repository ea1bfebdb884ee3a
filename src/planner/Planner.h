#pragma once

#include "planner/PlacementPolicy.h"

namespace anvildoor {

/**
 * The policy in production: guaranteed shapes first, fair borrowing beyond them, best
 * fit by rack, and racks drained for large gangs that have waited their bound.
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
