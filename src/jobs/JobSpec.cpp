#include "jobs/JobSpec.h"

#include "base/JsonText.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr int64_t kMaxCpuMillis = 1'000'000'000;
constexpr int64_t kMaxMemoryMb = 100'000'000;
constexpr int64_t kMaxAccelerators = 100'000;

status StepError(size_t aStep, const std::string& aMessage)
{
  return Fail(error_code::kInvalid,
              "check job",
              "caller",
              "steps[" + std::to_string(aStep) + "]: " + aMessage);
}

bool IsInRange(int64_t aValue, int64_t aMax)
{
  return aValue >= 0 && aValue <= aMax;
}

status CheckStep(size_t aStepIndex, const step_spec& aStep, const job_limits& aLimits)
{
  if (aStep.mCount == 0 || aStep.mCount > aLimits.mTasksPerStep) {
    return StepError(aStepIndex, "the number of tasks is out of range");
  }
  const auto& perTask = aStep.mPerTask;
  if (!IsInRange(perTask.mCpuMillis, kMaxCpuMillis) ||
      !IsInRange(perTask.mMemoryMb, kMaxMemoryMb) ||
      !IsInRange(perTask.mAccelerators, kMaxAccelerators)) {
    return StepError(aStepIndex, "the resources of a task are out of range");
  }
  for (const auto dependency : aStep.mDependsOn) {
    if (dependency >= aStepIndex) {
      return StepError(aStepIndex, "a step can only depend on earlier steps");
    }
  }
  if (aStep.mDependsOn.size() > aLimits.mSteps) {
    return StepError(aStepIndex, "it lists too many steps that it depends on");
  }
  if (aStep.mGang && aStep.mCount > aLimits.mTasksAtOnce) {
    return StepError(aStepIndex, "the gang is too large");
  }
  if (aStep.mRequiredLabel.size() > aLimits.mNameBytes ||
      aStep.mDataRack.size() > aLimits.mNameBytes) {
    return StepError(aStepIndex, "the name of a label or rack is too long");
  }
  return {};
}

json EncodeStep(const step_spec& aStep)
{
  const uint32_t flags =
    (aStep.mGang ? 1U : 0U) | (aStep.mSameRack ? 2U : 0U) |
    (aStep.mCheckpointing ? 4U : 0U) | (aStep.mSpeculative ? 8U : 0U) |
    (aStep.mLongRunning ? 16U : 0U) | (aStep.mUsesSpareCpu ? 32U : 0U);
  return json::array({ aStep.mCount,
                       aStep.mPerTask.mCpuMillis,
                       aStep.mPerTask.mMemoryMb,
                       aStep.mPerTask.mAccelerators,
                       aStep.mEstimate.count(),
                       aStep.mDependsOn,
                       flags,
                       aStep.mRequiredLabel,
                       aStep.mDataRack,
                       aStep.mMaxPerWorker,
                       aStep.mMaxUnavailable });
}

step_spec DecodeStep(const json& aRow)
{
  step_spec step;
  size_t column = 0;
  step.mCount = aRow.at(column++).get<uint32_t>();
  step.mPerTask.mCpuMillis = aRow.at(column++).get<int64_t>();
  step.mPerTask.mMemoryMb = aRow.at(column++).get<int64_t>();
  step.mPerTask.mAccelerators = aRow.at(column++).get<int64_t>();
  step.mEstimate = duration(aRow.at(column++).get<int64_t>());
  step.mDependsOn = aRow.at(column++).get<std::vector<uint32_t>>();
  const auto flags = aRow.at(column++).get<uint32_t>();
  step.mGang = (flags & 1U) != 0;
  step.mSameRack = (flags & 2U) != 0;
  step.mCheckpointing = (flags & 4U) != 0;
  step.mSpeculative = (flags & 8U) != 0;
  step.mLongRunning = (flags & 16U) != 0;
  step.mUsesSpareCpu = (flags & 32U) != 0;
  step.mRequiredLabel = aRow.at(column++).get<std::string>();
  step.mDataRack = aRow.at(column++).get<std::string>();
  step.mMaxPerWorker = aRow.at(column++).get<uint32_t>();
  step.mMaxUnavailable = aRow.at(column++).get<uint32_t>();
  return step;
}

} // namespace

status CheckJob(const job_spec& aSpec, const job_limits& aLimits)
{
  if (aSpec.mPayload.size() > aLimits.mPayloadBytes) {
    return Fail(
      error_code::kInvalid, "check job", "caller", "the payload is too large");
  }
  if (aSpec.mSteps.empty() || aSpec.mSteps.size() > aLimits.mSteps) {
    return Fail(error_code::kInvalid,
                "check job",
                "caller",
                "the number of steps is out of range");
  }
  if (aSpec.mRepeats > aLimits.mRepeats ||
      !IsInRange(aSpec.mFirstDueMs, aLimits.mTimeMs) ||
      !IsInRange(aSpec.mIntervalMs, aLimits.mTimeMs)) {
    return Fail(error_code::kInvalid,
                "check job",
                "caller",
                "the repeats, first due time or interval is out of range");
  }
  uint64_t longRunningTasks = 0;
  for (size_t number = 0; number < aSpec.mSteps.size(); ++number) {
    const auto& step = aSpec.mSteps[number];
    if (auto checked = CheckStep(number, step, aLimits); !checked) {
      return checked;
    }
    longRunningTasks +=
      step.mLongRunning ? uint64_t(step.mCount) * std::max(1U, aSpec.mRepeats) : 0;
  }
  if (longRunningTasks > aLimits.mTasksAtOnce) {
    return Fail(error_code::kInvalid,
                "check job",
                "caller",
                "the job has too many long-running tasks");
  }
  return {};
}

size_t MemoryBound(const accepted_job& aJob)
{
  // Objects, map entries and short strings of one job.
  constexpr size_t kBytesPerJob = 1'500;
  constexpr size_t kBytesPerStep = sizeof(step_spec) + 64;
  const auto& spec = aJob.mSpec;
  size_t bytes = kBytesPerJob + spec.mPayload.capacity() + spec.mRepeats / 8 +
                 spec.mSteps.capacity() * kBytesPerStep;
  for (const auto& digest : aJob.mKeyDigests) {
    bytes += sizeof(std::string) + digest.capacity();
  }
  for (const auto& step : spec.mSteps) {
    bytes += step.mRequiredLabel.capacity() + step.mDataRack.capacity() +
             step.mDependsOn.capacity() * sizeof(uint32_t);
  }
  return bytes;
}

std::string EncodeJob(const accepted_job& aJob)
{
  json steps = json::array();
  for (const auto& step : aJob.mSpec.mSteps) {
    steps.push_back(EncodeStep(step));
  }
  const json text{
    { "queue", aJob.mQueue },           { "workspace", aJob.mWorkspace },
    { "keys", aJob.mKeyDigests },       { "pool", aJob.mPool },
    { "priority", aJob.mPriority },     { "attempts", aJob.mMaxAttempts },
    { "stretch", aJob.mStretch },       { "objective", aJob.mObjective.count() },
    { "advice", aJob.mNeedsAdvice },    { "accepted", aJob.mAcceptedAtMs },
    { "payload", aJob.mSpec.mPayload }, { "repeats", aJob.mSpec.mRepeats },
    { "due", aJob.mSpec.mFirstDueMs },  { "interval", aJob.mSpec.mIntervalMs },
    { "steps", std::move(steps) }
  };
  return text.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

result<accepted_job> DecodeJob(const std::string& aId, const std::string& aText)
{
  try {
    const auto text = json::parse(aText);
    accepted_job job;
    job.mId = aId;
    job.mQueue = text.at("queue").get<std::string>();
    job.mWorkspace = text.at("workspace").get<std::string>();
    // Jobs that were stored by earlier versions have none.
    job.mKeyDigests = text.value("keys", std::vector<std::string>());
    job.mPool = text.at("pool").get<std::string>();
    job.mPriority = text.at("priority").get<int64_t>();
    job.mMaxAttempts = text.at("attempts").get<int64_t>();
    job.mStretch = text.at("stretch").get<double>();
    job.mObjective = duration(text.at("objective").get<int64_t>());
    job.mNeedsAdvice = text.at("advice").get<bool>();
    job.mAcceptedAtMs = text.at("accepted").get<int64_t>();
    job.mSpec.mPayload = text.at("payload").get<std::string>();
    job.mSpec.mRepeats = text.at("repeats").get<uint32_t>();
    job.mSpec.mFirstDueMs = text.at("due").get<int64_t>();
    job.mSpec.mIntervalMs = text.at("interval").get<int64_t>();
    for (const auto& row : text.at("steps")) {
      job.mSpec.mSteps.push_back(DecodeStep(row));
    }
    job_limits asStored;
    asStored.mTasksAtOnce = std::numeric_limits<uint32_t>::max();
    asStored.mNameBytes = aText.size();
    asStored.mTimeMs = std::numeric_limits<int64_t>::max();
    if (auto checked = CheckJob(job.mSpec, asStored); !checked) {
      return tl::unexpected<error>(checked.error());
    }
    return job;
  } catch (const json::exception& failed) {
    return Fail(error_code::kInvalid, "decode job", aId, failed.what());
  }
}

} // namespace anvildoor
