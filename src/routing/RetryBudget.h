#pragma once

#include "base/EventLoop.h"

#include <mutex>

namespace anvildoor {

/**
 * Bounds retries to a share of the first attempts, plus a trickle so that a quiet VM
 * may retry at all. Thread-safe.
 */
class retry_budget
{
public:
  /** Counts a first attempt. */
  void OnFirstAttempt(time_point aNow);

  /** Takes one retry out of the budget; false if it is used up. */
  bool TryRetry(time_point aNow);

private:
  void Refill(time_point aNow);

  std::mutex mMutex;
  double mTokens = 1.0;
  time_point mRefilled{};
  bool mStarted = false;
};

} // namespace anvildoor
