#include "planner/PlanningRound.h"

#include "planner/Packing.h"

#include <algorithm>
#include <limits>

namespace anvildoor {

namespace {

constexpr int64_t kPercent = 100;
constexpr int64_t kStragglerBounds = 7; ///< Times the bound after which a rack drains.
constexpr int64_t kShareScale = 1'000'000;

} // namespace

planning_round::planning_round(const planner_input& aInput,
                               guarantee_plan aPlan,
                               std::vector<rack_reservation> aReservations)
  : mInput(aInput)
  , mPlan(std::move(aPlan))
  , mReservations(std::move(aReservations))
  , mRunning(WithValidGuarantees(aInput.mRunning, mPlan.Shapes()))
  , mGangs(aInput.mFleet.Size())
  , mGangsByRack(aInput.mFleet.Racks().size())
  , mCommitted(aInput.mFleet.Size())
  , mReserved(aInput.mFleet.Size())
{
  for (const auto& gang : mRunning) {
    if (!gang.mStopping) {
      mCommitted.AddGang(mInput.mFleet, gang.mShape, gang.mPlacement);
    }
    if (!gang.mGuaranteed && !gang.mStopping) {
      mBorrowed[gang.mWorkspace] += std::max<int64_t>(1, gang.mShape.Accelerators());
    }
  }
  for (size_t gang = 0; gang < mRunning.size(); ++gang) {
    IndexGang(gang);
  }
  for (const auto& shape : mPlan.Shapes()) {
    mReserved.AddGang(mInput.mFleet, shape.mShape, shape.mReserved);
  }
}

void planning_round::IndexGang(size_t aGang)
{
  std::set<size_t> racks;
  for (const auto& part : mRunning[aGang].mPlacement) {
    const size_t worker = mInput.mFleet.Find(part.mWorker);
    if (worker < mInput.mFleet.Size()) {
      mGangs[worker].push_back(aGang);
      racks.insert(mInput.mFleet.RackOf(worker));
    }
  }
  for (const size_t rack : racks) {
    mGangsByRack[rack].push_back(aGang);
  }
}

planner_decision planning_round::Run()
{
  RefreshReservations();
  // Guarantees come before borrowing, so that no borrower of this round is in the way.
  ServeGuarantees();
  ServeReservations();
  auto queues = QueuesByRank();
  for (auto& [rank, byWorkspace] : queues) {
    ServeRank(byWorkspace);
  }
  // The oldest gang gets the next rack, whoever it belongs to.
  std::stable_sort(mLeft.begin(), mLeft.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->mSubmitted < aRight->mSubmitted;
  });
  for (const auto* job : mLeft) {
    MaybeReserve(*job);
    Wait(*job, WaitReason(*job));
  }
  return std::move(mDecision);
}

void planning_round::ServeGuarantees()
{
  job_queue jobs;
  for (const auto& job : mInput.mWaiting) {
    jobs.push_back(&job);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [this](auto* aLeft, auto* aRight) {
    return std::pair(RankOf(*aLeft), aLeft->mSubmitted) <
           std::pair(RankOf(*aRight), aRight->mSubmitted);
  });
  std::set<std::pair<std::string, gang_shape>> unplaceable;
  for (const auto* job : jobs) {
    const std::pair memo(job->mWorkspace, job->mShape);
    if (unplaceable.count(memo) == 0 && !TryGuaranteed(*job) && job->mAvoid.empty()) {
      unplaceable.insert(memo);
    }
  }
}

/** A gang whose rack is ready starts before new work can take its place. */
void planning_round::ServeReservations()
{
  const auto reservations = mReservations;
  for (const auto& reservation : reservations) {
    const auto job =
      std::find_if(mInput.mWaiting.begin(),
                   mInput.mWaiting.end(),
                   [&](const auto& aJob) { return aJob.mId == reservation.mJob; });
    if (job != mInput.mWaiting.end() && mStarted.count(job->mId) == 0) {
      TryReserved(*job, reservation);
    }
  }
}

int planning_round::RankOf(const waiting_job& aJob) const
{
  const duration waited = mInput.mNow - aJob.mSubmitted;
  if (aJob.mClass == work_class::kBatch &&
      waited.count() >= Settings(aJob).mBatchMaxWaitMs) {
    return static_cast<int>(work_class::kInteractive);
  }
  return static_cast<int>(aJob.mClass);
}

std::map<int, std::map<std::string, planning_round::job_queue>>
planning_round::QueuesByRank() const
{
  std::map<int, std::map<std::string, job_queue>> queues;
  for (const auto& job : mInput.mWaiting) {
    if (mStarted.count(job.mId) != 0) {
      continue;
    }
    queues[RankOf(job)][job.mWorkspace].push_back(&job);
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

int64_t planning_round::ShareOf(const std::string& aWorkspace) const
{
  const auto config = mInput.mConfig.mWorkspaces.find(aWorkspace);
  const int64_t weight =
    config == mInput.mConfig.mWorkspaces.end() ? 1 : config->second.mWeight;
  const auto borrowed = mBorrowed.find(aWorkspace);
  const int64_t amount = borrowed == mBorrowed.end() ? 0 : borrowed->second;
  return amount * kShareScale / weight;
}

/** Serves the workspace that borrows least for its weight, one job at a time. */
void planning_round::ServeRank(std::map<std::string, job_queue>& aQueues)
{
  std::set<std::pair<int64_t, std::string>> order;
  for (const auto& [workspace, queue] : aQueues) {
    order.emplace(ShareOf(workspace), workspace);
  }
  while (!order.empty()) {
    const auto [share, workspace] = *order.begin();
    order.erase(order.begin());
    const int64_t current = ShareOf(workspace);
    if (current != share) {
      order.emplace(current, workspace); // A borrower of it was stopped meanwhile.
      continue;
    }
    auto& queue = aQueues[workspace];
    const waiting_job& job = *queue.back();
    queue.pop_back();
    if (!TryStart(job)) {
      mLeft.push_back(&job);
    }
    if (!queue.empty()) {
      order.emplace(ShareOf(workspace), workspace);
    }
  }
}

bool planning_round::TryStart(const waiting_job& aJob)
{
  if (!aJob.mRestartable) {
    return false;
  }
  if (const auto* reservation = ReservationOf(aJob.mId)) {
    return TryReserved(aJob, *reservation);
  }
  return TryBorrow(aJob) || TryPreempt(aJob);
}

// Guaranteed shapes

bool planning_round::IsInUse(const shape_id& aShape) const
{
  return std::any_of(mRunning.begin(), mRunning.end(), [&](const auto& aGang) {
    return aGang.mGuaranteed == aShape;
  });
}

worker_amounts planning_round::SpareInShape(const planned_shape& aShape) const
{
  worker_amounts spare(mInput.mFleet.Size());
  spare.AddGang(mInput.mFleet, aShape.mShape, aShape.mReserved);
  for (const auto& gang : mRunning) {
    if (gang.mGuaranteed == aShape.mId) {
      spare.SubtractGang(mInput.mFleet, gang.mShape, gang.mPlacement);
    }
  }
  return spare;
}

std::optional<planning_round::guaranteed_option> planning_round::OptionIn(
  const planned_shape& aShape,
  const waiting_job& aJob) const
{
  const auto spare = SpareInShape(aShape);
  const auto usable = [&](size_t aWorker) {
    const auto& worker = mInput.mFleet.At(aWorker);
    const bool avoided = aJob.mAvoid.count(worker.mId) != 0;
    return worker.mUsable && !avoided ? spare.At(aWorker) : resources{};
  };
  const auto packed = PackGang(mInput.mFleet, { aJob.mShape, usable, {}, false });
  if (!packed) {
    return std::nullopt;
  }
  const auto any = [](const running_gang&) { return true; };
  auto victims = ChooseVictims(Search(any), aJob.mShape, *packed);
  if (!victims) {
    return std::nullopt;
  }
  return guaranteed_option{ aShape.mId, *packed, std::nullopt, *victims };
}

/** The place for a shape that costs least: free if there is one, else by its victims.
 */
std::optional<planning_round::guaranteed_option> planning_round::MoveOption(
  const planned_shape& aShape,
  const waiting_job& aJob) const
{
  auto reserved = mReserved;
  reserved.SubtractGang(mInput.mFleet, aShape.mShape, aShape.mReserved);
  const auto outside = UnreclaimableOutside(mInput.mFleet, mRunning, mPlan.Shapes());
  const auto plannable = [&](size_t aWorker) {
    const auto& worker = mInput.mFleet.At(aWorker);
    const bool usable = worker.mUsable && aJob.mAvoid.count(worker.mId) == 0;
    return usable ? worker.mCapacity - reserved.At(aWorker) - outside.At(aWorker)
                  : resources{};
  };
  const auto alsoFree = [&](size_t aWorker) {
    const auto open = plannable(aWorker);
    const auto free = FreeOn(aWorker);
    return resources{ std::min(open.mAccelerators, free.mAccelerators),
                      std::min(open.mCores, free.mCores),
                      std::min(open.mMemoryMb, free.mMemoryMb) };
  };
  if (auto free = OptionAt(aShape, aJob, alsoFree)) {
    return free;
  }
  std::optional<guaranteed_option> best;
  for (size_t rack = 0; rack < mInput.mFleet.Racks().size(); ++rack) {
    const auto inRack = [&](size_t aWorker) {
      return mInput.mFleet.RackOf(aWorker) == rack ? plannable(aWorker) : resources{};
    };
    auto option = OptionAt(aShape, aJob, inRack);
    if (option && (!best || option->mVictims.mCost < best->mVictims.mCost)) {
      best = std::move(option);
    }
  }
  return best;
}

std::optional<planning_round::guaranteed_option> planning_round::OptionAt(
  const planned_shape& aShape,
  const waiting_job& aJob,
  const std::function<resources(size_t)>& aSpare) const
{
  const auto moved = PackGang(mInput.mFleet, { aShape.mShape, aSpare, {}, false });
  if (!moved) {
    return std::nullopt;
  }
  planned_shape there = aShape;
  there.mReserved = *moved;
  auto option = OptionIn(there, aJob);
  if (option) {
    option->mMoveTo = *moved;
  }
  return option;
}

bool planning_round::TryGuaranteed(const waiting_job& aJob)
{
  std::optional<guaranteed_option> best;
  const auto consider = [&best](const std::optional<guaranteed_option>& aOption) {
    if (aOption && (!best || aOption->mVictims.mCost < best->mVictims.mCost)) {
      best = aOption;
    }
  };
  for (const auto& shape : mPlan.Shapes()) {
    const bool usable = shape.mId.mWorkspace == aJob.mWorkspace && shape.mBacked &&
                        FitsIn(aJob.mShape.mPerTask, shape.mShape.mPerTask) &&
                        aJob.mShape.mTasks <= shape.mShape.mTasks;
    if (!usable) {
      continue;
    }
    consider(OptionIn(shape, aJob));
    if (!IsInUse(shape.mId) && (!best || !best->mVictims.mJobs.empty())) {
      consider(MoveOption(shape, aJob));
    }
  }
  if (!best) {
    return false;
  }
  if (best->mMoveTo) {
    const auto* shape = mPlan.Find(best->mShape);
    mReserved.SubtractGang(mInput.mFleet, shape->mShape, shape->mReserved);
    mReserved.AddGang(mInput.mFleet, shape->mShape, *best->mMoveTo);
    mPlan = mPlan.Moved(best->mShape, *best->mMoveTo);
  }
  Commit(aJob, best->mPlacement, best->mShape, best->mVictims);
  return true;
}

// Borrowing

resources planning_round::FreeOn(size_t aWorker) const
{
  return mInput.mFleet.At(aWorker).mCapacity - mCommitted.At(aWorker);
}

resources planning_round::BorrowSpare(size_t aWorker, const waiting_job& aJob) const
{
  const auto& worker = mInput.mFleet.At(aWorker);
  const bool usable = worker.mUsable && aJob.mAvoid.count(worker.mId) == 0 &&
                      MayBackfill(mInput.mFleet.RackOf(aWorker), aJob);
  return usable ? FreeOn(aWorker) : resources{};
}

bool planning_round::MayBackfill(size_t aRack, const waiting_job& aJob) const
{
  const auto& rack = mInput.mFleet.At(mInput.mFleet.Racks()[aRack].front()).mRack;
  return std::none_of(
    mReservations.begin(), mReservations.end(), [&](const auto& aReservation) {
      // What can be checkpointed gives way without loss when the rack is ready.
      const bool givesWay =
        aJob.mCheckpointable && aJob.mShape.Accelerators() < aReservation.mAccelerators;
      return aReservation.mRack == rack && aReservation.mJob != aJob.mId && !givesWay &&
             mInput.mNow + aJob.mExpected > aReservation.mExpectedFree;
    });
}

/** Weighs the borrower's risk of being reclaimed against the rack space it breaks. */
int64_t planning_round::BorrowCost(size_t aRack, const waiting_job& aJob) const
{
  int64_t free = 0;
  int64_t unreserved = 0;
  for (const size_t worker : mInput.mFleet.Racks()[aRack]) {
    const auto& capacity = mInput.mFleet.At(worker).mCapacity;
    const int64_t idle = std::max<int64_t>(0, FreeOn(worker).mAccelerators);
    free += idle;
    unreserved +=
      std::min(idle, capacity.mAccelerators - mReserved.At(worker).mAccelerators);
  }
  const int64_t need = aJob.mShape.Accelerators();
  const int64_t overlap = std::max<int64_t>(0, need - unreserved);
  const int64_t leftover = std::max<int64_t>(0, free - need);
  const int64_t weight = Settings(aJob).mCompletionWeightPercent;
  return weight * overlap + (kPercent - weight) * leftover;
}

bool planning_round::TryBorrow(const waiting_job& aJob)
{
  const std::pair memo(aJob.mShape, aJob.mAvoid.empty() && mReservations.empty());
  if (memo.second && mUnplaceable.count(memo) != 0) {
    return false;
  }
  const auto spare = [&](size_t aWorker) { return BorrowSpare(aWorker, aJob); };
  const auto cost = [&](size_t aRack) { return BorrowCost(aRack, aJob); };
  const auto packed = PackGang(mInput.mFleet, { aJob.mShape, spare, cost, false });
  if (!packed) {
    mUnplaceable.insert(memo);
    return false;
  }
  Commit(aJob, *packed, std::nullopt, {});
  return true;
}

bool planning_round::MayPreempt(const waiting_job& aJob,
                                const running_gang& aGang) const
{
  return aGang.IsReclaimable() && aGang.mClass == work_class::kBatch &&
         aGang.mWorkspace != aJob.mWorkspace;
}

/** Urgent work beyond its guarantee may stop other workspaces' batch borrowers. */
bool planning_round::TryPreempt(const waiting_job& aJob)
{
  const std::pair memo(aJob.mWorkspace, aJob.mShape);
  if (aJob.mClass != work_class::kUrgent || mUnpreemptable.count(memo) != 0) {
    return false;
  }
  auto idle = mCommitted;
  for (const auto& gang : mRunning) {
    if (MayPreempt(aJob, gang)) {
      idle.SubtractGang(mInput.mFleet, gang.mShape, gang.mPlacement);
    }
  }
  const auto spare = [&](size_t aWorker) {
    const auto& worker = mInput.mFleet.At(aWorker);
    const bool usable = worker.mUsable && aJob.mAvoid.count(worker.mId) == 0;
    return usable ? worker.mCapacity - idle.At(aWorker) : resources{};
  };
  const auto packed = PackGang(mInput.mFleet, { aJob.mShape, spare, {}, false });
  if (!packed) {
    return false;
  }
  const auto mayStop = [&](const running_gang& aGang) {
    return MayPreempt(aJob, aGang);
  };
  const auto victims = ChooseVictims(Search(mayStop), aJob.mShape, *packed);
  if (!victims) {
    return false;
  }
  Commit(aJob, *packed, std::nullopt, *victims);
  return true;
}

// Reservations

/**
 * Drops what nobody waits for any more and dates the others anew. A reservation moves
 * to a rack that will be ready clearly sooner; hysteresis keeps it from moving often.
 */
void planning_round::RefreshReservations()
{
  std::vector<rack_reservation> kept;
  for (auto& reservation : mReservations) {
    const auto job =
      std::find_if(mInput.mWaiting.begin(),
                   mInput.mWaiting.end(),
                   [&](const auto& aJob) { return aJob.mId == reservation.mJob; });
    if (job == mInput.mWaiting.end()) {
      continue;
    }
    const size_t rack = RackNamed(reservation.mRack);
    const auto free = rack < mInput.mFleet.Racks().size()
                        ? ExpectedFree(rack, *job, reservation.mSince)
                        : std::nullopt;
    const auto best = BestRack(*job, reservation.mSince);
    const duration hysteresis(Settings(*job).mDrainAfterMs);
    if (best && (!free || best->mFree + hysteresis < *free)) {
      reservation.mRack = best->mRack;
      reservation.mExpectedFree = best->mFree;
      kept.push_back(reservation);
    } else if (free) {
      reservation.mExpectedFree = *free;
      kept.push_back(reservation);
    }
  }
  mReservations = std::move(kept);
}

size_t planning_round::RackNamed(const std::string& aName) const
{
  const auto& racks = mInput.mFleet.Racks();
  const auto found = std::find_if(racks.begin(), racks.end(), [&](const auto& aRack) {
    return mInput.mFleet.At(aRack.front()).mRack == aName;
  });
  return static_cast<size_t>(found - racks.begin());
}

rack_reservation* planning_round::ReservationOf(const std::string& aJob)
{
  for (auto& reservation : mReservations) {
    if (reservation.mJob == aJob) {
      return &reservation;
    }
  }
  return nullptr;
}

/**
 * Backfilled gangs never delay the reservation: they are stopped when they are in the
 * way. Older borrowers get a second bound before their checkpoints are called for.
 */
bool planning_round::MayClear(const waiting_job& aJob,
                              const rack_reservation& aReservation,
                              const running_gang& aGang) const
{
  const duration held = mInput.mNow - aReservation.mSince;
  const bool overdue = held.count() >= Settings(aJob).mDrainAfterMs;
  const bool backfilled = aGang.mStarted >= aReservation.mSince;
  const bool smaller = aGang.mShape.Accelerators() < aJob.mShape.Accelerators();
  // Short interactive work ends by itself; what has run for long would hold up the
  // rack.
  const int64_t bound = Settings(aJob).mDrainAfterMs;
  const duration ran = mInput.mNow - aGang.mStarted;
  const bool straggles = aGang.mClass != work_class::kUrgent && overdue &&
                         aGang.mCheckpointable &&
                         ran.count() >= kStragglerBounds * bound;
  const bool givesWay =
    aGang.mClass >= aJob.mClass && (backfilled || (overdue && aGang.mCheckpointable));
  return smaller && (straggles || givesWay);
}

bool planning_round::TryReserved(const waiting_job& aJob,
                                 const rack_reservation& aReservation)
{
  const auto mayStop = [&](const running_gang& aGang) {
    return aGang.IsReclaimable() && MayClear(aJob, aReservation, aGang);
  };
  auto remaining = mCommitted;
  for (const auto& gang : mRunning) {
    if (mayStop(gang)) {
      remaining.SubtractGang(mInput.mFleet, gang.mShape, gang.mPlacement);
    }
  }
  const auto spare = [&](size_t aWorker) {
    const auto& worker = mInput.mFleet.At(aWorker);
    const bool usable = worker.mUsable && worker.mRack == aReservation.mRack &&
                        aJob.mAvoid.count(worker.mId) == 0;
    return usable ? worker.mCapacity - remaining.At(aWorker) : resources{};
  };
  const auto packed = PackGang(mInput.mFleet, { aJob.mShape, spare, {}, false });
  if (!packed) {
    return TryBorrow(aJob);
  }
  const auto victims = ChooseVictims(Search(mayStop), aJob.mShape, *packed);
  if (!victims) {
    return false;
  }
  const auto job = aJob.mId;
  Commit(aJob, *packed, std::nullopt, *victims);
  std::erase_if(mReservations, [&](const auto& aItem) { return aItem.mJob == job; });
  return true;
}

/** When a rack can hold the gang, given what the reservation may clear by then. */
std::optional<time_point> planning_round::ExpectedFree(size_t aRack,
                                                       const waiting_job& aJob,
                                                       time_point aSince) const
{
  const auto& shape = aJob.mShape;
  const auto clearAt = aSince + duration(Settings(aJob).mDrainAfterMs);
  const auto& workers = mInput.mFleet.Racks()[aRack];
  auto used = mCommitted;
  const auto spare = [&](size_t aWorker) {
    const auto& worker = mInput.mFleet.At(aWorker);
    return worker.mUsable ? worker.mCapacity - used.At(aWorker) : resources{};
  };
  std::vector<std::pair<time_point, const running_gang*>> ends;
  for (const size_t index : mGangsByRack[aRack]) {
    const auto& gang = mRunning[index];
    if (!gang.mStopping) {
      const bool clearable = gang.IsReclaimable() && gang.mCheckpointable &&
                             gang.mClass >= aJob.mClass &&
                             gang.mShape.Accelerators() < shape.Accelerators();
      const auto runsTo = gang.mStarted + gang.mExpected;
      const auto end = clearable ? std::min(runsTo, clearAt) : runsTo;
      ends.emplace_back(std::max(end, mInput.mNow), &gang);
    }
  }
  std::sort(ends.begin(), ends.end());
  time_point free = mInput.mNow;
  for (const auto& [end, gang] : ends) {
    if (CountTasks(workers, shape, spare) >= shape.mTasks) {
      return free;
    }
    used.SubtractGang(mInput.mFleet, gang->mShape, gang->mPlacement);
    free = end;
  }
  if (CountTasks(workers, shape, spare) >= shape.mTasks) {
    return free;
  }
  return std::nullopt;
}

void planning_round::MaybeReserve(const waiting_job& aJob)
{
  const duration waited = mInput.mNow - aJob.mSubmitted;
  const bool due = aJob.mRestartable && aJob.mShape.mAdjacency == adjacency::kRack &&
                   waited.count() >= Settings(aJob).mDrainAfterMs &&
                   mReservations.size() < ReservationLimit() &&
                   ReservationOf(aJob.mId) == nullptr;
  if (!due) {
    return;
  }
  if (const auto best = BestRack(aJob, mInput.mNow)) {
    mReservations.push_back(
      { aJob.mId, best->mRack, aJob.mShape.Accelerators(), mInput.mNow, best->mFree });
  }
}

/** The more fragmentation weighs, the more racks may be drained at once. */
size_t planning_round::ReservationLimit() const
{
  const auto weight =
    static_cast<size_t>(mInput.mConfig.mDefaults.mCompletionWeightPercent);
  const size_t racks = mInput.mFleet.Racks().size();
  return std::max<size_t>(1, (racks * (kPercent - weight) + kPercent - 1) / kPercent);
}

/** Returns the rack, not reserved yet, that can hold the gang soonest. */
std::optional<planning_round::rack_choice> planning_round::BestRack(
  const waiting_job& aJob,
  time_point aSince) const
{
  std::optional<rack_choice> best;
  for (size_t rack = 0; rack < mInput.mFleet.Racks().size(); ++rack) {
    const auto& name = mInput.mFleet.At(mInput.mFleet.Racks()[rack].front()).mRack;
    const bool taken =
      std::any_of(mReservations.begin(), mReservations.end(), [&](const auto& aItem) {
        return aItem.mRack == name;
      });
    const auto free = taken ? std::nullopt : ExpectedFree(rack, aJob, aSince);
    if (free && (!best || *free < best->mFree)) {
      best = rack_choice{ name, *free };
    }
  }
  return best;
}

// Outcome

victim_search planning_round::Search(
  std::function<bool(const running_gang&)> aMayStop) const
{
  auto mayStop = [this, inner = std::move(aMayStop)](const running_gang& aGang) {
    return mStarted.count(aGang.mJob) == 0 && inner(aGang);
  };
  return {
    mInput.mFleet, mRunning, mGangs, mCommitted, std::move(mayStop), mInput.mNow
  };
}

fleet_defaults planning_round::Settings(const waiting_job& aJob) const
{
  return mInput.mConfig.DefaultsFor(aJob.mWorkspace);
}

void planning_round::Commit(const waiting_job& aJob,
                            const placement& aPlacement,
                            const std::optional<shape_id>& aGuaranteed,
                            const victim_choice& aVictims)
{
  for (auto& gang : mRunning) {
    const auto& victims = aVictims.mJobs;
    if (std::find(victims.begin(), victims.end(), gang.mJob) != victims.end()) {
      gang.mStopping = true;
      mCommitted.SubtractGang(mInput.mFleet, gang.mShape, gang.mPlacement);
      mBorrowed[gang.mWorkspace] -= std::max<int64_t>(1, gang.mShape.Accelerators());
      mUnplaceable.clear();
      mUnpreemptable.clear();
    }
  }
  running_gang started;
  started.mJob = aJob.mId;
  started.mWorkspace = aJob.mWorkspace;
  started.mClass = aJob.mClass;
  started.mShape = aJob.mShape;
  started.mPlacement = aPlacement;
  started.mGuaranteed = aGuaranteed;
  started.mRestartable = aJob.mRestartable;
  started.mStarted = mInput.mNow;
  started.mExpected = aJob.mExpected;
  if (!aGuaranteed) {
    mBorrowed[aJob.mWorkspace] += std::max<int64_t>(1, aJob.mShape.Accelerators());
  }
  mCommitted.AddGang(mInput.mFleet, aJob.mShape, aPlacement);
  mRunning.push_back(std::move(started));
  mStarted.insert(aJob.mId);
  IndexGang(mRunning.size() - 1);
  mDecision.mStarts.push_back({ aJob.mId, aPlacement, aGuaranteed, aVictims.mJobs });
}

void planning_round::Wait(const waiting_job& aJob, const std::string& aReason)
{
  mDecision.mWaits.push_back({ aJob.mId, aReason });
}

std::string planning_round::WaitReason(const waiting_job& aJob) const
{
  for (const auto& reservation : mReservations) {
    if (reservation.mJob == aJob.mId) {
      return "rack " + reservation.mRack + " is being drained for it";
    }
  }
  if (!aJob.mRestartable) {
    return "its guaranteed shape is in use or not backed by the fleet";
  }
  return aJob.mShape.mAdjacency == adjacency::kRack
           ? "no rack has enough adjacent free capacity"
           : "the fleet has not enough free capacity";
}

} // namespace anvildoor
