#pragma once

#include "config/FleetConfig.h"
#include "planner/GuaranteePlan.h"
#include "planner/PlannerTypes.h"

#include <string>
#include <vector>

namespace anvildoor {

/** The complete input of one decision. */
struct planner_input
{
  const fleet_view& mFleet;
  const fleet_config& mConfig;
  std::string mDataCentre;
  std::vector<running_gang> mRunning;
  std::vector<waiting_job> mWaiting;
  time_point mNow{};
};

/** The gangs to start, in order, and the reasons why the other jobs wait. */
struct planner_decision
{
  std::vector<start_decision> mStarts;
  std::vector<wait_decision> mWaits;
  std::vector<std::string> mDemoted; ///< Jobs whose gangs lose their guarantee.

  auto operator<=>(const planner_decision&) const = default;
};

/** Decides which jobs start, where, and which gangs are stopped. Not thread-safe. */
class placement_policy
{
public:
  virtual ~placement_policy() = default;

  /** Decides deterministically from aInput and earlier decisions. Does no I/O. */
  planner_decision Decide(const planner_input& aInput) { return OnDecide(aInput); }

  /** Returns the guarantees as of the latest decision. */
  virtual const guarantee_plan& Plan() const = 0;

  /** Returns the racks that are reserved for large gangs. */
  virtual const std::vector<rack_reservation>& Reservations() const = 0;

protected:
  virtual planner_decision OnDecide(const planner_input& aInput) = 0;
};

} // namespace anvildoor
