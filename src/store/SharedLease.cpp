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
    paused = mFailed.count() != 0 && now - mFailed < mPolicy.mRetryPause;
    lease = mLease != 0 && now - mGranted < mPolicy.mShared ? mLease : 0;
  }
  if (lease != 0 || paused) {
    aDone(paused ? 0 : lease);
    return;
  }
  Grant(mPolicy.mTries, std::move(aDone));
}

void shared_lease::Grant(int aTries, std::function<void(uint64_t)> aDone)
{
  mStore.GrantLease(
    mPolicy.mTtl,
    [this, aTries, done = std::move(aDone)](const result<uint64_t>& aAnswer) {
      // If the answer was lost, the granted lease expires unused, so that requesting
      // another one is harmless.
      const bool lost = !aAnswer && aAnswer.error().mCode == error_code::kUnknownEffect;
      if (lost && aTries > 1) {
        Grant(aTries - 1, done);
        return;
      }
      {
        std::lock_guard lock(mMutex);
        mFailed = aAnswer ? time_point{} : mLoop.Now();
        if (aAnswer) {
          mLease = *aAnswer;
          mGranted = mLoop.Now();
        }
      }
      done(aAnswer ? *aAnswer : 0);
    });
}

uint64_t shared_lease::Latest() const
{
  std::lock_guard lock(mMutex);
  return mLease;
}

void shared_lease::NoteFailure()
{
  std::lock_guard lock(mMutex);
  mFailed = mLoop.Now();
}

} // namespace anvildoor
