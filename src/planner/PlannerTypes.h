#pragma once

#include "base/EventLoop.h"
#include "planner/FleetView.h"

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** The class of a job; waiting jobs are scheduled in this order. */
enum class work_class
{
  kUrgent,
  kInteractive,
  kBatch,
};

const char* ToString(work_class aClass);

/** Identifies one copy of a guaranteed shape of a workspace. */
struct shape_id
{
  std::string mWorkspace;
  int64_t mGuarantee = 0;
  int64_t mCopy = 0;

  auto operator<=>(const shape_id&) const = default;
};

/** A job that waits for capacity. */
struct waiting_job
{
  std::string mId;
  std::string mWorkspace;
  work_class mClass = work_class::kBatch;
  gang_shape mShape;
  bool mRestartable = true;
  bool mCheckpointable = false;
  time_point mSubmitted{};
  /** Expected run time; see run_time_estimator. */
  duration mExpectedRunTime{};
  /** Workers on which the job has failed. */
  std::set<std::string> mAvoidedWorkers;

  auto operator<=>(const waiting_job&) const = default;
};

/** A gang that holds capacity: starting, running or stopping. */
struct running_gang
{
  std::string mJob;
  std::string mWorkspace;
  work_class mClass = work_class::kBatch;
  gang_shape mShape;
  placement mPlacement;
  std::optional<shape_id> mGuaranteed; ///< Empty for a borrower.
  bool mRestartable = true;
  bool mCheckpointable = false;
  bool mStopping = false;
  time_point mStarted{};
  duration mExpectedRunTime{}; ///< Expected run time; see run_time_estimator.

  auto operator<=>(const running_gang&) const = default;

  /** Returns whether the planner may stop the gang to free its capacity. */
  bool IsReclaimable() const { return !mGuaranteed && mRestartable && !mStopping; }
};

/** A gang to start, and the borrowers to stop beforehand. */
struct start_decision
{
  std::string mJob;
  placement mPlacement;
  std::optional<shape_id> mGuaranteed;
  std::vector<std::string> mVictims;

  auto operator<=>(const start_decision&) const = default;
};

/** Why a job waits. */
struct wait_decision
{
  std::string mJob;
  std::string mReason;

  auto operator<=>(const wait_decision&) const = default;
};

/** A rack reserved for a large gang that has waited longer than drain_after_ms. */
struct rack_reservation
{
  std::string mJob;
  std::string mRack;
  int64_t mAccelerators = 0; ///< Number of accelerators that the gang needs.
  time_point mReservedAt{};
  time_point mExpectedFree{};

  auto operator<=>(const rack_reservation&) const = default;
};

} // namespace anvildoor
