#include "routing/UpstreamPool.h"

#include "base/Hash.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr int kFailuresToEject = 5;
constexpr duration kMinEjectionTime{ 5'000 };
constexpr int kMaxEjectionDoublings = 4;
constexpr duration kSlowStartDuration{ 10'000 };
constexpr size_t kMaxEjectedPercent = 50;
constexpr size_t kFullPercent = 100;
constexpr duration kLeavingReportLifetime = std::chrono::minutes(5);
constexpr duration kPeerReportLifetime{ 5'000 };

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
    item.mSlotShare = SlotShare(record.mId, slots, aOwnVm, aLiveVms);
    if (isNew) {
      item.mSlowStartBegin = mLoop.Now();
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
  found->second.mLeavingUntil = mLoop.Now() + kLeavingReportLifetime;
}

void upstream_pool::SetLeavingByPeer(const std::string& aId)
{
  std::lock_guard lock(mMutex);
  const auto found = mUpstreams.find(aId);
  if (found != mUpstreams.end()) {
    found->second.mPeerLeavingUntil = mLoop.Now() + kPeerReportLifetime;
  }
}

std::vector<std::string> upstream_pool::ReportedLeaving() const
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

int64_t upstream_pool::SlotLimit(const upstream& aItem) const
{
  const duration elapsed = mLoop.Now() - aItem.mSlowStartBegin;
  if (elapsed >= kSlowStartDuration) {
    return aItem.mSlotShare;
  }
  const int64_t openedSlots =
    aItem.mSlotShare * elapsed.count() / kSlowStartDuration.count();
  return std::min(aItem.mSlotShare, 1 + openedSlots);
}

std::vector<upstream_pool::upstream*> upstream_pool::Candidates(
  const std::vector<std::string>& aExcluded)
{
  std::vector<upstream*> candidates;
  for (auto& [id, item] : mUpstreams) {
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), id) != aExcluded.end();
    const bool usable = item.mListed && !IsLeaving(item) && !excluded &&
                        !IsEjected(item) && item.mOutstanding < SlotLimit(item);
    if (usable) {
      candidates.push_back(&item);
    }
  }
  return candidates;
}

std::optional<upstream_choice> upstream_pool::AcquireSlot(
  const std::vector<std::string>& aExcluded)
{
  std::lock_guard lock(mMutex);
  const auto candidates = Candidates(aExcluded);
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
  return (ejected + 1) * kFullPercent <= listed * kMaxEjectedPercent;
}

void upstream_pool::RecordFailure(upstream& aItem)
{
  if (++aItem.mConsecutiveFailures < kFailuresToEject || IsEjected(aItem) ||
      !MayEject()) {
    return;
  }
  const auto ejectionTime =
    kMinEjectionTime *
    (1 << std::min(aItem.mConsecutiveEjections, kMaxEjectionDoublings));
  aItem.mEjectedUntil = mLoop.Now() + ejectionTime;
  aItem.mSlowStartBegin = aItem.mEjectedUntil;
  aItem.mConsecutiveFailures = 0;
  ++aItem.mConsecutiveEjections;
  mLog.Write(log_event("upstream_ejected")
               .Add("upstream", aItem.mRecord.mId)
               .Add("ms", ejectionTime.count()));
}

void upstream_pool::ReleaseSlot(const std::string& aId, attempt_result aResult)
{
  std::lock_guard lock(mMutex);
  const auto found = mUpstreams.find(aId);
  if (found == mUpstreams.end()) {
    return;
  }
  auto& item = found->second;
  --item.mOutstanding;
  if (aResult == attempt_result::kFailed) {
    RecordFailure(item);
  } else if (aResult == attempt_result::kSucceeded) {
    item.mConsecutiveFailures = 0;
    item.mConsecutiveEjections = 0;
  }
}

std::vector<upstream_status> upstream_pool::Statuses() const
{
  std::lock_guard lock(mMutex);
  std::vector<upstream_status> statuses;
  for (const auto& [id, item] : mUpstreams) {
    statuses.push_back(
      { id, item.mSlotShare, item.mOutstanding, IsLeaving(item), IsEjected(item) });
  }
  return statuses;
}

} // namespace anvildoor
