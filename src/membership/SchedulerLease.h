#pragma once

#include "base/EventLog.h"
#include "store/StoreClient.h"

#include <functional>
#include <mutex>
#include <string>

namespace anvildoor {

/** Timing of the scheduler lease. */
struct lease_policy
{
  duration mTtl{ 5'000 };
  duration mRenewPeriod{ 1'500 };
  duration mExpiryMargin{ 500 }; ///< The lease counts as lost this long before expiry.

  auto operator<=>(const lease_policy&) const = default;
};

/**
 * Elects one VM per data centre as scheduler by means of a leased key in the store.
 * Each acquisition raises the epoch. The holder treats its lease as lost before it
 * expires in the store. Thread-safe.
 */
class scheduler_lease
{
public:
  using listener = std::function<void(uint64_t aEpoch)>;

  /** The references must outlive this object. aOwner identifies this process. */
  scheduler_lease(event_loop& aLoop,
                  store_client& aStore,
                  event_log& aLog,
                  std::string aPrefix,
                  std::string aOwner,
                  const lease_policy& aPolicy);

  /**
   * Sets the listener that receives the epoch on acquisition and 0 on loss. Must be
   * called before Start.
   */
  void SetListener(listener aListener);

  /**
   * Starts to acquire and renew the lease. Acquisition is attempted only while
   * aMayAcquire returns true.
   */
  void Start(std::function<bool()> aMayAcquire);

  /** Returns the epoch while the lease is certainly held, otherwise 0. */
  uint64_t HeldEpoch() const;

  /** Releases the lease and does not acquire it again. */
  void Resign();

private:
  void Tick();
  void Acquire();
  void WriteSchedulerKey(uint64_t aEpoch, uint64_t aEpochVersion, time_point aSent);
  void WriteEpoch(uint64_t aEpoch, uint64_t aEpochVersion, time_point aSent);
  void FinishAcquire(uint64_t aEpoch, time_point aSent);
  void HandleAcquireFailure(const error& aError);
  void Renew();
  void MarkLost(const char* aReason);

  event_loop& mLoop;
  store_client& mStore;
  event_log& mLog;
  std::string mPrefix;
  std::string mOwner;
  lease_policy mPolicy;
  listener mListener;
  std::function<bool()> mMayAcquire;
  mutable std::mutex mMutex;
  uint64_t mEpoch = 0;
  uint64_t mLease = 0;
  uint64_t mKeyVersion = 0;
  time_point mValidUntil{};
  time_point mNextRenew{};
  time_point mNextFailureLog{}; ///< Limits log entries for repeated failures.
  bool mRequestPending = false;
  bool mResigned = false;
};

} // namespace anvildoor
