#include "membership/SchedulerLease.h"

#include "store/CasWithReadBack.h"

#include <cstdlib>

namespace anvildoor {

namespace {

constexpr duration kTickPeriod{ 500 };
constexpr duration kFailureLogPeriod{ 30'000 };

} // namespace

scheduler_lease::scheduler_lease(event_loop& aLoop,
                                 store_client& aStore,
                                 event_log& aLog,
                                 std::string aPrefix,
                                 std::string aOwner,
                                 const lease_policy& aPolicy)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mPrefix(std::move(aPrefix))
  , mOwner(std::move(aOwner))
  , mPolicy(aPolicy)
{
}

void scheduler_lease::SetListener(listener aListener)
{
  mListener = std::move(aListener);
}

void scheduler_lease::Start(std::function<bool()> aMayAcquire)
{
  mMayAcquire = std::move(aMayAcquire);
  RunEvery(mLoop, kTickPeriod, [this] { Tick(); });
}

uint64_t scheduler_lease::HeldEpoch() const
{
  std::lock_guard lock(mMutex);
  return mLoop.Now() < mValidUntil ? mEpoch : 0;
}

void scheduler_lease::Tick()
{
  bool expired = false;
  bool shouldRenew = false;
  bool shouldAcquire = false;
  {
    std::lock_guard lock(mMutex);
    const auto now = mLoop.Now();
    expired = mEpoch != 0 && now >= mValidUntil;
    shouldRenew = mEpoch != 0 && !expired && !mRequestPending && now >= mNextRenew;
    shouldAcquire = mEpoch == 0 && !mRequestPending && !mResigned;
    mRequestPending = mRequestPending || shouldRenew;
  }
  if (expired) {
    MarkLost("the lease could not be renewed");
  } else if (shouldRenew) {
    Renew();
  } else if (shouldAcquire && mMayAcquire()) {
    {
      std::lock_guard lock(mMutex);
      mRequestPending = true;
    }
    Acquire();
  }
}

void scheduler_lease::Acquire()
{
  mStore.Get(mPrefix + "/epoch", [this](result<std::optional<store_value>> aAnswer) {
    if (!aAnswer) {
      HandleAcquireFailure(aAnswer.error());
      return;
    }
    const auto& found = *aAnswer;
    const uint64_t epoch =
      found ? std::strtoull(found->mValue.c_str(), nullptr, 10) : 0;
    const uint64_t version = found ? found->mVersion : 0;
    const auto sent = mLoop.Now();
    mStore.GrantLease(mPolicy.mTtl,
                      [this, epoch, version, sent](result<uint64_t> aLease) {
                        if (!aLease) {
                          HandleAcquireFailure(aLease.error());
                          return;
                        }
                        {
                          std::lock_guard lock(mMutex);
                          mLease = *aLease;
                        }
                        WriteSchedulerKey(epoch + 1, version, sent);
                      });
  });
}

void scheduler_lease::WriteSchedulerKey(uint64_t aEpoch,
                                        uint64_t aEpochVersion,
                                        time_point aSent)
{
  // The epoch makes the value unique, so that reading the key back shows whether a
  // write whose answer was lost took effect.
  const store_write write{
    mPrefix + "/scheduler", mOwner + "#" + std::to_string(aEpoch), 0, mLease
  };
  CasWithReadBack(mLoop,
                  mStore,
                  write,
                  read_back_policy{ mPolicy.mTtl / 2, duration(100) },
                  [this, aEpoch, aEpochVersion, aSent](result<uint64_t> aAnswer) {
                    if (!aAnswer) {
                      HandleAcquireFailure(aAnswer.error());
                      return;
                    }
                    {
                      std::lock_guard lock(mMutex);
                      mKeyVersion = *aAnswer;
                    }
                    WriteEpoch(aEpoch, aEpochVersion, aSent);
                  });
}

void scheduler_lease::WriteEpoch(uint64_t aEpoch,
                                 uint64_t aEpochVersion,
                                 time_point aSent)
{
  // Two processes never write the same epoch: only the holder of the key reaches this
  // point, and the write of a former holder fails the version check.
  const store_write write{
    mPrefix + "/epoch", std::to_string(aEpoch) + " " + mOwner, aEpochVersion, 0
  };
  CasWithReadBack(mLoop,
                  mStore,
                  write,
                  read_back_policy{ mPolicy.mTtl / 2, duration(100) },
                  [this, aEpoch, aSent](result<uint64_t> aAnswer) {
                    if (!aAnswer) {
                      HandleAcquireFailure(aAnswer.error());
                      return;
                    }
                    FinishAcquire(aEpoch, aSent);
                  });
}

void scheduler_lease::FinishAcquire(uint64_t aEpoch, time_point aSent)
{
  {
    std::lock_guard lock(mMutex);
    mRequestPending = false;
    const auto validUntil = aSent + mPolicy.mTtl - mPolicy.mExpiryMargin;
    if (mResigned || mLoop.Now() >= validUntil) {
      return;
    }
    mEpoch = aEpoch;
    mValidUntil = validUntil;
    mNextRenew = aSent + mPolicy.mRenewPeriod;
  }
  mLog.Write(log_event("scheduler_lease_acquired")
               .Add("owner", mOwner)
               .Add("epoch", static_cast<int64_t>(aEpoch)));
  mListener(aEpoch);
}

void scheduler_lease::HandleAcquireFailure(const error& aError)
{
  bool shouldLog = false;
  {
    std::lock_guard lock(mMutex);
    mRequestPending = false;
    const auto now = mLoop.Now();
    shouldLog = aError.mCode != error_code::kConflict && now >= mNextFailureLog;
    mNextFailureLog = shouldLog ? now + kFailureLogPeriod : mNextFailureLog;
  }
  if (shouldLog) {
    mLog.Write(
      log_event("scheduler_lease_not_acquired").Add("error", Describe(aError)));
  }
}

void scheduler_lease::Renew()
{
  const auto sent = mLoop.Now();
  mStore.RenewLease(mLease, [this, sent](result<uint64_t> aAnswer) {
    bool lost = false;
    {
      std::lock_guard lock(mMutex);
      mRequestPending = false;
      if (aAnswer) {
        mValidUntil = sent + mPolicy.mTtl - mPolicy.mExpiryMargin;
        mNextRenew = sent + mPolicy.mRenewPeriod;
      } else {
        lost = aAnswer.error().mCode == error_code::kNotFound && mEpoch != 0;
      }
    }
    if (lost) {
      MarkLost("the lease expired in the store");
    }
  });
}

void scheduler_lease::MarkLost(const char* aReason)
{
  {
    std::lock_guard lock(mMutex);
    if (mEpoch == 0) {
      return;
    }
    mEpoch = 0;
    mValidUntil = time_point{};
  }
  mLog.Write(
    log_event("scheduler_lease_lost").Add("owner", mOwner).Add("reason", aReason));
  mListener(0);
}

void scheduler_lease::Resign()
{
  uint64_t version = 0;
  {
    std::lock_guard lock(mMutex);
    mResigned = true;
    version = mEpoch != 0 ? mKeyVersion : 0;
  }
  if (version == 0) {
    return;
  }
  MarkLost("resigned");
  mStore.Remove(mPrefix + "/scheduler", version, [](const result<uint64_t>&) {});
}

} // namespace anvildoor
