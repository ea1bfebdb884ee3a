#pragma once

#include "routing/ClaimTable.h"
#include "routing/RequestFilter.h"

namespace anvildoor {

/**
 * Passes a non-idempotent request on only after it has acquired a durable claim on its
 * key, and answers repeats with the first request's answer. Thread-safe.
 */
class claim_filter : public request_filter
{
public:
  /** Returns whether the process that owns a claim is known to have ended. */
  using owner_ended_check = std::function<bool(const std::string& aOwner)>;

  /** The references must outlive the filter. */
  claim_filter(event_loop& aLoop,
               claim_table& aClaims,
               owner_ended_check aHasOwnerEnded);

protected:
  void OnHandle(const shared_request& aRequest, answer_done aDone) override;

private:
  void OnClaim(const shared_request& aRequest, const claim& aClaim, answer_done aDone);
  void RunClaimed(const shared_request& aRequest,
                  const claim& aClaim,
                  answer_done aDone);
  void PollClaim(const shared_request& aRequest,
                 const claim& aClaim,
                 answer_done aDone);

  event_loop& mLoop;
  claim_table& mClaims;
  owner_ended_check mHasOwnerEnded;
};

} // namespace anvildoor
