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

const stored_item* FindImpairedTerm(const stored_range& aKeys)
{
  const auto found =
    std::find_if(aKeys.mItems.begin(), aKeys.mItems.end(), [](const auto& aItem) {
      return aItem.mKey == store_keys::kImpairedTerm;
    });
  return found == aKeys.mItems.end() ? nullptr : &*found;
}

} // namespace

void standby::Observe(const scheduler_term& aTerm, const stored_range& aKeys)
{
  const auto* item = FindImpairedTerm(aKeys);
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
  check first;
  first.mTerm = aTerm;
  first.mImpaired = *impaired;
  first.mRevision = item->mRevision;
  Begin(first);
}

void standby::Begin(const check& aCheck)
{
  ReadRecords(std::make_shared<check>(aCheck),
              { store_keys::kInbox, store_keys::kProgress });
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
                          aCheck->mTerm.mFence,
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
  const auto& former = aCheck.mImpaired.mReach;
  return aCheck.mImpaired.mImpairment == impairment::kReads
           ? !former.IsClearlyBetterThan(aCheck.mReach)
           : aCheck.mReach.IsClearlyBetterThan(former);
}

void standby::Finish(const check& aCheck, bool aIsFit)
{
  const bool isFirst =
    std::exchange(mCheckedFence, aCheck.mTerm.mFence) != aCheck.mTerm.mFence;
  if (isFirst || aIsFit) {
    mPorts.mLog.Write(log_event("standby_checked")
                        .Add("scheduler", aCheck.mTerm.mVm)
                        .Add("fence", static_cast<int64_t>(aCheck.mTerm.mFence))
                        .Add("impairment", ToString(aCheck.mImpaired.mImpairment))
                        .Add("probed", static_cast<int64_t>(aCheck.mReach.mListed))
                        .Add("reached", static_cast<int64_t>(aCheck.mReach.mReached))
                        .Add("fit", aIsFit ? 1 : 0));
  }
  if (aIsFit && !aCheck.mIsSecond) {
    check second;
    second.mTerm = aCheck.mTerm;
    second.mImpaired = aCheck.mImpaired;
    second.mRevision = aCheck.mRevision;
    second.mIsSecond = true;
    mPorts.mLoop.RunAfter(kConfirmationDelay, [this, second] { Begin(second); });
    return;
  }
  mIsChecking = false;
  mCheckDelay = std::clamp(2 * mCheckDelay, kMinCheckDelay, kMaxCheckDelay);
  mMayCheckFrom = mPorts.mLoop.Now() + mCheckDelay;
  if (aIsFit && mPorts.mMayRelieve()) {
    mFitFence = aCheck.mTerm.mFence;
    RemoveKey(aCheck);
  }
}

void standby::RemoveKey(const check& aCheck)
{
  store_transaction change;
  change.mConditions.push_back({ store_keys::kScheduler, aCheck.mTerm.mRevision });
  change.mConditions.push_back({ store_keys::kImpairedTerm, aCheck.mRevision });
  change.mRemovals.push_back(store_keys::kScheduler);
  const auto fence = aCheck.mTerm.mFence;
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
