#pragma once

#include "planner/PlacementPolicy.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** Fleet size and job mix of one simulated data centre. */
struct policy_workload
{
  std::string mName;
  int mRacks = 2;
  int mWorkersPerRack = 8;
  resources mWorkerCapacity{ 8, 32, 65'536 };
  duration mDuration = std::chrono::hours(24);
  int mSmallPerHour = 60; ///< 1 to 4 accelerators, median run time 10 min.
  int mMediumPerHour = 6; ///< 8 accelerators in one rack, median run time 30 min.
  int mLargePerDay = 24;  ///< 32 or 48 accelerators in one rack, median run time 1 h.
  int mUrgentPerDay = 48; ///< 16 accelerators in one rack, guaranteed, median 5 min.
  int64_t mCompletionWeightPercent = 60;
  uint32_t mSeed = 1;
};

/** Job count and time quantiles of one kind of job, in seconds. */
struct kind_result
{
  size_t mJobs = 0;
  double mWaitP50 = 0;
  double mWaitP99 = 0;
  double mCompletionP50 = 0;
  double mCompletionP99 = 0;
};

/** Wait and completion times of every job of one kind, in seconds. */
struct kind_times
{
  std::vector<double> mWaits;
  std::vector<double> mCompletions;
};

struct policy_result
{
  std::map<std::string, kind_times> mTimesByKind; ///< small, medium, large, urgent.
  double mFragmentation = 0; ///< Time-weighted mean; 0 while no large gang waits.
  double mUtilisation = 0;
  size_t mPreemptions = 0;
  size_t mDecisions = 0;
  size_t mUnbackedDecisions = 0; ///< Decisions that left a guarantee unbacked.
  double mLostAcceleratorHours = 0;
  double mUrgentStartMaxSeconds = 0;
};

/** Returns the quantiles over all runs combined, keyed by kind of job. */
std::map<std::string, kind_result> Summarise(const std::vector<policy_result>& aRuns);

/** Returns one workload for each of the two reference deployments. */
std::vector<policy_workload> DeploymentWorkloads();

/**
 * Runs a workload under a policy in virtual time. Declared run times differ from the
 * real ones by a log-normal factor with a median of 1 and a 95th percentile of 5.
 * Deterministic for a given seed.
 */
policy_result RunPolicy(placement_policy& aPolicy, const policy_workload& aWorkload);

} // namespace anvildoor
