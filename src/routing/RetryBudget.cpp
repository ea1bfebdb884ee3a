#include "routing/RetryBudget.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr double kTokensPerAttempt = 0.08;
constexpr double kTokensPerMs = 0.1 / 1000.0;
constexpr double kMaxTokens = 10.0;

} // namespace

void retry_budget::Refill(time_point aNow)
{
  if (mStarted) {
    const auto passed = static_cast<double>((aNow - mRefilled).count());
    mTokens = std::min(kMaxTokens, mTokens + passed * kTokensPerMs);
  }
  mStarted = true;
  mRefilled = aNow;
}

void retry_budget::OnFirstAttempt(time_point aNow)
{
  std::lock_guard lock(mMutex);
  Refill(aNow);
  mTokens = std::min(kMaxTokens, mTokens + kTokensPerAttempt);
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
