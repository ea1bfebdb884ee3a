#include "jobs/JobOwners.h"

#include "base/Sha256.h"

#include <algorithm>
#include <utility>

namespace anvildoor {

namespace {

/** Hexadecimal digits of a digest: 128 bits tell all keys apart. */
constexpr size_t kDigestLength = 32;
/** Limit on the digests stored with a job, which bounds the size of its record. */
constexpr size_t kMaxDigestsPerJob = 8;

} // namespace

std::string DigestOfKey(const std::string& aKey)
{
  return Sha256Hex(aKey).substr(0, kDigestLength);
}

std::vector<std::string> DigestsOfKeys(const std::string& aKey,
                                       const workspace_rule* aWorkspace)
{
  std::vector<std::string> digests;
  if (!aKey.empty()) {
    digests.push_back(DigestOfKey(aKey));
  }
  if (aWorkspace != nullptr) {
    for (const auto& key : aWorkspace->mKeys) {
      if (key != aKey && digests.size() < kMaxDigestsPerJob) {
        digests.push_back(DigestOfKey(key));
      }
    }
  }
  return digests;
}

job_owners::job_owners(std::shared_ptr<const fleet_policy> aPolicy)
  : mPolicy(std::move(aPolicy))
{
  for (const auto& workspace : mPolicy->mWorkspaces) {
    mByName.emplace(workspace.mName, &workspace);
    for (const auto& key : workspace.mKeys) {
      mByKeyDigest.emplace(DigestOfKey(key), &workspace);
    }
  }
}

const workspace_rule* job_owners::HolderOf(const std::string& aKeyDigest) const
{
  const auto found = mByKeyDigest.find(aKeyDigest);
  return found == mByKeyDigest.end() ? nullptr : found->second;
}

const workspace_rule* job_owners::OwnerOf(const accepted_job& aJob) const
{
  const auto found = mByName.find(aJob.mWorkspace);
  const auto* named = found == mByName.end() ? nullptr : found->second;
  const workspace_rule* holder = nullptr;
  for (const auto& digest : aJob.mKeyDigests) {
    const auto* each = HolderOf(digest);
    if (each != nullptr && each == named) {
      return named;
    }
    holder = holder == nullptr ? each : holder;
  }
  return holder != nullptr ? holder : named;
}

bool job_owners::MayCancel(const accepted_job& aJob, const job_caller& aCaller) const
{
  const auto& digests = aJob.mKeyDigests;
  const auto* owner = OwnerOf(aJob);
  if (!aCaller.mKeyDigest.empty()) {
    const bool hasKeyOfSubmission =
      std::find(digests.begin(), digests.end(), aCaller.mKeyDigest) != digests.end();
    if (hasKeyOfSubmission ||
        (owner != nullptr && HolderOf(aCaller.mKeyDigest) == owner)) {
      return true;
    }
  }
  const bool isCallOfQueue = aJob.mQueue == aCaller.mQueue;
  const auto* queue = mPolicy->QueueNamed(aJob.mQueue);
  if (aJob.mWorkspace.empty() && owner == nullptr) {
    return isCallOfQueue || queue == nullptr;
  }
  return isCallOfQueue && queue != nullptr && queue->mPublic;
}

} // namespace anvildoor
