#include "routing/ClaimTable.h"

#include "base/Hash.h"
#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr duration kStoreRetryDelay{ 1'000 };
constexpr read_back_policy kClaimPolicy{ duration(1'500), duration(100) };
constexpr read_back_policy kStoreAnswerPolicy{ duration(10'000), duration(200) };

std::string StoreKey(const request_spec& aSpec)
{
  return "claims/" + HexDigest(aSpec.mWorkspace + '\n' + aSpec.mKey);
}

std::string BodyHash(const request_spec& aSpec)
{
  return HexDigest(std::string(ToString(aSpec.mClass)) + '\n' + aSpec.mPayload);
}

json NewClaimJson(const std::string& aOwner,
                  const std::string& aBodyHash,
                  uint64_t aNonce)
{
  return { { "owner", aOwner },
           { "nonce", aNonce },
           { "body", aBodyHash },
           { "state", "claimed" } };
}

claim Decode(const std::string& aStoreKey, const store_value& aValue)
{
  claim found;
  found.mStoreKey = aStoreKey;
  found.mVersion = aValue.mVersion;
  const auto value = json::parse(aValue.mValue, nullptr, false);
  if (!value.is_object()) {
    return found;
  }
  found.mOwner = value.value("owner", "");
  found.mBodyHash = value.value("body", "");
  if (value.value("state", "") == "claimed") {
    found.mState = claim_state::kInProgress;
    return found;
  }
  found.mState = claim_state::kAnswered;
  found.mAnswer.mOutcome = value.value("state", "") == "done"
                             ? request_outcome::kCompleted
                             : request_outcome::kUnknown;
  found.mAnswer.mResult = value.value("result", "");
  found.mAnswer.mReason = value.value("reason", "");
  return found;
}

} // namespace

claim_table::claim_table(event_loop& aLoop, store_client& aStore, std::string aOwner)
  : mLoop(aLoop)
  , mStore(aStore)
  , mOwner(std::move(aOwner))
  , mLease(aLoop, aStore, shared_lease_policy{})
{
}

void claim_table::Claim(const request_spec& aSpec, claim_done aDone)
{
  mLease.Get([this, aSpec, done = std::move(aDone)](uint64_t aLease) {
    if (aLease == 0) {
      done(claim{});
      return;
    }
    WriteClaim(aSpec, aLease, done);
  });
}

void claim_table::WriteClaim(const request_spec& aSpec,
                             uint64_t aLease,
                             claim_done aDone)
{
  claim newClaim;
  newClaim.mStoreKey = StoreKey(aSpec);
  newClaim.mOwner = mOwner;
  newClaim.mBodyHash = BodyHash(aSpec);
  const uint64_t nonce = ++mNonce;
  const store_write write{ newClaim.mStoreKey,
                           NewClaimJson(mOwner, newClaim.mBodyHash, nonce)
                             .dump(-1, ' ', false, kReplaceInvalidUtf8),
                           0,
                           aLease };
  CasWithReadBack(
    mLoop,
    mStore,
    write,
    kClaimPolicy,
    [this, newClaim, done = std::move(aDone)](const result<uint64_t>& aAnswer) {
      auto claimResult = newClaim;
      if (aAnswer) {
        claimResult.mState = claim_state::kAcquired;
        claimResult.mVersion = *aAnswer;
        done(claimResult);
        return;
      }
      if (aAnswer.error().mCode == error_code::kConflict) {
        ReadClaim(newClaim, done);
        return;
      }
      mLease.RecordFailure();
      done(claimResult);
    });
}

void claim_table::ReadOrClaim(const request_spec& aSpec, claim_done aDone)
{
  mStore.Get(StoreKey(aSpec),
             [this, aSpec, done = std::move(aDone)](
               const result<std::optional<store_value>>& aAnswer) {
               if (!aAnswer) {
                 done(claim{});
               } else if (!*aAnswer) {
                 Claim(aSpec, done);
               } else {
                 done(Decode(StoreKey(aSpec), **aAnswer));
               }
             });
}

void claim_table::ReadClaim(const claim& aNewClaim, claim_done aDone)
{
  mStore.Get(aNewClaim.mStoreKey,
             [aNewClaim, done = std::move(aDone)](
               const result<std::optional<store_value>>& aAnswer) {
               if (!aAnswer || !*aAnswer) {
                 done(aNewClaim);
                 return;
               }
               auto found = Decode(aNewClaim.mStoreKey, **aAnswer);
               if (found.mBodyHash != aNewClaim.mBodyHash) {
                 found.mState = claim_state::kMismatch;
               }
               done(found);
             });
}

void claim_table::StoreAnswer(const claim& aClaim, const request_answer& aAnswer)
{
  const bool completed = aAnswer.mOutcome == request_outcome::kCompleted;
  const json value{ { "owner", aClaim.mOwner },
                    { "body", aClaim.mBodyHash },
                    { "state", completed ? "done" : "unknown" },
                    { "result", aAnswer.mResult },
                    { "reason", aAnswer.mReason } };
  const store_write write{ aClaim.mStoreKey,
                           value.dump(-1, ' ', false, kReplaceInvalidUtf8),
                           aClaim.mVersion,
                           mLease.LatestLease() };
  CasWithReadBack(mLoop,
                  mStore,
                  write,
                  kStoreAnswerPolicy,
                  [this, aClaim, aAnswer](const result<uint64_t>& aResult) {
                    if (aResult || aResult.error().mCode == error_code::kConflict) {
                      return;
                    }
                    mLoop.RunAfter(kStoreRetryDelay, [this, aClaim, aAnswer] {
                      StoreAnswer(aClaim, aAnswer);
                    });
                  });
}

void claim_table::Release(const claim& aClaim)
{
  mStore.Remove(
    aClaim.mStoreKey, aClaim.mVersion, [this, aClaim](const result<uint64_t>& aResult) {
      if (aResult || aResult.error().mCode == error_code::kConflict) {
        return;
      }
      mLoop.RunAfter(kStoreRetryDelay, [this, aClaim] { Release(aClaim); });
    });
}

} // namespace anvildoor
