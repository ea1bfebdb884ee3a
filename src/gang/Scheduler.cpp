#include "gang/Scheduler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

constexpr duration kTickPeriod{ 100 };
constexpr duration kPurgePeriod = std::chrono::minutes(10);
constexpr duration kEndedJobRetention = std::chrono::hours(24);
constexpr duration kSubmitTimeout{ 3'000 };
constexpr duration kTakeoverRetryDelay{ 500 };

tl::unexpected<error> NotLeadingError()
{
  return Fail(
    error_code::kUnavailable, "scheduler", "", "this VM is not the active scheduler");
}

} // namespace

scheduler::scheduler(const scheduler_context& aContext,
                     std::unique_ptr<placement_policy> aPolicy)
  : mContext(aContext)
  , mPolicy(std::move(aPolicy))
  , mQuarantine(0, fleet_defaults{}.mQuarantineSharePercent)
{
}

scheduler::~scheduler() = default;

template<typename T>
void scheduler::Post(done<T> aDone, result<T> aAnswer) const
{
  mContext.mLoop.Post(
    [call = std::move(aDone), answer = std::move(aAnswer)] { call(answer); });
}

void scheduler::Start()
{
  RunEvery(mContext.mLoop, kTickPeriod, [this] { Tick(); });
  RunEvery(mContext.mLoop, kPurgePeriod, [this] {
    const auto cutoff = mContext.mLoop.Now() - kEndedJobRetention;
    mContext.mJournal.DropEnded(cutoff);
    std::lock_guard lock(mMutex);
    std::erase_if(mJobs, [cutoff](const auto& aItem) {
      const auto& record = aItem.second.mRecord;
      return IsFinal(record.mState) && aItem.second.mDurable && record.mEnded < cutoff;
    });
  });
}

bool scheduler::HoldsLease() const
{
  return mEpoch != 0 && mContext.mHeldEpoch() == mEpoch;
}

bool scheduler::IsLeading() const
{
  std::lock_guard lock(mMutex);
  return mLeading && HoldsLease();
}

void scheduler::StartLeading(uint64_t aEpoch)
{
  {
    std::lock_guard lock(mMutex);
    mEpoch = aEpoch;
    mLeading = false;
    mAttemptCounter = 0;
    for (auto& [id, entry] : mWorkers) {
      entry.mReported = false;
      entry.mLost = false;
      entry.mSequence = 0;
    }
  }
  mContext.mJournal.TakeOver(
    aEpoch, [this, aEpoch](result<std::map<std::string, job_record>> aRecords) {
      OnJournalLoaded(aEpoch, std::move(aRecords));
    });
}

void scheduler::OnJournalLoaded(uint64_t aEpoch,
                                result<std::map<std::string, job_record>> aRecords)
{
  std::lock_guard lock(mMutex);
  if (aEpoch != mEpoch || !HoldsLease()) {
    return;
  }
  if (!aRecords) {
    mContext.mLog.Write(
      log_event("takeover_failed").Add("error", Describe(aRecords.error())));
    mContext.mLoop.RunAfter(kTakeoverRetryDelay, [this, aEpoch] {
      if (mContext.mHeldEpoch() == aEpoch) {
        StartLeading(aEpoch);
      }
    });
    return;
  }
  for (const auto& [id, record] : *aRecords) {
    RestoreJob(record);
  }
  mLeading = true;
  mContext.mLog.Write(log_event("scheduler_leading")
                        .Add("data_centre", mContext.mDataCentre)
                        .Add("epoch", static_cast<int64_t>(aEpoch))
                        .Add("jobs", static_cast<int64_t>(mJobs.size())));
  RequestPlan();
  mContext.mLoop.Post(mContext.mOnLeading);
}

void scheduler::RestoreJob(const job_record& aRecord)
{
  auto& entry = mJobs[aRecord.mId];
  entry.mRecord = aRecord;
  entry.mDurable = true;
  if (aRecord.mState == job_state::kStarting || aRecord.mState == job_state::kRunning) {
    entry.mRun = gang_run::Resume(
      aRecord.mAttempt, aRecord.mPlacement, gang_limits{}, mContext.mLoop.Now());
    mJobOfAttempt[aRecord.mAttempt] = aRecord.mId;
    AppendHistory(entry, "resumed by a new scheduler");
  }
}

void scheduler::StepDown(const std::string& aReason)
{
  {
    std::lock_guard lock(mMutex);
    if (mEpoch == 0) {
      return;
    }
    mContext.mLog.Write(log_event("scheduler_stepped_down")
                          .Add("epoch", static_cast<int64_t>(mEpoch))
                          .Add("reason", aReason));
    mEpoch = 0;
    mLeading = false;
    ClearJobs();
  }
  mContext.mJournal.ReleaseOwnership();
}

void scheduler::ClearJobs()
{
  for (auto& [id, entry] : mJobs) {
    const auto steppedDownError =
      Fail(error_code::kUnknownEffect,
           "scheduler",
           "",
           "the scheduler stepped down; query the state of job " + id);
    for (auto& waiter : entry.mWaiters) {
      Post<job_record>(std::move(waiter), steppedDownError);
    }
    for (auto& cancel : entry.mCancelWaiters) {
      Post<cancel_answer>(std::move(cancel), steppedDownError);
    }
  }
  mJobs.clear();
  mJobOfAttempt.clear();
}

void scheduler::SetWorkers(const std::vector<vm_record>& aWorkers)
{
  std::lock_guard lock(mMutex);
  std::set<std::string> listed;
  for (const auto& record : aWorkers) {
    listed.insert(record.mId);
    mWorkers[record.mId].mRecord = record;
  }
  for (auto& [id, entry] : mWorkers) {
    if (listed.count(id) == 0) {
      entry.mRecord.mLeaving = true;
    }
  }
  const auto config = mContext.mConfig.Current();
  const auto share = config ? config->mDefaults.mQuarantineSharePercent
                            : fleet_defaults{}.mQuarantineSharePercent;
  mQuarantine.SetBounds(mWorkers.size(), share);
  RequestPlan();
}

// Submission, cancellation and queries.

void scheduler::Submit(const std::string& aId,
                       const job_spec& aSpec,
                       done<job_record> aDone)
{
  std::lock_guard lock(mMutex);
  if (!mLeading || !HoldsLease()) {
    Post<job_record>(std::move(aDone), NotLeadingError());
    return;
  }
  const auto found = mJobs.find(aId);
  if (found != mJobs.end() && found->second.mRecord.mSpec != aSpec) {
    Post<job_record>(std::move(aDone),
                     Fail(error_code::kConflict,
                          "job.submit",
                          "Idempotency-Key",
                          "the key was already used for a different job"));
    return;
  }
  if (found != mJobs.end() && found->second.mDurable) {
    Post<job_record>(std::move(aDone), VisibleRecord(found->second));
    return;
  }
  if (found == mJobs.end()) {
    if (auto valid = Validate(aSpec); !valid) {
      Post<job_record>(std::move(aDone), tl::unexpected<error>(valid.error()));
      return;
    }
  }
  auto& entry = mJobs[aId];
  entry.mRecord.mId = aId;
  entry.mRecord.mSpec = aSpec;
  entry.mRecord.mSubmitted = mContext.mLoop.Now();
  auto answered = std::make_shared<bool>(false);
  Record(entry, [this, aDone, answered](job_entry& aJob) {
    aJob.mDurable = true;
    mContext.mLog.Write(log_event("job_accepted")
                          .Add("job", aJob.mRecord.mId)
                          .Add("workspace", aJob.mRecord.mSpec.mWorkspace)
                          .Add("class", ToString(aJob.mRecord.mSpec.mClass))
                          .Add("tasks", aJob.mRecord.mSpec.mShape.mTasks));
    if (!std::exchange(*answered, true)) {
      Post<job_record>(aDone, VisibleRecord(aJob));
    }
    RequestPlan();
  });
  mContext.mLoop.RunAfter(kSubmitTimeout, [this, aId, aDone, answered] {
    std::lock_guard inner(mMutex);
    if (!std::exchange(*answered, true)) {
      Post<job_record>(aDone,
                       Fail(error_code::kUnknownEffect,
                            "job.submit",
                            "store",
                            "not recorded yet; retry with the same key"));
    }
  });
}

void scheduler::Cancel(const std::string& aId, done<cancel_answer> aDone)
{
  std::lock_guard lock(mMutex);
  if (!mLeading || !HoldsLease()) {
    Post<cancel_answer>(std::move(aDone), NotLeadingError());
    return;
  }
  const auto found = mJobs.find(aId);
  if (found == mJobs.end()) {
    Post<cancel_answer>(std::move(aDone),
                        Fail(error_code::kNotFound, "job.cancel", aId, "unknown job"));
    return;
  }
  auto& entry = found->second;
  if (IsFinal(entry.mRecord.mState) && !entry.mRecordingEnd) {
    const bool ran = entry.mRecord.mCommittedAttempts > 0;
    const bool cancelled = entry.mRecord.mState == job_state::kCancelled;
    const std::string outcome = !cancelled ? ToString(entry.mRecord.mState)
                                : ran      ? "stopped"
                                           : "not_run";
    Post<cancel_answer>(std::move(aDone),
                        cancel_answer{ VisibleRecord(entry), outcome });
    return;
  }
  entry.mCancelWaiters.push_back(std::move(aDone));
  if (entry.mRecordingEnd) {
    return;
  }
  AppendHistory(entry, "cancelled by the caller");
  if (entry.mRun) {
    StopGang(entry, stop_goal::kCancel, duration::zero());
  } else {
    Finish(entry, job_state::kCancelled, "cancelled by the caller");
  }
}

void scheduler::Wait(const std::string& aId, duration aWait, done<job_record> aDone)
{
  std::lock_guard lock(mMutex);
  if (!mLeading || !HoldsLease()) {
    Post<job_record>(std::move(aDone), NotLeadingError());
    return;
  }
  const auto found = mJobs.find(aId);
  if (found == mJobs.end() || !found->second.mDurable) {
    Post<job_record>(std::move(aDone),
                     Fail(error_code::kNotFound, "job.get", aId, "unknown job"));
    return;
  }
  auto& entry = found->second;
  const bool ended = IsFinal(entry.mRecord.mState) && !entry.mRecordingEnd;
  if (ended || aWait.count() <= 0) {
    Post<job_record>(std::move(aDone), VisibleRecord(entry));
    return;
  }
  auto answered = std::make_shared<bool>(false);
  entry.mWaiters.push_back([answered, aDone](const result<job_record>& aAnswer) {
    if (!std::exchange(*answered, true)) {
      aDone(aAnswer);
    }
  });
  mContext.mLoop.RunAfter(
    aWait, [this, aId, waiter = entry.mWaiters.back()] { waiter(Find(aId)); });
}

result<job_record> scheduler::Find(const std::string& aId) const
{
  std::lock_guard lock(mMutex);
  if (!mLeading) {
    return NotLeadingError();
  }
  const auto found = mJobs.find(aId);
  if (found == mJobs.end() || !found->second.mDurable) {
    return Fail(error_code::kNotFound, "job.get", aId, "unknown job");
  }
  return VisibleRecord(found->second);
}

job_record scheduler::VisibleRecord(const job_entry& aJob) const
{
  job_record shown = aJob.mRecord;
  if (aJob.mRecordingEnd) {
    shown.mState =
      shown.mCommittedAttempts > 0 ? job_state::kRunning : job_state::kQueued;
  } else if (aJob.mRun) {
    const bool allRunning =
      aJob.mRun->Phase() == gang_phase::kActive && aJob.mRun->AllRunningOrCompleted();
    shown.mState = allRunning ? job_state::kRunning : job_state::kStarting;
  }
  return shown;
}

void scheduler::AppendHistory(job_entry& aJob, const std::string& aText)
{
  constexpr size_t kMaxHistoryEntries = 20;
  const auto at = std::to_string(mContext.mLoop.Now().count());
  aJob.mHistory.push_back(at + " " + aText);
  if (aJob.mHistory.size() > kMaxHistoryEntries) {
    aJob.mHistory.erase(aJob.mHistory.begin());
  }
}

void scheduler::WithJob(const std::string& aJob,
                        const std::function<void(job_entry&)>& aBody)
{
  std::lock_guard lock(mMutex);
  const auto found = mJobs.find(aJob);
  if (found != mJobs.end() && mEpoch != 0) {
    aBody(found->second);
  }
}

void scheduler::WithRun(const std::string& aJob,
                        const std::string& aAttempt,
                        const std::function<void(job_entry&)>& aBody)
{
  WithJob(aJob, [&](job_entry& aEntry) {
    if (aEntry.mRun && aEntry.mRun->Attempt() == aAttempt) {
      aBody(aEntry);
    }
  });
}

void scheduler::Record(job_entry& aJob, std::function<void(job_entry&)> aOnDurable)
{
  const auto id = aJob.mRecord.mId;
  mContext.mJournal.Record(
    aJob.mRecord, [this, id, body = std::move(aOnDurable)](const status& aStatus) {
      if (!aStatus) {
        StepDown(Describe(aStatus.error()));
        return;
      }
      WithJob(id, body);
    });
}

} // namespace anvildoor
