#include "planner/RackDrains.h"

#include "planner/Packing.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr size_t kPercent = 100;
/** Run time from which a gang is a straggler, as a multiple of drain_after_ms. */
constexpr int64_t kStragglerAgeFactor = 7;

} // namespace

rack_drains::rack_drains(round_state& aState,
                         std::vector<rack_reservation> aReservations)
  : mState(aState)
  , mReservations(std::move(aReservations))
{
}

const waiting_job* rack_drains::FindWaitingJob(const std::string& aJob) const
{
  for (const auto& job : mState.Input().mWaiting) {
    if (job.mId == aJob) {
      return &job;
    }
  }
  return nullptr;
}

const std::string& rack_drains::RackName(size_t aRack) const
{
  return mState.Fleet().At(mState.Fleet().Racks()[aRack].front()).mRack;
}

size_t rack_drains::FindRack(const std::string& aName) const
{
  size_t rack = 0;
  while (rack < mState.Fleet().Racks().size() && RackName(rack) != aName) {
    ++rack;
  }
  return rack;
}

/**
 * Moves a reservation if another rack is expected to be free earlier by more than the
 * hysteresis, which prevents frequent moves.
 */
void rack_drains::Refresh()
{
  std::vector<rack_reservation> kept;
  for (auto& reservation : mReservations) {
    const auto* job = FindWaitingJob(reservation.mJob);
    if (job == nullptr) {
      continue;
    }
    const size_t rack = FindRack(reservation.mRack);
    const auto freeAt = rack < mState.Fleet().Racks().size()
                          ? ExpectedFree(rack, *job, reservation.mReservedAt)
                          : std::nullopt;
    const auto best = BestRack(*job, reservation.mReservedAt);
    const duration hysteresis(mState.SettingsFor(*job).mDrainAfterMs);
    if (best && (!freeAt || best->mFreeAt + hysteresis < *freeAt)) {
      reservation.mRack = best->mRack;
      reservation.mExpectedFree = best->mFreeAt;
      kept.push_back(reservation);
    } else if (freeAt) {
      reservation.mExpectedFree = *freeAt;
      kept.push_back(reservation);
    }
  }
  mReservations = std::move(kept);
}

void rack_drains::StartReady()
{
  const auto reservations = mReservations;
  for (const auto& reservation : reservations) {
    const auto* job = FindWaitingJob(reservation.mJob);
    if (job != nullptr && !mState.IsStarted(job->mId)) {
      TryStart(*job, reservation);
    }
  }
}

bool rack_drains::IsReservedFor(const std::string& aJob) const
{
  return !RackFor(aJob).empty();
}

std::string rack_drains::RackFor(const std::string& aJob) const
{
  for (const auto& reservation : mReservations) {
    if (reservation.mJob == aJob) {
      return reservation.mRack;
    }
  }
  return {};
}

bool rack_drains::MayBackfill(size_t aRack, const waiting_job& aJob) const
{
  const auto& rack = RackName(aRack);
  return std::none_of(
    mReservations.begin(), mReservations.end(), [&](const auto& aReservation) {
      // Checkpointable jobs can be preempted without loss once the rack is ready.
      const bool isPreemptible =
        aJob.mCheckpointable && aJob.mShape.Accelerators() < aReservation.mAccelerators;
      return aReservation.mRack == rack && aReservation.mJob != aJob.mId &&
             !isPreemptible &&
             mState.Input().mNow + aJob.mExpectedRunTime > aReservation.mExpectedFree;
    });
}

/**
 * Backfilled gangs must not delay the reservation and may be stopped at any time. Older
 * borrowers are checkpointed only after the reservation is older than drain_after_ms.
 */
bool rack_drains::MayPreempt(const waiting_job& aJob,
                             const rack_reservation& aReservation,
                             const running_gang& aGang) const
{
  const int64_t drainAfterMs = mState.SettingsFor(aJob).mDrainAfterMs;
  const duration reservedFor = mState.Input().mNow - aReservation.mReservedAt;
  const duration runTime = mState.Input().mNow - aGang.mStarted;
  const bool isOverdue = reservedFor.count() >= drainAfterMs;
  const bool isBackfilled = aGang.mStarted >= aReservation.mReservedAt;
  const bool isSmaller = aGang.mShape.Accelerators() < aJob.mShape.Accelerators();
  // Interactive gangs usually end soon and are left to run. One that has already run
  // for a long time may be preempted too, because it would block the rack.
  const bool isStraggler = aGang.mClass != work_class::kUrgent && isOverdue &&
                           aGang.mCheckpointable &&
                           runTime.count() >= kStragglerAgeFactor * drainAfterMs;
  const bool isPreemptible = aGang.mClass >= aJob.mClass &&
                             (isBackfilled || (isOverdue && aGang.mCheckpointable));
  return isSmaller && (isStraggler || isPreemptible);
}

bool rack_drains::TryStart(const waiting_job& aJob,
                           const rack_reservation& aReservation)
{
  const auto mayStop = [&](const running_gang& aGang) {
    return aGang.IsReclaimable() && MayPreempt(aJob, aReservation, aGang);
  };
  auto committedAfterStops = mState.Committed();
  for (const auto& gang : mState.Running()) {
    if (mayStop(gang)) {
      committedAfterStops.SubtractGang(mState.Fleet(), gang.mShape, gang.mPlacement);
    }
  }
  const auto spare = [&](size_t aWorker) {
    const auto& worker = mState.Fleet().At(aWorker);
    const bool usable =
      mState.MayUse(aWorker, aJob) && worker.mRack == aReservation.mRack;
    return usable ? worker.mCapacity - committedAfterStops.At(aWorker) : resources{};
  };
  const auto packed = PackGang(mState.Fleet(), { aJob.mShape, spare, {}, false });
  if (!packed) {
    return false;
  }
  const auto victims =
    ChooseVictims(mState.MakeVictimSearch(mayStop), aJob.mShape, *packed);
  if (!victims) {
    return false;
  }
  mState.Start(aJob, *packed, std::nullopt, *victims);
  std::erase_if(mReservations,
                [&](const auto& aItem) { return aItem.mJob == aJob.mId; });
  return true;
}

/**
 * Returns when a rack is expected to hold the gang. Assumes that gangs which may be
 * preempted for it stop no later than drain_after_ms after the reservation.
 */
std::optional<time_point> rack_drains::ExpectedFree(size_t aRack,
                                                    const waiting_job& aJob,
                                                    time_point aReservedAt) const
{
  const auto& shape = aJob.mShape;
  const auto now = mState.Input().mNow;
  const auto preemptAt = aReservedAt + duration(mState.SettingsFor(aJob).mDrainAfterMs);
  std::vector<std::pair<time_point, const running_gang*>> ends;
  for (const size_t index : mState.GangsInRack(aRack)) {
    const auto& gang = mState.Running()[index];
    if (gang.mStopping) {
      continue;
    }
    const bool mayPreempt = gang.IsReclaimable() && gang.mCheckpointable &&
                            gang.mClass >= aJob.mClass &&
                            gang.mShape.Accelerators() < shape.Accelerators();
    const auto expectedEnd = gang.mStarted + gang.mExpectedRunTime;
    const auto end = mayPreempt ? std::min(expectedEnd, preemptAt) : expectedEnd;
    ends.emplace_back(std::max(end, now), &gang);
  }
  std::sort(ends.begin(), ends.end());
  auto used = mState.Committed();
  const auto gangFits = [&] {
    const auto spare = [&](size_t aWorker) {
      const auto& worker = mState.Fleet().At(aWorker);
      return worker.mUsable ? worker.mCapacity - used.At(aWorker) : resources{};
    };
    return CountTasks(mState.Fleet().Racks()[aRack], shape, spare) >= shape.mTasks;
  };
  time_point freeAt = now;
  for (const auto& [end, gang] : ends) {
    if (gangFits()) {
      return freeAt;
    }
    used.SubtractGang(mState.Fleet(), gang->mShape, gang->mPlacement);
    freeAt = end;
  }
  return gangFits() ? std::optional(freeAt) : std::nullopt;
}

/** Returns the unreserved rack that is expected to hold the gang earliest. */
std::optional<rack_drains::rack_choice> rack_drains::BestRack(
  const waiting_job& aJob,
  time_point aReservedAt) const
{
  std::optional<rack_choice> best;
  for (size_t rack = 0; rack < mState.Fleet().Racks().size(); ++rack) {
    const bool isReserved =
      std::any_of(mReservations.begin(), mReservations.end(), [&](const auto& aItem) {
        return aItem.mRack == RackName(rack);
      });
    const auto freeAt =
      isReserved ? std::nullopt : ExpectedFree(rack, aJob, aReservedAt);
    if (freeAt && (!best || *freeAt < best->mFreeAt)) {
      best = rack_choice{ RackName(rack), *freeAt };
    }
  }
  return best;
}

/** Returns how many racks may drain at once; grows with the fragmentation weight. */
size_t rack_drains::MaxReservations() const
{
  const auto& defaults = mState.Input().mConfig.mDefaults;
  const auto weight = static_cast<size_t>(defaults.mCompletionWeightPercent);
  const size_t racks = mState.Fleet().Racks().size();
  return std::max<size_t>(1, (racks * (kPercent - weight) + kPercent - 1) / kPercent);
}

void rack_drains::MaybeReserve(const waiting_job& aJob)
{
  const auto now = mState.Input().mNow;
  const duration waited = now - aJob.mSubmitted;
  const bool isDue = aJob.mRestartable && aJob.mShape.mAdjacency == adjacency::kRack &&
                     waited.count() >= mState.SettingsFor(aJob).mDrainAfterMs &&
                     mReservations.size() < MaxReservations() &&
                     !IsReservedFor(aJob.mId);
  if (!isDue) {
    return;
  }
  if (const auto best = BestRack(aJob, now)) {
    mReservations.push_back(
      { aJob.mId, best->mRack, aJob.mShape.Accelerators(), now, best->mFreeAt });
  }
}

} // namespace anvildoor
