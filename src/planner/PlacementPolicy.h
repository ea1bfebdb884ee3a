#pragma once

#include "config/FleetConfig.h"
#include "planner/GuaranteePlan.h"
#include "planner/PlannerTypes.h"

#include <string>
#include <vector>

namespace anvildoor {

/** Everything that one decision may depend on. */
struct planner_input
{
  const fleet_view& mFleet;
  const fleet_config& mConfig;
  std::string mDataCentre;
  std::vector<running_gang> mRunning;
  std::vector<waiting_job> mWaiting;
  time_point mNow{};
};

/** What to start, in order, and why the other jobs wait. */
struct planner_decision
{
  std::vector<start_decision> mStarts;
  std::vector<wait_decision> mWaits;
  std::vector<std::string> mDemoted; ///< Gangs that are borrowers from now on.

  auto operator<=>(const planner_decision&) const = default;
};

/** Decides which waiting jobs start, where, and at whose expense. Not thread-safe. */
class placement_policy
{
public:
  virtual ~placement_policy() = default;

  /** Depends on nothing but aInput and earlier decisions; does no I/O. */
  planner_decision Decide(const planner_input& aInput) { return OnDecide(aInput); }

  /** Returns the guarantees as of the latest decision. */
  virtual const guarantee_plan& Plan() const = 0;

  /** Returns the racks that are kept clear for large gangs. */
  virtual const std::vector<rack_reservation>& Reservations() const = 0;

protected:
  virtual planner_decision OnDecide(const planner_input& aInput) = 0;
};

} // namespace anvildoor
