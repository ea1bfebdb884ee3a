#include "daemon/Node.h"

#include "base/Hash.h"
#include "base/JsonText.h"
#include "daemon/NodeApi.h"
#include "planner/Planner.h"
#include "routing/ClaimFilter.h"
#include "routing/DeadlineFilter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

constexpr duration kWatcherPeriod{ 1'000 };
constexpr duration kLeaseDelayPerRank{ 2'000 };

std::string StorePrefix(const vm_identity& aIdentity)
{
  return "dc/" + aIdentity.mDataCentre;
}

std::string OwnerName(const vm_identity& aIdentity)
{
  return aIdentity.mDataCentre + "/" + aIdentity.mVm + "/" +
         std::to_string(aIdentity.mIncarnation);
}

} // namespace

node::node(const node_ports& aPorts, const node_settings& aSettings)
  : mPorts(aPorts)
  , mSettings(aSettings)
  , mDirectory(aPorts.mLoop, aPorts.mVmList, aSettings.mIdentity.mDataCentre)
  , mMembership(aPorts.mLoop,
                aPorts.mPeers,
                mDirectory,
                aPorts.mLog,
                aSettings.mIdentity)
  , mBroken(aPorts.mLoop)
  , mJournal(aPorts.mLoop, aPorts.mStore, aPorts.mLog, StorePrefix(aSettings.mIdentity))
  , mLease(aPorts.mLoop,
           aPorts.mStore,
           aPorts.mLog,
           StorePrefix(aSettings.mIdentity),
           OwnerName(aSettings.mIdentity),
           lease_policy{})
  , mScheduler({ aPorts.mLoop,
                 aPorts.mWorkers,
                 mJournal,
                 mConfig,
                 mBroken,
                 aPorts.mLog,
                 mMetrics,
                 aSettings.mIdentity.mDataCentre,
                 [this] { return mLease.HeldEpoch(); },
                 [this] {
                   RaiseEpoch(mLease.HeldEpoch());
                   mMembership.Announce();
                 } },
               std::make_unique<planner>())
  , mConfig(
      aPorts.mLoop,
      aPorts.mStore,
      aPorts.mLog,
      [this](const fleet_config& aConfig) { return mScheduler.CheckConfig(aConfig); })
  , mSessions(aPorts.mLoop, aPorts.mWorkers, mBroken, aPorts.mLog, session_policy{})
  , mUpstreamPool(aPorts.mLoop, aPorts.mLog, aSettings.mSeed)
  , mRequestClaims(aPorts.mLoop, aPorts.mStore, OwnerName(aSettings.mIdentity))
  , mJobKeyClaims(aPorts.mLoop, aPorts.mStore, aSettings.mIdentity.mDataCentre)
  , mTokens(aSettings.mOperatorTokenHashes)
{
  auto dispatch = std::make_unique<dispatch_filter>(
    aPorts.mLoop, mUpstreamPool, aPorts.mUpstreams, aPorts.mLog, mMetrics);
  mDispatch = dispatch.get();
  std::vector<std::unique_ptr<request_filter>> filters;
  filters.push_back(std::make_unique<deadline_filter>(aPorts.mLoop));
  filters.push_back(std::make_unique<admission_filter>(
    aPorts.mLoop, mConfig, mMetrics, [this] { return mMembership.LiveVms().size(); }));
  filters.push_back(std::make_unique<claim_filter>(
    aPorts.mLoop, mRequestClaims, [this](const std::string& aOwner) {
      return HasOwnerEnded(aOwner);
    }));
  filters.push_back(std::move(dispatch));
  mChain = std::make_unique<filter_chain>(std::move(filters));
  mApi = std::make_unique<node_api>(
    api_context{ aPorts.mLoop,
                 aPorts.mPeers,
                 mConfig,
                 mScheduler,
                 mMembership,
                 mDirectory,
                 mJobKeyClaims,
                 mTokens,
                 [this] { return NewId(); },
                 [this](const request_spec& aSpec, answer_done aDone) {
                   RunRequest(aSpec, std::move(aDone));
                 } },
    node_controls{ [this] { return IsReady(); },
                   [this] { BeginDrain(); },
                   [this] { return StatusJson(); },
                   [this] { return MetricsText(); } });
}

node::~node() = default;

void node::Start()
{
  mMembership.SetStateFiller([this](peer_state& aState) { FillState(aState); });
  mMembership.AddStateListener(
    [this](const peer_state& aState) { OnPeerState(aState); });
  mMembership.AddChangeListener([this] { OnMembersChanged(); });
  mDirectory.AddListener([this] {
    mScheduler.SetWorkers(
      mDirectory.List(vm_kind::kWorker, mSettings.mIdentity.mDataCentre));
    OnMembersChanged();
  });
  mConfig.AddListener([this](const shared_config&) { mMembership.Announce(); });
  mLease.SetListener([this](uint64_t aEpoch) {
    if (aEpoch != 0) {
      mScheduler.StartLeading(aEpoch);
    } else {
      mScheduler.StepDown("the lease was lost");
    }
    RefreshWatcher();
  });
  mSchedulerSeenAt = mPorts.mLoop.Now();
  mDirectory.Start(mSettings.mVmListPeriod);
  mMembership.Start();
  mConfig.Start();
  mSessions.Start(mSettings.mIdentity.mVm,
                  [this](const worker_status_report& aStatuses,
                         std::function<void(bool)> aReportDone) {
                    ReportToScheduler(aStatuses, std::move(aReportDone));
                  });
  mScheduler.Start();
  mLease.Start([this] { return MayAcquireLease(); });
  RunEvery(mPorts.mLoop, kWatcherPeriod, [this] { RefreshWatcher(); });
}

// Membership and roles

void node::FillState(peer_state& aState) const
{
  aState.mConfigVersion = mConfig.Version();
  aState.mSchedulerEpoch = mEpoch;
  if (mScheduler.IsLeading()) {
    aState.mSchedulerEpoch = mLease.HeldEpoch();
    aState.mSchedulerVm = mSettings.mIdentity.mVm;
  }
  aState.mBrokenAttempts = mBroken.List();
  aState.mLeavingUpstreams = mUpstreamPool.ReportedLeaving();
}

void node::OnPeerState(const peer_state& aState)
{
  RaiseEpoch(aState.mSchedulerEpoch);
  mBroken.Merge(aState.mBrokenAttempts);
  for (const auto& upstream : aState.mLeavingUpstreams) {
    mUpstreamPool.SetLeavingByPeer(upstream);
  }
  const bool isNewer = aState.mConfigVersion > mConfig.Version();
  if (isNewer || !mConfig.IsReady()) {
    PullConfig(aState.mAddress);
  }
}

void node::PullConfig(const std::string& aAddress)
{
  const auto known = mConfig.Current();
  mPorts.mPeers.PullConfig(aAddress,
                           known ? known->mVersion : 0,
                           [this, known](const result<config_transfer>& aAnswer) {
                             if (!aAnswer || aAnswer->mText.empty()) {
                               return;
                             }
                             const auto config = aAnswer->mIsPatch && known
                                                   ? ApplyPatch(*known, aAnswer->mText)
                                                   : ParseFleetConfig(aAnswer->mText);
                             if (config) {
                               mConfig.Adopt(*config);
                             }
                           });
}

void node::RaiseEpoch(uint64_t aEpoch)
{
  uint64_t known = mEpoch;
  while (known < aEpoch && !mEpoch.compare_exchange_weak(known, aEpoch)) {
  }
  mSessions.SetEpoch(mEpoch);
}

void node::OnMembersChanged()
{
  RefreshWorkerShare();
  mUpstreamPool.Update(
    mDirectory.List(vm_kind::kUpstream, mSettings.mIdentity.mDataCentre),
    mSettings.mIdentity.mVm,
    mMembership.LiveVms());
  RefreshWatcher();
}

void node::RefreshWorkerShare()
{
  const auto live = mMembership.LiveVms();
  std::set<std::string> ownWorkers;
  for (const auto& worker :
       mDirectory.List(vm_kind::kWorker, mSettings.mIdentity.mDataCentre)) {
    if (RendezvousOwner(worker.mId, live) == mSettings.mIdentity.mVm) {
      ownWorkers.insert(worker.mId);
    }
  }
  mSessions.AssignWorkers(ownWorkers);
}

/**
 * Lets one VM per data centre watch the configuration: the scheduler, or the first live
 * VM if there is no scheduler.
 */
void node::RefreshWatcher()
{
  const auto scheduler = mMembership.Scheduler();
  const auto live = mMembership.LiveVms();
  const std::string first = live.empty() ? std::string() : live.front();
  const auto& watcher = scheduler ? scheduler->mVm : first;
  mConfig.SetWatching(watcher == mSettings.mIdentity.mVm && !IsDraining());
}

/**
 * The first live VM may try to acquire the lease at once. Each following VM waits
 * kLeaseDelayPerRank longer, in case the VMs before it cannot reach the store.
 */
bool node::MayAcquireLease()
{
  const auto now = mPorts.mLoop.Now();
  if (mMembership.IsLeaving() || mMembership.Scheduler()) {
    mSchedulerSeenAt = now;
    return false;
  }
  const auto live = mMembership.LiveVms();
  const auto own = std::find(live.begin(), live.end(), mSettings.mIdentity.mVm);
  const auto rank = static_cast<int64_t>(own - live.begin());
  return now - mSchedulerSeenAt.load() >= kLeaseDelayPerRank * rank;
}

bool node::HasOwnerEnded(const std::string& aOwner) const
{
  const auto ownPrefix = mSettings.mIdentity.mDataCentre + "/";
  if (aOwner == OwnerName(mSettings.mIdentity) || aOwner.rfind(ownPrefix, 0) != 0) {
    return false; // The state of VMs in other data centres is not known here.
  }
  const auto peers = mMembership.LivePeers();
  return std::none_of(peers.begin(), peers.end(), [&](const auto& aPeer) {
    return OwnerName({ aPeer.mVm, aPeer.mIncarnation, aPeer.mDataCentre, {} }) ==
           aOwner;
  });
}

std::string node::AddressOfWorker(const std::string& aWorker) const
{
  const auto found = mDirectory.Find(aWorker);
  return found ? found->mAddress : std::string();
}

// Worker reports

void node::ReportToScheduler(const worker_status_report& aStatuses,
                             std::function<void(bool)> aReportDone)
{
  const auto scheduler = mMembership.Scheduler();
  if (!scheduler) {
    mPorts.mLoop.Post([aReportDone] { aReportDone(false); });
    return;
  }
  if (scheduler->mVm == mSettings.mIdentity.mVm) {
    const bool isAccepted = mScheduler.OnStatuses(aStatuses).has_value();
    mPorts.mLoop.Post([aReportDone, isAccepted] { aReportDone(isAccepted); });
    return;
  }
  mPorts.mPeers.Report(
    scheduler->mAddress, aStatuses, [aReportDone](const result<call_ack>& aAnswer) {
      aReportDone(aAnswer.has_value());
    });
}

result<call_ack> node::OnPeerReport(const worker_status_report& aStatuses)
{
  const auto live = mMembership.LiveVms();
  for (const auto& status : aStatuses.mStatuses) {
    // A VM that is itself partitioned must not report another VM's worker as lost.
    if (status.mLost && RendezvousOwner(status.mWorker, live) != aStatuses.mReporter) {
      return Fail(error_code::kRefused,
                  "report",
                  aStatuses.mReporter,
                  "the reporter does not own the session with " + status.mWorker);
    }
  }
  return mScheduler.OnStatuses(aStatuses);
}

// Peer service

peer_state node::OnPeerHeartbeat(const peer_state& aState)
{
  return mMembership.OnHeartbeat(aState);
}

config_transfer node::OnPeerPullConfig(uint64_t aFrom)
{
  const auto current = mConfig.Current();
  if (!current) {
    return {};
  }
  const auto patch = aFrom == 0 ? std::string() : mConfig.PatchFrom(aFrom);
  if (!patch.empty()) {
    return { current->mVersion, true, patch };
  }
  return { current->mVersion, false, ToJsonText(*current) };
}

void node::OnPeerForward(const forwarded_call& aCall, port_done<forwarded_answer> aDone)
{
  api_call call;
  call.mMethod = aCall.mMethod;
  call.mTarget = aCall.mTarget;
  call.mBody = aCall.mBody;
  call.mToken = aCall.mToken;
  call.mIdempotencyKey = aCall.mIdempotencyKey;
  call.mIfMatch = aCall.mIfMatch;
  call.mForwarded = true;
  Serve(call, [done = std::move(aDone)](const api_response& aAnswer) {
    done(forwarded_answer{ aAnswer.mStatus, aAnswer.mBody });
  });
}

uint64_t node::OnPeerVersionInForce()
{
  return mMembership.VersionInForce();
}

// API calls and metrics

void node::Serve(const api_call& aCall, api_done aDone)
{
  ++mCallsInFlight;
  mApi->Serve(aCall,
              SplitTarget(aCall.mTarget),
              [this, done = std::move(aDone)](const api_response& aAnswer) {
                done(aAnswer);
                --mCallsInFlight;
              });
}

std::string node::NewId()
{
  return HexDigest(OwnerName(mSettings.mIdentity) + "/" + std::to_string(++mIdCounter));
}

std::string node::MetricsText()
{
  const auto set = [this](const char* aName, size_t aValue) {
    mMetrics.Set(aName, static_cast<double>(aValue));
  };
  const auto [writes, records] = mJournal.WriteAndRecordCounts();
  set("config_version", mConfig.Version());
  set("live_vms", mMembership.LiveVms().size());
  set("worker_sessions", mSessions.Count());
  set("requests_waiting", mDispatch->QueuedCount());
  set("calls_in_flight", static_cast<size_t>(std::max<int64_t>(0, mCallsInFlight)));
  set("scheduler_leading", mScheduler.IsLeading() ? 1 : 0);
  set("journal_writes", writes);
  set("journal_records", records);
  return mMetrics.Text();
}

std::string node::StatusJson() const
{
  const auto scheduler = mMembership.Scheduler();
  auto upstreams = nlohmann::json::array();
  for (const auto& item : mUpstreamPool.Statuses()) {
    upstreams.push_back({ { "upstream", item.mId },
                          { "share", item.mSlotShare },
                          { "outstanding", item.mOutstanding },
                          { "leaving", item.mLeaving },
                          { "ejected", item.mEjected } });
  }
  return nlohmann::json{
    { "vm", mSettings.mIdentity.mVm },
    { "data_centre", mSettings.mIdentity.mDataCentre },
    { "ready", IsReady() },
    { "draining", IsDraining() },
    { "config_version", mConfig.Version() },
    { "live_vms", mMembership.LiveVms() },
    { "scheduler_vm", scheduler ? scheduler->mVm : "" },
    { "scheduler_epoch", scheduler ? scheduler->mEpoch : 0 },
    { "worker_sessions", mSessions.Count() },
    { "upstreams", upstreams }
  }.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

void node::RunRequest(const request_spec& aSpec, answer_done aDone)
{
  const auto id = OwnerName(mSettings.mIdentity) + "/" + std::to_string(++mIdCounter);
  auto request = std::make_shared<active_request>(id, aSpec, mPorts.mLoop.Now());
  mChain->Handle(request, std::move(aDone));
}

// Drain

void node::BeginDrain()
{
  mPorts.mLog.Write(log_event("drain_begun").Add("vm", mSettings.mIdentity.mVm));
  mMembership.SetLeaving();
  mLease.Resign();
  OnMembersChanged();
}

bool node::IsDraining() const
{
  return mMembership.IsLeaving();
}

bool node::IsDrained() const
{
  return IsDraining() && mCallsInFlight == 0 && mDispatch->QueuedCount() == 0;
}

bool node::IsReady() const
{
  return mConfig.IsReady() && !IsDraining();
}

} // namespace anvildoor
