#include "routing/Admission.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace anvildoor {

namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr duration kRetryAfterFull{ 500 };

/**
 * Returns the in-flight limit of a class. Lower classes get only part of the limit,
 * which keeps capacity free for urgent requests.
 */
int64_t LimitFor(work_class aClass, int64_t aLimit)
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
                                   share_count aShares)
  : mLoop(aLoop)
  , mConfig(aConfig)
  , mMetrics(aMetrics)
  , mShares(std::move(aShares))
{
}

admission_filter::shard& admission_filter::ShardOf(const std::string& aWorkspace)
{
  return mShards[HashOf(aWorkspace) % kShards];
}

size_t admission_filter::InFlight() const
{
  int64_t total = 0;
  for (const auto& part : mShards) {
    std::lock_guard lock(part.mMutex);
    for (const auto& [workspace, item] : part.mUsage) {
      total += item.mInFlight;
    }
  }
  return static_cast<size_t>(total);
}

bool admission_filter::TryEnter(const request_spec& aSpec, request_answer& aRefusal)
{
  const auto config = mConfig.Current();
  if (!config) {
    aRefusal = NotRun("admit", "", "no configuration has been loaded yet");
    return false;
  }
  const auto settings = config->DefaultsFor(aSpec.mWorkspace);
  const auto shares = static_cast<int64_t>(std::max<size_t>(1, mShares()));
  const int64_t inFlight = std::max<int64_t>(1, settings.mRequestsInFlight / shares);
  const double rate =
    static_cast<double>(settings.mRequestsPerSecond) / static_cast<double>(shares);
  const double burst = std::max(1.0, rate);
  const auto now = mLoop.Now();
  auto& part = ShardOf(aSpec.mWorkspace);
  std::lock_guard lock(part.mMutex);
  auto& item = part.mUsage[aSpec.mWorkspace];
  const auto passed =
    static_cast<double>((now - item.mRefilled).count()) / kMsPerSecond;
  item.mTokens = item.mStarted ? std::min(burst, item.mTokens + passed * rate) : burst;
  item.mStarted = true;
  item.mRefilled = now;
  if (item.mInFlight >= LimitFor(aSpec.mClass, inFlight)) {
    aRefusal = NotRun("admit", aSpec.mWorkspace, "too many requests in flight");
    aRefusal.mRetryAfter = kRetryAfterFull;
    return false;
  }
  if (item.mTokens < 1.0) {
    const double wait = std::ceil((1.0 - item.mTokens) / rate * kMsPerSecond);
    aRefusal = NotRun("admit", aSpec.mWorkspace, "too many requests per second");
    aRefusal.mRetryAfter = duration(static_cast<int64_t>(wait));
    return false;
  }
  item.mTokens -= 1.0;
  ++item.mInFlight;
  return true;
}

void admission_filter::Leave(const std::string& aWorkspace)
{
  auto& part = ShardOf(aWorkspace);
  std::lock_guard lock(part.mMutex);
  --part.mUsage[aWorkspace].mInFlight;
}

void admission_filter::OnHandle(const shared_request& aRequest, answer_done aDone)
{
  request_answer refusal;
  if (!TryEnter(aRequest->Spec(), refusal)) {
    mMetrics.Count("requests_shed_total", "workspace", aRequest->Spec().mWorkspace);
    aDone(refusal);
    return;
  }
  HandOn(aRequest,
         [this, workspace = aRequest->Spec().mWorkspace, done = std::move(aDone)](
           const request_answer& aAnswer) {
           Leave(workspace);
           done(aAnswer);
         });
}

} // namespace anvildoor
