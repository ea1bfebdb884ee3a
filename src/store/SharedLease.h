#pragma once

#include "store/StoreClient.h"

#include <functional>
#include <mutex>

namespace anvildoor {

/** How long a shared lease lives and for how long new keys are attached to it. */
struct shared_lease_policy
{
  duration mTtl = std::chrono::hours(25);
  duration mShared = std::chrono::hours(1);
  int mTries = 3;                ///< When answers are lost.
  duration mRetryPause{ 1'000 }; ///< After a failure the store is left alone so long.

  auto operator<=>(const shared_lease_policy&) const = default;
};

/**
 * A lease that many keys share, so that they vanish from the store a day later without
 * a call for each. Thread-safe.
 */
class shared_lease
{
public:
  /** The references must outlive the lease. */
  shared_lease(event_loop& aLoop,
               store_client& aStore,
               const shared_lease_policy& aPolicy);

  /**
   * Answers with a lease, which may be inside the call, or with 0 while the store does
   * not answer.
   */
  void Get(std::function<void(uint64_t)> aDone);

  /** Returns the latest lease, 0 if there never was one. */
  uint64_t Latest() const;

  /** Notes that the store has failed, so that callers are turned away at once. */
  void NoteFailure();

private:
  void Grant(int aTries, std::function<void(uint64_t)> aDone);

  event_loop& mLoop;
  store_client& mStore;
  shared_lease_policy mPolicy;
  mutable std::mutex mMutex;
  uint64_t mLease = 0;
  time_point mGranted{};
  time_point mFailed{};
};

} // namespace anvildoor
