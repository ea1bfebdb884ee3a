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
  mStore.GrantLease(mPolicy.mTtl,
                    [this, done = std::move(aDone)](const result<uint64_t>& aAnswer) {
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
