#pragma once

#include "planner/TaskPlacement.h"

namespace anvildoor {

/** Capacity after a placement round, in units of workers. */
struct capacity_report
{
  double mFree = 0.0;    ///< Free on workers that accept tasks, less reservations.
  double mWaiting = 0.0; ///< Needed by the tasks that wait.
  /** Free, enough in sum for a waiting gang, but not placed where it could be used. */
  double mFragmented = 0.0;

  auto operator<=>(const capacity_report&) const = default;
};

/** Why a group was not placed completely. */
enum class waiting_reason
{
  kNoEligibleWorker, ///< No worker of the pool accepts tasks or has the label.
  kHeadroom,         ///< The capacity is kept for tasks of higher priority.
  kCapacity,         ///< Less is free in sum than the group needs.
  kFragmentation,    ///< Enough is free, but not on suitable workers or in one rack.
  kNoClearableRack,  ///< Stops could free enough, but not in one rack.
};

const char* ToString(waiting_reason aReason);

/** Sums up the capacity after aPlan, which must be for aInput. Pure; thread-safe. */
capacity_report ReportCapacity(const placement_input& aInput,
                               const placement_plan& aPlan);

/**
 * Returns why aGroup, one of aPlan.mWaiting, waits. aPlan must be for aInput. Pure;
 * thread-safe.
 */
waiting_reason ExplainWaiting(const placement_input& aInput,
                              const placement_plan& aPlan,
                              size_t aGroup);

} // namespace anvildoor
