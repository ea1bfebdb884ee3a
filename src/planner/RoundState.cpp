#include "planner/RoundState.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr int64_t kShareScale = 1'000'000;

/** Counts a gang without accelerators as one, so that fair sharing applies to it. */
int64_t BorrowedAmount(const gang_shape& aShape)
{
  return std::max<int64_t>(1, aShape.Accelerators());
}

} // namespace

round_state::round_state(const planner_input& aInput, guarantee_plan aPlan)
  : mInput(aInput)
  , mPlan(std::move(aPlan))
  , mRunning(WithValidGuarantees(aInput.mRunning, mPlan.Shapes()))
  , mGangsByWorker(aInput.mFleet.Size())
  , mGangsByRack(aInput.mFleet.Racks().size())
  , mCommitted(aInput.mFleet.Size())
  , mReserved(aInput.mFleet.Size())
{
  const auto& demoted = mPlan.Demoted();
  for (size_t index = 0; index < mRunning.size(); ++index) {
    auto& gang = mRunning[index];
    if (std::find(demoted.begin(), demoted.end(), gang.mJob) != demoted.end()) {
      gang.mGuaranteed.reset();
    }
    if (!gang.mStopping) {
      mCommitted.AddGang(Fleet(), gang.mShape, gang.mPlacement);
    }
    if (!gang.mGuaranteed && !gang.mStopping) {
      mBorrowed[gang.mWorkspace] += BorrowedAmount(gang.mShape);
    }
    IndexGang(index);
  }
  for (const auto& shape : mPlan.Shapes()) {
    mReserved.AddGang(Fleet(), shape.mShape, shape.mReserved);
  }
}

void round_state::IndexGang(size_t aGang)
{
  std::set<size_t> racks;
  for (const auto& part : mRunning[aGang].mPlacement) {
    const size_t worker = Fleet().Find(part.mWorker);
    if (worker < Fleet().Size()) {
      mGangsByWorker[worker].push_back(aGang);
      racks.insert(Fleet().RackOf(worker));
    }
  }
  for (const size_t rack : racks) {
    mGangsByRack[rack].push_back(aGang);
  }
}

resources round_state::FreeOn(size_t aWorker) const
{
  return Fleet().At(aWorker).mCapacity - mCommitted.At(aWorker);
}

bool round_state::MayUse(size_t aWorker, const waiting_job& aJob) const
{
  const auto& worker = Fleet().At(aWorker);
  return worker.mUsable && aJob.mAvoidedWorkers.count(worker.mId) == 0;
}

int64_t round_state::BorrowedShare(const std::string& aWorkspace) const
{
  const auto config = mInput.mConfig.mWorkspaces.find(aWorkspace);
  const int64_t weight =
    config == mInput.mConfig.mWorkspaces.end() ? 1 : config->second.mWeight;
  const auto borrowed = mBorrowed.find(aWorkspace);
  const int64_t amount = borrowed == mBorrowed.end() ? 0 : borrowed->second;
  return amount * kShareScale / weight;
}

fleet_defaults round_state::SettingsFor(const waiting_job& aJob) const
{
  return mInput.mConfig.DefaultsFor(aJob.mWorkspace);
}

victim_search round_state::MakeVictimSearch(
  std::function<bool(const running_gang&)> aMayStop) const
{
  auto mayStop = [this, inner = std::move(aMayStop)](const running_gang& aGang) {
    return !IsStarted(aGang.mJob) && inner(aGang);
  };
  return { Fleet(),    mRunning,           mGangsByWorker,
           mCommitted, std::move(mayStop), mInput.mNow };
}

void round_state::MoveShape(const shape_id& aShape, const placement& aReserved)
{
  const auto* shape = mPlan.Find(aShape);
  mReserved.SubtractGang(Fleet(), shape->mShape, shape->mReserved);
  mReserved.AddGang(Fleet(), shape->mShape, aReserved);
  mPlan = mPlan.WithReservation(aShape, aReserved);
}

void round_state::StopVictims(const victim_choice& aVictims)
{
  const auto& victims = aVictims.mJobs;
  for (auto& gang : mRunning) {
    if (std::find(victims.begin(), victims.end(), gang.mJob) != victims.end()) {
      gang.mStopping = true;
      mCommitted.SubtractGang(Fleet(), gang.mShape, gang.mPlacement);
      mBorrowed[gang.mWorkspace] -= BorrowedAmount(gang.mShape);
      ++mReclaimCount;
    }
  }
}

void round_state::Start(const waiting_job& aJob,
                        const placement& aPlacement,
                        const std::optional<shape_id>& aGuaranteed,
                        const victim_choice& aVictims)
{
  StopVictims(aVictims);
  running_gang started;
  started.mJob = aJob.mId;
  started.mWorkspace = aJob.mWorkspace;
  started.mClass = aJob.mClass;
  started.mShape = aJob.mShape;
  started.mPlacement = aPlacement;
  started.mGuaranteed = aGuaranteed;
  started.mRestartable = aJob.mRestartable;
  started.mStarted = mInput.mNow;
  started.mExpectedRunTime = aJob.mExpectedRunTime;
  if (!aGuaranteed) {
    mBorrowed[aJob.mWorkspace] += BorrowedAmount(aJob.mShape);
  }
  mCommitted.AddGang(Fleet(), aJob.mShape, aPlacement);
  mRunning.push_back(std::move(started));
  mStarted.insert(aJob.mId);
  IndexGang(mRunning.size() - 1);
  mDecision.mStarts.push_back({ aJob.mId, aPlacement, aGuaranteed, aVictims.mJobs });
}

void round_state::RecordWait(const waiting_job& aJob, const std::string& aReason)
{
  mDecision.mWaits.push_back({ aJob.mId, aReason });
}

} // namespace anvildoor
