#include "daemon/ApiEndpoint.h"

namespace anvildoor {

namespace {

/** Exceeds 30 s, the longest wait that a caller may request. */
constexpr duration kForwardTimeout{ 35'000 };
constexpr duration kRetryAfter{ 1'000 };
constexpr uint32_t kStatusUnavailable = 503;

} // namespace

api_endpoint::api_endpoint(const api_context& aContext)
  : mContext(aContext)
{
}

bool api_endpoint::ForwardToScheduler(const api_call& aCall,
                                      const api_done& aDone) const
{
  if (mContext.mScheduler.IsLeading()) {
    return false;
  }
  const auto scheduler = mContext.mMembership.Scheduler();
  if (!scheduler || aCall.mForwarded) {
    aDone(ErrorResponse({ error_code::kUnavailable,
                          "scheduler",
                          "",
                          "the data centre currently has no scheduler" }));
    return true;
  }
  Forward(scheduler->mAddress, aCall, aDone);
  return true;
}

void api_endpoint::Forward(const std::string& aAddress,
                           const api_call& aCall,
                           const api_done& aDone) const
{
  forwarded_call call;
  call.mMethod = aCall.mMethod;
  call.mTarget = aCall.mTarget;
  call.mBody = aCall.mBody;
  call.mToken = aCall.mToken;
  call.mIdempotencyKey = aCall.mIdempotencyKey;
  call.mIfMatch = aCall.mIfMatch;
  call.mTimeout = kForwardTimeout;
  mContext.mPeers.Forward(
    aAddress, call, [aDone](const result<forwarded_answer>& aAnswer) {
      if (!aAnswer) {
        aDone(ErrorResponse(aAnswer.error()));
        return;
      }
      api_response answer{ aAnswer->mStatus, aAnswer->mBody };
      if (answer.mStatus == kStatusUnavailable) {
        answer.mRetryAfter = kRetryAfter;
      }
      aDone(answer);
    });
}

bool api_endpoint::MayActFor(const api_call& aCall,
                             const std::string& aWorkspace,
                             const api_done& aDone) const
{
  const auto config = mContext.mConfig.Current();
  if (config->mWorkspaces.count(aWorkspace) == 0) {
    aDone(RejectionResponse(404, "unknown workspace", "workspace"));
    return false;
  }
  if (!mContext.mTokens.MayActFor(aCall.mToken, aWorkspace, *config)) {
    aDone(RejectionResponse(
      401, "the token does not belong to the workspace", "Authorization"));
    return false;
  }
  return true;
}

bool api_endpoint::IsOperator(const api_call& aCall, const api_done& aDone) const
{
  if (!mContext.mTokens.IsOperator(aCall.mToken)) {
    aDone(RejectionResponse(401, "an operator token is required", "Authorization"));
    return false;
  }
  return true;
}

bool api_endpoint::MayUseJob(const api_call& aCall,
                             const std::string& aJob,
                             const api_done& aDone) const
{
  const auto found = mContext.mScheduler.Find(aJob);
  if (!found) {
    aDone(ErrorResponse(found.error()));
    return false;
  }
  const auto& workspace = found->mSpec.mWorkspace;
  // Operators may use every job, including those of removed workspaces.
  if (mContext.mTokens.IsOperator(aCall.mToken)) {
    return true;
  }
  return MayActFor(aCall, workspace, aDone);
}

api_response InvalidBodyResponse(const error& aError)
{
  return aError.mPeer.empty() ? RejectionResponse(400, aError.mMessage, "body")
                              : ErrorResponse(aError);
}

api_response MethodNotAllowedResponse()
{
  return RejectionResponse(405, "this path does not support this method", "method");
}

} // namespace anvildoor
