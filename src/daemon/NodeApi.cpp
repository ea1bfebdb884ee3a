#include "daemon/NodeApi.h"

#include "base/Hash.h"
#include "base/JsonReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr int64_t kMaxWaitMs = 30'000;
constexpr duration kForwardMargin{ 5'000 };
constexpr size_t kMaxKeyBytes = 200;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPayloadBytes = 16'384;
constexpr int64_t kMaxDeadlineMs = 60'000;
constexpr size_t kJobIdDigits = 24;

std::string NewId(const vm_identity& aIdentity, uint64_t aNumber)
{
  return HexDigest(aIdentity.mVm + "/" + std::to_string(aIdentity.mIncarnation) + "/" +
                   std::to_string(aNumber));
}

std::string JobId(const std::string& aWorkspace, const std::string& aKey)
{
  return "j-" + HexDigest(aWorkspace + '\n' + aKey).substr(0, kJobIdDigits);
}

api_answer MethodNotAllowed()
{
  return Refusal(405, "this path does not take this method", "method");
}

api_answer FromResult(const result<job_record>& aRecord, uint32_t aStatus)
{
  if (!aRecord) {
    return ErrorAnswer(aRecord.error());
  }
  return { aStatus, JobAnswerJson(*aRecord) };
}

api_answer FromRequest(const request_answer& aAnswer)
{
  api_answer answer;
  answer.mBody = json{
    { "outcome", ToString(aAnswer.mOutcome) },
    { "result", aAnswer.mResult },
    { "reason", aAnswer.mReason },
    { "step", aAnswer.mStep },
    { "peer", aAnswer.mPeer }
  }.dump();
  if (aAnswer.mOutcome == request_outcome::kUnknown) {
    answer.mStatus = 504;
  } else if (aAnswer.mOutcome == request_outcome::kNotRun) {
    answer.mStatus = aAnswer.mStep == "admit" ? 429 : 503;
    answer.mRetryAfter = aAnswer.mRetryAfter;
  }
  return answer;
}

result<request_spec> ParseRequest(const std::string& aBody)
{
  auto reader = json_reader::Parse(aBody, "request");
  request_spec spec;
  spec.mWorkspace = reader.String("workspace", kMaxNameBytes);
  spec.mClass = static_cast<work_class>(
    reader.Choice("class", { "urgent", "interactive", "batch" }, 1));
  spec.mIdempotent = reader.Boolean("idempotent", true);
  spec.mFirstCall = !reader.Boolean("repeat", true);
  spec.mTimeout = duration(reader.Integer("deadline_ms", 1, kMaxDeadlineMs, 5'000));
  spec.mPayload = reader.String("payload", kMaxPayloadBytes, false);
  if (auto read = reader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return spec;
}

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
  change.mRemove = aCall.mMethod == "DELETE";
  if (!aCall.mIfMatch.empty()) {
    char* end = nullptr;
    const auto version = std::strtoull(aCall.mIfMatch.c_str(), &end, 10);
    if (*end != '\0') {
      return Fail(error_code::kInvalid, "config", "If-Match", "expected a version");
    }
    change.mIfVersion = version;
  }
  return change;
}

} // namespace

namespace {

/** Returns whether the caller vouches that it never sent this key before. */
bool IsFirstCall(const api_call& aCall)
{
  const auto body = json::parse(aCall.mBody, nullptr, false);
  const bool vouched = body.is_object() && body.contains("repeat") &&
                       body["repeat"].is_boolean() && !body["repeat"].get<bool>();
  return aCall.mIdempotencyKey.empty() || vouched;
}

/** Keeps "not_run" from being said of a key that may have run by an earlier call. */
api_done Truthful(const api_call& aCall, const api_done& aDone)
{
  if (aCall.mForwarded || aCall.mMethod != "POST" || IsFirstCall(aCall)) {
    return aDone;
  }
  return [aDone](const api_answer& aAnswer) { aDone(AsRepeat(aAnswer)); };
}

} // namespace

node_api::node_api(node& aNode)
  : mNode(aNode)
{
}

void node_api::Serve(const api_call& aCall, api_done aDone)
{
  const auto path = SplitTarget(aCall.mTarget);
  const auto root = path.At(0);
  if (root == "healthz") {
    aDone({ 200, R"({"healthy":true})" });
  } else if (root == "readyz") {
    const bool ready = mNode.IsReady();
    aDone({ ready ? 200U : 503U, ready ? R"({"ready":true})" : R"({"ready":false})" });
  } else if (root == "metrics") {
    RefreshGauges();
    aDone({ 200, mNode.mMetrics.Text(), "text/plain; version=0.0.4" });
  } else if (root != "v1" || !ServeVersion1(aCall, path, Truthful(aCall, aDone))) {
    aDone(Refusal(404, "no such path", "path"));
  }
}

bool node_api::ServeVersion1(const api_call& aCall,
                             const api_path& aPath,
                             const api_done& aDone)
{
  const auto resource = aPath.At(1);
  if (!mNode.mConfig.IsReady()) {
    aDone(ErrorAnswer({ error_code::kUnavailable, "ready", "", "not ready yet" }));
  } else if (resource == "jobs") {
    ServeJobs(aCall, aPath, aDone);
  } else if (resource == "requests") {
    ServeRequest(aCall, aDone);
  } else if (resource == "config") {
    ServeConfig(aCall, aPath, aDone);
  } else if (resource == "fleet") {
    ServeFleet(aCall, aDone);
  } else if (resource == "explain" && aPath.At(2) == "jobs") {
    ServeExplain(aCall, aPath, aDone);
  } else if (resource == "status") {
    aDone({ 200, StatusJson() });
  } else if (resource == "drain") {
    ServeDrain(aCall, aDone);
  } else {
    return false;
  }
  return true;
}

bool node_api::ForwardToScheduler(const api_call& aCall, const api_done& aDone)
{
  if (mNode.mScheduler.IsLeading()) {
    return false;
  }
  const auto scheduler = mNode.mMembership.Scheduler();
  if (!scheduler || aCall.mForwarded) {
    aDone(ErrorAnswer({ error_code::kUnavailable,
                        "scheduler",
                        "",
                        "the data centre has no scheduler at the moment" }));
    return true;
  }
  forwarded_call call;
  call.mMethod = aCall.mMethod;
  call.mTarget = aCall.mTarget;
  call.mBody = aCall.mBody;
  call.mToken = aCall.mToken;
  call.mIdempotencyKey = aCall.mIdempotencyKey;
  call.mTimeout = duration(kMaxWaitMs) + kForwardMargin;
  mNode.mPorts.mPeers.Forward(
    scheduler->mAddress, call, [aDone](const result<forwarded_answer>& aAnswer) {
      if (!aAnswer) {
        aDone(ErrorAnswer(aAnswer.error()));
        return;
      }
      api_answer answer{ aAnswer->mStatus, aAnswer->mBody };
      answer.mRetryAfter = duration(answer.mStatus == 503 ? 1'000 : 0);
      aDone(answer);
    });
  return true;
}

// Jobs

void node_api::ServeJobs(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  const bool one = aPath.mSegments.size() == 3;
  if (aCall.mMethod == "POST" && aPath.mSegments.size() == 2) {
    SubmitJob(aCall, std::move(aDone));
  } else if (aCall.mMethod == "GET" && one) {
    GetJob(aCall, aPath, std::move(aDone));
  } else if (aCall.mMethod == "DELETE" && one) {
    CancelJob(aCall, aPath, std::move(aDone));
  } else {
    aDone(MethodNotAllowed());
  }
}

void node_api::SubmitJob(const api_call& aCall, api_done aDone)
{
  const auto spec = ParseJobSpec(aCall.mBody);
  if (!spec) {
    const bool malformed = spec.error().mPeer.empty();
    aDone(malformed ? Refusal(400, spec.error().mMessage, "body")
                    : ErrorAnswer(spec.error()));
    return;
  }
  const auto config = mNode.mConfig.Current();
  if (config->mWorkspaces.count(spec->mWorkspace) == 0) {
    aDone(Refusal(404, "unknown workspace", "workspace"));
    return;
  }
  if (!mNode.mTokens.MayActFor(aCall.mToken, spec->mWorkspace, *config)) {
    aDone(Refusal(401, "the token is not the workspace's", "Authorization"));
    return;
  }
  if (aCall.mIdempotencyKey.size() > kMaxKeyBytes) {
    aDone(Refusal(400, "expected at most 200 bytes", "Idempotency-Key"));
    return;
  }
  // A call without a key gets one here, so that sending it on stays safe.
  auto call = aCall;
  if (call.mIdempotencyKey.empty()) {
    call.mIdempotencyKey = NewId(mNode.mSettings.mIdentity, ++mNode.mRequests);
  }
  if (ForwardToScheduler(call, aDone)) {
    return;
  }
  SubmitHere(JobId(spec->mWorkspace, call.mIdempotencyKey), *spec, std::move(aDone));
}

void node_api::SubmitHere(const std::string& aId, const job_spec& aSpec, api_done aDone)
{
  const auto submit = [this, aId, aSpec, aDone] {
    mNode.mScheduler.Submit(aId, aSpec, [aDone](const result<job_record>& aRecord) {
      aDone(FromResult(aRecord, 202));
    });
  };
  if (mNode.mScheduler.Find(aId)) {
    submit();
    return;
  }
  mNode.mJobHome.Claim(
    aId, [this, submit, aId, aDone](const result<std::string>& aHome) {
      if (!aHome) {
        // The claim alone runs nothing, so the job certainly does not run.
        auto failure = aHome.error();
        failure.mCode = error_code::kUnavailable;
        aDone(ErrorAnswer(failure));
        return;
      }
      if (*aHome != mNode.mSettings.mIdentity.mDataCentre) {
        aDone(
          Refusal(409, "the key belongs to data centre " + *aHome, "Idempotency-Key"));
        return;
      }
      submit();
    });
}

bool node_api::MayUseJob(const api_call& aCall,
                         const std::string& aJob,
                         api_answer& aRefusal)
{
  const auto found = mNode.mScheduler.Find(aJob);
  if (!found) {
    aRefusal = ErrorAnswer(found.error());
    return false;
  }
  const auto config = mNode.mConfig.Current();
  if (!mNode.mTokens.MayActFor(aCall.mToken, found->mSpec.mWorkspace, *config)) {
    aRefusal = Refusal(401, "the token is not the workspace's", "Authorization");
    return false;
  }
  return true;
}

void node_api::GetJob(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  const auto wait = QueryNumber(aPath, "wait_ms", 0, kMaxWaitMs);
  if (!wait) {
    aDone(ErrorAnswer(wait.error()));
    return;
  }
  if (ForwardToScheduler(aCall, aDone)) {
    return;
  }
  api_answer refusal;
  if (!MayUseJob(aCall, aPath.At(2), refusal)) {
    aDone(refusal);
    return;
  }
  mNode.mScheduler.Wait(aPath.At(2),
                        duration(*wait),
                        [done = std::move(aDone)](const result<job_record>& aRecord) {
                          done(FromResult(aRecord, 200));
                        });
}

void node_api::CancelJob(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  if (ForwardToScheduler(aCall, aDone)) {
    return;
  }
  api_answer refusal;
  if (!MayUseJob(aCall, aPath.At(2), refusal)) {
    aDone(refusal);
    return;
  }
  mNode.mScheduler.Cancel(
    aPath.At(2), [done = std::move(aDone)](const result<cancel_answer>& aAnswer) {
      if (!aAnswer) {
        done(ErrorAnswer(aAnswer.error()));
        return;
      }
      auto body = json::parse(JobAnswerJson(aAnswer->mRecord));
      body["outcome"] = aAnswer->mOutcome;
      done({ 200, body.dump() });
    });
}

// Requests

void node_api::ServeRequest(const api_call& aCall, api_done aDone)
{
  if (aCall.mMethod != "POST") {
    aDone(MethodNotAllowed());
    return;
  }
  auto spec = ParseRequest(aCall.mBody);
  if (!spec) {
    const bool malformed = spec.error().mPeer.empty();
    aDone(malformed ? Refusal(400, spec.error().mMessage, "body")
                    : ErrorAnswer(spec.error()));
    return;
  }
  const auto config = mNode.mConfig.Current();
  if (config->mWorkspaces.count(spec->mWorkspace) == 0) {
    aDone(Refusal(404, "unknown workspace", "workspace"));
    return;
  }
  if (!mNode.mTokens.MayActFor(aCall.mToken, spec->mWorkspace, *config)) {
    aDone(Refusal(401, "the token is not the workspace's", "Authorization"));
    return;
  }
  spec->mKey = aCall.mIdempotencyKey;
  const bool keyMissing = !spec->mIdempotent && spec->mKey.empty();
  if (keyMissing || spec->mKey.size() > kMaxKeyBytes) {
    aDone(Refusal(400,
                  "a request that is not idempotent needs a key of 1 to 200 bytes",
                  "Idempotency-Key"));
    return;
  }
  mNode.RunRequest(*spec, [done = std::move(aDone)](const request_answer& aAnswer) {
    done(FromRequest(aAnswer));
  });
}

// Configuration

void node_api::ServeConfig(const api_call& aCall, const api_path& aPath, api_done aDone)
{
  if (!mNode.mTokens.IsOperator(aCall.mToken)) {
    aDone(Refusal(401, "an operator's token is needed", "Authorization"));
    return;
  }
  auto change = ParseChange(aCall, aPath);
  if (!change) {
    aDone(ErrorAnswer(change.error()));
    return;
  }
  if (aCall.mMethod == "GET") {
    const auto entry =
      EntryJson(*mNode.mConfig.Current(), change->mKind, change->mName);
    aDone(entry ? api_answer{ 200, *entry } : ErrorAnswer(entry.error()));
  } else if (aCall.mMethod == "PUT" || aCall.mMethod == "DELETE") {
    change->mId = NewId(mNode.mSettings.mIdentity, ++mNode.mRequests);
    ChangeConfig(aCall, *change, std::move(aDone));
  } else {
    aDone(MethodNotAllowed());
  }
}

void node_api::ChangeConfig(const api_call&,
                            const config_change& aChange,
                            api_done aDone)
{
  mNode.mConfig.Change(
    aChange, [this, done = std::move(aDone)](const result<shared_config>& aConfig) {
      if (!aConfig) {
        done(ErrorAnswer(aConfig.error()));
        return;
      }
      AwaitInForce(*aConfig, done);
    });
}

void node_api::AwaitInForce(const shared_config& aConfig, api_done aDone)
{
  mNode.mMembership.Announce();
  const auto version = aConfig->mVersion;
  std::make_shared<in_force_wait>(
    mNode.mPorts.mLoop,
    mNode.mPorts.mPeers,
    mNode.mMembership,
    mNode.mDirectory,
    version,
    [version,
     done = std::move(aDone)](const std::map<std::string, std::string>& aInForce) {
      done({ 200, json{ { "version", version }, { "in_force", aInForce } }.dump() });
    })
    ->Run();
}

// Fleet, explanations, status, drain

void node_api::ServeFleet(const api_call& aCall, api_done aDone)
{
  if (!mNode.mTokens.IsOperator(aCall.mToken)) {
    aDone(Refusal(401, "an operator's token is needed", "Authorization"));
    return;
  }
  if (!ForwardToScheduler(aCall, aDone)) {
    aDone({ 200, mNode.mScheduler.FleetJson() });
  }
}

void node_api::ServeExplain(const api_call& aCall,
                            const api_path& aPath,
                            api_done aDone)
{
  if (ForwardToScheduler(aCall, aDone)) {
    return;
  }
  api_answer refusal;
  if (!MayUseJob(aCall, aPath.At(3), refusal)) {
    aDone(refusal);
    return;
  }
  const auto text = mNode.mScheduler.Explain(aPath.At(3));
  aDone(text ? api_answer{ 200, *text } : ErrorAnswer(text.error()));
}

void node_api::ServeDrain(const api_call& aCall, const api_done& aDone)
{
  if (!mNode.mTokens.IsOperator(aCall.mToken)) {
    aDone(Refusal(401, "an operator's token is needed", "Authorization"));
  } else if (aCall.mMethod != "POST") {
    aDone(MethodNotAllowed());
  } else {
    mNode.BeginDrain();
    aDone({ 200, R"({"draining":true})" });
  }
}

void node_api::RefreshGauges()
{
  auto& target = mNode.mMetrics;
  const auto set = [&target](const char* aName, size_t aValue) {
    target.Set(aName, static_cast<double>(aValue));
  };
  set("config_version", mNode.mConfig.Version());
  set("live_vms", mNode.mMembership.LiveVms().size());
  set("worker_sessions", mNode.mSessions.Count());
  set("requests_waiting", mNode.mDispatch->Waiting());
  set("calls_in_flight", static_cast<size_t>(std::max<int64_t>(0, mNode.mInFlight)));
  set("scheduler_leading", mNode.mScheduler.IsLeading() ? 1 : 0);
  set("journal_writes", mNode.mJournal.WritesAndRecords().first);
  set("journal_records", mNode.mJournal.WritesAndRecords().second);
}

std::string node_api::StatusJson() const
{
  const auto& identity = mNode.mSettings.mIdentity;
  const auto scheduler = mNode.mMembership.Scheduler();
  json upstreams = json::array();
  for (const auto& item : mNode.mPool.Statuses()) {
    upstreams.push_back({ { "upstream", item.mId },
                          { "share", item.mShare },
                          { "outstanding", item.mOutstanding },
                          { "leaving", item.mLeaving },
                          { "ejected", item.mEjected } });
  }
  return json{
    { "vm", identity.mVm },
    { "data_centre", identity.mDataCentre },
    { "ready", mNode.IsReady() },
    { "draining", mNode.IsDraining() },
    { "config_version", mNode.mConfig.Version() },
    { "live_vms", mNode.mMembership.LiveVms() },
    { "scheduler_vm", scheduler ? scheduler->mVm : "" },
    { "scheduler_epoch", scheduler ? scheduler->mEpoch : 0 },
    { "worker_sessions", mNode.mSessions.Count() },
    { "upstreams", upstreams }
  }.dump();
}

} // namespace anvildoor
