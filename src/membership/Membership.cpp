#include "membership/Membership.h"

#include <algorithm>
#include <set>

namespace anvildoor {

namespace {

constexpr duration kHeartbeatPeriod{ 1'000 };
constexpr duration kPeerTimeout{ 3'500 };
constexpr duration kPeerRetention{ 60'000 };

} // namespace

membership::membership(event_loop& aLoop,
                       peer_port& aPort,
                       vm_directory& aDirectory,
                       event_log& aLog,
                       vm_identity aIdentity)
  : mLoop(aLoop)
  , mPort(aPort)
  , mDirectory(aDirectory)
  , mLog(aLog)
  , mIdentity(std::move(aIdentity))
{
}

void membership::SetStateFiller(state_filler aFiller)
{
  mStateFiller = std::move(aFiller);
}

void membership::AddStateListener(state_listener aListener)
{
  mStateListeners.push_back(std::move(aListener));
}

void membership::AddChangeListener(change_listener aListener)
{
  mChangeListeners.push_back(std::move(aListener));
}

void membership::Start()
{
  RunEvery(mLoop, kHeartbeatPeriod, [this] { SendHeartbeats(false); });
  Announce();
}

void membership::Announce()
{
  mLoop.Post([this] { SendHeartbeats(true); });
}

peer_state membership::OwnState() const
{
  peer_state state;
  state.mVm = mIdentity.mVm;
  state.mIncarnation = mIdentity.mIncarnation;
  state.mDataCentre = mIdentity.mDataCentre;
  state.mAddress = mIdentity.mAddress;
  state.mLeaving = IsLeaving();
  if (mStateFiller) {
    mStateFiller(state);
  }
  return state;
}

/**
 * Returns whether aPeer, not this VM, is to send the next heartbeat of the pair. The
 * request and its answer carry both states, so only the VM with the lower id sends one.
 * The other VM takes over if no heartbeat has arrived for 1.5 periods.
 */
bool membership::PeerInitiatesHeartbeat(const peer& aPeer) const
{
  return aPeer.mState.mVm < mIdentity.mVm &&
         mLoop.Now() - aPeer.mLastHeartbeat < kHeartbeatPeriod + kHeartbeatPeriod / 2;
}

void membership::SendHeartbeats(bool aToAll)
{
  std::set<std::string> addresses;
  for (const auto& vm : mDirectory.List(vm_kind::kEntry, mIdentity.mDataCentre)) {
    if (vm.mId != mIdentity.mVm) {
      addresses.insert(vm.mAddress);
    }
  }
  {
    std::lock_guard lock(mMutex);
    for (const auto& [id, item] : mPeers) {
      addresses.insert(item.mState.mAddress);
      if (!aToAll && PeerInitiatesHeartbeat(item)) {
        addresses.erase(item.mState.mAddress);
      }
    }
  }
  const auto state = OwnState();
  for (const auto& address : addresses) {
    mPort.Heartbeat(address, state, [this](result<peer_state> aAnswer) {
      if (aAnswer) {
        RecordPeerState(*aAnswer);
      }
    });
  }
  UpdateLiveVms();
}

peer_state membership::OnHeartbeat(const peer_state& aState)
{
  RecordPeerState(aState);
  return OwnState();
}

void membership::RecordPeerState(const peer_state& aState)
{
  const bool shouldIgnore = aState.mVm == mIdentity.mVm || aState.mVm.empty() ||
                            aState.mDataCentre != mIdentity.mDataCentre;
  if (shouldIgnore) {
    return;
  }
  {
    std::lock_guard lock(mMutex);
    auto& item = mPeers[aState.mVm];
    // A late answer from a previous process of the VM must not replace newer state.
    if (aState.mIncarnation < item.mState.mIncarnation) {
      return;
    }
    item.mState = aState;
    item.mLastHeartbeat = mLoop.Now();
  }
  for (const auto& listener : mStateListeners) {
    listener(aState);
  }
  UpdateLiveVms();
}

bool membership::IsLive(const peer& aPeer) const
{
  return mLoop.Now() - aPeer.mLastHeartbeat < kPeerTimeout;
}

void membership::UpdateLiveVms()
{
  const auto live = LiveVms();
  std::vector<std::string> departed;
  std::vector<std::string> joined;
  {
    std::lock_guard lock(mMutex);
    std::set_difference(mPreviousLiveVms.begin(),
                        mPreviousLiveVms.end(),
                        live.begin(),
                        live.end(),
                        std::back_inserter(departed));
    std::set_difference(live.begin(),
                        live.end(),
                        mPreviousLiveVms.begin(),
                        mPreviousLiveVms.end(),
                        std::back_inserter(joined));
    mPreviousLiveVms = live;
    std::erase_if(mPeers, [this](const auto& aItem) {
      return mLoop.Now() - aItem.second.mLastHeartbeat > kPeerRetention;
    });
  }
  for (const auto& vm : departed) {
    mLog.Write(log_event("peer_gone").Add("vm", mIdentity.mVm).Add("peer", vm));
  }
  for (const auto& vm : joined) {
    mLog.Write(log_event("peer_live").Add("vm", mIdentity.mVm).Add("peer", vm));
  }
  if (departed.empty() && joined.empty()) {
    return;
  }
  for (const auto& listener : mChangeListeners) {
    listener();
  }
}

void membership::SetLeaving()
{
  {
    std::lock_guard lock(mMutex);
    mLeaving = true;
  }
  Announce();
}

bool membership::IsLeaving() const
{
  std::lock_guard lock(mMutex);
  return mLeaving;
}

std::vector<std::string> membership::LiveVms() const
{
  std::lock_guard lock(mMutex);
  std::vector<std::string> live;
  if (!mLeaving) {
    live.push_back(mIdentity.mVm);
  }
  for (const auto& [id, item] : mPeers) {
    if (IsLive(item) && !item.mState.mLeaving) {
      live.push_back(id);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

std::vector<peer_state> membership::LivePeers() const
{
  std::lock_guard lock(mMutex);
  std::vector<peer_state> live;
  for (const auto& [id, item] : mPeers) {
    if (IsLive(item)) {
      live.push_back(item.mState);
    }
  }
  return live;
}

std::optional<scheduler_location> membership::Scheduler() const
{
  std::optional<scheduler_location> best;
  const auto consider = [&best](const peer_state& aState) {
    const bool isScheduler =
      aState.mSchedulerEpoch > 0 && aState.mSchedulerVm == aState.mVm;
    if (isScheduler && (!best || best->mEpoch < aState.mSchedulerEpoch)) {
      best = scheduler_location{ aState.mSchedulerEpoch, aState.mVm, aState.mAddress };
    }
  };
  consider(OwnState());
  for (const auto& state : LivePeers()) {
    consider(state);
  }
  return best;
}

uint64_t membership::VersionInForce() const
{
  uint64_t lowest = OwnState().mConfigVersion;
  for (const auto& state : LivePeers()) {
    lowest = std::min(lowest, state.mConfigVersion);
  }
  return lowest;
}

} // namespace anvildoor
