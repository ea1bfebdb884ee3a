#pragma once

#include "anvildoor/Time.h"

#include <cstdint>
#include <map>

namespace anvildoor {

/** The load of a simulated day. */
struct placement_day
{
  uint32_t mSeed = 1;
  size_t mRacks = 5; ///< Of 20 workers with 32 cores and 8 accelerators each.
  /** Factor on the arrival rates; at 1, work for 0.94 of all accelerators arrives. */
  double mLoad = 1.0;
  bool mUsesHeadroom = true; ///< Limits what lower priorities may take.
  duration mLength{ 41'000 };
  double mUrgentLoad = 1.0;         ///< Factor on the arrivals of urgent gangs.
  bool mUsesShortagePolicy = false; ///< Orders and stops by what callers lose.

  auto operator<=>(const placement_day&) const = default;
};

/** What the callers of one priority got. */
struct placement_day_class
{
  size_t mJobs = 0;
  size_t mOnTime = 0;           ///< Completed within the objective.
  size_t mDone = 0;             ///< Completed before the simulation ended.
  double mStartWaitP95Ms = 0.0; ///< From arrival to the first start.
  size_t mLargeJobs = 0;        ///< The tenth that needs the most work.
  size_t mLargeOnTime = 0;
};

struct placement_day_result
{
  /** Callers' results by priority. */
  std::map<int64_t, placement_day_class> mClasses;
  size_t mPreemptedRuns = 0;
  /** Core-seconds of preempted runs as a fraction of all of the day. */
  double mLostShare = 0.0;
};

/**
 * Plays a day on the placement code alone, without a network: urgent gangs (priority
 * 0), large gangs (1) and many small single tasks (2) arrive at random, with the mix,
 * sizes and run times of a fleet that is nearly full. Deterministic for a seed.
 */
placement_day_result PlayPlacementDay(const placement_day& aDay);

} // namespace anvildoor
