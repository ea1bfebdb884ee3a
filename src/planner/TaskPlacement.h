#pragma once

#include "jobs/JobState.h"
#include "planner/JobOutlook.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** A worker as the placement sees it. */
struct placement_worker
{
  std::string mId;
  std::string mPool;
  std::string mRack;
  std::set<std::string> mLabels;
  task_resources mFree;     ///< What no run occupies, those being stopped included.
  task_resources mFreeing;  ///< What runs being stopped will leave.
  task_resources mWhole;    ///< What it has when nothing runs.
  bool mOpen = true;        ///< Takes new starts.
  double mReluctance = 0.0; ///< Of two workers that fit, the lower one is taken.

  auto operator<=>(const placement_worker&) const = default;
};

/** The tasks of one step that wait for a worker now. */
struct placement_group
{
  std::string mJob;
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;
  std::vector<uint32_t> mIndices;
  step_spec mSpec;
  std::string mPool;
  int64_t mPriority = 0;
  job_outlook mOutlook = job_outlook::kOnTime;
  bool mMayPreempt = false; ///< Stops runs of higher mPriority numbers.
  bool mGuaranteed = false; ///< Within its workspace's guarantee.
  bool mMaySpread = false;  ///< mSameRack has waited long enough to give way.
  std::map<std::string, uint32_t> mAlready; ///< Tasks of the occurrence by worker.
  /** Workers whose room the last round kept for it, one entry a seat. */
  std::vector<std::string> mReserved;
  /** Workers to use only if no other has room, by index. */
  std::map<uint32_t, std::set<std::string>> mAvoid;

  auto operator<=>(const placement_group&) const = default;
};

/** Runs that end together when one of them is stopped: a gang, or one task. */
struct placed_unit
{
  task_ref mTask; ///< Of a gang, its first member.
  int64_t mPriority = 0;
  bool mGuaranteed = false;
  double mLoss = 0.0; ///< Core-seconds that a stop would throw away.
  std::vector<std::pair<size_t, task_resources>> mParts; ///< By worker.

  auto operator<=>(const placed_unit&) const = default;
};

struct placement_input
{
  std::vector<placement_worker> mWorkers;
  std::vector<placement_group> mGroups; ///< In the order in which they are served.
  std::vector<placed_unit> mUnits;      ///< Those that may be stopped.

  auto operator<=>(const placement_input&) const = default;
};

struct placement
{
  size_t mGroup = 0;
  uint32_t mIndex = 0;
  size_t mWorker = 0;

  auto operator<=>(const placement&) const = default;
};

/** Room that is or becomes free and is kept for a group that waits. */
struct reservation
{
  size_t mGroup = 0;
  size_t mWorker = 0;

  auto operator<=>(const reservation&) const = default;
};

struct placement_plan
{
  std::vector<placement> mStarts;
  std::vector<reservation> mReserved; ///< To be handed in with the next round.
  std::vector<size_t> mStops;         ///< Units to stop so that a group fits.
  std::vector<size_t> mWaiting;       ///< Groups of which something was not placed.

  auto operator<=>(const placement_plan&) const = default;
};

/**
 * Places what fits, group by group. A gang goes whole or not at all, into one rack if
 * it asks for that; single tasks go where they fit best. A group that may preempt and
 * does not fit gets the room of the cheapest runs of lower priority: they are named to
 * be stopped and their room is kept for it. The next round keeps the same room for it
 * and lets no other group have it: else the room goes to small tasks, which the round
 * after stops again. Pure and deterministic. Thread-safe.
 */
placement_plan PlaceTasks(const placement_input& aInput);

} // namespace anvildoor
