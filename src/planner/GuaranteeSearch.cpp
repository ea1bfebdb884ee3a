#include "planner/GuaranteeSearch.h"

#include "planner/Packing.h"

#include <algorithm>

namespace anvildoor {

guarantee_search::guarantee_search(round_state& aState)
  : mState(aState)
{
}

bool guarantee_search::IsInUse(const shape_id& aShape) const
{
  return std::any_of(mState.Running().begin(),
                     mState.Running().end(),
                     [&](const auto& aGang) { return aGang.mGuaranteed == aShape; });
}

worker_amounts guarantee_search::SpareInShape(const planned_shape& aShape) const
{
  worker_amounts spare(mState.Fleet().Size());
  spare.AddGang(mState.Fleet(), aShape.mShape, aShape.mReserved);
  for (const auto& gang : mState.Running()) {
    if (gang.mGuaranteed == aShape.mId) {
      spare.SubtractGang(mState.Fleet(), gang.mShape, gang.mPlacement);
    }
  }
  return spare;
}

std::optional<guarantee_search::option> guarantee_search::OptionIn(
  const planned_shape& aShape,
  const waiting_job& aJob) const
{
  const auto spare = SpareInShape(aShape);
  const auto usable = [&](size_t aWorker) {
    return mState.MayUse(aWorker, aJob) ? spare.At(aWorker) : resources{};
  };
  const auto packed = PackGang(mState.Fleet(), { aJob.mShape, usable, {}, false });
  if (!packed) {
    return std::nullopt;
  }
  const auto any = [](const running_gang&) { return true; };
  auto victims = ChooseVictims(mState.MakeVictimSearch(any), aJob.mShape, *packed);
  if (!victims) {
    return std::nullopt;
  }
  return option{ aShape.mId, *packed, std::nullopt, *victims };
}

/** Prefers a move to free workers, otherwise to the rack with the cheapest victims. */
std::optional<guarantee_search::option> guarantee_search::MoveOption(
  const planned_shape& aShape,
  const waiting_job& aJob) const
{
  auto reserved = mState.Reserved();
  reserved.SubtractGang(mState.Fleet(), aShape.mShape, aShape.mReserved);
  const auto outside =
    UnreclaimableOutside(mState.Fleet(), mState.Running(), mState.Plan().Shapes());
  const auto plannable = [&](size_t aWorker) {
    const auto& worker = mState.Fleet().At(aWorker);
    return mState.MayUse(aWorker, aJob)
             ? worker.mCapacity - reserved.At(aWorker) - outside.At(aWorker)
             : resources{};
  };
  const auto plannableAndFree = [&](size_t aWorker) {
    const auto plannableAmount = plannable(aWorker);
    const auto free = mState.FreeOn(aWorker);
    return resources{ std::min(plannableAmount.mAccelerators, free.mAccelerators),
                      std::min(plannableAmount.mCores, free.mCores),
                      std::min(plannableAmount.mMemoryMb, free.mMemoryMb) };
  };
  if (auto free = OptionAfterMove(aShape, aJob, plannableAndFree)) {
    return free;
  }
  std::optional<option> best;
  for (size_t rack = 0; rack < mState.Fleet().Racks().size(); ++rack) {
    const auto inRack = [&](size_t aWorker) {
      return mState.Fleet().RackOf(aWorker) == rack ? plannable(aWorker) : resources{};
    };
    auto option = OptionAfterMove(aShape, aJob, inRack);
    if (option && (!best || option->mVictims.mCost < best->mVictims.mCost)) {
      best = std::move(option);
    }
  }
  return best;
}

std::optional<guarantee_search::option> guarantee_search::OptionAfterMove(
  const planned_shape& aShape,
  const waiting_job& aJob,
  const spare_on& aSpare) const
{
  const auto moved = PackGang(mState.Fleet(), { aShape.mShape, aSpare, {}, false });
  if (!moved) {
    return std::nullopt;
  }
  planned_shape movedShape = aShape;
  movedShape.mReserved = *moved;
  auto option = OptionIn(movedShape, aJob);
  if (option) {
    option->mMoveTo = *moved;
  }
  return option;
}

std::optional<guarantee_search::option> guarantee_search::BestOption(
  const waiting_job& aJob) const
{
  std::optional<option> best;
  const auto consider = [&best](std::optional<option> aOption) {
    if (aOption && (!best || aOption->mVictims.mCost < best->mVictims.mCost)) {
      best = std::move(aOption);
    }
  };
  for (const auto& shape : mState.Plan().Shapes()) {
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
  return best;
}

bool guarantee_search::TryStart(const waiting_job& aJob)
{
  const auto best = BestOption(aJob);
  if (!best) {
    return false;
  }
  if (best->mMoveTo) {
    mState.MoveShape(best->mShape, *best->mMoveTo);
  }
  mState.Start(aJob, best->mPlacement, best->mShape, best->mVictims);
  return true;
}

} // namespace anvildoor
