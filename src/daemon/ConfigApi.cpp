#include "daemon/ConfigApi.h"

#include "base/Hash.h"
#include "base/JsonText.h"
#include "daemon/InForceWait.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

result<config_change> ParseChange(const api_call& aCall, const api_path& aPath)
{
  config_change change;
  const auto kind = aPath.At(2);
  if (kind == "workspaces" && aPath.mSegments.size() == 4) {
    change.mKind = config_kind::kWorkspace;
  } else if (kind == "exceptions" && aPath.mSegments.size() == 4) {
    change.mKind = config_kind::kException;
  } else if (kind == "defaults" && aPath.mSegments.size() == 3) {
    change.mKind = config_kind::kDefaults;
  } else {
    return Fail(error_code::kNotFound, "config", aPath.At(2), "no such path");
  }
  change.mName = aPath.At(3);
  change.mBody = aCall.mBody;
  change.mIsRemoval = aCall.mMethod == "DELETE";
  if (!aCall.mIfMatch.empty()) {
    char* end = nullptr;
    const auto version = std::strtoull(aCall.mIfMatch.c_str(), &end, 10);
    if (*end != '\0') {
      return Fail(
        error_code::kInvalid, "config", "If-Match", "expected a version number");
    }
    change.mExpectedVersion = version;
  }
  return change;
}

/** Returns the data centre in which a workspace's guarantees apply; "" means all. */
std::string DataCentreOf(const std::string& aBody)
{
  const auto body = ParseJson(aBody);
  const bool hasDataCentre =
    body.is_object() && body.contains("data_centre") && body["data_centre"].is_string();
  return hasDataCentre ? body["data_centre"].get<std::string>() : std::string();
}

} // namespace

void config_api::OnServe(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  if (!IsOperator(aCall, aDone)) {
    return;
  }
  auto change = ParseChange(aCall, aPath);
  if (!change) {
    aDone(ErrorResponse(change.error()));
  } else if (aCall.mMethod == "GET") {
    const auto entry =
      EntryJson(*Context().mConfig.Current(), change->mKind, change->mName);
    aDone(entry ? api_response{ 200, *entry } : ErrorResponse(entry.error()));
  } else if (aCall.mMethod == "PUT" && ForwardToDataCentre(aCall, *change, aDone)) {
    return;
  } else if (aCall.mMethod == "PUT" || aCall.mMethod == "DELETE") {
    change->mId = Context().mNewId();
    Change(*change, aDone);
  } else {
    aDone(MethodNotAllowedResponse());
  }
}

bool config_api::ForwardToDataCentre(const api_call& aCall,
                                     const config_change& aChange,
                                     const api_done& aDone)
{
  const auto targetDataCentre = aChange.mKind == config_kind::kWorkspace
                                  ? DataCentreOf(aChange.mBody)
                                  : std::string();
  if (aCall.mForwarded || targetDataCentre.empty() ||
      targetDataCentre == Context().mMembership.Identity().mDataCentre) {
    return false;
  }
  auto vms = Context().mDirectory.List(vm_kind::kEntry, targetDataCentre);
  std::erase_if(vms, [](const auto& aVm) { return aVm.mLeaving; });
  if (vms.empty()) {
    aDone(ErrorResponse({ error_code::kInvalid,
                          "config.guarantees",
                          "data_centre",
                          "no entry VM of this data centre is known" }));
    return true;
  }
  // The list lags and may contain VMs that are down, so the target varies from change
  // to change, and a retry is likely to reach another VM.
  const auto vmIndex = Hash64(Context().mNewId()) % vms.size();
  Forward(vms[vmIndex].mAddress, aCall, aDone);
  return true;
}

void config_api::Change(const config_change& aChange, const api_done& aDone)
{
  Context().mConfig.Change(aChange,
                           [this, aDone](const result<shared_config>& aConfig) {
                             if (!aConfig) {
                               aDone(ErrorResponse(aConfig.error()));
                               return;
                             }
                             AwaitInForce((*aConfig)->mVersion, aDone);
                           });
}

void config_api::AwaitInForce(uint64_t aVersion, const api_done& aDone)
{
  Context().mMembership.Announce();
  std::make_shared<in_force_wait>(
    Context().mLoop,
    Context().mPeers,
    Context().mMembership,
    Context().mDirectory,
    aVersion,
    [aVersion, aDone](const std::map<std::string, std::string>& aInForce) {
      const nlohmann::json body{ { "version", aVersion }, { "in_force", aInForce } };
      aDone({ 200, body.dump(-1, ' ', false, kReplaceInvalidUtf8) });
    })
    ->Run();
}

} // namespace anvildoor
