#include "http/ApiSupport.h"

#include "base/JsonText.h"
#include "base/Sha256.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <sstream>

namespace anvildoor {

namespace {

constexpr duration kRetryAfter{ 1'000 };

uint32_t StatusFor(const error& aError)
{
  switch (aError.mCode) {
    case error_code::kInvalid:
      return 422;
    case error_code::kNotFound:
      return 404;
    case error_code::kConflict:
      return 409;
    case error_code::kUnavailable:
    case error_code::kFenced:
      return 503;
    case error_code::kRefused:
    case error_code::kExhausted:
      return 429;
    case error_code::kUnknownEffect:
      return 504;
  }
  return 500;
}

const char* OutcomeFor(const error& aError)
{
  return aError.mCode == error_code::kUnknownEffect ? "unknown" : "not_run";
}

/** Compares in constant time, so that timing does not reveal how many digits match. */
bool SameDigest(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::string api_path::At(size_t aIndex) const
{
  return aIndex < mSegments.size() ? mSegments[aIndex] : std::string();
}

api_path SplitTarget(const std::string& aTarget)
{
  api_path path;
  const auto question = aTarget.find('?');
  if (question != std::string::npos) {
    path.mQuery = aTarget.substr(question + 1);
  }
  std::istringstream stream(aTarget.substr(0, question));
  std::string segment;
  while (std::getline(stream, segment, '/')) {
    if (!segment.empty()) {
      path.mSegments.push_back(segment);
    }
  }
  return path;
}

result<int64_t> QueryNumber(const api_path& aPath,
                            const std::string& aName,
                            int64_t aDefault,
                            int64_t aMax)
{
  std::istringstream stream(aPath.mQuery);
  std::string item;
  while (std::getline(stream, item, '&')) {
    if (item.rfind(aName + "=", 0) != 0) {
      continue;
    }
    const auto text = item.substr(aName.size() + 1);
    char* end = nullptr;
    const int64_t value = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || value < 0 || value > aMax) {
      return Fail(error_code::kInvalid,
                  "query",
                  aName,
                  "expected an integer from 0 to " + std::to_string(aMax));
    }
    return value;
  }
  return aDefault;
}

api_response ErrorResponse(const error& aError)
{
  const bool namesField = aError.mCode == error_code::kInvalid;
  const nlohmann::json body{ { "error", aError.mMessage },
                             { "code", ToString(aError.mCode) },
                             { "field", namesField ? aError.mPeer : "" },
                             { "step", aError.mStep },
                             { "peer", namesField ? "" : aError.mPeer },
                             { "outcome", OutcomeFor(aError) } };
  api_response response{ StatusFor(aError),
                         body.dump(-1, ' ', false, kReplaceInvalidUtf8) };
  if (response.mStatus == 503 || response.mStatus == 429) {
    response.mRetryAfter = kRetryAfter;
  }
  return response;
}

api_response RejectionResponse(uint32_t aStatus,
                               const std::string& aError,
                               const std::string& aField)
{
  const nlohmann::json body{ { "error", aError }, { "field", aField } };
  return { aStatus, body.dump(-1, ' ', false, kReplaceInvalidUtf8) };
}

api_response WithUnknownOutcome(const api_response& aResponse)
{
  auto body = ParseJson(aResponse.mBody);
  if (!body.is_object() || body.value("outcome", "") != "not_run") {
    return aResponse;
  }
  constexpr uint32_t kStatusUnavailable = 503;
  constexpr uint32_t kStatusUnknown = 504;
  auto response = aResponse;
  body["outcome"] = "unknown";
  body["note"] =
    "this request had no effect, but an earlier one with the same key may have";
  response.mBody = body.dump(-1, ' ', false, kReplaceInvalidUtf8);
  if (response.mStatus == kStatusUnavailable) {
    response.mStatus = kStatusUnknown;
  }
  return response;
}

api_response WithoutOutcome(const api_response& aResponse)
{
  constexpr uint32_t kFirstError = 400;
  auto body = ParseJson(aResponse.mBody);
  if (aResponse.mStatus < kFirstError || !body.is_object()) {
    return aResponse;
  }
  auto response = aResponse;
  body.erase("outcome");
  response.mBody = body.dump(-1, ' ', false, kReplaceInvalidUtf8);
  return response;
}

token_verifier::token_verifier(std::set<std::string> aOperatorHashes)
  : mOperatorHashes(std::move(aOperatorHashes))
{
}

bool token_verifier::IsOperator(const std::string& aToken) const
{
  const auto digest = Sha256Hex(aToken);
  bool found = false;
  for (const auto& hash : mOperatorHashes) {
    found = SameDigest(hash, digest) || found;
  }
  return found && !aToken.empty();
}

bool token_verifier::MayActFor(const std::string& aToken,
                               const std::string& aWorkspace,
                               const fleet_config& aConfig) const
{
  if (IsOperator(aToken)) {
    return true;
  }
  const auto found = aConfig.mWorkspaces.find(aWorkspace);
  return found != aConfig.mWorkspaces.end() && !aToken.empty() &&
         SameDigest(found->second.mTokenSha256, Sha256Hex(aToken));
}

} // namespace anvildoor
