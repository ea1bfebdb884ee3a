#include "routing/AdmissionFilter.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace anvildoor {

namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr duration kInFlightRetryDelay{ 500 };

/**
 * Returns the in-flight limit of a class. Lower classes get only part of the limit,
 * which keeps capacity free for urgent requests.
 */
int64_t InFlightLimit(work_class aClass, int64_t aLimit)
{
  constexpr int64_t kInteractivePercent = 90;
  constexpr int64_t kBatchPercent = 70;
  switch (aClass) {
    case work_class::kUrgent:
      return aLimit;
    case work_class::kInteractive:
      return std::max<int64_t>(1, aLimit * kInteractivePercent / 100);
    case work_class::kBatch:
      return std::max<int64_t>(1, aLimit * kBatchPercent / 100);
  }
  return aLimit;
}

} // namespace

admission_filter::admission_filter(event_loop& aLoop,
                                   config_controller& aConfig,
                                   metrics& aMetrics,
                                   live_vm_counter aCountLiveVms)
  : mLoop(aLoop)
  , mConfig(aConfig)
  , mMetrics(aMetrics)
  , mCountLiveVms(std::move(aCountLiveVms))
{
}

admission_filter::shard& admission_filter::ShardOf(const std::string& aWorkspace)
{
  return mShards[Hash64(aWorkspace) % kShardCount];
}

size_t admission_filter::InFlightCount() const
{
  int64_t total = 0;
  for (const auto& workspaceShard : mShards) {
    std::lock_guard lock(workspaceShard.mMutex);
    for (const auto& [workspace, item] : workspaceShard.mUsage) {
      total += item.mInFlight;
    }
  }
  return static_cast<size_t>(total);
}

bool admission_filter::TryAdmit(const request_spec& aSpec, request_answer& aRefusal)
{
  const auto config = mConfig.Current();
  if (!config) {
    aRefusal = NotRun("admit", "", "no configuration has been loaded yet");
    return false;
  }
  const auto settings = config->DefaultsFor(aSpec.mWorkspace);
  const auto vmCount = static_cast<int64_t>(std::max<size_t>(1, mCountLiveVms()));
  const int64_t inFlightLimit =
    std::max<int64_t>(1, settings.mRequestsInFlight / vmCount);
  const double ratePerSecond =
    static_cast<double>(settings.mRequestsPerSecond) / static_cast<double>(vmCount);
  const double burst = std::max(1.0, ratePerSecond);
  const auto now = mLoop.Now();
  auto& workspaceShard = ShardOf(aSpec.mWorkspace);
  std::lock_guard lock(workspaceShard.mMutex);
  auto& item = workspaceShard.mUsage[aSpec.mWorkspace];
  const auto elapsed =
    static_cast<double>((now - item.mRefilledAt).count()) / kMsPerSecond;
  item.mRateTokens = item.mInitialised
                       ? std::min(burst, item.mRateTokens + elapsed * ratePerSecond)
                       : burst;
  item.mInitialised = true;
  item.mRefilledAt = now;
  if (item.mInFlight >= InFlightLimit(aSpec.mClass, inFlightLimit)) {
    aRefusal = NotRun("admit", aSpec.mWorkspace, "too many requests in flight");
    aRefusal.mRetryAfter = kInFlightRetryDelay;
    return false;
  }
  if (item.mRateTokens < 1.0) {
    const double waitMs =
      std::ceil((1.0 - item.mRateTokens) / ratePerSecond * kMsPerSecond);
    aRefusal = NotRun("admit", aSpec.mWorkspace, "too many requests per second");
    aRefusal.mRetryAfter = duration(static_cast<int64_t>(waitMs));
    return false;
  }
  item.mRateTokens -= 1.0;
  ++item.mInFlight;
  return true;
}

void admission_filter::FinishRequest(const std::string& aWorkspace)
{
  auto& workspaceShard = ShardOf(aWorkspace);
  std::lock_guard lock(workspaceShard.mMutex);
  --workspaceShard.mUsage[aWorkspace].mInFlight;
}

void admission_filter::OnHandle(const shared_request& aRequest, answer_done aDone)
{
  request_answer refusal;
  if (!TryAdmit(aRequest->Spec(), refusal)) {
    mMetrics.Count("requests_shed_total", "workspace", aRequest->Spec().mWorkspace);
    aDone(refusal);
    return;
  }
  PassToNext(aRequest,
             [this, workspace = aRequest->Spec().mWorkspace, done = std::move(aDone)](
               const request_answer& aAnswer) {
               FinishRequest(workspace);
               done(aAnswer);
             });
}

} // namespace anvildoor
