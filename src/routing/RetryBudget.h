#pragma once

#include "base/EventLoop.h"

#include <mutex>

namespace anvildoor {

/**
 * Limits retries to a fraction of the first attempts, plus a small constant rate so
 * that a VM with little traffic can retry. Thread-safe.
 */
class retry_budget
{
public:
  /** Counts a first attempt. */
  void OnFirstAttempt(time_point aNow);

  /** Takes one retry from the budget; returns false if it is exhausted. */
  bool TryRetry(time_point aNow);

private:
  void Refill(time_point aNow);

  std::mutex mMutex;
  double mTokens = 1.0;
  time_point mRefilledAt{};
  bool mInitialised = false;
};

} // namespace anvildoor
