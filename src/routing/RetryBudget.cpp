#include "routing/RetryBudget.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr double kTokensPerFirstAttempt = 0.08;
constexpr double kTokensPerMs = 0.1 / 1000.0;
constexpr double kMaxTokens = 10.0;

} // namespace

void retry_budget::Refill(time_point aNow)
{
  if (mInitialised) {
    const auto elapsed = static_cast<double>((aNow - mRefilledAt).count());
    mTokens = std::min(kMaxTokens, mTokens + elapsed * kTokensPerMs);
  }
  mInitialised = true;
  mRefilledAt = aNow;
}

void retry_budget::OnFirstAttempt(time_point aNow)
{
  std::lock_guard lock(mMutex);
  Refill(aNow);
  mTokens = std::min(kMaxTokens, mTokens + kTokensPerFirstAttempt);
}

bool retry_budget::TryRetry(time_point aNow)
{
  std::lock_guard lock(mMutex);
  Refill(aNow);
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace anvildoor
