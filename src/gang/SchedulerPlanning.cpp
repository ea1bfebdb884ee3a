#include "gang/Scheduler.h"

#include "base/JsonText.h"
#include "planner/Fragmentation.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

/** Batches events that arrive together into one planning round. */
constexpr duration kPlanDelay{ 5 };

/** Limits a burst of events to ten planning rounds per second. */
constexpr duration kMinPlanInterval{ 100 };

/** The gang shape for which "fragmentation_16" is reported. */
constexpr gang_shape kReferenceGang{ 16, { 1, 0, 0 }, adjacency::kRack };

} // namespace

void scheduler::RequestPlan()
{
  if (mPlanRequested) {
    return;
  }
  mPlanRequested = true;
  const duration sincePlan = mContext.mLoop.Now() - mLastPlanTime;
  const auto delay = std::max(kPlanDelay, kMinPlanInterval - sincePlan);
  mContext.mLoop.RunAfter(delay, [this] { Plan(); });
}

void scheduler::Plan()
{
  std::lock_guard lock(mMutex);
  mPlanRequested = false;
  mLastPlanTime = mContext.mLoop.Now();
  if (mLeading && HoldsLease() && mContext.mConfig.Current()) {
    PlanLocked();
  }
}

void scheduler::PlanLocked()
{
  const auto config = mContext.mConfig.Current();
  const auto fleet = FleetView();
  const planner_input input{ fleet,          *config,       mContext.mDataCentre,
                             RunningGangs(), WaitingJobs(), mContext.mLoop.Now() };
  const auto decision = mPolicy->Decide(input);
  for (const auto& job : decision.mDemoted) {
    mJobs[job].mRecord.mGuaranteed.reset();
    AppendHistory(
      mJobs[job],
      "its guaranteed shape moved to other workers; now on borrowed capacity");
  }
  for (const auto& start : decision.mStarts) {
    ApplyStart(start);
  }
  for (const auto& wait : decision.mWaits) {
    const auto found = mJobs.find(wait.mJob);
    if (found != mJobs.end()) {
      found->second.mWaitReason = wait.mReason;
    }
  }
}

fleet_view scheduler::FleetView() const
{
  const auto now = mContext.mLoop.Now();
  std::vector<worker_view> workers;
  for (const auto& [id, entry] : mWorkers) {
    const bool usable = entry.mReported && !entry.mLost && !entry.mRecord.mLeaving &&
                        entry.mSuspectUntil <= now && mQuarantine.IsUsable(id, now);
    workers.push_back({ id, entry.mRecord.mRack, entry.mRecord.mCapacity, usable });
  }
  return fleet_view(std::move(workers));
}

std::vector<running_gang> scheduler::RunningGangs() const
{
  std::vector<running_gang> gangs;
  for (const auto& [id, entry] : mJobs) {
    if (!entry.mRun || entry.mRun->Phase() == gang_phase::kEnded) {
      continue;
    }
    const auto& record = entry.mRecord;
    running_gang gang;
    gang.mJob = id;
    gang.mWorkspace = record.mSpec.mWorkspace;
    gang.mClass = record.mSpec.mClass;
    gang.mShape = record.mSpec.mShape;
    gang.mPlacement = record.mPlacement;
    gang.mGuaranteed = record.mGuaranteed;
    gang.mRestartable = record.mSpec.mIdempotent;
    gang.mCheckpointable = record.mSpec.mCheckpointable;
    gang.mStopping = entry.mRun->Phase() == gang_phase::kStopping;
    gang.mStarted = record.mStarted;
    gang.mExpectedRunTime =
      mEstimator.ExpectedRunTime(gang.mWorkspace,
                                 gang.mClass,
                                 std::chrono::seconds(record.mSpec.mExpectedSeconds));
    gangs.push_back(std::move(gang));
  }
  return gangs;
}

std::vector<waiting_job> scheduler::WaitingJobs() const
{
  std::vector<waiting_job> jobs;
  for (const auto& [id, entry] : mJobs) {
    const auto& record = entry.mRecord;
    const bool waiting = record.mState == job_state::kQueued && !entry.mRun &&
                         entry.mDurable && !entry.mRecordingEnd &&
                         entry.mEarliestStart <= mContext.mLoop.Now();
    if (!waiting) {
      continue;
    }
    waiting_job job;
    job.mId = id;
    job.mWorkspace = record.mSpec.mWorkspace;
    job.mClass = record.mSpec.mClass;
    job.mShape = record.mSpec.mShape;
    job.mRestartable = record.mSpec.mIdempotent;
    job.mCheckpointable = record.mSpec.mCheckpointable;
    job.mSubmitted = record.mSubmitted;
    job.mExpectedRunTime = mEstimator.ExpectedRunTime(
      job.mWorkspace, job.mClass, std::chrono::seconds(record.mSpec.mExpectedSeconds));
    job.mAvoidedWorkers = mQuarantine.FailedOn(id);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

void scheduler::ApplyStart(const start_decision& aStart)
{
  const auto found = mJobs.find(aStart.mJob);
  if (found == mJobs.end()) {
    return;
  }
  auto& entry = found->second;
  const auto now = mContext.mLoop.Now();
  const auto attempt = aStart.mJob + "#" + std::to_string(mEpoch) + "." +
                       std::to_string(++mAttemptCounter);
  entry.mRecord.mPlacement = aStart.mPlacement;
  entry.mRecord.mGuaranteed = aStart.mGuaranteed;
  entry.mRecord.mStarted = now;
  entry.mStopGoal = stop_goal::kNone;
  entry.mWaitReason.clear();
  entry.mRun = gang_run::Make(attempt, aStart.mPlacement, gang_limits{}, now);
  mJobOfAttempt[attempt] = aStart.mJob;
  mContext.mLog.Write(log_event("gang_placed")
                        .Add("job", aStart.mJob)
                        .Add("attempt", attempt)
                        .Add("workers", static_cast<int64_t>(aStart.mPlacement.size()))
                        .Add("guaranteed", aStart.mGuaranteed ? "yes" : "no")
                        .Add("victims", static_cast<int64_t>(aStart.mVictims.size())));
  const duration grace(mContext.mConfig.Current()->mDefaults.mCheckpointGraceMs);
  for (const auto& victim : aStart.mVictims) {
    const auto job = mJobs.find(victim);
    if (job != mJobs.end() && job->second.mRun) {
      entry.mVictims.insert(victim);
      AppendHistory(job->second, "preempted to free capacity for " + aStart.mJob);
      StopGang(job->second, stop_goal::kRequeue, grace);
    }
  }
  StartIfUnblocked(entry);
}

void scheduler::StartIfUnblocked(job_entry& aJob)
{
  if (aJob.mVictims.empty() && aJob.mRun &&
      aJob.mRun->Phase() == gang_phase::kPreparing) {
    Perform(aJob, aJob.mRun->Begin());
  }
}

void scheduler::OnVictimStopped(const std::string& aJob)
{
  for (auto& [id, entry] : mJobs) {
    if (entry.mVictims.erase(aJob) != 0) {
      StartIfUnblocked(entry);
    }
  }
}

status scheduler::CheckConfig(const fleet_config& aConfig) const
{
  std::lock_guard lock(mMutex);
  if (mWorkers.empty()) {
    return Fail(error_code::kUnavailable,
                "config.guarantees",
                mContext.mDataCentre,
                "the worker list of this data centre is not available yet");
  }
  std::vector<worker_view> workers;
  for (const auto& [id, entry] : mWorkers) {
    const bool usable = !entry.mLost && !entry.mRecord.mLeaving;
    workers.push_back({ id, entry.mRecord.mRack, entry.mRecord.mCapacity, usable });
  }
  return CheckGuaranteesFit(fleet_view(std::move(workers)),
                            aConfig,
                            mContext.mDataCentre,
                            mLeading ? RunningGangs() : std::vector<running_gang>());
}

result<std::string> scheduler::Explain(const std::string& aId) const
{
  std::lock_guard lock(mMutex);
  if (!mLeading) {
    return Fail(
      error_code::kUnavailable, "explain", "", "this VM is not the active scheduler");
  }
  const auto found = mJobs.find(aId);
  if (found == mJobs.end()) {
    return Fail(error_code::kNotFound, "explain", aId, "unknown job");
  }
  const auto& entry = found->second;
  int64_t ahead = 0;
  for (const auto& [id, other] : mJobs) {
    const bool waits = other.mRecord.mState == job_state::kQueued && !other.mRun;
    ahead += waits && other.mRecord.mSubmitted < entry.mRecord.mSubmitted ? 1 : 0;
  }
  json answer = json::parse(JobAnswerJson(VisibleRecord(entry)));
  answer["wait_reason"] = entry.mWaitReason;
  answer["phase"] = entry.mRun ? ToString(entry.mRun->Phase()) : "none";
  answer["waiting_before_it"] = ahead;
  answer["waits_for_checkpoints_of"] = entry.mVictims;
  answer["avoided_workers"] = mQuarantine.FailedOn(aId);
  answer["history"] = entry.mHistory;
  return answer.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

std::string scheduler::FleetJson() const
{
  std::lock_guard lock(mMutex);
  const auto fleet = FleetView();
  const auto now = mContext.mLoop.Now();
  worker_amounts used(fleet.Size());
  for (const auto& gang : RunningGangs()) {
    used.AddGang(fleet, gang.mShape, gang.mPlacement);
  }
  json racks = json::object();
  for (size_t i = 0; i < fleet.Size(); ++i) {
    const auto& worker = fleet.At(i);
    racks[worker.mRack].push_back(
      { { "worker", worker.mId },
        { "usable", worker.mUsable },
        { "lost", mWorkers.at(worker.mId).mLost },
        { "quarantined", !mQuarantine.IsUsable(worker.mId, now) },
        { "accelerators", worker.mCapacity.mAccelerators },
        { "accelerators_free",
          worker.mCapacity.mAccelerators - used.At(i).mAccelerators },
        { "cores_free", worker.mCapacity.mCores - used.At(i).mCores } });
  }
  json shapes = json::array();
  for (const auto& shape : mPolicy->Plan().Shapes()) {
    shapes.push_back({ { "workspace", shape.mId.mWorkspace },
                       { "guarantee", shape.mId.mGuarantee },
                       { "copy", shape.mId.mCopy },
                       { "backed", shape.mBacked } });
  }
  json drainingRacks = json::array();
  for (const auto& reservation : mPolicy->Reservations()) {
    drainingRacks.push_back(
      { { "rack", reservation.mRack }, { "job", reservation.mJob } });
  }
  return json{
    { "data_centre", mContext.mDataCentre },
    { "leading", mLeading },
    { "racks", racks },
    { "guaranteed_shapes", shapes },
    { "draining", drainingRacks },
    { "fragmentation_16", FragmentationFor(fleet, used, kReferenceGang) }
  }.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

} // namespace anvildoor
