#include "entry/Standby.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace anvildoor {

namespace {

/** Delay between a check that found this VM fit and the one that confirms it. */
constexpr duration kConfirmationDelay{ 700 };
/** Delays after checks that found this VM unfit: the first, doubled up to the last. */
constexpr duration kMinCheckDelay{ 1'000 };
constexpr duration kMaxCheckDelay{ 16'000 };
/** Workers that a check probes at most, spread over the list. */
constexpr size_t kMaxProbes = 12;

} // namespace

void standby::Observe(const scheduler_term& aTerm, const stored_range& aKeys)
{
  const auto* item = aKeys.Find(store_keys::kImpairedTerm);
  const auto impaired =
    item == nullptr ? std::nullopt : DecodeImpairedTerm(item->mValue);
  if (!impaired || impaired->mFence != aTerm.mFence ||
      impaired->mImpairment == impairment::kNone) {
    return;
  }
  if (std::exchange(mImpairedFence, impaired->mFence) != impaired->mFence) {
    mCheckDelay = duration::zero();
    mMayCheckFrom = time_point(0);
  }
  if (mIsChecking || mPorts.mLoop.Now() < mMayCheckFrom) {
    return;
  }
  mIsChecking = true;
  Begin({ aTerm, *impaired, item->mRevision }, false);
}

void standby::Begin(const impaired_scheduler& aScheduler, bool aIsSecond)
{
  const auto begun = std::make_shared<check>();
  begun->mScheduler = aScheduler;
  begun->mIsSecond = aIsSecond;
  ReadRecords(begun, { store_keys::kInbox, store_keys::kProgress });
}

void standby::ReadRecords(const std::shared_ptr<check>& aCheck,
                          std::vector<std::string> aPrefixes)
{
  if (aPrefixes.empty()) {
    ListWorkers(aCheck);
    return;
  }
  const auto prefix = aPrefixes.back();
  aPrefixes.pop_back();
  mPorts.mStore.List(
    prefix,
    false,
    [this, aCheck, rest = std::move(aPrefixes)](const result<stored_range>& aRange) {
      if (aRange) {
        ReadRecords(aCheck, rest);
      } else {
        Finish(*aCheck, false);
      }
    });
}

void standby::ListWorkers(const std::shared_ptr<check>& aCheck)
{
  mPorts.mDirectory.List(
    [this, aCheck](const result<std::vector<listed_worker>>& aWorkers) {
      if (aWorkers) {
        ProbeWorkers(aCheck, *aWorkers);
      } else {
        Finish(*aCheck, false);
      }
    });
}

void standby::ProbeWorkers(const std::shared_ptr<check>& aCheck,
                           const std::vector<listed_worker>& aWorkers)
{
  const auto probes = std::min(kMaxProbes, aWorkers.size());
  if (probes == 0) {
    Finish(*aCheck, IsFit(*aCheck));
    return;
  }
  aCheck->mPendingProbes = probes;
  aCheck->mReach.mListed = probes;
  for (size_t probe = 0; probe < probes; ++probe) {
    const auto& worker = aWorkers[probe * aWorkers.size() / probes];
    mPorts.mWorkers.Probe({ worker.mId, worker.mAddress },
                          aCheck->mScheduler.mTerm.mFence,
                          [this, aCheck](const bool& aIsReached) {
                            aCheck->mReach.mReached += aIsReached ? 1 : 0;
                            if (--aCheck->mPendingProbes == 0) {
                              Finish(*aCheck, IsFit(*aCheck));
                            }
                          });
  }
}

bool standby::IsFit(const check& aCheck)
{
  const auto& former = aCheck.mScheduler.mImpaired.mReach;
  return aCheck.mScheduler.mImpaired.mImpairment == impairment::kReads
           ? !former.IsClearlyBetterThan(aCheck.mReach)
           : aCheck.mReach.IsClearlyBetterThan(former);
}

void standby::Finish(const check& aCheck, bool aIsFit)
{
  const bool isFirst = std::exchange(mCheckedFence, aCheck.mScheduler.mTerm.mFence) !=
                       aCheck.mScheduler.mTerm.mFence;
  if (isFirst || aIsFit) {
    mPorts.mLog.Write(
      log_event("standby_checked")
        .Add("scheduler", aCheck.mScheduler.mTerm.mVm)
        .Add("fence", static_cast<int64_t>(aCheck.mScheduler.mTerm.mFence))
        .Add("impairment", ToString(aCheck.mScheduler.mImpaired.mImpairment))
        .Add("probed", static_cast<int64_t>(aCheck.mReach.mListed))
        .Add("reached", static_cast<int64_t>(aCheck.mReach.mReached))
        .Add("fit", aIsFit ? 1 : 0));
  }
  if (aIsFit && !aCheck.mIsSecond) {
    mPorts.mLoop.RunAfter(kConfirmationDelay, [this, scheduler = aCheck.mScheduler] {
      Begin(scheduler, true);
    });
    return;
  }
  mIsChecking = false;
  mCheckDelay = std::clamp(2 * mCheckDelay, kMinCheckDelay, kMaxCheckDelay);
  mMayCheckFrom = mPorts.mLoop.Now() + mCheckDelay;
  if (aIsFit && mPorts.mMayRelieve()) {
    mFitFence = aCheck.mScheduler.mTerm.mFence;
    RemoveKey(aCheck.mScheduler);
  }
}

void standby::RemoveKey(const impaired_scheduler& aScheduler)
{
  store_transaction change;
  change.mConditions.push_back({ store_keys::kScheduler, aScheduler.mTerm.mRevision });
  change.mConditions.push_back({ store_keys::kImpairedTerm, aScheduler.mRevision });
  change.mRemovals.push_back(store_keys::kScheduler);
  const auto fence = aScheduler.mTerm.mFence;
  mPorts.mStore.Commit(change,
                       [this, fence](const result<transaction_outcome>& aOutcome) {
                         std::string answer = "relieved";
                         if (!aOutcome) {
                           answer = Describe(aOutcome.error());
                         } else if (!aOutcome->mCommitted) {
                           answer = "outdated";
                         }
                         mPorts.mLog.Write(log_event("scheduler_relieved")
                                             .Add("fence", static_cast<int64_t>(fence))
                                             .Add("answer", answer));
                       });
}

} // namespace anvildoor
