#pragma once

#include "planner/TaskPlacement.h"

#include <vector>

namespace anvildoor {

/**
 * Decisions for rounds that find too little room: who waits, and what a stop costs. The
 * load that they answer is a burst of important work on workers that are full. All
 * functions are pure and thread-safe.
 */

/** What the callers of a run stand to lose if it is stopped. */
struct stop_effect
{
  /** Until its job must start over to be on time; negative: that would be late. */
  duration mSlackOfRestart{ 0 };
  duration mElapsed{ 0 };    ///< How long the run has gone on.
  double mCoreSeconds = 0.0; ///< Expected work of the run, from its start to its end.
  bool mKeepsWork = false;   ///< It writes a checkpoint when it is stopped.

  auto operator<=>(const stop_effect&) const = default;
};

/**
 * Returns the rank of a group among those of its priority that can be on time, the most
 * urgent first: the slack that it has left, in seconds, times the root of the work that
 * it needs, in core-seconds. Small work goes first, as others wait least for it, and
 * work of any size comes to the front as its slack runs out.
 */
double DelayIndex(const placement_group& aGroup);

/**
 * Sorts groups that compete for too little room so that what waits loses least for its
 * callers. Priority, guarantee and forecast outrank all else; then come, of those that
 * can be on time, DelayIndex, and of those that are late, the time until they have no
 * value. Groups that compare equal keep their order. Returns whether the order changed.
 */
bool OrderForShortage(std::vector<placement_group>& aGroups);

/**
 * Returns how long a group with this slack waits for runs to end by themselves before
 * it stops any: at most what a stop may take, as it gains nothing by a stop until then.
 */
duration PatienceFor(duration aSlack);

/** Returns the core-seconds that a run has to do again if it is stopped. */
double WorkLostBy(const stop_effect& aEffect, double aCores);

/**
 * Returns the core-seconds of work that a stop makes late for its callers: all of the
 * run if it would have been on time and no longer can be, otherwise 0.
 */
double WorkMadeLateBy(const stop_effect& aEffect);

} // namespace anvildoor
