#include "config/FleetPolicy.h"

#include <algorithm>

namespace anvildoor {

const queue_rule* fleet_policy::QueueFor(const std::string& aHost,
                                         const std::string& aPath) const
{
  const queue_rule* best = nullptr;
  for (const auto& queue : mQueues) {
    const bool matches = queue.mHost == aHost &&
                         aPath.compare(0, queue.mPrefix.size(), queue.mPrefix) == 0;
    if (matches && (best == nullptr || queue.mPrefix.size() > best->mPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const queue_rule* fleet_policy::QueueNamed(const std::string& aName) const
{
  const auto found =
    std::find_if(mQueues.begin(), mQueues.end(), [&](const auto& aQueue) {
      return aQueue.mName == aName;
    });
  return found == mQueues.end() ? nullptr : &*found;
}

const workspace_rule* fleet_policy::WorkspaceWithKey(const std::string& aKey) const
{
  const auto found =
    std::find_if(mWorkspaces.begin(), mWorkspaces.end(), [&](const auto& aWorkspace) {
      return aWorkspace.mKeys.count(aKey) != 0;
    });
  return found == mWorkspaces.end() ? nullptr : &*found;
}

} // namespace anvildoor
