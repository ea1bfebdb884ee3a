#include "store/SharedLease.h"

namespace anvildoor {

shared_lease::shared_lease(event_loop& aLoop,
                           store_client& aStore,
                           const shared_lease_policy& aPolicy)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPolicy(aPolicy)
{
}

void shared_lease::Get(std::function<void(uint64_t)> aDone)
{
  uint64_t lease = 0;
  bool paused = false;
  {
    std::lock_guard lock(mMutex);
    const auto now = mLoop.Now();
    paused = mFailedAt.count() != 0 && now - mFailedAt < mPolicy.mRetryPause;
    lease = mLease != 0 && now - mGrantedAt < mPolicy.mReusePeriod ? mLease : 0;
  }
  if (lease != 0 || paused) {
    aDone(paused ? 0 : lease);
    return;
  }
  Grant(mPolicy.mMaxAttempts, std::move(aDone));
}

void shared_lease::Grant(int aAttemptsLeft, std::function<void(uint64_t)> aDone)
{
  mStore.GrantLease(
    mPolicy.mTtl,
    [this, aAttemptsLeft, done = std::move(aDone)](const result<uint64_t>& aAnswer) {
      // If the answer was lost, the granted lease expires unused, so that requesting
      // another one is harmless.
      const bool lost = !aAnswer && aAnswer.error().mCode == error_code::kUnknownEffect;
      if (lost && aAttemptsLeft > 1) {
        Grant(aAttemptsLeft - 1, done);
        return;
      }
      {
        std::lock_guard lock(mMutex);
        mFailedAt = aAnswer ? time_point{} : mLoop.Now();
        if (aAnswer) {
          mLease = *aAnswer;
          mGrantedAt = mLoop.Now();
        }
      }
      done(aAnswer ? *aAnswer : 0);
    });
}

uint64_t shared_lease::LatestLease() const
{
  std::lock_guard lock(mMutex);
  return mLease;
}

void shared_lease::RecordFailure()
{
  std::lock_guard lock(mMutex);
  mFailedAt = mLoop.Now();
}

} // namespace anvildoor
