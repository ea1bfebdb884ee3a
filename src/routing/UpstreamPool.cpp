#include "routing/UpstreamPool.h"

#include "base/Hash.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr int kFailuresToEject = 5;
constexpr duration kFirstEjection{ 5'000 };
constexpr int kMaxDoublings = 4;
constexpr duration kSlowStartSpan{ 10'000 };
constexpr size_t kEjectedCeilingPercent = 50;
constexpr size_t kPercent = 100;
constexpr duration kBelieveUpstream = std::chrono::minutes(5);
constexpr duration kBelievePeer{ 5'000 };

} // namespace

int64_t SlotShare(const std::string& aUpstream,
                  int64_t aSlots,
                  const std::string& aOwnVm,
                  const std::vector<std::string>& aLiveVms)
{
  const auto order = RendezvousOrder(aUpstream, aLiveVms);
  const auto found = std::find(order.begin(), order.end(), aOwnVm);
  if (found == order.end()) {
    return 0;
  }
  const auto vms = static_cast<int64_t>(order.size());
  const auto rank = static_cast<int64_t>(found - order.begin());
  return aSlots / vms + (rank < aSlots % vms ? 1 : 0);
}

upstream_pool::upstream_pool(event_loop& aLoop, event_log& aLog, uint64_t aSeed)
  : mLoop(aLoop)
  , mLog(aLog)
  , mRandom(aSeed)
{
}

void upstream_pool::Update(const std::vector<vm_record>& aUpstreams,
                           const std::string& aOwnVm,
                           const std::vector<std::string>& aLiveVms)
{
  std::lock_guard lock(mMutex);
  for (auto& [id, item] : mUpstreams) {
    item.mListed = false;
  }
  for (const auto& record : aUpstreams) {
    const bool isNew = mUpstreams.count(record.mId) == 0;
    auto& item = mUpstreams[record.mId];
    if (!isNew && item.mRecord.mAddress != record.mAddress) {
      item.mLeavingUntil = {}; // A new address means that the VM was replaced.
    }
    item.mRecord = record;
    item.mListed = true;
    const auto slots = std::min(record.mSlots, record.mConnections);
    item.mShare = SlotShare(record.mId, slots, aOwnVm, aLiveVms);
    if (isNew) {
      item.mSlowStart = mLoop.Now();
    }
  }
  std::erase_if(mUpstreams, [](const auto& aItem) {
    return !aItem.second.mListed && aItem.second.mOutstanding == 0;
  });
}

void upstream_pool::SetLeaving(const std::string& aId)
{
  std::lock_guard lock(mMutex);
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  if (!IsLeaving(found->second)) {
    mLog.Write(log_event("upstream_leaving").Add("upstream", aId));
  }
  found->second.mLeavingUntil = mLoop.Now() + kBelieveUpstream;
}

void upstream_pool::SetLeavingByPeer(const std::string& aId)
{
  std::lock_guard lock(mMutex);
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mPeerLeavingUntil = mLoop.Now() + kBelievePeer;
  }
}

std::vector<std::string> upstream_pool::Leaving() const
{
  std::lock_guard lock(mMutex);
  std::vector<std::string> ids;
  for (const auto& [id, item] : mUpstreams) {
    if (item.mLeavingUntil > mLoop.Now()) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool upstream_pool::IsLeaving(const upstream& aItem) const
{
  const auto now = mLoop.Now();
  return aItem.mRecord.mLeaving || aItem.mLeavingUntil > now ||
         aItem.mPeerLeavingUntil > now;
}

bool upstream_pool::IsEjected(const upstream& aItem) const
{
  return aItem.mEjectedUntil > mLoop.Now();
}

int64_t upstream_pool::Limit(const upstream& aItem) const
{
  const duration since = mLoop.Now() - aItem.mSlowStart;
  if (since >= kSlowStartSpan) {
    return aItem.mShare;
  }
  const int64_t opened = aItem.mShare * since.count() / kSlowStartSpan.count();
  return std::min(aItem.mShare, 1 + opened);
}

std::vector<upstream_pool::upstream*> upstream_pool::Candidates(
  const std::vector<std::string>& aAvoid)
{
  std::vector<upstream*> candidates;
  for (auto& [id, item] : mUpstreams) {
    const bool avoided = std::find(aAvoid.begin(), aAvoid.end(), id) != aAvoid.end();
    const bool usable = item.mListed && !IsLeaving(item) && !avoided &&
                        !IsEjected(item) && item.mOutstanding < Limit(item);
    if (usable) {
      candidates.push_back(&item);
    }
  }
  return candidates;
}

std::optional<upstream_choice> upstream_pool::Take(
  const std::vector<std::string>& aAvoid)
{
  std::lock_guard lock(mMutex);
  const auto candidates = Candidates(aAvoid);
  if (candidates.empty()) {
    return std::nullopt;
  }
  auto* first = candidates[mRandom() % candidates.size()];
  auto* second = candidates[mRandom() % candidates.size()];
  auto* chosen = second->mOutstanding < first->mOutstanding ? second : first;
  ++chosen->mOutstanding;
  return upstream_choice{ chosen->mRecord.mId, chosen->mRecord.mAddress };
}

bool upstream_pool::MayEject() const
{
  size_t listed = 0;
  size_t ejected = 0;
  for (const auto& [id, item] : mUpstreams) {
    listed += item.mListed ? 1 : 0;
    ejected += item.mListed && IsEjected(item) ? 1 : 0;
  }
  return (ejected + 1) * kPercent <= listed * kEjectedCeilingPercent;
}

void upstream_pool::NoteFailure(upstream& aItem)
{
  if (++aItem.mFailures < kFailuresToEject || IsEjected(aItem) || !MayEject()) {
    return;
  }
  const auto span = kFirstEjection * (1 << std::min(aItem.mEjections, kMaxDoublings));
  aItem.mEjectedUntil = mLoop.Now() + span;
  aItem.mSlowStart = aItem.mEjectedUntil;
  aItem.mFailures = 0;
  ++aItem.mEjections;
  mLog.Write(log_event("upstream_ejected")
               .Add("upstream", aItem.mRecord.mId)
               .Add("ms", span.count()));
}

void upstream_pool::GiveBack(const std::string& aId, upstream_health aHealth)
{
  std::lock_guard lock(mMutex);
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  auto& item = found->second;
  --item.mOutstanding;
  if (aHealth == upstream_health::kBad) {
    NoteFailure(item);
  } else if (aHealth == upstream_health::kGood) {
    item.mFailures = 0;
    item.mEjections = 0;
  }
}

std::vector<upstream_status> upstream_pool::Statuses() const
{
  std::lock_guard lock(mMutex);
  std::vector<upstream_status> statuses;
  for (const auto& [id, item] : mUpstreams) {
    statuses.push_back(
      { id, item.mShare, item.mOutstanding, IsLeaving(item), IsEjected(item) });
  }
  return statuses;
}

} // namespace anvildoor
