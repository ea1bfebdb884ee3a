#include "support/FirstFitPolicy.h"

#include "planner/Victims.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Places a gang on the first workers that fit, within one rack if required. */
std::optional<placement> FirstFit(const fleet_view& aFleet,
                                  const worker_amounts& aUsed,
                                  const gang_shape& aShape)
{
  placement assigned;
  int64_t unassignedTasks = aShape.mTasks;
  for (const auto& rack : aFleet.Racks()) {
    if (aShape.mAdjacency == adjacency::kRack) {
      assigned.clear();
      unassignedTasks = aShape.mTasks;
    }
    for (const size_t worker : rack) {
      const auto& view = aFleet.At(worker);
      const auto spare = view.mUsable ? view.mCapacity - aUsed.At(worker) : resources{};
      const int64_t tasks = CountFitting(aShape.mPerTask, spare, unassignedTasks);
      if (tasks > 0) {
        assigned.push_back({ view.mId, tasks });
        unassignedTasks -= tasks;
      }
    }
    if (unassignedTasks == 0) {
      return assigned;
    }
  }
  return std::nullopt;
}

} // namespace

planner_decision first_fit_policy::OnDecide(const planner_input& aInput)
{
  const auto& fleet = aInput.mFleet;
  mPlan = guarantee_plan::Make(
    mPlan, fleet, aInput.mConfig, aInput.mDataCentre, aInput.mRunning);
  auto running = aInput.mRunning;
  worker_amounts used(fleet.Size());
  for (const auto& gang : running) {
    used.AddGang(fleet, gang.mShape, gang.mPlacement);
  }
  auto waiting = aInput.mWaiting;
  std::stable_sort(
    waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mSubmitted < aRight.mSubmitted;
    });
  planner_decision decision;
  std::set<shape_id> shapesInUse;
  for (const auto& gang : running) {
    if (gang.mGuaranteed) {
      shapesInUse.insert(*gang.mGuaranteed);
    }
  }
  std::set<std::string> stoppedJobs;
  const auto byWorker = IndexGangs(fleet, running);
  for (const auto& job : waiting) {
    start_decision start{ job.mId, {}, std::nullopt, {} };
    for (const auto& shape : mPlan.Shapes()) {
      const bool fits = shape.mBacked && shapesInUse.count(shape.mId) == 0 &&
                        shape.mId.mWorkspace == job.mWorkspace &&
                        shape.mShape == job.mShape;
      if (!fits) {
        continue;
      }
      const auto mayStop = [&](const running_gang& aGang) {
        return stoppedJobs.count(aGang.mJob) == 0;
      };
      const auto victims =
        ChooseVictims({ fleet, running, byWorker, used, mayStop, aInput.mNow },
                      job.mShape,
                      shape.mReserved);
      if (victims) {
        start.mPlacement = shape.mReserved;
        start.mGuaranteed = shape.mId;
        start.mVictims = victims->mJobs;
        shapesInUse.insert(shape.mId);
        break;
      }
    }
    if (start.mPlacement.empty() && job.mRestartable) {
      start.mPlacement = FirstFit(fleet, used, job.mShape).value_or(placement());
    }
    if (start.mPlacement.empty()) {
      continue;
    }
    for (const auto& gang : running) {
      if (std::count(start.mVictims.begin(), start.mVictims.end(), gang.mJob) != 0) {
        used.SubtractGang(fleet, gang.mShape, gang.mPlacement);
        stoppedJobs.insert(gang.mJob);
      }
    }
    used.AddGang(fleet, job.mShape, start.mPlacement);
    decision.mStarts.push_back(start);
  }
  return decision;
}

} // namespace anvildoor
