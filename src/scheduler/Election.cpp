#include "scheduler/Election.h"

#include "scheduler/StoreKeys.h"
#include "scheduler/TermHealth.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace anvildoor {

namespace {

using nlohmann::json;

/** Range of the delays of VMs of the same size; an attempt takes a few ms. */
constexpr uint64_t kStaggerMs = 60;
/**
 * Half a core and 100 Mbit/s are enough to schedule the largest planned installation;
 * VMs at or above both values get no extra delay.
 */
constexpr double kReferenceCores = 0.5;
constexpr double kReferenceLinkMbps = 100.0;
/**
 * Extra delay per halving below these values; longer than kStaggerMs, so that a larger
 * VM always tries first.
 */
constexpr double kDelayPerHalvingMs = 90.0;
/** Limit on the ended terms of other VMs that are remembered. */
constexpr size_t kMaxFormerTerms = 4;

/** Period at which a VM that delays its attempt checks whether it still has to. */
constexpr duration kExtraDelayCheckPeriod{ 30 };

/** Returns the nonce in the value of the scheduler's key; empty if it has none. */
std::string DecodeNonce(const stored_item& aItem)
{
  const auto text = json::parse(aItem.mValue, nullptr, false);
  const auto nonce = text.is_object() ? text.find("nonce") : text.end();
  return nonce != text.end() && nonce->is_string() ? nonce->get<std::string>() : "";
}

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
  term.mFence = aItem.mCreateRevision;
  term.mRevision = aItem.mRevision;
  term.mLease = aItem.mLease;
  return term;
}

/**
 * Returns the lease of the last term that the store shows as impaired; 0 if there is
 * none. Its key may have been removed while the lease is still renewed.
 */
uint64_t FindImpairedLease(const stored_range& aKeys)
{
  const auto* item = aKeys.Find(store_keys::kImpairedTerm);
  const auto term = item == nullptr ? std::nullopt : DecodeImpairedTerm(item->mValue);
  return term && term->mImpairment != impairment::kNone ? term->mLease : 0;
}

} // namespace

duration ElectionDelay(const std::string& aVm, const vm_size& aSize)
{
  const auto halvings = [](double aReference, double aActual) {
    return std::max(0.0, std::log2(aReference / std::max(aActual, 0.001)));
  };
  const double halvingsBelow = std::max(halvings(kReferenceCores, aSize.mCores),
                                        halvings(kReferenceLinkMbps, aSize.mLinkMbps));
  const auto stagger = std::hash<std::string>()(aVm) % kStaggerMs;
  return duration(std::lround(halvingsBelow * kDelayPerHalvingMs) +
                  static_cast<int64_t>(stagger));
}

scheduler_election::scheduler_election(event_loop& aLoop,
                                       transaction_store& aStore,
                                       event_log& aLog,
                                       const scheduler_term& aSelf,
                                       duration aElectionDelay,
                                       const election_times& aTimes,
                                       callbacks aCallbacks)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mSelf(aSelf)
  , mElectionDelay(aElectionDelay)
  , mTimes(aTimes)
  , mCallbacks(std::move(aCallbacks))
{
}

std::string scheduler_election::EncodeKeyValue() const
{
  return json{
    { "vm", mSelf.mVm }, { "address", mSelf.mAddress }, { "nonce", mNonce }
  }.dump();
}

void scheduler_election::Begin()
{
  mBegunAt = mLoop.Now();
  ReadKey("begin");
}

void scheduler_election::ReportStoreReachability(bool aReached)
{
  if (aReached != mIsStoreReachable) {
    mLog.Write(log_event(aReached ? "store_regained" : "store_lost"));
  }
  mIsStoreReachable = aReached;
  if (mCallbacks.mOnStoreReachability) {
    mCallbacks.mOnStoreReachability(aReached);
  }
}

void scheduler_election::ReadKeyAfter(duration aAfter)
{
  const auto generation = mGeneration;
  mLoop.RunAfter(aAfter, [this, generation] {
    if (generation == mGeneration) {
      ReadKey("retry");
    }
  });
}

void scheduler_election::ReadKey(const char* aCause)
{
  if (mIsHolder) {
    return;
  }
  mReadCause = aCause;
  const auto generation = ++mGeneration;
  mStore.List(store_keys::kScheduler,
              false,
              [this, generation](const result<stored_range>& aRead) {
                if (generation == mGeneration) {
                  OnKeyRead(aRead);
                }
              });
}

void scheduler_election::OnKeyRead(const result<stored_range>& aRead)
{
  ReportStoreReachability(aRead.has_value());
  if (!aRead) {
    ReadKeyAfter(mTimes.mRetryDelay);
    return;
  }
  const bool isFirstRead = !std::exchange(mHasReadKey, true);
  if (const auto* key = aRead->Find(store_keys::kScheduler)) {
    Follow(*key, aRead->mRevision);
    if (IsAbandoned(*key, isFirstRead)) {
      EndAbandonedLease(key->mLease, mLoop.Now());
    }
    if (mCallbacks.mOnKeysRead) {
      mCallbacks.mOnKeysRead(*aRead);
    }
    return;
  }
  LogMissingScheduler();
  mVacantSince = mVacantSince.value_or(mLoop.Now());
  NoteFormer();
  mImpairedLease = FindImpairedLease(*aRead);
  mCurrent = scheduler_term();
  if (mResigned) {
    ReadKeyAfter(mTimes.mTtl);
    return;
  }
  const auto generation = mGeneration;
  const auto delay = std::max(mElectionDelay, mYieldsUntil - mLoop.Now());
  mLoop.RunAfter(delay, [this, generation] {
    if (generation == mGeneration) {
      RequestLeaseAfterExtraDelay(mLoop.Now());
    }
  });
}

void scheduler_election::RequestLeaseAfterExtraDelay(time_point aSince)
{
  const auto delay =
    mCallbacks.mExtraDelay ? mCallbacks.mExtraDelay(mLastKnown) : duration::zero();
  const auto remaining = aSince + delay - mLoop.Now();
  const auto generation = mGeneration;
  if (remaining > duration::zero()) {
    mLoop.RunAfter(std::min(remaining, kExtraDelayCheckPeriod),
                   [this, generation, aSince] {
                     if (generation == mGeneration) {
                       RequestLeaseAfterExtraDelay(aSince);
                     }
                   });
    return;
  }
  if (!mResigned) {
    EndImpairedLease(mLoop.Now());
  }
}

void scheduler_election::EndImpairedLease(time_point aBegunAt)
{
  if (mImpairedLease == 0) {
    RequestLease(aBegunAt);
    return;
  }
  const auto generation = ++mGeneration;
  mStore.EndLease(mImpairedLease,
                  [this, generation, aBegunAt](const result<uint64_t>& aEnded) {
                    if (generation != mGeneration) {
                      return;
                    }
                    if (!aEnded && aEnded.error().mCode != error_code::kNotFound) {
                      RepeatStep(aEnded.error(), aBegunAt, [this, aBegunAt] {
                        EndImpairedLease(aBegunAt);
                      });
                      return;
                    }
                    RequestLease(aBegunAt);
                  });
}

void scheduler_election::LogMissingScheduler()
{
  if (mCurrent.mFence == 0) {
    return;
  }
  mFollowedFor = mLoop.Now() - mFollowedSince;
  mLog.Write(log_event("scheduler_gone_noticed")
               .Add("by", mReadCause)
               .Add("vm", mCurrent.mVm)
               .Add("fence", static_cast<int64_t>(mCurrent.mFence))
               .Add("followed_ms", mFollowedFor.count())
               .Add("last_seen_ms", (mLoop.Now() - mKeySeenAt).count()));
}

void scheduler_election::NoteFormer()
{
  const auto noted = mFormers.empty() ? 0 : mFormers.front().mTerm.mFence;
  if (mLastKnown.mVm == mSelf.mVm || mLastKnown.mFence == noted) {
    return;
  }
  mFormers.push_front({ mLastKnown, mLoop.Now() });
  if (mFormers.size() > kMaxFormerTerms) {
    mFormers.pop_back();
  }
}

void scheduler_election::Follow(const stored_item& aItem, uint64_t aRevision)
{
  const auto term = DecodeTerm(aItem);
  mKeySeenAt = mLoop.Now();
  mVacantSince.reset();
  const bool isNewTerm = term && term->mFence != mCurrent.mFence;
  if (isNewTerm) {
    NoteFormer();
    mCurrent = *term;
    mLastKnown = *term;
    mFollowedSince = mLoop.Now();
    mLog.Write(log_event("scheduler_seen")
                 .Add("vm", mCurrent.mVm)
                 .Add("fence", static_cast<int64_t>(mCurrent.mFence)));
  }
  Watch(aRevision);
}

bool scheduler_election::IsAbandoned(const stored_item& aItem, bool aIsFirstRead) const
{
  const auto term = DecodeTerm(aItem);
  const bool namesSelf = term && !mSelf.mAddress.empty() && term->mVm == mSelf.mVm &&
                         term->mAddress == mSelf.mAddress;
  // A key of neither kind is that of another process with the same settings. Each would
  // end the other's terms.
  return namesSelf && term->mLease != 0 &&
         (aIsFirstRead || (!mNonce.empty() && DecodeNonce(aItem) == mNonce));
}

void scheduler_election::EndAbandonedLease(uint64_t aLease, time_point aBegunAt)
{
  const auto generation = mGeneration;
  mStore.EndLease(
    aLease, [this, generation, aLease, aBegunAt](const result<uint64_t>& aEnded) {
      const bool hasEnded = aEnded || aEnded.error().mCode == error_code::kNotFound;
      const auto ms = (mLoop.Now() - aBegunAt).count();
      mLog.Write(
        log_event("abandoned_lease_ended")
          .Add("answer", hasEnded ? std::string("ended") : Describe(aEnded.error()))
          .Add("ms", ms));
      if (hasEnded) {
        if (generation == mGeneration) {
          ReadKey("abandoned");
        }
        return;
      }
      if (mLoop.Now() - aBegunAt >= mTimes.mMaxElectionTime) {
        return; // The watch tells when it expires.
      }
      mLoop.RunAfter(mTimes.mRefusedStepDelay, [this, aLease, aBegunAt] {
        if (!mIsHolder && mCurrent.mLease == aLease) {
          EndAbandonedLease(aLease, aBegunAt);
        }
      });
    });
}

void scheduler_election::Watch(uint64_t aRevision)
{
  const auto generation = mGeneration;
  mStore.Watch(store_keys::kScheduler,
               aRevision,
               mTimes.mWatchTimeout,
               [this, generation, aRevision](const result<stored_changes>& aChanges) {
                 if (generation != mGeneration) {
                   return;
                 }
                 ReportStoreReachability(aChanges.has_value());
                 if (!aChanges) {
                   ReadKeyAfter(mTimes.mRetryDelay);
                   return;
                 }
                 if (aChanges->mHistoryLost || !aChanges->mChanges.empty()) {
                   ReadKey("watch");
                   return;
                 }
                 mKeySeenAt = mLoop.Now();
                 Watch(std::max(aRevision, aChanges->mRevision));
               });
}

void scheduler_election::RepeatStep(const error& aError,
                                    time_point aBegunAt,
                                    task aStep)
{
  const bool hadNoEffect = aError.mCode == error_code::kUnavailable;
  // Without an answer the key may exist; if so, it is removed when its lease expires.
  if (!hadNoEffect || mLoop.Now() - aBegunAt >= mTimes.mMaxElectionTime) {
    ReadKeyAfter(mTimes.mRetryDelay);
    return;
  }
  const auto generation = mGeneration;
  mLoop.RunAfter(mTimes.mRefusedStepDelay, [this, generation, step = std::move(aStep)] {
    if (generation == mGeneration) {
      mResigned ? ReadKey("retry") : step();
    }
  });
}

void scheduler_election::RequestLease(time_point aBegunAt)
{
  const auto generation = ++mGeneration;
  const auto sentAt = mLoop.Now();
  mNonce =
    mSelf.mVm + "-" + std::to_string(sentAt.count()) + "-" + std::to_string(generation);
  mStore.GrantLease(
    mTimes.mTtl, [this, generation, sentAt, aBegunAt](const result<uint64_t>& aLease) {
      if (generation != mGeneration) {
        return;
      }
      if (!aLease) {
        RepeatStep(
          aLease.error(), aBegunAt, [this, aBegunAt] { RequestLease(aBegunAt); });
        return;
      }
      if (mResigned) {
        ReadKeyAfter(mTimes.mRetryDelay);
        return;
      }
      CreateKey(*aLease, sentAt, aBegunAt);
    });
}

void scheduler_election::CreateKey(uint64_t aLease,
                                   time_point aRequestedAt,
                                   time_point aBegunAt)
{
  store_transaction transaction;
  transaction.mConditions.push_back({ store_keys::kScheduler, 0 });
  transaction.mPuts.push_back({ store_keys::kScheduler, EncodeKeyValue(), aLease });
  const auto generation = mGeneration;
  mStore.Commit(
    transaction,
    [this, generation, aLease, aRequestedAt, aBegunAt](
      const result<transaction_outcome>& aOutcome) {
      if (generation != mGeneration) {
        return;
      }
      if (!aOutcome) {
        // The lease must last until it has been renewed.
        const bool isFresh = mLoop.Now() - aRequestedAt < mTimes.mRenewPeriod;
        RepeatStep(aOutcome.error(), aBegunAt, [=, this] {
          isFresh ? CreateKey(aLease, aRequestedAt, aBegunAt) : RequestLease(aBegunAt);
        });
        return;
      }
      if (aOutcome->mCommitted && mResigned) {
        EndLease(aLease);
        ReadKeyAfter(mTimes.mRetryDelay);
        return;
      }
      if (aOutcome->mCommitted) {
        mLeaseId = aLease;
        BeginTerm(aOutcome->mRevision, aOutcome->mRevision, aRequestedAt);
        return;
      }
      ReadKeyAfter(duration::zero());
    });
}

void scheduler_election::BeginTerm(uint64_t aRevision,
                                   uint64_t aFence,
                                   time_point aLeaseRequestedAt)
{
  ++mGeneration;
  mIsHolder = true;
  mIsRenewing = true;
  mCurrent = mSelf;
  mCurrent.mFence = aFence;
  mCurrent.mRevision = aRevision;
  mCurrent.mLease = mLeaseId;
  mIsImpaired = false;
  mRenewedAt = aLeaseRequestedAt;
  mIsOnGrace = false;
  LogElected();
  ScheduleRenewal();
  if (mLoop.Now() - aLeaseRequestedAt >= mTimes.mRefusedStepDelay) {
    SendRenewal(); // Refused steps have used up a part of the lease.
  }
  NoteFormer();
  const auto predecessor = std::exchange(mLastKnown, mCurrent);
  mCallbacks.mOnElected(mCurrent, predecessor);
}

void scheduler_election::LogElected()
{
  const auto now = mLoop.Now();
  const auto vacantSince = std::exchange(mVacantSince, std::nullopt);
  mLog.Write(log_event("scheduler_won")
               .Add("fence", static_cast<int64_t>(mCurrent.mFence))
               .Add("since_start_ms", (now - mBegunAt).count())
               .Add("followed_ms", std::exchange(mFollowedFor, duration(0)).count())
               .Add("vacant_ms", (now - vacantSince.value_or(now)).count()));
}

void scheduler_election::ScheduleRenewal()
{
  const auto generation = mGeneration;
  mLoop.RunAfter(mTimes.mRenewPeriod, [this, generation] {
    if (generation == mGeneration && mIsHolder) {
      Renew();
    }
  });
}

void scheduler_election::Renew()
{
  if (mLoop.Now() >= RequestLimits().mSendUntil) {
    EndTerm("the lease was not renewed in time");
    ReadKeyAfter(duration::zero());
    return;
  }
  CheckRenewals();
  // Schedules the next renewal without waiting for this answer: if the answer were
  // lost, the lease would expire in the meantime.
  ScheduleRenewal();
  SendRenewal();
}

void scheduler_election::SendRenewal()
{
  if (!mIsRenewing) {
    return;
  }
  const auto generation = mGeneration;
  const auto number = ++mRenewalNumber;
  const auto sentAt = mLoop.Now();
  mStore.RenewLease(
    mLeaseId, [this, generation, number, sentAt](const result<uint64_t>& aRenewal) {
      if (generation != mGeneration) {
        return;
      }
      const bool hasExpired =
        !aRenewal && aRenewal.error().mCode == error_code::kNotFound;
      ReportStoreReachability(aRenewal.has_value() || hasExpired);
      if (hasExpired) {
        if (mIsRenewing) {
          EndTerm("the lease expired at the store");
          ReadKeyAfter(duration::zero());
        }
        return;
      }
      if (aRenewal) {
        mRenewedAt = std::max(mRenewedAt, sentAt);
      } else if (number == mRenewalNumber) {
        RepeatRenewal();
      }
    });
}

request_limits scheduler_election::RequestLimits() const
{
  if (!mIsHolder) {
    return {};
  }
  // The lease of an impaired term may be ended at any time after a renewal.
  const auto leaseTime = mIsImpaired ? duration::zero() : mTimes.mTtl;
  const auto leaseEnd = mRenewedAt + leaseTime;
  return { leaseEnd, leaseEnd + mTimes.mRequestGrace };
}

void scheduler_election::RepeatRenewal()
{
  const auto generation = mGeneration;
  const auto number = mRenewalNumber;
  mLoop.RunAfter(mTimes.mRefusedRenewalDelay, [this, generation, number] {
    if (generation == mGeneration && number == mRenewalNumber) {
      SendRenewal();
    }
  });
}

void scheduler_election::CheckRenewals()
{
  const auto leaseEnd = mRenewedAt + mTimes.mTtl;
  const auto now = mLoop.Now();
  const bool wasOnGrace = std::exchange(mIsOnGrace, now >= leaseEnd);
  if (mIsOnGrace && !wasOnGrace) {
    mLog.Write(log_event("term_extended_without_store")
                 .Add("fence", static_cast<int64_t>(mCurrent.mFence))
                 .Add("lease_ended_ms", (now - leaseEnd).count())
                 .Add("remaining_ms", (RequestLimits().mSendUntil - now).count()));
  }
}

void scheduler_election::EndTerm(const std::string& aReason)
{
  ++mGeneration;
  mIsHolder = false;
  mYieldsUntil = std::min(mYieldsUntil, mLoop.Now() + mTimes.mYieldTime);
  mCurrent = scheduler_term();
  mLog.Write(log_event("scheduler_lost").Add("reason", aReason));
  mCallbacks.mOnTermEnded(aReason);
}

void scheduler_election::StepDown(const std::string& aReason)
{
  if (!mIsHolder) {
    return;
  }
  const auto lease = mLeaseId;
  EndTerm(aReason);
  EndLease(lease);
  ReadKeyAfter(mTimes.mRetryDelay);
}

void scheduler_election::EndLease(uint64_t aLease)
{
  mStore.EndLease(aLease, [this](const result<uint64_t>& aEnded) {
    if (!aEnded) {
      mLog.Write(
        log_event("scheduler_release_failed").Add("error", Describe(aEnded.error())));
    }
  });
}

void scheduler_election::GiveWay(const std::string& aReason)
{
  mYieldsUntil = mLoop.Now() + mTimes.mYieldTime;
  StepDown(aReason);
}

void scheduler_election::StopRenewing(const std::string& aReason)
{
  if (!mIsHolder || !mIsRenewing) {
    return;
  }
  mIsRenewing = false;
  mYieldsUntil = RequestLimits().mSendUntil + mTimes.mYieldTime;
  mLog.Write(
    log_event("renewals_stopped")
      .Add("fence", static_cast<int64_t>(mCurrent.mFence))
      .Add("reason", aReason)
      .Add("remaining_ms", (RequestLimits().mSendUntil - mLoop.Now()).count()));
}

void scheduler_election::Resign()
{
  mResigned = true;
  StepDown("resigned");
}

} // namespace anvildoor
