#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** One queue of jobs: how calls reach it and how its jobs are treated. */
struct queue_rule
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;      ///< Paths of the queue begin with it.
  std::string mPool;        ///< The workers that run its tasks.
  int64_t mPriority = 0;    ///< 0 comes first and may preempt the others.
  int64_t mMaxAttempts = 1; ///< Failed runs of a task until its job has failed.
  double mStretch = 1.0;    ///< A job is on time within mStretch x its chain of work...
  duration mObjective{ 0 }; ///< ...and this much more.
  bool mPublic = false;     ///< Calls need no key.
  bool mNeedsAdvice = false; ///< Starts need a ticket of the advice service.

  auto operator<=>(const queue_rule&) const = default;
};

struct pool_rule
{
  std::string mName;
  bool mGuardsCapacity = false; ///< Its workers reject what does not fit.
  bool mStandby = false;        ///< Its machines are off.

  auto operator<=>(const pool_rule&) const = default;
};

struct workspace_rule
{
  std::string mName;
  std::set<std::string> mKeys;
  int64_t mGuaranteedAccelerators = 0; ///< For its jobs of priority 0, at all times.

  auto operator<=>(const workspace_rule&) const = default;
};

/** The desired state of the installation in one version. Immutable once made. */
struct fleet_policy
{
  uint64_t mVersion = 0;
  std::vector<queue_rule> mQueues;
  std::map<std::string, pool_rule> mPools;
  std::vector<workspace_rule> mWorkspaces;
  size_t mMaxBodyBytes = 262'144;
  size_t mMaxHeaderBytes = 16'384;
  duration mHeaderTimeout{ 3'000 };
  duration mIdleTimeout{ 15'000 };

  /** Returns the queue with aHost and the longest prefix of aPath, or null. */
  const queue_rule* QueueFor(const std::string& aHost, const std::string& aPath) const;

  /** Returns the queue of that name, or null. */
  const queue_rule* QueueNamed(const std::string& aName) const;

  /** Returns the workspace that holds aKey, or null. */
  const workspace_rule* WorkspaceWithKey(const std::string& aKey) const;

  auto operator<=>(const fleet_policy&) const = default;
};

} // namespace anvildoor
