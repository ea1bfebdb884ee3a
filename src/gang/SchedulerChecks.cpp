#include "gang/Scheduler.h"

#include <algorithm>

namespace anvildoor {

namespace {

bool FitsEmptyFleet(const fleet_view& aFleet, const gang_shape& aShape)
{
  int64_t mostInOneRack = 0;
  int64_t total = 0;
  for (const auto& rack : aFleet.Racks()) {
    int64_t inRack = 0;
    for (const size_t worker : rack) {
      inRack +=
        CountFitting(aShape.mPerTask, aFleet.At(worker).mCapacity, aShape.mTasks);
    }
    mostInOneRack = std::max(mostInOneRack, inRack);
    total += inRack;
  }
  return (aShape.mAdjacency == adjacency::kRack ? mostInOneRack : total) >=
         aShape.mTasks;
}

} // namespace

status scheduler::Validate(const job_spec& aSpec) const
{
  const auto config = mContext.mConfig.Current();
  if (!config || config->mWorkspaces.count(aSpec.mWorkspace) == 0) {
    return Fail(error_code::kNotFound, "job.submit", "workspace", "unknown workspace");
  }
  if (CountQueued(aSpec.mWorkspace) >=
      static_cast<size_t>(config->DefaultsFor(aSpec.mWorkspace).mQueuedJobs)) {
    return Fail(error_code::kExhausted,
                "job.submit",
                "workspace",
                "the workspace has reached its limit of queued jobs");
  }
  if (mWorkers.empty()) {
    return Fail(error_code::kUnavailable,
                "job.submit",
                "",
                "the worker list of this data centre is not available yet");
  }
  if (!FitsEmptyFleet(FleetView(), aSpec.mShape)) {
    return Fail(error_code::kInvalid,
                "job.submit",
                "tasks",
                "the gang does not fit the fleet, even when the fleet is idle");
  }
  return ValidateGuarantee(aSpec);
}

status scheduler::ValidateGuarantee(const job_spec& aSpec) const
{
  if (aSpec.mIdempotent) {
    return {};
  }
  const auto config = mContext.mConfig.Current();
  const auto& workspace = config->mWorkspaces.at(aSpec.mWorkspace);
  const bool fits = std::any_of(
    workspace.mGuarantees.begin(), workspace.mGuarantees.end(), [&](const auto& aItem) {
      const bool adjacent = aSpec.mShape.mAdjacency == adjacency::kAny ||
                            aItem.mShape.mAdjacency == adjacency::kRack;
      return adjacent && aSpec.mShape.mTasks <= aItem.mShape.mTasks &&
             FitsIn(aSpec.mShape.mPerTask, aItem.mShape.mPerTask);
    });
  if (!fits) {
    return Fail(error_code::kInvalid,
                "job.submit",
                "idempotent",
                "a job that is not idempotent must fit a guarantee of its workspace, "
                "because it cannot run on borrowed capacity");
  }
  return {};
}

size_t scheduler::CountQueued(const std::string& aWorkspace) const
{
  return static_cast<size_t>(
    std::count_if(mJobs.begin(), mJobs.end(), [&](const auto& aItem) {
      const auto& record = aItem.second.mRecord;
      return record.mState == job_state::kQueued &&
             record.mSpec.mWorkspace == aWorkspace;
    }));
}

} // namespace anvildoor
