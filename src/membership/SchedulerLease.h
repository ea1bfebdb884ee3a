#pragma once

#include "base/EventLog.h"
#include "store/StoreClient.h"

#include <functional>
#include <mutex>
#include <string>

namespace anvildoor {

/** How long a scheduler's lease lasts and how it is kept. */
struct lease_policy
{
  duration mTtl{ 5'000 };
  duration mRenew{ 1'500 };
  duration mMargin{ 500 }; ///< Ends the holder's own belief this much earlier.

  auto operator<=>(const lease_policy&) const = default;
};

/**
 * The leased key that makes one VM per data centre its scheduler, with an epoch that
 * rises at each acquisition. The holder stops believing in its lease before the store
 * lets it lapse. Thread-safe.
 */
class scheduler_lease
{
public:
  using listener = std::function<void(uint64_t aEpoch)>;

  /** The references must outlive the lease. aOwner names the process for the others. */
  scheduler_lease(event_loop& aLoop,
                  store_client& aStore,
                  event_log& aLog,
                  std::string aPrefix,
                  std::string aOwner,
                  const lease_policy& aPolicy);

  /** Calls with the epoch on acquisition and with 0 on loss. Call before Start. */
  void SetListener(listener aListener);

  /** Begins to acquire and renew; aMayTry says whether to try to acquire now. */
  void Start(std::function<bool()> aMayTry);

  /** Returns the epoch, or 0 unless the lease is certainly held at this moment. */
  uint64_t HeldEpoch() const;

  /** Gives the lease up and does not acquire it again. */
  void Resign();

private:
  void Tick();
  void Acquire();
  void TakeKey(uint64_t aEpoch, uint64_t aEpochVersion, time_point aSent);
  void RaiseEpoch(uint64_t aEpoch, uint64_t aEpochVersion, time_point aSent);
  void FinishAcquire(uint64_t aEpoch, time_point aSent);
  void AbandonAcquire(const error& aError);
  void Renew();
  void Lose(const char* aReason);

  event_loop& mLoop;
  store_client& mStore;
  event_log& mLog;
  std::string mPrefix;
  std::string mOwner;
  lease_policy mPolicy;
  listener mListener;
  std::function<bool()> mMayTry;
  mutable std::mutex mMutex;
  uint64_t mEpoch = 0;
  uint64_t mLease = 0;
  uint64_t mKeyVersion = 0;
  time_point mValidUntil{};
  time_point mNextRenew{};
  time_point mNextComplaint{}; ///< Failures in a row are logged once a while.
  bool mBusy = false;
  bool mResigned = false;
};

} // namespace anvildoor
