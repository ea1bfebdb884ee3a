#include "scheduler/Election.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

/** Range of the delays of equal VMs; an attempt takes a few milliseconds. */
constexpr uint64_t kStaggerMs = 60;
/**
 * Half a core and 100 Mbit/s are enough to schedule the largest planned installation;
 * VMs at or above both values get no extra delay.
 */
constexpr double kAmpleCores = 0.5;
constexpr double kAmpleLinkMbps = 100.0;
/**
 * Extra delay per halving below these values; longer than kStaggerMs, so that a larger
 * VM always tries first.
 */
constexpr double kMsPerHalving = 90.0;

std::optional<scheduler_term> DecodeTerm(const stored_item& aItem)
{
  const auto text = json::parse(aItem.mValue, nullptr, false);
  if (!text.is_object() || !text.contains("vm") || !text["vm"].is_string() ||
      !text.contains("address") || !text["address"].is_string()) {
    return std::nullopt;
  }
  scheduler_term term;
  term.mVm = text["vm"].get<std::string>();
  term.mAddress = text["address"].get<std::string>();
  term.mFence = aItem.mCreated;
  term.mRevision = aItem.mRevision;
  return term;
}

} // namespace

duration ElectionDelay(const std::string& aVm, const vm_size& aSize)
{
  const auto halvings = [](double aAmple, double aHave) {
    return std::max(0.0, std::log2(aAmple / std::max(aHave, 0.001)));
  };
  const double smaller = std::max(halvings(kAmpleCores, aSize.mCores),
                                  halvings(kAmpleLinkMbps, aSize.mLinkMbps));
  const auto stagger = std::hash<std::string>()(aVm) % kStaggerMs;
  return duration(std::lround(smaller * kMsPerHalving) + static_cast<int64_t>(stagger));
}

scheduler_election::scheduler_election(event_loop& aLoop,
                                       transaction_store& aStore,
                                       event_log& aLog,
                                       const scheduler_term& aSelf,
                                       duration aDelay,
                                       const election_times& aTimes,
                                       callbacks aCallbacks)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mSelf(aSelf)
  , mDelay(aDelay)
  , mTimes(aTimes)
  , mCallbacks(std::move(aCallbacks))
{
}

std::string scheduler_election::EncodeSelf() const
{
  return json{
    { "vm", mSelf.mVm }, { "address", mSelf.mAddress }, { "nonce", mNonce }
  }.dump();
}

void scheduler_election::Begin()
{
  Look();
}

void scheduler_election::NoteStore(bool aReached)
{
  if (aReached != mReached) {
    mLog.Write(log_event(aReached ? "store_regained" : "store_lost"));
  }
  mReached = aReached;
  if (mCallbacks.mOnStore) {
    mCallbacks.mOnStore(aReached);
  }
}

void scheduler_election::RetryLook(duration aAfter)
{
  const auto round = mRound;
  mLoop.RunAfter(aAfter, [this, round] {
    if (round == mRound) {
      Look();
    }
  });
}

void scheduler_election::Look()
{
  if (mHolds) {
    return;
  }
  const auto round = ++mRound;
  mStore.GetForWatch(store_keys::kScheduler,
                     [this, round](const result<stored_range>& aRead) {
                       if (round == mRound) {
                         OnLooked(aRead);
                       }
                     });
}

void scheduler_election::OnLooked(const result<stored_range>& aRead)
{
  NoteStore(aRead.has_value());
  if (!aRead) {
    RetryLook(mTimes.mRetry);
    return;
  }
  if (!aRead->mItems.empty()) {
    Follow(aRead->mItems.front(), aRead->mRevision);
    return;
  }
  mCurrent = scheduler_term();
  if (mResigned) {
    RetryLook(mTimes.mTtl);
    return;
  }
  const auto round = mRound;
  mLoop.RunAfter(mDelay, [this, round] {
    if (round == mRound && !mResigned) {
      Stand();
    }
  });
}

void scheduler_election::Follow(const stored_item& aItem, uint64_t aRevision)
{
  const auto term = DecodeTerm(aItem);
  const bool isNews = term && term->mFence != mCurrent.mFence;
  if (isNews) {
    mCurrent = *term;
    mLog.Write(log_event("scheduler_seen")
                 .Add("vm", mCurrent.mVm)
                 .Add("fence", static_cast<int64_t>(mCurrent.mFence)));
  }
  Watch(aRevision);
}

void scheduler_election::Watch(uint64_t aRevision)
{
  const auto round = mRound;
  mStore.Watch(store_keys::kScheduler,
               aRevision,
               mTimes.mWatchWait,
               [this, round, aRevision](const result<stored_changes>& aChanges) {
                 if (round != mRound) {
                   return;
                 }
                 NoteStore(aChanges.has_value());
                 if (!aChanges) {
                   RetryLook(mTimes.mRetry);
                   return;
                 }
                 if (aChanges->mLost || !aChanges->mChanges.empty()) {
                   Look();
                   return;
                 }
                 Watch(std::max(aRevision, aChanges->mRevision));
               });
}

void scheduler_election::Stand()
{
  const auto round = ++mRound;
  const auto asked = mLoop.Now();
  mNonce =
    mSelf.mVm + "-" + std::to_string(asked.count()) + "-" + std::to_string(round);
  mStore.GrantLease(mTimes.mTtl, [this, round, asked](const result<uint64_t>& aLease) {
    if (round != mRound) {
      return;
    }
    if (!aLease) {
      RetryLook(mTimes.mRetry);
      return;
    }
    Claim(*aLease, asked);
  });
}

void scheduler_election::Claim(uint64_t aLease, time_point aGrantedAt)
{
  store_transaction claim;
  claim.mConditions.push_back({ store_keys::kScheduler, 0 });
  claim.mPuts.push_back({ store_keys::kScheduler, EncodeSelf(), aLease });
  const auto round = mRound;
  mStore.Commit(
    claim,
    [this, round, aLease, aGrantedAt](const result<transaction_outcome>& aOutcome) {
      if (round != mRound) {
        return;
      }
      if (aOutcome && aOutcome->mCommitted) {
        mLease = aLease;
        Win(aOutcome->mRevision, aOutcome->mRevision, aGrantedAt);
        return;
      }
      // Without an answer the key may exist; if so, it is removed with its lease.
      RetryLook(aOutcome ? duration::zero() : mTimes.mRetry);
    });
}

void scheduler_election::Win(uint64_t aRevision, uint64_t aFence, time_point aRenewedAt)
{
  ++mRound;
  mHolds = true;
  mCurrent = mSelf;
  mCurrent.mFence = aFence;
  mCurrent.mRevision = aRevision;
  mOrdersUntil = aRenewedAt + mTimes.mTtl + mTimes.mGoOnFor;
  mLog.Write(log_event("scheduler_won").Add("fence", static_cast<int64_t>(aFence)));
  RenewSoon();
  mCallbacks.mOnWon(mCurrent);
}

void scheduler_election::RenewSoon()
{
  const auto round = mRound;
  mLoop.RunAfter(mTimes.mRenewEvery, [this, round] {
    if (round == mRound && mHolds) {
      Renew();
    }
  });
}

void scheduler_election::Renew()
{
  const auto round = mRound;
  const auto asked = mLoop.Now();
  if (asked >= mOrdersUntil) {
    Lose("the lease was not renewed in time");
    RetryLook(duration::zero());
    return;
  }
  // Schedules the next renewal without waiting for this answer: if the answer is lost,
  // the lease would expire meanwhile.
  RenewSoon();
  mStore.KeepLease(mLease, [this, round, asked](const result<uint64_t>& aKept) {
    if (round != mRound) {
      return;
    }
    const bool ended = !aKept && aKept.error().mCode == error_code::kNotFound;
    NoteStore(aKept.has_value() || ended);
    if (ended) {
      Lose("the lease expired at the store");
      RetryLook(duration::zero());
      return;
    }
    if (aKept) {
      const auto until = asked + mTimes.mTtl + mTimes.mGoOnFor;
      mOrdersUntil = std::max(mOrdersUntil, until);
    }
  });
}

void scheduler_election::Lose(const std::string& aReason)
{
  ++mRound;
  mHolds = false;
  mOrdersUntil = time_point(0);
  mCurrent = scheduler_term();
  mLog.Write(log_event("scheduler_lost").Add("reason", aReason));
  mCallbacks.mOnLost(aReason);
}

void scheduler_election::StepDown(const std::string& aReason)
{
  if (!mHolds) {
    return;
  }
  const auto lease = mLease;
  Lose(aReason);
  mStore.EndLease(lease, [this](const result<uint64_t>& aEnded) {
    if (!aEnded) {
      mLog.Write(
        log_event("scheduler_release_failed").Add("error", Describe(aEnded.error())));
    }
  });
  RetryLook(mTimes.mRetry);
}

void scheduler_election::Resign()
{
  mResigned = true;
  StepDown("resigned");
}

} // namespace anvildoor
