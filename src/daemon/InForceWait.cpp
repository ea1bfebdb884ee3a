#include "daemon/InForceWait.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr duration kMaxWait{ 4'000 };
constexpr duration kQueryInterval{ 100 };

constexpr const char* kInForce = "in_force";
constexpr const char* kPending = "not_yet";
constexpr const char* kUnreachable = "unreachable";

} // namespace

in_force_wait::in_force_wait(event_loop& aLoop,
                             peer_port& aPeers,
                             membership& aMembership,
                             const vm_directory& aDirectory,
                             uint64_t aVersion,
                             done aDone)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mMembership(aMembership)
  , mDirectory(aDirectory)
  , mVersion(aVersion)
  , mDone(std::move(aDone))
  , mDeadline(aLoop.Now() + kMaxWait)
{
}

void in_force_wait::Run()
{
  {
    std::lock_guard lock(mMutex);
    mDataCentreStates[mMembership.Identity().mDataCentre] = kPending;
    for (const auto& name : mDirectory.DataCentres()) {
      mDataCentreStates[name] =
        name == mMembership.Identity().mDataCentre ? kPending : kUnreachable;
    }
  }
  QueryUnconfirmed();
}

void in_force_wait::QueryUnconfirmed()
{
  std::vector<std::string> unconfirmed;
  {
    std::lock_guard lock(mMutex);
    for (const auto& [name, state] : mDataCentreStates) {
      if (state != kInForce) {
        unconfirmed.push_back(name);
      }
    }
  }
  for (const auto& name : unconfirmed) {
    if (name == mMembership.Identity().mDataCentre) {
      OnVersion(name, mMembership.VersionInForce());
    } else {
      QueryDataCentre(name);
    }
  }
  if (!FinishIfDone()) {
    mLoop.RunAfter(kQueryInterval,
                   [self = shared_from_this()] { self->QueryUnconfirmed(); });
  }
}

void in_force_wait::QueryDataCentre(const std::string& aDataCentre)
{
  auto vms = mDirectory.List(vm_kind::kEntry, aDataCentre);
  std::erase_if(vms, [](const auto& aVm) { return aVm.mLeaving; });
  if (vms.empty()) {
    return;
  }
  size_t vmIndex = 0;
  {
    std::lock_guard lock(mMutex);
    vmIndex = mQueryCounts[aDataCentre]++;
  }
  // The list lags and may contain VMs that are down, so each query goes to the next VM.
  mPeers.VersionInForce(
    vms[vmIndex % vms.size()].mAddress,
    [self = shared_from_this(), aDataCentre](const result<uint64_t>& aAnswer) {
      self->OnVersion(aDataCentre, aAnswer);
      self->FinishIfDone();
    });
}

void in_force_wait::OnVersion(const std::string& aDataCentre,
                              const result<uint64_t>& aAnswer)
{
  std::lock_guard lock(mMutex);
  auto& state = mDataCentreStates[aDataCentre];
  if (state == kInForce || !aAnswer) {
    return;
  }
  state = *aAnswer >= mVersion ? kInForce : kPending;
}

bool in_force_wait::FinishIfDone()
{
  std::map<std::string, std::string> state;
  {
    std::lock_guard lock(mMutex);
    const bool isInForceEverywhere =
      std::all_of(mDataCentreStates.begin(),
                  mDataCentreStates.end(),
                  [](const auto& aItem) { return aItem.second == kInForce; });
    if (mIsFinished || (!isInForceEverywhere && mLoop.Now() < mDeadline)) {
      return mIsFinished;
    }
    mIsFinished = true;
    state = mDataCentreStates;
  }
  mDone(state);
  return true;
}

} // namespace anvildoor
