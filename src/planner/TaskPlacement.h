#pragma once

#include "jobs/JobState.h"
#include "planner/CompletionForecast.h"
#include "planner/WorkerPace.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** A worker and its resources at the start of a placement round. */
struct placement_worker
{
  std::string mId;
  std::string mPool;
  std::string mRack;
  std::set<std::string> mLabels;
  /** Not occupied by any run. Runs being stopped still occupy their resources. */
  task_resources mFree;
  /** Released soon: runs that are being stopped or are about to end. */
  task_resources mReleasedByStops;
  task_resources mTotal;
  /** Share of this worker that runs take, by their priority. */
  std::map<int64_t, double> mLoadByPriority;
  bool mAcceptsTasks = true; ///< Accepts new runs.
  /** Added to the score, in cores; lower scores are preferred. */
  double mScorePenalty = 0.0;
  pace_class mPace = pace_class::kUsual;

  auto operator<=>(const placement_worker&) const = default;
};

/** The tasks of one step that currently wait for a worker. */
struct placement_group
{
  std::string mJob;
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;
  std::vector<uint32_t> mIndices;
  step_spec mSpec;
  std::string mPool;
  int64_t mPriority = 0;
  completion_forecast mForecast = completion_forecast::kOnTime;
  duration mSlack{ 0 };      ///< How long it can wait; see SlackOf.
  double mCoreSeconds = 0.0; ///< Expected work of its waiting tasks.
  /** How long it may wait for other runs to end before it stops them. */
  duration mPatience{ 0 };
  /**
   * May stop runs with a higher mPriority number; if mGuaranteed, also runs of the same
   * number that are not guaranteed.
   */
  bool mMayPreempt = false;
  bool mGuaranteed = false;   ///< Covered by the guarantee of its workspace.
  bool mMaySpanRacks = false; ///< Waited long enough to ignore mSameRack.
  /** May have single tasks of its priority or less important ones move elsewhere. */
  bool mMayClearRack = false;
  /**
   * The slowest workers on which it can be on time. If that excludes some, it gets the
   * quickest that hold it; otherwise it leaves those to others.
   */
  pace_class mMinPace = pace_class::kSlow;
  /** May leave slower workers unused while room on those is being made for it. */
  bool mMayWaitForPace = false;
  /** Number of placed tasks of the occurrence, by worker ID. */
  std::map<std::string, uint32_t> mPlacedByWorker;
  /** Workers on which the last round reserved capacity; one entry per task. */
  std::vector<std::string> mReserved;
  /** By task index: workers to use only if no other has capacity. */
  std::map<uint32_t, std::set<std::string>> mAvoidedByIndex;

  auto operator<=>(const placement_group&) const = default;
};

/** Runs that are preempted together: a gang or a single task. */
struct preemption_unit
{
  task_ref mTask; ///< For a gang: its first member.
  int64_t mPriority = 0;
  bool mGuaranteed = false;
  bool mMayMove = false; ///< A single task that doesn't run until it is cancelled.
  double mLostCoreSeconds = 0.0; ///< Core-seconds of work lost by a stop.
  double mLateCoreSeconds = 0.0; ///< Core-seconds of work that a stop makes late.
  /** When it is expected to end by itself, from now. */
  duration mEndsIn{ duration::max() };
  /** Occupied resources by worker index. */
  std::vector<std::pair<size_t, task_resources>> mResourcesByWorker;

  auto operator<=>(const preemption_unit&) const = default;
};

struct placement_input
{
  std::vector<placement_worker> mWorkers;
  std::vector<placement_group> mGroups;          ///< In scheduling order.
  std::vector<preemption_unit> mPreemptionUnits; ///< Candidates for preemption.
  /**
   * How much more of a pool tasks of a priority may take, in workers, by pool and
   * priority; no entry: no limit.
   */
  std::map<std::pair<std::string, int64_t>, double> mAllowances;
  /** The mean capacity of the workers of a pool; required where it has allowances. */
  std::map<std::string, task_resources> mTypicalWorkers;

  auto operator<=>(const placement_input&) const = default;
};

struct task_start
{
  size_t mGroup = 0;
  uint32_t mIndex = 0;
  size_t mWorker = 0;

  auto operator<=>(const task_start&) const = default;
};

/** Capacity for one task, free now or soon, that is reserved for a waiting group. */
struct reservation
{
  size_t mGroup = 0;
  size_t mWorker = 0;

  auto operator<=>(const reservation&) const = default;
};

struct placement_plan
{
  std::vector<task_start> mStarts;
  std::vector<reservation> mReserved; ///< Input of the next round.
  std::vector<size_t> mUnitsToStop;   ///< Indices of the units to preempt.
  std::vector<size_t> mUnitsToMove;   ///< Units to stop since a gang needs their rack.
  /** Units that end soon by themselves, whose room is reserved without a stop. */
  std::vector<size_t> mUnitsAwaited;
  std::vector<size_t> mWaiting; ///< Groups with tasks that were not placed.
  /** Groups for which room on workers of their pace is being made. */
  std::vector<size_t> mWaitingForPace;
  /** Whether a group that may wait for its pace got slower workers. */
  bool mHasSlowStarts = false;

  auto operator<=>(const placement_plan&) const = default;
};

/**
 * Returns whether the worker satisfies the group's constraints, capacity aside. Pure;
 * thread-safe.
 */
bool IsEligible(const placement_worker& aWorker, const placement_group& aGroup);

/**
 * Places the groups in order. A gang is placed completely or not at all, and in one
 * rack if it requires that; single tasks are placed by best fit. If a group that may
 * preempt does not fit, the plan lists the cheapest runs that it may stop and reserves
 * their resources for the group. A unit that ends within the group's patience
 * is waited for instead. The next round keeps these reservations. Otherwise
 * small tasks would take the resources and be preempted again one round later. A group
 * that needs workers of some pace gets slower ones for the tasks for which no room on
 * others is being made. Pure and deterministic. Thread-safe.
 */
placement_plan PlaceTasks(const placement_input& aInput);

} // namespace anvildoor
