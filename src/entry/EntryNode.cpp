#include "entry/EntryNode.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>

namespace anvildoor {

namespace {

/**
 * Period of a cheap stale read that detects an unresponsive store, and tells whether
 * there is a scheduler and whether further jobs are taken.
 */
constexpr duration kStoreProbePeriod{ 400 };
/**
 * One of so many probes is not stale, so that a VM whose watch has gone silent notices
 * soon that there is no scheduler.
 */
constexpr uint64_t kProbesPerFreshRead = 3;
/**
 * After this time without a store answer the VM reports not ready, so that new clients
 * use another VM.
 */
constexpr duration kStoreAnswerTimeout{ 1'200 };
/**
 * By how much a VM that may be unable to do the scheduler's work tries later than the
 * others, so that it is elected only if there is no other.
 */
constexpr duration kUnfitElectionDelay{ 400 };
/** Period at which the scheduler looks whether a cancellation is settled. */
constexpr duration kSettlementPollPeriod{ 10 };

} // namespace

entry_node::entry_node(const entry_ports& aPorts, const entry_options& aOptions)
  : mPorts(aPorts)
  , mOptions(aOptions)
  , mLoopMonitor(aPorts.mLoop, aPorts.mLog, aPorts.mMetrics)
  , mPolicy(aPorts.mLoop,
            aPorts.mStore,
            aPorts.mLog,
            aOptions.mPolicyKey,
            aOptions.mDecodePolicy,
            [this](std::shared_ptr<const fleet_policy> aPolicy) {
              mOwners = std::make_shared<const job_owners>(aPolicy);
              mScheduler.SetPolicy(mOwners);
              if (mPolicyListener) {
                mPolicyListener(std::move(aPolicy));
              }
            })
  , mScheduler(
      { aPorts.mLoop,
        aPorts.mStore,
        aPorts.mWorkers,
        aPorts.mDirectory,
        aPorts.mLog,
        aPorts.mMetrics,
        aPorts.mUnixMs,
        [this](const std::string& aAddress, uint64_t aFence, summary_callback aDone) {
          mPorts.mPeers.SummaryOf(aAddress, aFence, std::move(aDone));
        } },
      aOptions.mScheduler,
      [this](const std::string& aReason) { mElection.StepDown(aReason); },
      [this](const std::string& aReason) { mElection.GiveWay(aReason); },
      [this](const std::string& aReason) { mElection.StopRenewing(aReason); },
      [this](bool aIsImpaired) { mElection.SetImpaired(aIsImpaired); })
  , mGuard(aPorts.mLoop,
           aPorts.mWorkers,
           aPorts.mLog,
           aPorts.mMetrics,
           LongestLease(aOptions.mScheduler.mRuns, aOptions.mScheduler.mRuns.mLeaseMax),
           [this](const std::string& aJob, uint64_t aRevision, auto aDone) {
             AskScheduler(aJob, aRevision, aDone);
           })
  , mElection(
      aPorts.mLoop,
      aPorts.mStore,
      aPorts.mLog,
      { aOptions.mVm, aOptions.mPeerAddress, 0, 0 },
      aOptions.mElectionDelay,
      aOptions.mElection,
      { [this](const scheduler_term& aTerm, const scheduler_term& aPredecessor) {
         mGuard.Renew(aTerm.mFence);
         mScheduler.Begin(aTerm, aPredecessor);
       },
        [this](const std::string&) { EndTerm(); },
        [this](const stored_range& aKeys) { ObserveImpairment(aKeys); },
        [this](const scheduler_term& aPredecessor) {
          return ExtraElectionDelay(aPredecessor);
        },
        [this](bool aReached) {
          if (aReached) {
            mStoreAnsweredAt = mPorts.mLoop.Now();
          }
        } })
  , mStandby({ aPorts.mLoop,
               aPorts.mStore,
               aPorts.mWorkers,
               aPorts.mDirectory,
               aPorts.mLog,
               [this] { return MayRelieve(); } })
  , mCancellations(
      { aPorts.mLoop,
        aPorts.mStore,
        aPorts.mPeers,
        aPorts.mLog,
        aPorts.mMetrics,
        mElection,
        mScheduler,
        mGuard,
        [this] { return mDraining; },
        [this] { return mOwners; },
        LongestLease(aOptions.mScheduler.mRuns, aOptions.mScheduler.mRuns.mLeaseMax) })
  , mJobs({ aPorts.mLoop,
            aPorts.mStore,
            aPorts.mPeers,
            aPorts.mLog,
            aPorts.mMetrics,
            mElection,
            mScheduler,
            mCancellations,
            [this] { return IsStoreReachable(); },
            [this] { return !mIsIntakeClosed; },
            kStoreAnswerTimeout })
{
  mScheduler.SetRequestLimits([this] { return mElection.RequestLimits(); });
}

void entry_node::Begin()
{
  mLoopMonitor.Begin();
  mPolicy.Begin();
  mElection.Begin();
  ProbeStore();
}

void entry_node::StartDraining()
{
  mDraining = true;
  mElection.Resign();
}

void entry_node::AwaitCancellation(const std::string& aJob,
                                   uint64_t aRevision,
                                   duration aAtMost,
                                   std::function<void(cancel_progress)> aDone)
{
  ObserveCancellation(aJob, aRevision);
  const auto progress = mScheduler.ProgressOfCancellation(aJob);
  if (progress != cancel_progress::kApplied || aAtMost <= duration::zero()) {
    aDone(progress);
    return;
  }
  const auto delay = std::min(aAtMost, kSettlementPollPeriod);
  mPorts.mLoop.RunAfter(
    delay, [this, aJob, aRevision, left = aAtMost - delay, done = std::move(aDone)] {
      AwaitCancellation(aJob, aRevision, left, done);
    });
}

std::optional<term_summary> entry_node::SummaryForSuccessor(uint64_t aFence)
{
  if (mElection.IsHolder() && mElection.Current().mFence < aFence) {
    mElection.StepDown("a successor has fencing token " + std::to_string(aFence));
  }
  return mScheduler.LastTermSummary(aFence);
}

bool entry_node::IsStoreReachable() const
{
  return mPorts.mLoop.Now() - mStoreAnsweredAt < kStoreAnswerTimeout;
}

bool entry_node::IsReady() const
{
  return !mDraining && mPolicy.Current() && IsStoreReachable();
}

void entry_node::ObserveSchedulerKeys(const stored_range& aRange)
{
  const auto* intake = aRange.Find(store_keys::kIntake);
  mIsIntakeClosed = intake != nullptr && intake->mValue == store_keys::kIntakeClosed;
  mScheduler.ObserveIntake(mIsIntakeClosed);
  const bool expectsScheduler =
    mElection.Current().mFence != 0 && !mElection.IsHolder();
  const auto* scheduler = aRange.Find(store_keys::kScheduler);
  if (mElection.IsHolder() && scheduler != nullptr &&
      scheduler->mCreateRevision > mElection.Current().mFence) {
    mElection.StepDown("the store shows a later term");
    return;
  }
  ObserveImpairment(aRange);
  // A stale read may still show an earlier term.
  const bool hasChanged =
    scheduler == nullptr || scheduler->mCreateRevision > mElection.Current().mFence;
  if (expectsScheduler && hasChanged) {
    // The watch of the key should have told, but its connection may have gone silent.
    mElection.RereadKey();
  }
}

void entry_node::ObserveImpairment(const stored_range& aRange)
{
  if (MayRelieve()) {
    mStandby.Observe(mElection.Current(), aRange);
  }
}

bool entry_node::MayRelieve() const
{
  return mElection.Current().mFence != 0 && !mElection.IsHolder() && !mDraining &&
         mPolicy.Current();
}

duration entry_node::ExtraElectionDelay(const scheduler_term& aPredecessor) const
{
  const bool isUnfit = !mPolicy.Current() || mHadImpairedTerm ||
                       mStandby.IsUnfitAfter(aPredecessor.mFence);
  return isUnfit ? kUnfitElectionDelay : duration::zero();
}

void entry_node::EndTerm()
{
  mHadImpairedTerm = mScheduler.Impairment() != impairment::kNone;
  mGuard.Begin(mScheduler.RunsOfTerm());
  mScheduler.End();
}

void entry_node::AskScheduler(const std::string& aJob,
                              uint64_t aRevision,
                              const std::function<void(bool)>& aDone)
{
  const auto& term = mElection.Current();
  if (term.mFence == 0 || mElection.IsHolder()) {
    mPorts.mLoop.RunAfter(duration::zero(), [this, aDone] {
      if (mScheduler.HasTakenOver()) {
        mGuard.End(); // The new term stops what it has to.
      } else {
        aDone(false);
      }
    });
    return;
  }
  mPorts.mPeers.NotifyOfCancellation(
    term.mAddress,
    aJob,
    aRevision,
    [aDone](const result<std::optional<std::string>>& aAnswer) {
      aDone(aAnswer && *aAnswer);
    });
}

void entry_node::ProbeStore()
{
  // The holder learns of the end of its lease by the renewals.
  const bool mayBeStale = mElection.IsHolder() || ++mProbes % kProbesPerFreshRead != 0;
  mPorts.mStore.List(
    store_keys::kScheduler, mayBeStale, [this](const result<stored_range>& aRange) {
      if (aRange) {
        mStoreAnsweredAt = mPorts.mLoop.Now();
        ObserveSchedulerKeys(*aRange);
      }
      const bool reached = IsStoreReachable();
      if (reached && !mWasStoreReachable) {
        // Reads any changes now instead of waiting for a broken watch to time out.
        mPolicy.ReadAgain();
        mElection.RereadKey();
      }
      if (reached != mWasStoreReachable) {
        mPorts.mLog.Write(log_event("store_reached").Add("reached", reached ? 1 : 0));
      }
      mWasStoreReachable = reached;
      mPorts.mLoop.RunAfter(kStoreProbePeriod, [this] { ProbeStore(); });
    });
}

} // namespace anvildoor
