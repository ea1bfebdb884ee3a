#include "planner/Packing.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace anvildoor {

namespace {

struct candidate_worker
{
  size_t mIndex = 0;
  int64_t mFitting = 0;
  int64_t mLeftover = 0;
};

struct rack_score
{
  int64_t mCost = 0;
  int64_t mLeftover = 0;
  size_t mRack = 0;

  auto operator<=>(const rack_score&) const = default;
};

std::vector<candidate_worker> Candidates(const std::vector<size_t>& aWorkers,
                                         const gang_shape& aShape,
                                         const spare_of& aSpare)
{
  std::vector<candidate_worker> candidates;
  for (const size_t index : aWorkers) {
    const auto spare = aSpare(index);
    const int64_t fitting = CountFitting(aShape.mPerTask, spare, aShape.mTasks);
    if (fitting > 0) {
      const int64_t taken = fitting * aShape.mPerTask.mAccelerators;
      candidates.push_back({ index, fitting, spare.mAccelerators - taken });
    }
  }
  return candidates;
}

/** Prefers workers that the gang fills completely, to keep other workers empty. */
placement PackTasks(const fleet_view& aFleet,
                    std::vector<candidate_worker> aCandidates,
                    int64_t aTasks)
{
  std::stable_sort(
    aCandidates.begin(), aCandidates.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.mLeftover, aRight.mFitting) <
             std::tie(aRight.mLeftover, aLeft.mFitting);
    });
  placement taken;
  while (aTasks > 0 && !aCandidates.empty()) {
    // The smallest candidate that fits all remaining tasks wastes the least capacity.
    auto chosen = aCandidates.end();
    for (auto it = aCandidates.begin(); it != aCandidates.end(); ++it) {
      const bool holdsAll = it->mFitting >= aTasks;
      if (holdsAll &&
          (chosen == aCandidates.end() || it->mFitting < chosen->mFitting)) {
        chosen = it;
      }
    }
    if (chosen == aCandidates.end()) {
      chosen = aCandidates.begin();
    }
    const int64_t tasks = std::min(aTasks, chosen->mFitting);
    taken.push_back({ aFleet.At(chosen->mIndex).mId, tasks });
    aTasks -= tasks;
    aCandidates.erase(chosen);
  }
  return taken;
}

/** Assigns each task to the worker with the most remaining capacity. */
placement SpreadTasks(const fleet_view& aFleet,
                      std::vector<candidate_worker> aCandidates,
                      const gang_shape& aShape,
                      int64_t aTasks)
{
  std::map<size_t, int64_t> taken;
  while (aTasks > 0) {
    candidate_worker* chosen = nullptr;
    const auto remainingCapacity = [&](const candidate_worker& aItem) {
      const int64_t available = aItem.mFitting - taken[aItem.mIndex];
      return std::pair(available * aShape.mPerTask.mAccelerators + aItem.mLeftover,
                       available);
    };
    for (auto& item : aCandidates) {
      const bool available = taken[item.mIndex] < item.mFitting;
      if (available &&
          (chosen == nullptr || remainingCapacity(item) > remainingCapacity(*chosen))) {
        chosen = &item;
      }
    }
    if (chosen == nullptr) {
      break;
    }
    ++taken[chosen->mIndex];
    --aTasks;
  }
  placement parts;
  for (const auto& [index, tasks] : taken) {
    if (tasks > 0) {
      parts.push_back({ aFleet.At(index).mId, tasks });
    }
  }
  return parts;
}

placement Distribute(const fleet_view& aFleet,
                     const packing_request& aRequest,
                     const std::vector<size_t>& aWorkers,
                     int64_t aTasks)
{
  auto candidates = Candidates(aWorkers, aRequest.mShape, aRequest.mSpare);
  return aRequest.mSpreadEvenly
           ? SpreadTasks(aFleet, std::move(candidates), aRequest.mShape, aTasks)
           : PackTasks(aFleet, std::move(candidates), aTasks);
}

int64_t SpareAccelerators(const std::vector<size_t>& aWorkers, const spare_of& aSpare)
{
  int64_t total = 0;
  for (const size_t index : aWorkers) {
    total += std::max<int64_t>(0, aSpare(index).mAccelerators);
  }
  return total;
}

std::vector<rack_score> ScoreRacks(const fleet_view& aFleet,
                                   const packing_request& aRequest,
                                   bool aWholeGang)
{
  std::vector<rack_score> scores;
  for (size_t rack = 0; rack < aFleet.Racks().size(); ++rack) {
    const auto& workers = aFleet.Racks()[rack];
    const int64_t fitting = CountTasks(workers, aRequest.mShape, aRequest.mSpare);
    if (fitting == 0 || (aWholeGang && fitting < aRequest.mShape.mTasks)) {
      continue;
    }
    const int64_t cost = aRequest.mCost ? aRequest.mCost(rack) : 0;
    scores.push_back({ cost, SpareAccelerators(workers, aRequest.mSpare), rack });
  }
  std::sort(scores.begin(), scores.end());
  return scores;
}

std::optional<placement> PackAcrossRacks(const fleet_view& aFleet,
                                         const packing_request& aRequest)
{
  placement taken;
  int64_t missing = aRequest.mShape.mTasks;
  for (const auto& score : ScoreRacks(aFleet, aRequest, false)) {
    const auto& workers = aFleet.Racks()[score.mRack];
    for (const auto& part : Distribute(aFleet, aRequest, workers, missing)) {
      taken.push_back(part);
      missing -= part.mTasks;
    }
    if (missing == 0) {
      return taken;
    }
  }
  return std::nullopt;
}

} // namespace

namespace {

std::optional<placement> SpreadAcrossRacks(const fleet_view& aFleet,
                                           const packing_request& aRequest)
{
  std::vector<size_t> workers;
  for (const auto& rack : aFleet.Racks()) {
    workers.insert(workers.end(), rack.begin(), rack.end());
  }
  if (CountTasks(workers, aRequest.mShape, aRequest.mSpare) < aRequest.mShape.mTasks) {
    return std::nullopt;
  }
  return Distribute(aFleet, aRequest, workers, aRequest.mShape.mTasks);
}

} // namespace

int64_t CountTasks(const std::vector<size_t>& aWorkers,
                   const gang_shape& aShape,
                   const spare_of& aSpare)
{
  int64_t total = 0;
  for (const size_t index : aWorkers) {
    total += CountFitting(aShape.mPerTask, aSpare(index), aShape.mTasks);
  }
  return total;
}

std::optional<placement> PackGang(const fleet_view& aFleet,
                                  const packing_request& aRequest)
{
  const bool spreadAcrossRacks =
    aRequest.mSpreadEvenly && aRequest.mShape.mAdjacency == adjacency::kAny;
  const auto scores = ScoreRacks(aFleet, aRequest, true);
  if (!scores.empty() && !spreadAcrossRacks) {
    const auto& workers = aFleet.Racks()[scores.front().mRack];
    return Distribute(aFleet, aRequest, workers, aRequest.mShape.mTasks);
  }
  if (aRequest.mShape.mAdjacency == adjacency::kRack) {
    return std::nullopt;
  }
  if (aRequest.mSpreadEvenly) {
    return SpreadAcrossRacks(aFleet, aRequest);
  }
  return PackAcrossRacks(aFleet, aRequest);
}

} // namespace anvildoor
