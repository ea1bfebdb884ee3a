#include "daemon/RequestApi.h"

#include "base/JsonReader.h"
#include "base/JsonText.h"

namespace anvildoor {

namespace {

constexpr size_t kMaxKeyBytes = 200;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPayloadBytes = 16'384;
constexpr int64_t kMaxDeadlineMs = 60'000;
constexpr int64_t kDefaultDeadlineMs = 5'000;

result<request_spec> ParseRequest(const api_call& aCall)
{
  auto reader = json_reader::Parse(aCall.mBody, "request");
  request_spec spec;
  spec.mWorkspace = reader.String("workspace", kMaxNameBytes);
  spec.mClass = static_cast<work_class>(
    reader.Choice("class", { "urgent", "interactive", "batch" }, 1));
  spec.mIdempotent = reader.Boolean("idempotent", true);
  spec.mFirstCall = !reader.Boolean("repeat", true);
  spec.mTimeout =
    duration(reader.Integer("deadline_ms", 1, kMaxDeadlineMs, kDefaultDeadlineMs));
  spec.mPayload = reader.String("payload", kMaxPayloadBytes, false);
  spec.mKey = aCall.mIdempotencyKey;
  if (auto read = reader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return spec;
}

api_response ToApiResponse(const request_answer& aAnswer)
{
  api_response answer;
  answer.mBody = nlohmann::json{
    { "outcome", ToString(aAnswer.mOutcome) },
    { "result", aAnswer.mResult },
    { "reason", aAnswer.mReason },
    { "step", aAnswer.mStep },
    { "peer", aAnswer.mPeer }
  }.dump(-1, ' ', false, kReplaceInvalidUtf8);
  if (aAnswer.mOutcome == request_outcome::kUnknown) {
    answer.mStatus = 504;
  } else if (aAnswer.mOutcome == request_outcome::kNotRun) {
    answer.mStatus = aAnswer.mStep == "admit" ? 429 : 503;
    answer.mRetryAfter = aAnswer.mRetryAfter;
  }
  return answer;
}

} // namespace

void request_api::OnServe(const api_call& aCall, const api_path&, api_done aDone)
{
  if (aCall.mMethod != "POST") {
    aDone(MethodNotAllowedResponse());
    return;
  }
  const auto spec = ParseRequest(aCall);
  if (!spec) {
    aDone(InvalidBodyResponse(spec.error()));
    return;
  }
  if (!MayActFor(aCall, spec->mWorkspace, aDone)) {
    return;
  }
  const bool keyMissing = !spec->mIdempotent && spec->mKey.empty();
  if (keyMissing || spec->mKey.size() > kMaxKeyBytes) {
    aDone(RejectionResponse(
      400,
      "expected at most 200 bytes; required for a non-idempotent request",
      "Idempotency-Key"));
    return;
  }
  Context().mRunRequest(
    *spec, [aDone](const request_answer& aAnswer) { aDone(ToApiResponse(aAnswer)); });
}

} // namespace anvildoor
