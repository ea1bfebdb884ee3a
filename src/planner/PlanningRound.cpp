#include "planner/PlanningRound.h"

#include "planner/Packing.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr int64_t kPercent = 100;

} // namespace

planning_round::planning_round(const planner_input& aInput,
                               guarantee_plan aPlan,
                               std::vector<rack_reservation> aReservations)
  : mState(aInput, std::move(aPlan))
  , mGuarantees(mState)
  , mDrains(mState, std::move(aReservations))
{
}

planner_decision planning_round::Run()
{
  mDrains.Refresh();
  // Serve guarantees before borrowing, so that no new borrower has to be stopped.
  ServeGuarantees();
  mDrains.StartReady();
  auto queues = QueuesByRank();
  for (auto& [rank, byWorkspace] : queues) {
    ServeRank(byWorkspace);
  }
  ServeRemaining();
  return mState.Decision();
}

// Scheduling order

void planning_round::ServeGuarantees()
{
  job_queue jobs;
  for (const auto& job : mState.Input().mWaiting) {
    jobs.push_back(&job);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [this](auto* aLeft, auto* aRight) {
    return std::pair(RankOf(*aLeft), aLeft->mSubmitted) <
           std::pair(RankOf(*aRight), aRight->mSubmitted);
  });
  shape_memo unplaceable;
  for (const auto* job : jobs) {
    const std::pair memo(job->mWorkspace, job->mShape);
    const bool started = unplaceable.count(memo) == 0 && mGuarantees.TryStart(*job);
    if (!started && job->mAvoidedWorkers.empty()) {
      unplaceable.insert(memo);
    }
  }
}

int planning_round::RankOf(const waiting_job& aJob) const
{
  const duration waited = mState.Input().mNow - aJob.mSubmitted;
  if (aJob.mClass == work_class::kBatch &&
      waited.count() >= mState.SettingsFor(aJob).mBatchMaxWaitMs) {
    return static_cast<int>(work_class::kInteractive);
  }
  return static_cast<int>(aJob.mClass);
}

std::map<int, std::map<std::string, planning_round::job_queue>>
planning_round::QueuesByRank() const
{
  std::map<int, std::map<std::string, job_queue>> queues;
  for (const auto& job : mState.Input().mWaiting) {
    if (!mState.IsStarted(job.mId)) {
      queues[RankOf(job)][job.mWorkspace].push_back(&job);
    }
  }
  // Reversed, so that the oldest job is taken from the back.
  for (auto& [rank, byWorkspace] : queues) {
    for (auto& [workspace, queue] : byWorkspace) {
      std::stable_sort(queue.begin(), queue.end(), [](auto* aLeft, auto* aRight) {
        return aLeft->mSubmitted > aRight->mSubmitted;
      });
    }
  }
  return queues;
}

/** Serves one job at a time of the workspace with the lowest borrowed share. */
void planning_round::ServeRank(std::map<std::string, job_queue>& aQueues)
{
  std::set<std::pair<int64_t, std::string>> order;
  for (const auto& [workspace, queue] : aQueues) {
    order.emplace(mState.BorrowedShare(workspace), workspace);
  }
  while (!order.empty()) {
    const auto [share, workspace] = *order.begin();
    order.erase(order.begin());
    const int64_t current = mState.BorrowedShare(workspace);
    if (current != share) {
      order.emplace(current, workspace); // One of its borrowers was stopped meanwhile.
      continue;
    }
    auto& queue = aQueues[workspace];
    const waiting_job& job = *queue.back();
    queue.pop_back();
    if (!TryStart(job)) {
      mRemainingJobs.push_back(&job);
    }
    if (!queue.empty()) {
      order.emplace(mState.BorrowedShare(workspace), workspace);
    }
  }
}

/** Reserves racks to drain for the oldest gangs first, across all workspaces. */
void planning_round::ServeRemaining()
{
  std::stable_sort(
    mRemainingJobs.begin(), mRemainingJobs.end(), [](auto* aLeft, auto* aRight) {
      return aLeft->mSubmitted < aRight->mSubmitted;
    });
  for (const auto* job : mRemainingJobs) {
    mDrains.MaybeReserve(*job);
    mState.RecordWait(*job, WaitReason(*job));
  }
}

bool planning_round::TryStart(const waiting_job& aJob)
{
  return aJob.mRestartable && (TryBorrow(aJob) || TryPreempt(aJob));
}

// Borrowing and preemption

/** Weighs the risk that the borrower will be reclaimed against rack fragmentation. */
int64_t planning_round::BorrowCost(size_t aRack, const waiting_job& aJob) const
{
  int64_t free = 0;
  int64_t unreserved = 0;
  for (const size_t worker : mState.Fleet().Racks()[aRack]) {
    const auto& capacity = mState.Fleet().At(worker).mCapacity;
    const int64_t idle = std::max<int64_t>(0, mState.FreeOn(worker).mAccelerators);
    const int64_t reserved = mState.Reserved().At(worker).mAccelerators;
    free += idle;
    unreserved += std::min(idle, capacity.mAccelerators - reserved);
  }
  const int64_t need = aJob.mShape.Accelerators();
  const int64_t overlap = std::max<int64_t>(0, need - unreserved);
  const int64_t leftover = std::max<int64_t>(0, free - need);
  const int64_t weight = mState.SettingsFor(aJob).mCompletionWeightPercent;
  return weight * overlap + (kPercent - weight) * leftover;
}

bool planning_round::HasFailed(const shape_memo& aMemo, const memo_key& aKey)
{
  if (mMemoReclaimCount != mState.ReclaimCount()) {
    mMemoReclaimCount = mState.ReclaimCount();
    mUnplaceable.clear();
    mUnpreemptable.clear();
  }
  return aMemo.count(aKey) != 0;
}

/**
 * Remembers a failed shape, unless the failure may be due to the job itself: to the
 * workers that it avoids or, while racks are reserved, to its expected run time.
 */
void planning_round::RememberFailure(shape_memo& aMemo,
                                     const memo_key& aKey,
                                     const waiting_job& aJob)
{
  if (aJob.mAvoidedWorkers.empty() && mDrains.Reservations().empty()) {
    aMemo.insert(aKey);
  }
}

bool planning_round::TryBorrow(const waiting_job& aJob)
{
  // Free capacity is available to all workspaces.
  const memo_key key(std::string(), aJob.mShape);
  if (HasFailed(mUnplaceable, key)) {
    return false;
  }
  std::vector<bool> mayBackfill(mState.Fleet().Racks().size());
  for (size_t rack = 0; rack < mayBackfill.size(); ++rack) {
    mayBackfill[rack] = mDrains.MayBackfill(rack, aJob);
  }
  const auto spare = [&](size_t aWorker) {
    const bool usable =
      mState.MayUse(aWorker, aJob) && mayBackfill[mState.Fleet().RackOf(aWorker)];
    return usable ? mState.FreeOn(aWorker) : resources{};
  };
  const auto cost = [&](size_t aRack) { return BorrowCost(aRack, aJob); };
  const auto packed = PackGang(mState.Fleet(), { aJob.mShape, spare, cost, false });
  if (!packed) {
    RememberFailure(mUnplaceable, key, aJob);
    return false;
  }
  mState.Start(aJob, *packed, std::nullopt, {});
  return true;
}

bool planning_round::MayPreempt(const waiting_job& aJob,
                                const running_gang& aGang) const
{
  return aGang.IsReclaimable() && aGang.mClass == work_class::kBatch &&
         aGang.mWorkspace != aJob.mWorkspace;
}

/** Starts an urgent job outside its guarantee by stopping batch borrowers. */
bool planning_round::TryPreempt(const waiting_job& aJob)
{
  const memo_key key(aJob.mWorkspace, aJob.mShape);
  if (aJob.mClass != work_class::kUrgent || HasFailed(mUnpreemptable, key)) {
    return false;
  }
  auto committedAfterStops = mState.Committed();
  for (const auto& gang : mState.Running()) {
    if (MayPreempt(aJob, gang)) {
      committedAfterStops.SubtractGang(mState.Fleet(), gang.mShape, gang.mPlacement);
    }
  }
  const auto spare = [&](size_t aWorker) {
    return mState.MayUse(aWorker, aJob)
             ? mState.Fleet().At(aWorker).mCapacity - committedAfterStops.At(aWorker)
             : resources{};
  };
  const auto mayStop = [&](const running_gang& aGang) {
    return MayPreempt(aJob, aGang);
  };
  const auto packed = PackGang(mState.Fleet(), { aJob.mShape, spare, {}, false });
  const auto victims =
    packed ? ChooseVictims(mState.MakeVictimSearch(mayStop), aJob.mShape, *packed)
           : std::nullopt;
  if (!victims) {
    RememberFailure(mUnpreemptable, key, aJob);
    return false;
  }
  mState.Start(aJob, *packed, std::nullopt, *victims);
  return true;
}

std::string planning_round::WaitReason(const waiting_job& aJob) const
{
  if (mDrains.IsReservedFor(aJob.mId)) {
    return "rack " + mDrains.RackFor(aJob.mId) + " is being drained for this job";
  }
  if (!aJob.mRestartable) {
    return "the guaranteed shape is in use or not backed by the fleet";
  }
  return aJob.mShape.mAdjacency == adjacency::kRack
           ? "no rack has enough adjacent free capacity"
           : "the fleet does not have enough free capacity";
}

} // namespace anvildoor
