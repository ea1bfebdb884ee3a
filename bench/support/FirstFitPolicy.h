#pragma once

#include "planner/PlacementPolicy.h"

namespace anvildoor {

/**
 * The baseline policy: first come, first served, with first-fit placement and without
 * draining racks for large gangs. A job that matches an idle guaranteed shape of its
 * workspace preempts the borrowers there. Jobs that do not fit are skipped.
 */
class first_fit_policy : public placement_policy
{
public:
  const guarantee_plan& Plan() const override { return mPlan; }
  const std::vector<rack_reservation>& Reservations() const override
  {
    return mNoReservations;
  }

protected:
  planner_decision OnDecide(const planner_input& aInput) override;

private:
  guarantee_plan mPlan;
  std::vector<rack_reservation> mNoReservations;
};

} // namespace anvildoor
