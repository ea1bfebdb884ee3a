#include "daemon/NodeApi.h"

#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

/** Returns whether the caller states that it never sent this key before. */
bool IsFirstCall(const api_call& aCall)
{
  const auto body = ParseJson(aCall.mBody);
  const bool isMarkedFirst = body.is_object() && body.contains("repeat") &&
                             body["repeat"].is_boolean() && !body["repeat"].get<bool>();
  return aCall.mIdempotencyKey.empty() || isMarkedFirst;
}

/**
 * Prevents the outcome "not_run" if an earlier call with the same key may have run, and
 * for calls that only query or cancel a job.
 */
api_done AdjustForEarlierCalls(const api_call& aCall,
                               const api_path& aPath,
                               const api_done& aDone)
{
  const bool concernsEarlierCall =
    aCall.mMethod == "GET" || (aCall.mMethod == "DELETE" && aPath.At(1) == "jobs");
  if (concernsEarlierCall) {
    return [aDone](const api_response& aAnswer) { aDone(WithoutOutcome(aAnswer)); };
  }
  if (aCall.mForwarded || aCall.mMethod != "POST" || IsFirstCall(aCall)) {
    return aDone;
  }
  return [aDone](const api_response& aAnswer) { aDone(WithUnknownOutcome(aAnswer)); };
}

} // namespace

node_api::node_api(const api_context& aContext, node_controls aControls)
  : api_endpoint(aContext)
  , mControls(std::move(aControls))
  , mJobs(aContext)
  , mRequests(aContext)
  , mConfig(aContext)
{
}

void node_api::OnServe(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  const auto root = aPath.At(0);
  if (root == "healthz") {
    aDone({ 200, R"({"healthy":true})" });
  } else if (root == "readyz") {
    const bool ready = mControls.mIsReady();
    aDone({ ready ? 200U : 503U, ready ? R"({"ready":true})" : R"({"ready":false})" });
  } else if (root == "metrics") {
    aDone({ 200, mControls.mMetricsText(), "text/plain; version=0.0.4" });
  } else if (root != "v1" ||
             !ServeVersion1(aCall, aPath, AdjustForEarlierCalls(aCall, aPath, aDone))) {
    aDone(RejectionResponse(404, "no such path", "path"));
  }
}

bool node_api::ServeVersion1(const api_call& aCall,
                             const api_path& aPath,
                             const api_done& aDone)
{
  const auto resource = aPath.At(1);
  if (!Context().mConfig.IsReady()) {
    aDone(ErrorResponse(
      { error_code::kUnavailable, "ready", "", "the VM is not ready yet" }));
  } else if (resource == "jobs") {
    mJobs.Serve(aCall, aPath, aDone);
  } else if (resource == "requests") {
    mRequests.Serve(aCall, aPath, aDone);
  } else if (resource == "config") {
    mConfig.Serve(aCall, aPath, aDone);
  } else if (resource == "fleet") {
    ServeFleet(aCall, aDone);
  } else if (resource == "explain" && aPath.At(2) == "jobs") {
    ServeExplain(aCall, aPath, aDone);
  } else if (resource == "status") {
    aDone({ 200, mControls.mStatusJson() });
  } else if (resource == "drain") {
    ServeDrain(aCall, aDone);
  } else {
    return false;
  }
  return true;
}

void node_api::ServeFleet(const api_call& aCall, const api_done& aDone)
{
  if (IsOperator(aCall, aDone) && !ForwardToScheduler(aCall, aDone)) {
    aDone({ 200, Context().mScheduler.FleetJson() });
  }
}

void node_api::ServeExplain(const api_call& aCall,
                            const api_path& aPath,
                            const api_done& aDone)
{
  if (ForwardToScheduler(aCall, aDone) || !MayUseJob(aCall, aPath.At(3), aDone)) {
    return;
  }
  const auto text = Context().mScheduler.Explain(aPath.At(3));
  aDone(text ? api_response{ 200, *text } : ErrorResponse(text.error()));
}

void node_api::ServeDrain(const api_call& aCall, const api_done& aDone)
{
  if (!IsOperator(aCall, aDone)) {
    return;
  }
  if (aCall.mMethod != "POST") {
    aDone(MethodNotAllowedResponse());
    return;
  }
  mControls.mBeginDrain();
  aDone({ 200, R"({"draining":true})" });
}

} // namespace anvildoor
