#pragma once

#include "planner/PlacementPolicy.h"

namespace anvildoor {

/**
 * The baseline: first come, first served, first fit, no draining. Guarantees are kept
 * in the plainest way: a job that fits an idle shape of its workspace evicts whatever
 * borrows there, and jobs that do not fit are passed over.
 */
class first_fit_policy : public placement_policy
{
public:
  const guarantee_plan& Plan() const override { return mPlan; }
  const std::vector<rack_reservation>& Reservations() const override { return mNone; }

protected:
  planner_decision OnDecide(const planner_input& aInput) override;

private:
  guarantee_plan mPlan;
  std::vector<rack_reservation> mNone;
};

} // namespace anvildoor
