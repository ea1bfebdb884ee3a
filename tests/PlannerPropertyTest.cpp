#include "planner/Planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace anvildoor;

namespace {

const std::string kDataCentre = "alpha";
const std::vector<std::string> kWorkspaces{ "gyms", "depots", "labs" };

/** A simulated data centre under random events. Decisions take effect immediately. */
class simulated_data_centre
{
public:
  simulated_data_centre(int aRacks, int aWorkersPerRack)
  {
    for (int rack = 0; rack < aRacks; ++rack) {
      for (int i = 0; i < aWorkersPerRack; ++i) {
        const auto name = "r" + std::to_string(rack);
        mWorkers.push_back(
          { name + "-w" + std::to_string(i), name, { 8, 32, 64'000 }, true });
      }
    }
  }

  /** Adds a guarantee if the fleet can hold it, like a configuration change. */
  bool TryAddGuarantee(const std::string& aWorkspace, const guarantee& aGuarantee)
  {
    auto changed = mConfig;
    auto& workspace = changed.mWorkspaces[aWorkspace];
    workspace.mName = aWorkspace;
    workspace.mGuarantees.push_back(aGuarantee);
    if (!CheckGuaranteesFit(fleet_view(mWorkers), changed, kDataCentre, mRunning)) {
      return false;
    }
    mConfig = changed;
    return true;
  }

  void Submit(waiting_job aJob)
  {
    aJob.mId = "j" + std::to_string(++mSubmittedCount);
    aJob.mSubmitted = mNow;
    mWaiting.push_back(aJob);
  }

  void FinishOne(size_t aRandomIndex)
  {
    if (!mRunning.empty()) {
      mRunning.erase(mRunning.begin() +
                     static_cast<long>(aRandomIndex % mRunning.size()));
    }
  }

  /** Removes a worker and all gangs that have a task on it. */
  void LoseWorker(size_t aRandomIndex)
  {
    auto& worker = mWorkers[aRandomIndex % mWorkers.size()];
    worker.mUsable = false;
    mHasLostWorkers = true;
    mHasEverLostWorkers = true;
    std::erase_if(mRunning, [&](const auto& aGang) {
      return std::any_of(
        aGang.mPlacement.begin(), aGang.mPlacement.end(), [&](const auto& aPart) {
          return aPart.mWorker == worker.mId;
        });
    });
  }

  void ReturnWorkers()
  {
    for (auto& worker : mWorkers) {
      worker.mUsable = true;
    }
    mHasLostWorkers = false;
  }

  void Decide()
  {
    mNow += duration(30'000);
    const fleet_view fleet(mWorkers);
    const planner_input input{ fleet, mConfig, kDataCentre, mRunning, mWaiting, mNow };
    const auto decision = mPlanner.Decide(input);
    for (auto& gang : mRunning) {
      const auto& demoted = decision.mDemoted;
      if (std::count(demoted.begin(), demoted.end(), gang.mJob) != 0) {
        RC_ASSERT(gang.mRestartable);
        gang.mGuaranteed.reset();
      }
    }
    for (const auto& start : decision.mStarts) {
      CheckVictims(start);
      Apply(start);
    }
    CheckGangsComplete(fleet);
    CheckReservations(fleet);
    CheckNoIdleGuarantee();
  }

private:
  const waiting_job& FindWaitingJob(const std::string& aId) const
  {
    return *std::find_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aJob) {
      return aJob.mId == aId;
    });
  }

  void CheckVictims(const start_decision& aStart) const
  {
    for (const auto& victim : aStart.mVictims) {
      const auto found =
        std::find_if(mRunning.begin(), mRunning.end(), [&](const auto& aGang) {
          return aGang.mJob == victim;
        });
      RC_ASSERT(found != mRunning.end());
      RC_ASSERT(found->mRestartable && !found->mGuaranteed);
    }
  }

  void Apply(const start_decision& aStart)
  {
    for (const auto& victim : aStart.mVictims) {
      std::erase_if(mRunning, [&](const auto& aGang) { return aGang.mJob == victim; });
    }
    const auto& job = FindWaitingJob(aStart.mJob);
    running_gang gang;
    gang.mJob = job.mId;
    gang.mWorkspace = job.mWorkspace;
    gang.mClass = job.mClass;
    gang.mShape = job.mShape;
    gang.mPlacement = aStart.mPlacement;
    gang.mGuaranteed = aStart.mGuaranteed;
    gang.mRestartable = job.mRestartable;
    gang.mCheckpointable = job.mRestartable;
    gang.mStarted = mNow;
    gang.mExpectedRunTime = job.mExpectedRunTime;
    RC_ASSERT(job.mRestartable || gang.mGuaranteed);
    mRunning.push_back(gang);
    std::erase_if(mWaiting, [&](const auto& aJob) { return aJob.mId == aStart.mJob; });
  }

  /** Checks that gangs are complete, adjacent if required, and within capacity. */
  void CheckGangsComplete(const fleet_view& aFleet) const
  {
    worker_amounts used(aFleet.Size());
    for (const auto& gang : mRunning) {
      int64_t tasks = 0;
      std::set<size_t> racks;
      for (const auto& part : gang.mPlacement) {
        const size_t index = aFleet.Find(part.mWorker);
        RC_ASSERT(index < aFleet.Size());
        RC_ASSERT(aFleet.At(index).mUsable);
        racks.insert(aFleet.RackOf(index));
        tasks += part.mTasks;
      }
      RC_ASSERT(tasks == gang.mShape.mTasks);
      RC_ASSERT(gang.mShape.mAdjacency == adjacency::kAny || racks.size() == 1);
      used.AddGang(aFleet, gang.mShape, gang.mPlacement);
    }
    for (size_t i = 0; i < aFleet.Size(); ++i) {
      RC_ASSERT(FitsIn(used.At(i), aFleet.At(i).mCapacity));
    }
  }

  /** Checks that all backed shapes and unreclaimable gangs fit the fleet together. */
  void CheckReservations(const fleet_view& aFleet) const
  {
    worker_amounts taken(aFleet.Size());
    for (const auto& gang : mRunning) {
      const bool inShape = gang.mGuaranteed && mPlanner.Plan().Find(*gang.mGuaranteed);
      if (!inShape && !gang.mRestartable) {
        taken.AddGang(aFleet, gang.mShape, gang.mPlacement);
      }
    }
    for (const auto& shape : mPlanner.Plan().Shapes()) {
      if (!shape.mBacked) {
        // A guarantee may be unbacked only during a loss of workers, or after one while
        // a gang that cannot be restarted still runs where it was placed then.
        RC_ASSERT(mHasLostWorkers || (mHasEverLostWorkers && HasUnrestartableGang()));
        continue;
      }
      CheckShape(aFleet, shape);
      taken.AddGang(aFleet, shape.mShape, shape.mReserved);
    }
    for (size_t i = 0; i < aFleet.Size(); ++i) {
      RC_ASSERT(FitsIn(taken.At(i), aFleet.At(i).mCapacity));
    }
  }

  bool HasUnrestartableGang() const
  {
    return std::any_of(mRunning.begin(), mRunning.end(), [](const auto& aGang) {
      return !aGang.mRestartable;
    });
  }

  void CheckShape(const fleet_view& aFleet, const planned_shape& aShape) const
  {
    int64_t tasks = 0;
    std::set<size_t> racks;
    worker_amounts inside(aFleet.Size());
    for (const auto& part : aShape.mReserved) {
      const size_t index = aFleet.Find(part.mWorker);
      RC_ASSERT(aFleet.At(index).mUsable);
      racks.insert(aFleet.RackOf(index));
      tasks += part.mTasks;
    }
    inside.AddGang(aFleet, aShape.mShape, aShape.mReserved);
    RC_ASSERT(tasks >= aShape.mShape.mTasks);
    RC_ASSERT(aShape.mShape.mAdjacency == adjacency::kAny || racks.size() == 1);
    for (const auto& gang : mRunning) {
      if (gang.mGuaranteed == aShape.mId) {
        inside.SubtractGang(aFleet, gang.mShape, gang.mPlacement);
      }
    }
    for (size_t i = 0; i < aFleet.Size(); ++i) {
      RC_ASSERT(FitsIn(resources{}, inside.At(i)));
    }
  }

  /** Checks that no job waits while it fits an idle backed shape of its workspace. */
  void CheckNoIdleGuarantee() const
  {
    for (const auto& job : mWaiting) {
      for (const auto& shape : mPlanner.Plan().Shapes()) {
        const bool idle =
          std::none_of(mRunning.begin(), mRunning.end(), [&](const auto& aGang) {
            return aGang.mGuaranteed == shape.mId;
          });
        const bool fits = shape.mId.mWorkspace == job.mWorkspace && shape.mBacked &&
                          shape.mShape.mAdjacency == job.mShape.mAdjacency &&
                          FitsIn(job.mShape.mPerTask, shape.mShape.mPerTask) &&
                          job.mShape.mTasks <= shape.mShape.mTasks;
        RC_ASSERT(!(idle && fits));
      }
    }
  }

  std::vector<worker_view> mWorkers;
  fleet_config mConfig;
  std::vector<running_gang> mRunning;
  std::vector<waiting_job> mWaiting;
  planner mPlanner;
  time_point mNow{ 1'000'000 };
  int mSubmittedCount = 0;
  bool mHasLostWorkers = false;
  bool mHasEverLostWorkers = false;
};

gang_shape RandomShape()
{
  gang_shape shape;
  shape.mTasks = *rc::gen::element<int64_t>(1, 2, 4, 8, 16, 24);
  shape.mPerTask.mAccelerators = *rc::gen::element<int64_t>(0, 1, 2, 3, 4, 8);
  shape.mPerTask.mCores = *rc::gen::element<int64_t>(1, 2, 4);
  shape.mAdjacency = *rc::gen::element(adjacency::kAny, adjacency::kRack);
  return shape;
}

waiting_job RandomJob()
{
  waiting_job job;
  job.mWorkspace = *rc::gen::elementOf(kWorkspaces);
  job.mClass = *rc::gen::element(
    work_class::kUrgent, work_class::kInteractive, work_class::kBatch);
  job.mShape = RandomShape();
  job.mRestartable = *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
  job.mExpectedRunTime = duration(*rc::gen::inRange(1'000, 3'600'000));
  return job;
}

void RunRandomEvents(simulated_data_centre& aSimulation)
{
  const int steps = *rc::gen::inRange(5, 40);
  for (int i = 0; i < steps; ++i) {
    const int kind = *rc::gen::inRange(0, 20);
    const auto randomIndex = *rc::gen::inRange<size_t>(0, 1'000);
    if (kind < 11) {
      aSimulation.Submit(RandomJob());
    } else if (kind < 16) {
      aSimulation.FinishOne(randomIndex);
    } else if (kind < 17) {
      aSimulation.LoseWorker(randomIndex);
    } else if (kind < 18) {
      aSimulation.ReturnWorkers();
    } else {
      aSimulation.TryAddGuarantee(*rc::gen::elementOf(kWorkspaces),
                                  { *rc::gen::inRange<int64_t>(1, 3), RandomShape() });
    }
    aSimulation.Decide();
  }
}

} // namespace

TEST_CASE("guarantees can be reclaimed after every decision under random events")
{
  const auto sizes = GENERATE(std::pair(1, 4), std::pair(3, 4), std::pair(6, 8));
  const bool hasPassed = rc::check([&] {
    simulated_data_centre simulation(sizes.first, sizes.second);
    for (const auto& workspace : kWorkspaces) {
      simulation.TryAddGuarantee(workspace, { 1, RandomShape() });
    }
    RunRandomEvents(simulation);
  });
  CHECK(hasPassed);
}
