#include "gang/JobRecord.h"

#include "base/JsonReader.h"
#include "base/JsonText.h"
#include "gang/WorkerPort.h"

#include <array>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPayloadBytes = 16'384;
constexpr int64_t kMaxTasks = 64;
constexpr int64_t kMaxAcceleratorsPerTask = 64;
constexpr int64_t kMaxCoresPerTask = 1'024;
constexpr int64_t kMaxMemoryMbPerTask = 16'777'216;
constexpr int64_t kMaxExpectedSeconds = int64_t{ 30 } * 86'400;

const std::vector<std::string>& ClassNames()
{
  static const std::vector<std::string> sNames{ "urgent", "interactive", "batch" };
  return sNames;
}

constexpr std::array kStates{ job_state::kQueued,  job_state::kStarting,
                              job_state::kRunning, job_state::kCompleted,
                              job_state::kFailed,  job_state::kCancelled };

const std::vector<std::string>& StateNames()
{
  static const std::vector<std::string> sNames = [] {
    std::vector<std::string> names;
    names.reserve(kStates.size());
    for (const auto state : kStates) {
      names.emplace_back(ToString(state));
    }
    return names;
  }();
  return sNames;
}

json SpecJson(const job_spec& aSpec)
{
  const auto& shape = aSpec.mShape;
  return { { "workspace", aSpec.mWorkspace },
           { "class", ToString(aSpec.mClass) },
           { "tasks", shape.mTasks },
           { "accelerators_per_task", shape.mPerTask.mAccelerators },
           { "cores_per_task", shape.mPerTask.mCores },
           { "memory_mb_per_task", shape.mPerTask.mMemoryMb },
           { "adjacency", shape.mAdjacency == adjacency::kRack ? "rack" : "any" },
           { "idempotent", aSpec.mIdempotent },
           { "checkpointable", aSpec.mCheckpointable },
           { "expected_seconds", aSpec.mExpectedSeconds },
           { "payload", aSpec.mPayload } };
}

job_spec ReadSpec(json_reader& aReader)
{
  job_spec spec;
  auto& perTask = spec.mShape.mPerTask;
  spec.mWorkspace = aReader.String("workspace", kMaxNameBytes);
  spec.mClass = static_cast<work_class>(aReader.Choice("class", ClassNames(), 2));
  spec.mShape.mTasks = aReader.Integer("tasks", 1, kMaxTasks, 1);
  perTask.mAccelerators =
    aReader.Integer("accelerators_per_task", 0, kMaxAcceleratorsPerTask, 0);
  perTask.mCores = aReader.Integer("cores_per_task", 0, kMaxCoresPerTask, 1);
  perTask.mMemoryMb = aReader.Integer("memory_mb_per_task", 0, kMaxMemoryMbPerTask, 0);
  spec.mShape.mAdjacency = aReader.Choice("adjacency", { "any", "rack" }, 0) == 1
                             ? adjacency::kRack
                             : adjacency::kAny;
  spec.mIdempotent = aReader.Boolean("idempotent", true);
  spec.mCheckpointable = aReader.Boolean("checkpointable", false);
  spec.mExpectedSeconds =
    aReader.Integer("expected_seconds", 0, kMaxExpectedSeconds, 0);
  spec.mPayload = aReader.String("payload", kMaxPayloadBytes, false);
  if (perTask == resources{}) {
    aReader.Reject("cores_per_task",
                   "a task must request accelerators, cores or memory");
  }
  return spec;
}

json PlacementJson(const placement& aPlacement)
{
  json parts = json::array();
  for (const auto& part : aPlacement) {
    parts.push_back({ part.mWorker, part.mTasks });
  }
  return parts;
}

json RecordJson(const job_record& aRecord)
{
  json object = { { "spec", SpecJson(aRecord.mSpec) },
                  { "state", ToString(aRecord.mState) },
                  { "attempt", aRecord.mAttempt },
                  { "attempts", aRecord.mCommittedAttempts },
                  { "placement", PlacementJson(aRecord.mPlacement) },
                  { "reason", aRecord.mReason },
                  { "result", aRecord.mResult },
                  { "checkpoint", aRecord.mCheckpoint },
                  { "submitted", aRecord.mSubmitted.count() },
                  { "started", aRecord.mStarted.count() },
                  { "ended", aRecord.mEnded.count() } };
  if (aRecord.mGuaranteed) {
    object["shape"] = { aRecord.mGuaranteed->mWorkspace,
                        aRecord.mGuaranteed->mGuarantee,
                        aRecord.mGuaranteed->mCopy };
  }
  return object;
}

job_record RecordFrom(const std::string& aId, const json& aObject)
{
  job_record record;
  record.mId = aId;
  json_reader reader(aObject.at("spec"), "journal");
  record.mSpec = ReadSpec(reader);
  for (size_t i = 0; i < kStates.size(); ++i) {
    if (aObject.at("state") == StateNames()[i]) {
      record.mState = kStates[i];
    }
  }
  aObject.at("attempt").get_to(record.mAttempt);
  aObject.at("attempts").get_to(record.mCommittedAttempts);
  for (const auto& part : aObject.at("placement")) {
    record.mPlacement.push_back(
      { part.at(0).get<std::string>(), part.at(1).get<int64_t>() });
  }
  aObject.at("reason").get_to(record.mReason);
  aObject.at("result").get_to(record.mResult);
  aObject.at("checkpoint").get_to(record.mCheckpoint);
  record.mSubmitted = time_point(aObject.at("submitted").get<int64_t>());
  record.mStarted = time_point(aObject.at("started").get<int64_t>());
  record.mEnded = time_point(aObject.at("ended").get<int64_t>());
  if (aObject.contains("shape")) {
    const auto& shape = aObject.at("shape");
    record.mGuaranteed = shape_id{ shape.at(0).get<std::string>(),
                                   shape.at(1).get<int64_t>(),
                                   shape.at(2).get<int64_t>() };
  }
  return record;
}

} // namespace

const char* ToString(job_state aState)
{
  switch (aState) {
    case job_state::kQueued:
      return "queued";
    case job_state::kStarting:
      return "starting";
    case job_state::kRunning:
      return "running";
    case job_state::kCompleted:
      return "completed";
    case job_state::kFailed:
      return "failed";
    case job_state::kCancelled:
      return "cancelled";
  }
  return "queued";
}

const char* ToString(member_state aState)
{
  switch (aState) {
    case member_state::kPrepared:
      return "prepared";
    case member_state::kRunning:
      return "running";
    case member_state::kCompleted:
      return "completed";
    case member_state::kFailed:
      return "failed";
    case member_state::kStopped:
      return "stopped";
    case member_state::kNeverRan:
      return "never_ran";
  }
  return "prepared";
}

bool IsFinal(job_state aState)
{
  return aState == job_state::kCompleted || aState == job_state::kFailed ||
         aState == job_state::kCancelled;
}

result<job_spec> ParseJobSpec(const std::string& aText)
{
  auto reader = json_reader::Parse(aText, "job.submit");
  auto spec = ReadSpec(reader);
  reader.Boolean("repeat", true); // An option of the call, not part of the job.
  if (auto read = reader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return spec;
}

std::string JobAnswerJson(const job_record& aRecord)
{
  json parts = json::array();
  for (const auto& part : aRecord.mPlacement) {
    parts.push_back({ { "worker", part.mWorker }, { "tasks", part.mTasks } });
  }
  return json{
    { "id", aRecord.mId },
    { "workspace", aRecord.mSpec.mWorkspace },
    { "class", ToString(aRecord.mSpec.mClass) },
    { "state", ToString(aRecord.mState) },
    { "attempt", aRecord.mCommittedAttempts },
    { "placement", parts },
    { "guaranteed", aRecord.mGuaranteed.has_value() },
    { "reason", aRecord.mReason },
    { "result", aRecord.mResult },
    { "submitted_ms", aRecord.mSubmitted.count() },
    { "started_ms", aRecord.mStarted.count() },
    { "ended_ms", aRecord.mEnded.count() },
    { "durable", true }
  }.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

std::string EncodeBucket(const std::map<std::string, job_record>& aRecords,
                         const std::string& aCommitId)
{
  json jobs = json::object();
  for (const auto& [id, record] : aRecords) {
    jobs[id] = RecordJson(record);
  }
  return json{ { "commit", aCommitId }, { "jobs", jobs } }.dump(
    -1, ' ', false, kReplaceInvalidUtf8);
}

result<std::map<std::string, job_record>> DecodeBucket(const std::string& aText)
{
  try {
    std::map<std::string, job_record> records;
    const auto bucket = json::parse(aText);
    for (const auto& item : bucket.at("jobs").items()) {
      records.emplace(item.key(), RecordFrom(item.key(), item.value()));
    }
    return records;
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalid, "journal.decode", "store", failure.what());
  }
}

} // namespace anvildoor
