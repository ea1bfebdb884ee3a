#pragma once

#include "store/StoreClient.h"

#include <functional>
#include <mutex>

namespace anvildoor {

/** Timing of a shared lease. New keys are attached to it for mReusePeriod. */
struct shared_lease_policy
{
  duration mTtl = std::chrono::hours(25);
  duration mReusePeriod = std::chrono::hours(1);
  int mMaxAttempts = 3;          ///< Attempts to obtain a lease if answers are lost.
  duration mRetryPause{ 1'000 }; ///< No requests for this long after a failure.

  auto operator<=>(const shared_lease_policy&) const = default;
};

/**
 * A lease shared by many keys, so that the store deletes them together without one call
 * per key: with the default TTL, about a day after they were written. Thread-safe.
 */
class shared_lease
{
public:
  /** The references must outlive the lease. */
  shared_lease(event_loop& aLoop,
               store_client& aStore,
               const shared_lease_policy& aPolicy);

  /**
   * Calls aDone with a lease, or with 0 while the store does not answer. aDone may run
   * inside the call.
   */
  void Get(std::function<void(uint64_t)> aDone);

  /** Returns the latest lease, or 0 if none has been granted yet. */
  uint64_t LatestLease() const;

  /** Records a store failure, so that Get fails at once during the retry pause. */
  void RecordFailure();

private:
  void Grant(int aAttemptsLeft, std::function<void(uint64_t)> aDone);

  event_loop& mLoop;
  store_client& mStore;
  shared_lease_policy mPolicy;
  mutable std::mutex mMutex;
  uint64_t mLease = 0;
  time_point mGrantedAt{};
  time_point mFailedAt{};
};

} // namespace anvildoor
