#include "daemon/JobsApi.h"

#include "base/Hash.h"
#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

constexpr int64_t kMaxWaitMs = 30'000;
constexpr size_t kMaxKeyBytes = 200;
constexpr size_t kJobIdDigits = 24;

std::string JobId(const std::string& aWorkspace, const std::string& aKey)
{
  return "j-" + HexDigest(aWorkspace + '\n' + aKey).substr(0, kJobIdDigits);
}

api_response ToJobResponse(const result<job_record>& aRecord, uint32_t aStatus)
{
  return aRecord ? api_response{ aStatus, JobAnswerJson(*aRecord) }
                 : ErrorResponse(aRecord.error());
}

} // namespace

void jobs_api::OnServe(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  const bool hasJobId = aPath.mSegments.size() == 3;
  if (aCall.mMethod == "POST" && aPath.mSegments.size() == 2) {
    Submit(aCall, aDone);
  } else if (aCall.mMethod == "GET" && hasJobId) {
    Get(aCall, aPath, aDone);
  } else if (aCall.mMethod == "DELETE" && hasJobId) {
    Cancel(aCall, aPath, aDone);
  } else {
    aDone(MethodNotAllowedResponse());
  }
}

void jobs_api::Submit(const api_call& aCall, const api_done& aDone)
{
  const auto spec = ParseJobSpec(aCall.mBody);
  if (!spec) {
    aDone(InvalidBodyResponse(spec.error()));
    return;
  }
  if (!MayActFor(aCall, spec->mWorkspace, aDone)) {
    return;
  }
  if (aCall.mIdempotencyKey.size() > kMaxKeyBytes) {
    aDone(RejectionResponse(400, "expected at most 200 bytes", "Idempotency-Key"));
    return;
  }
  // Assign a key to a call without one, so that it can be forwarded safely.
  auto call = aCall;
  if (call.mIdempotencyKey.empty()) {
    call.mIdempotencyKey = Context().mNewId();
  }
  if (!ForwardToScheduler(call, aDone)) {
    SubmitHere(JobId(spec->mWorkspace, call.mIdempotencyKey), *spec, aDone);
  }
}

void jobs_api::SubmitHere(const std::string& aId,
                          const job_spec& aSpec,
                          const api_done& aDone)
{
  const auto submit = [this, aId, aSpec, aDone] {
    Context().mScheduler.Submit(aId, aSpec, [aDone](const result<job_record>& aRecord) {
      aDone(ToJobResponse(aRecord, 202));
    });
  };
  if (Context().mScheduler.Find(aId)) {
    submit();
    return;
  }
  Context().mJobKeyClaims.Claim(
    aId, [this, submit, aDone](const result<std::string>& aOwnerDataCentre) {
      if (!aOwnerDataCentre) {
        // A claim does not start anything, so the job certainly does not run.
        auto failure = aOwnerDataCentre.error();
        failure.mCode = error_code::kUnavailable;
        aDone(ErrorResponse(failure));
      } else if (*aOwnerDataCentre != Context().mMembership.Identity().mDataCentre) {
        aDone(RejectionResponse(409,
                                "the key is already in use in data centre " +
                                  *aOwnerDataCentre,
                                "Idempotency-Key"));
      } else {
        submit();
      }
    });
}

void jobs_api::Get(const api_call& aCall, const api_path& aPath, const api_done& aDone)
{
  const auto wait = QueryNumber(aPath, "wait_ms", 0, kMaxWaitMs);
  if (!wait) {
    aDone(ErrorResponse(wait.error()));
    return;
  }
  if (ForwardToScheduler(aCall, aDone) || !MayUseJob(aCall, aPath.At(2), aDone)) {
    return;
  }
  Context().mScheduler.Wait(
    aPath.At(2), duration(*wait), [aDone](const result<job_record>& aRecord) {
      aDone(ToJobResponse(aRecord, 200));
    });
}

void jobs_api::Cancel(const api_call& aCall,
                      const api_path& aPath,
                      const api_done& aDone)
{
  if (ForwardToScheduler(aCall, aDone) || !MayUseJob(aCall, aPath.At(2), aDone)) {
    return;
  }
  Context().mScheduler.Cancel(
    aPath.At(2), [aDone](const result<cancel_answer>& aAnswer) {
      if (!aAnswer) {
        aDone(ErrorResponse(aAnswer.error()));
        return;
      }
      auto body = nlohmann::json::parse(JobAnswerJson(aAnswer->mRecord));
      body["outcome"] = aAnswer->mOutcome;
      aDone({ 200, body.dump(-1, ' ', false, kReplaceInvalidUtf8) });
    });
}

} // namespace anvildoor
