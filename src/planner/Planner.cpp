#include "planner/Planner.h"

#include "planner/PlanningRound.h"

namespace anvildoor {

const char* ToString(work_class aClass)
{
  switch (aClass) {
    case work_class::kUrgent:
      return "urgent";
    case work_class::kInteractive:
      return "interactive";
    case work_class::kBatch:
      return "batch";
  }
  return "batch";
}

planner_decision planner::OnDecide(const planner_input& aInput)
{
  const auto plan = guarantee_plan::Make(
    mPlan, aInput.mFleet, aInput.mConfig, aInput.mDataCentre, aInput.mRunning);
  planning_round round(aInput, plan, mReservations);
  auto decision = round.Run();
  decision.mDemoted = plan.Demoted();
  mPlan = round.Plan();
  mReservations = round.Reservations();
  return decision;
}

} // namespace anvildoor
