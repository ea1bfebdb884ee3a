#pragma once

#include "config/FleetPolicy.h"
#include "jobs/JobSpec.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvildoor {

/** Who makes a call about a job. */
struct job_caller
{
  std::string mQueue;     ///< Name of the queue that receives the call.
  std::string mKeyDigest; ///< Digest of the caller's API key; empty: it has none.

  auto operator<=>(const job_caller&) const = default;
};

/** Returns the digest by which an API key is recognised in stored jobs. Thread-safe. */
std::string DigestOfKey(const std::string& aKey);

/**
 * Returns the digests to store with a job that is submitted with aKey (empty: none) for
 * aWorkspace (null: none is known). The first one is that of aKey. Thread-safe.
 */
std::vector<std::string> DigestsOfKeys(const std::string& aKey,
                                       const workspace_rule* aWorkspace);

/**
 * Tells which workspace of one version of the policy a stored job belongs to, and who
 * may cancel it. A workspace is recognised by its API keys, since another version of
 * the policy may give it another name, or its name to another workspace. Immutable;
 * thread-safe.
 */
class job_owners
{
public:
  /** aPolicy must not be null. */
  explicit job_owners(std::shared_ptr<const fleet_policy> aPolicy);

  const fleet_policy& Policy() const { return *mPolicy; }

  /**
   * Returns the workspace that aJob belongs to, or null if it has none any more: the
   * one that has a key of the submission, preferably under the name of then. If nobody
   * has such a key, that with the name. Valid as long as this object.
   */
  const workspace_rule* OwnerOf(const accepted_job& aJob) const;

  /**
   * Returns whether aCaller may cancel aJob: callers with a key of the submission or of
   * the job's workspace may, as may all callers of the job's queue if that is public,
   * or if the job was submitted without a workspace and still has none; all callers may
   * if such a job's queue is gone.
   */
  bool MayCancel(const accepted_job& aJob, const job_caller& aCaller) const;

private:
  const workspace_rule* HolderOf(const std::string& aKeyDigest) const;

  std::shared_ptr<const fleet_policy> mPolicy;
  std::map<std::string, const workspace_rule*> mByKeyDigest;
  std::map<std::string, const workspace_rule*> mByName;
};

} // namespace anvildoor
