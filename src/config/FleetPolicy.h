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

/** A job queue: which calls it receives and how its jobs are scheduled. */
struct queue_rule
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;      ///< Path prefix of its calls.
  std::string mPool;        ///< Pool of workers that run its tasks.
  int64_t mPriority = 0;    ///< 0 is the highest and may preempt the others.
  int64_t mMaxAttempts = 1; ///< Failed runs of one task after which its job fails.
  /** A job is on time within mStretch times its critical path plus mObjective. */
  double mStretch = 1.0;
  duration mObjective{ 0 };
  bool mPublic = false;      ///< Calls need no API key.
  bool mNeedsAdvice = false; ///< Starts require a ticket from the advice service.

  auto operator<=>(const queue_rule&) const = default;
};

struct pool_rule
{
  std::string mName;
  bool mEnforcesCapacity = false; ///< Its workers reject tasks that do not fit.
  bool mStandby = false;          ///< Its workers are powered off.

  auto operator<=>(const pool_rule&) const = default;
};

struct workspace_rule
{
  std::string mName;
  std::set<std::string> mKeys;         ///< API keys of the workspace.
  int64_t mGuaranteedAccelerators = 0; ///< Always available to its jobs of priority 0.

  auto operator<=>(const workspace_rule&) const = default;
};

/** One version of the installation's desired state. Immutable once created. */
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

  /** Returns the queue for aHost with the longest matching prefix of aPath, or null. */
  const queue_rule* QueueFor(const std::string& aHost, const std::string& aPath) const;

  /** Returns the queue with the name aName, or null. */
  const queue_rule* QueueNamed(const std::string& aName) const;

  /** Returns the workspace to which the API key aKey belongs, or null. */
  const workspace_rule* WorkspaceWithKey(const std::string& aKey) const;

  auto operator<=>(const fleet_policy&) const = default;
};

} // namespace anvildoor
