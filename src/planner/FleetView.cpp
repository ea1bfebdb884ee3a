#include "planner/FleetView.h"

#include <algorithm>
#include <tuple>

namespace anvildoor {

fleet_view::fleet_view(std::vector<worker_view> aWorkers)
  : mWorkers(std::move(aWorkers))
{
  std::sort(
    mWorkers.begin(), mWorkers.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.mRack, aLeft.mId) < std::tie(aRight.mRack, aRight.mId);
    });
  for (size_t i = 0; i < mWorkers.size(); ++i) {
    if (i == 0 || mWorkers[i].mRack != mWorkers[i - 1].mRack) {
      mRacks.emplace_back();
    }
    mRacks.back().push_back(i);
    mRackOf.push_back(mRacks.size() - 1);
    mIndex.emplace(mWorkers[i].mId, i);
  }
}

size_t fleet_view::Find(const std::string& aId) const
{
  const auto found = mIndex.find(aId);
  return found == mIndex.end() ? mWorkers.size() : found->second;
}

void worker_amounts::Add(size_t aIndex, const resources& aValue)
{
  mAmounts[aIndex] = mAmounts[aIndex] + aValue;
}

void worker_amounts::Subtract(size_t aIndex, const resources& aValue)
{
  mAmounts[aIndex] = mAmounts[aIndex] - aValue;
}

void worker_amounts::AddGang(const fleet_view& aFleet,
                             const gang_shape& aShape,
                             const placement& aPlacement)
{
  for (const auto& part : aPlacement) {
    const size_t index = aFleet.Find(part.mWorker);
    if (index < aFleet.Size()) {
      Add(index, aShape.mPerTask * part.mTasks);
    }
  }
}

void worker_amounts::SubtractGang(const fleet_view& aFleet,
                                  const gang_shape& aShape,
                                  const placement& aPlacement)
{
  for (const auto& part : aPlacement) {
    const size_t index = aFleet.Find(part.mWorker);
    if (index < aFleet.Size()) {
      Subtract(index, aShape.mPerTask * part.mTasks);
    }
  }
}

} // namespace anvildoor
