#include "routing/ClaimFilter.h"

namespace anvildoor {

namespace {

constexpr duration kClaimPollInterval{ 150 };

} // namespace

claim_filter::claim_filter(event_loop& aLoop,
                           claim_table& aClaims,
                           owner_ended_check aHasOwnerEnded)
  : mLoop(aLoop)
  , mClaims(aClaims)
  , mHasOwnerEnded(std::move(aHasOwnerEnded))
{
}

void claim_filter::OnHandle(const shared_request& aRequest, answer_done aDone)
{
  if (aRequest->Spec().mIdempotent) {
    PassToNext(aRequest, std::move(aDone));
    return;
  }
  mClaims.Claim(aRequest->Spec(),
                [this, aRequest, done = std::move(aDone)](const claim& aClaim) {
                  OnClaim(aRequest, aClaim, done);
                });
}

void claim_filter::OnClaim(const shared_request& aRequest,
                           const claim& aClaim,
                           answer_done aDone)
{
  switch (aClaim.mState) {
    case claim_state::kAcquired:
      aRequest->ClearMayHaveRunBefore();
      RunClaimed(aRequest, aClaim, std::move(aDone));
      return;
    case claim_state::kAnswered:
      aDone(aClaim.mAnswer);
      return;
    case claim_state::kInProgress:
      PollClaim(aRequest, aClaim, std::move(aDone));
      return;
    case claim_state::kMismatch:
      aRequest->ClearMayHaveRunBefore();
      aDone(NotRun(
        "claim", "Idempotency-Key", "the key was already used with a different body"));
      return;
    case claim_state::kUnavailable:
      aDone(NotRun("claim", "store", "the store did not confirm the claim on the key"));
      return;
  }
}

void claim_filter::RunClaimed(const shared_request& aRequest,
                              const claim& aClaim,
                              answer_done aDone)
{
  if (aRequest->IsAbandoned()) {
    mClaims.Release(aClaim);
    aDone(NotRun("claim", "", "the deadline passed before the request was sent"));
    return;
  }
  PassToNext(aRequest,
             [this, aClaim, done = std::move(aDone)](const request_answer& aAnswer) {
               if (aAnswer.mOutcome == request_outcome::kNotRun) {
                 mClaims.Release(aClaim);
               } else {
                 mClaims.StoreAnswer(aClaim, aAnswer);
               }
               done(aAnswer);
             });
}

void claim_filter::PollClaim(const shared_request& aRequest,
                             const claim& aClaim,
                             answer_done aDone)
{
  if (mHasOwnerEnded(aClaim.mOwner)) {
    aDone(UnknownOutcome("claim",
                         aClaim.mOwner,
                         "the VM that handled the first request is no longer live"));
    return;
  }
  if (mLoop.Now() + kClaimPollInterval >= aRequest->Deadline()) {
    aDone(
      UnknownOutcome("claim",
                     aClaim.mOwner,
                     "the first request is still running; retry with the same key"));
    return;
  }
  mLoop.RunAfter(kClaimPollInterval, [this, aRequest, done = std::move(aDone)] {
    mClaims.ReadOrClaim(aRequest->Spec(), [this, aRequest, done](const claim& aFound) {
      OnClaim(aRequest, aFound, done);
    });
  });
}

} // namespace anvildoor
