#include "scheduler/FleetScheduler.h"

#include "scheduler/FleetSchedulerState.h"
#include "scheduler/StoreKeys.h"

#include <cassert>

namespace anvildoor {

namespace {

/** Period of the checks for expired leases, unfinished stops and old outcomes. */
constexpr duration kTickPeriod{ 250 };
/** The store may answer cheap reads with values of at most this age. */
constexpr duration kMaxReadAge{ 5'000 };
/** A cancellation without a job has been removed from the store by this age. */
constexpr duration kMaxUnmatchedAge{ 150'000 };
/** Outcomes are kept for this multiple of mMinStatusRetention. */
constexpr int kRetentionFactor = 2;
/**
 * A job whose record was refused before it could start is not placed for so long. A job
 * may be idle for up to 7 s after the store has taken its record again.
 */
constexpr duration kRefusedStartDelay{ 4'000 };
/**
 * A term runs out if the store has taken no write of it for so long. Longer than a term
 * outlasts an outage of the store, with the retries after it, so that one which is
 * renewed then goes on.
 */
constexpr duration kMaxWriteTime{ 10'000 };
/**
 * A worker that has not answered a hold for so long counts as not reached. Longer than
 * one hold that waits and is answered.
 */
constexpr duration kMaxAnswerAge{ 2'000 };

} // namespace

fleet_scheduler::fleet_scheduler(const scheduler_ports& aPorts,
                                 const scheduler_bounds& aBounds,
                                 std::function<void(const std::string&)> aOnFenced,
                                 std::function<void(const std::string&)> aOnIncapable,
                                 std::function<void(const std::string&)> aOnUnwritable,
                                 std::function<void(bool)> aOnImpaired)
  : mPorts(aPorts)
  , mBounds(aBounds)
  , mOnFenced(std::move(aOnFenced))
  , mOnIncapable(std::move(aOnIncapable))
  , mOnUnwritable(std::move(aOnUnwritable))
  , mOnImpaired(std::move(aOnImpaired))
  , mOwners(std::make_shared<job_owners>(std::make_shared<fleet_policy>()))
  , mWriter(aPorts.mLoop,
            aPorts.mStore,
            aPorts.mLog,
            { [this](const std::string& aKey) { return EncodeRecord(aKey); },
              [this](const std::string& aReason) { OnFenced(aReason); },
              [this](const std::string& aKey) { OnRecordRefused(aKey); } })
  , mInboxMonitor(aPorts.mLog, aPorts.mMetrics)
  , mIdleJobs(aPorts.mLog, aPorts.mMetrics)
  , mInbox(aPorts.mLoop,
           aPorts.mStore,
           aPorts.mLog,
           mInboxMonitor,
           { [this](const stored_item& aItem, inbox_source aSource) {
              HandleInboxItem(aItem, aSource);
            },
             [this](const std::string& aKey) { HandleInboxRemoval(aKey); },
             [this] { mUnmatchedCancels.clear(); },
             [this] { ForgetRemovedJobs(); } })
  , mEvacuations(aPorts.mLoop,
                 aPorts.mStore,
                 aPorts.mLog,
                 aPorts.mMetrics,
                 aBounds.mEvacuations,
                 [this] { SchedulePlan(); })
  , mRackPatience(aBounds.mReclaim)
  , mPaces(aPorts.mLoop, aPorts.mStore, aPorts.mLog, aPorts.mMetrics, mWriter)
{
}

fleet_scheduler::~fleet_scheduler() = default;

void fleet_scheduler::SetRequestLimits(std::function<request_limits()> aLimits)
{
  mRequestLimits = std::move(aLimits);
}

void fleet_scheduler::SetPolicy(std::shared_ptr<const job_owners> aOwners)
{
  mOwners = std::move(aOwners);
  mPriorityZeroDemand.clear(); // Its keys were of the former policy.
  for (const auto& [id, job] : mJobs) {
    job->mOwner = mOwners->OwnerOf(job->mState.Job());
  }
  if (mActive && mLoaded) {
    SchedulePlan();
  }
}

bool fleet_scheduler::MaySendRequests() const
{
  return mActive &&
         (!mRequestLimits || mPorts.mLoop.Now() < mRequestLimits().mSendUntil);
}

time_point fleet_scheduler::TermLeaseEnd() const
{
  return mRequestLimits ? mRequestLimits().mLeaseEnd : time_point::max();
}

void fleet_scheduler::OnFenced(const std::string& aReason)
{
  if (mActive) {
    mOnFenced(aReason);
  }
}

void fleet_scheduler::Begin(const scheduler_term& aTerm,
                            const scheduler_term& aPredecessor)
{
  End();
  mTerm = aTerm;
  mPredecessor = aPredecessor;
  mActive = true;
  mTermBegunAt = mPorts.mLoop.Now();
  mTakeoverReadAt = mTermBegunAt;
  mInboxMonitor.Begin(mTermBegunAt);
  mEvacuations.Begin();
  mPaces.Begin();
  Load();
}

void fleet_scheduler::End()
{
  if (mLoaded) {
    SaveSummary();
  }
  ++mGeneration;
  mActive = false;
  mLoaded = false;
  mPlanScheduled = false;
  mHasWorkerAnswered = false;
  mWriter.End();
  mInbox.End();
  mEvacuations.End();
  mInboxMonitor.End();
  mIdleJobs.End();
  mJobs.clear();
  mUnmatchedCancels.clear();
  mIsIntakeClosed = false;
  mRemovedWhileListing.clear();
  mUnrecordedRuns.clear();
  mWorkers.clear();
  mReserved.clear();
  mHealth.Begin();
  mHeadroom = capacity_headroom();
  mRackPatience.Clear();
  mDurations = duration_model();
  mPaces.End();
  mPaceWaits.clear();
}

void fleet_scheduler::HandleInboxRemoval(const std::string& aKey)
{
  if (const auto id = store_keys::StripPrefix(aKey, store_keys::kCancels)) {
    mUnmatchedCancels.erase(*id);
  }
}

void fleet_scheduler::ForgetRemovedJobs()
{
  for (const auto& id : mRemovedWhileListing) {
    mJobs.erase(id);
  }
  mRemovedWhileListing.clear();
}

void fleet_scheduler::HandleInboxItem(const stored_item& aItem, inbox_source aSource)
{
  if (const auto cancelledId =
        store_keys::StripPrefix(aItem.mKey, store_keys::kCancels)) {
    CancelJob(*cancelledId, aItem.mRevision, aSource);
    return;
  }
  const auto id = store_keys::StripPrefix(aItem.mKey, store_keys::kJobs);
  if (!id || mJobs.count(*id) != 0) {
    return;
  }
  const auto job = DecodeJob(*id, aItem.mValue);
  if (!job) {
    mPorts.mLog.Write(
      log_event("job_unreadable").Add("job", *id).Add("error", Describe(job.error())));
    return;
  }
  AddJob(*job, aSource);
}

void fleet_scheduler::AddJob(const accepted_job& aJob, inbox_source aSource)
{
  auto entry = std::make_unique<job_entry>(aJob);
  entry->mFirstSeenAt = mPorts.mLoop.Now();
  entry->mOwner = mOwners->OwnerOf(aJob);
  mJobs[aJob.mId] = std::move(entry);
  if (const auto cancel = mUnmatchedCancels.extract(aJob.mId)) {
    CancelJob(aJob.mId, cancel.mapped().mRevision, aSource);
    return;
  }
  if (mLoaded) {
    mPorts.mLog.Write(log_event("job_taken")
                        .Add("job", aJob.mId)
                        .Add("queue", aJob.mQueue)
                        .Add("workspace", aJob.mWorkspace)
                        .Add("age_ms", mPorts.mUnixMs() - aJob.mAcceptedAtMs));
    SchedulePlan();
  }
}

bool fleet_scheduler::ObserveCancellation(const std::string& aJob, uint64_t aRevision)
{
  if (!mActive || !mLoaded || mJobs.count(aJob) == 0) {
    return false;
  }
  CancelJob(aJob, aRevision, inbox_source::kPeer);
  return true;
}

void fleet_scheduler::CancelJob(const std::string& aId,
                                uint64_t aRevision,
                                inbox_source aSource)
{
  const auto found = mJobs.find(aId);
  if (found == mJobs.end()) {
    // A listing is sorted by key, so a cancellation can come before its job.
    mUnmatchedCancels[aId] = { aRevision, mPorts.mLoop.Now() };
    return;
  }
  if (!found->second->mState.Cancel()) {
    return;
  }
  found->second->mCancelRevision = aRevision;
  mPorts.mLog.Write(log_event("job_cancelled")
                      .Add("job", aId)
                      .Add("revision", static_cast<int64_t>(aRevision))
                      .Add("source", ToString(aSource))
                      .Add("inbox_gap_ms", mInboxMonitor.LastRead().mGap.count())
                      .Add("fence", static_cast<int64_t>(mTerm.mFence)));
  OnJobEnded(*found->second);
}

void fleet_scheduler::OnJobEnded(job_entry& aJob)
{
  const auto outcome = aJob.mState.Outcome();
  const auto& job = aJob.mState.Job();
  mPaces.ForgetJob(job.mId);
  aJob.mEndedAt = mPorts.mLoop.Now();
  aJob.mState.SetEndedAtMs(mPorts.mUnixMs());
  mPorts.mLog.Write(log_event("job_ended")
                      .Add("job", job.mId)
                      .Add("outcome", ToString(outcome))
                      .Add("age_ms", mPorts.mUnixMs() - job.mAcceptedAtMs));
  mPorts.mMetrics.Observe("job_seconds",
                          job.mWorkspace,
                          job.mQueue,
                          ToSeconds(duration(mPorts.mUnixMs() - job.mAcceptedAtMs)));
  mPorts.mMetrics.Count("jobs_ended_total", "outcome", ToString(outcome));
  if (outcome != job_outcome::kDone) {
    StopJob(aJob, ToString(outcome));
  }
  WriteProgress(aJob, record_writer::urgency::kImmediate, nullptr);
}

void fleet_scheduler::WriteProgress(job_entry& aJob,
                                    record_writer::urgency aUrgency,
                                    std::function<void()> aDurable)
{
  const auto id = aJob.mState.Job().mId;
  const auto outcome = aJob.mState.Outcome();
  mWriter.Write(store_keys::kProgress + id,
                aUrgency,
                [this, id, outcome, durable = std::move(aDurable)] {
                  const auto found = mJobs.find(id);
                  if (found != mJobs.end() && outcome != job_outcome::kOpen) {
                    found->second->mDurableOutcome = outcome;
                  }
                  if (durable) {
                    durable();
                  }
                });
}

std::string fleet_scheduler::EncodeRecord(const std::string& aKey) const
{
  if (aKey == store_keys::kIntake) {
    return mIsIntakeClosed ? store_keys::kIntakeClosed : store_keys::kIntakeOpen;
  }
  if (aKey == store_keys::kPaces) {
    return mPaces.Encode();
  }
  if (aKey == store_keys::kImpairedTerm) {
    return EncodeImpairedTerm(
      { mTerm.mFence, mHealth.Current(), ReachOfWorkers(), mTerm.mLease });
  }
  const auto id = store_keys::StripPrefix(aKey, store_keys::kProgress);
  assert(id);
  const auto found = mJobs.find(*id);
  assert(found != mJobs.end());
  return found->second->mState.EncodeProgress([this](const std::string& aWorker) {
    const auto worker = mWorkers.find(aWorker);
    return worker == mWorkers.end() ? std::string() : worker->second->mListed.mAddress;
  });
}

void fleet_scheduler::OnRecordRefused(const std::string& aKey)
{
  const auto id = store_keys::StripPrefix(aKey, store_keys::kProgress);
  const auto found = id ? mJobs.find(*id) : mJobs.end();
  if (found == mJobs.end() || !found->second->mHasTasks) {
    return;
  }
  auto& job = *found->second;
  const auto now = mPorts.mLoop.Now();
  int64_t takenBack = 0;
  for (const auto& task : job.mState.PlacedTasks()) {
    const auto* run = FindPlacedRun(job.mState, task);
    if (run == nullptr || run->mPhase != run_phase::kRequested ||
        run->mWorkerDeadlineMs != 0) {
      continue; // Its start has been sent.
    }
    auto& worker = *mWorkers.at(job.mState.Task(task).mWorker);
    const auto number = run->mRun;
    NoteSilence(worker);
    const auto events =
      worker.mRuns.OnStartAnswer(task, number, run_request_status::kNotSent, now);
    ApplyRunEvents(worker, events);
    ++takenBack;
  }
  if (takenBack > 0) {
    job.mMayStartFrom = now + kRefusedStartDelay;
    mPorts.mLog.Write(
      log_event("starts_taken_back").Add("job", *id).Add("runs", takenBack));
  }
}

std::optional<std::string> fleet_scheduler::StateOf(const std::string& aJob) const
{
  const auto found = mJobs.find(aJob);
  if (!mActive || !mLoaded || found == mJobs.end()) {
    return std::nullopt;
  }
  const auto& job = *found->second;
  if (job.mDurableOutcome != job_outcome::kOpen) {
    return ToString(job.mDurableOutcome);
  }
  return job.mState.HasStarted() ? "running" : "queued";
}

std::optional<size_t> fleet_scheduler::PendingOf(const std::string& aQueue) const
{
  if (!mActive || !mLoaded) {
    return std::nullopt;
  }
  size_t pending = 0;
  for (const auto& [id, job] : mJobs) {
    const bool isPending =
      !job->mState.HasStarted() && job->mState.Outcome() == job_outcome::kOpen;
    pending += isPending && job->mState.Job().mQueue == aQueue ? 1 : 0;
  }
  return pending;
}

void fleet_scheduler::TidyEndedJobs()
{
  const auto now = mPorts.mLoop.Now();
  const auto oldestPlaceMs = OldestFormerPlaceMs();
  for (auto& [id, job] : mJobs) {
    job->mState.ForgetFormerPlaces(oldestPlaceMs);
    const bool isOver =
      !job->mIsBeingRemoved && job->mDurableOutcome != job_outcome::kOpen &&
      job->mState.PlacedTasks().empty() && mWriter.IsStored(store_keys::kProgress + id);
    if (!isOver) {
      continue;
    }
    if (job->mHasTasks) {
      job->mState.DropTasks();
      job->mAvoidedWorkers.clear();
      job->mMemory = MemoryBound(job->mState.Job());
      job->mHasTasks = false;
    }
    if (now - job->mEndedAt <= kRetentionFactor * mBounds.mMinStatusRetention) {
      continue;
    }
    job->mIsBeingRemoved = true;
    mWriter.Remove(
      { store_keys::kJobs + id, store_keys::kCancels + id, store_keys::kProgress + id },
      [this, removed = id] { OnJobRemoved(removed); });
  }
}

void fleet_scheduler::ObserveIntake(bool aIsClosed)
{
  // What this VM has just written outweighs a read, which may be seconds old.
  if (mPorts.mLoop.Now() - mIntakeWrittenAt > kMaxReadAge) {
    mIsIntakeClosedInStore = aIsClosed;
  }
}

void fleet_scheduler::UpdateIntake()
{
  size_t bytes = 0;
  for (const auto& [id, job] : mJobs) {
    bytes += job->mMemory + job->mState.OpenTaskCount() * job_state::kBytesPerOpenTask +
             job->mState.FormerPlaces().size() * job_state::kBytesPerFormerPlace;
  }
  // Opens again only at a distance below the bound, so that it doesn't alternate.
  constexpr size_t kReopenPercent = 90;
  mIsIntakeClosed = mIsIntakeClosed
                      ? bytes > mBounds.mMaxJobBytes / 100 * kReopenPercent
                      : bytes > mBounds.mMaxJobBytes;
  mPorts.mMetrics.Set("job_memory_bytes", static_cast<double>(bytes));
  if (mIsIntakeClosed == mIsIntakeClosedInStore ||
      !mWriter.IsStored(store_keys::kIntake)) {
    return;
  }
  mIsIntakeClosedInStore = mIsIntakeClosed;
  mIntakeWrittenAt = mPorts.mLoop.Now();
  mPorts.mLog.Write(log_event(mIsIntakeClosed ? "intake_closed" : "intake_opened")
                      .Add("jobs", static_cast<int64_t>(mJobs.size()))
                      .Add("bytes", static_cast<int64_t>(bytes)));
  mWriter.Write(store_keys::kIntake, record_writer::urgency::kImmediate, nullptr);
}

void fleet_scheduler::OnJobRemoved(const std::string& aId)
{
  if (mInbox.IsListing()) {
    mRemovedWhileListing.push_back(aId);
  } else {
    mJobs.erase(aId);
  }
}

void fleet_scheduler::CheckAbilities()
{
  if (mWriter.InFlightFor() >= kMaxWriteTime) {
    mOnUnwritable("the store has taken no write");
    return;
  }
  const auto now = mPorts.mLoop.Now();
  term_observation observation;
  observation.mInboxAge = now - mInboxMonitor.AnsweredAt();
  observation.mListAge = now - mWorkersListedAt;
  observation.mReach = ReachOfWorkers();
  const auto former = mHealth.Current();
  const auto judged = mHealth.Observe(observation);
  if (judged == former) {
    return;
  }
  mPorts.mLog.Write(
    log_event("term_impaired")
      .Add("fence", static_cast<int64_t>(mTerm.mFence))
      .Add("impairment", ToString(judged))
      .Add("inbox_age_ms", observation.mInboxAge.count())
      .Add("list_age_ms", observation.mListAge.count())
      .Add("reached", static_cast<int64_t>(observation.mReach.mReached))
      .Add("workers", static_cast<int64_t>(observation.mReach.mListed)));
  if (judged != impairment::kNone) {
    mOnImpaired(true);
  }
  mWriter.Write(
    store_keys::kImpairedTerm, record_writer::urgency::kImmediate, [this, judged] {
      if (judged == impairment::kNone && mHealth.Current() == impairment::kNone) {
        mOnImpaired(false);
      }
    });
}

worker_reach fleet_scheduler::ReachOfWorkers() const
{
  const auto now = mPorts.mLoop.Now();
  worker_reach reach;
  for (const auto& [id, worker] : mWorkers) {
    if (worker->mIsListed && now - worker->mListedAt > kMaxAnswerAge) {
      ++reach.mListed;
      reach.mReached += now - worker->mAnsweredAt <= kMaxAnswerAge ? 1 : 0;
    }
  }
  return reach;
}

void fleet_scheduler::ReportEvacuations()
{
  if (!mEvacuations.Any()) {
    return;
  }
  std::map<std::string, data_centre_load> loads;
  for (const auto& [id, worker] : mWorkers) {
    auto& load = loads[worker->mListed.mDataCentre];
    load.mWorkers += worker->mIsListed ? 1 : 0;
    load.mRuns += worker->mRuns.Runs().size();
  }
  mEvacuations.Report(loads);
}

void fleet_scheduler::Tick()
{
  const auto now = mPorts.mLoop.Now();
  for (auto& [id, worker] : mWorkers) {
    CheckWorker(*worker, now);
  }
  mInboxMonitor.Check(now);
  ObserveIdleJobs();
  ReportEvacuations();
  UpdatePaces();
  std::erase_if(mUnmatchedCancels, [now](const auto& aCancel) {
    return now - aCancel.second.mReadAt > kMaxUnmatchedAge;
  });
  TidyEndedJobs();
  UpdateIntake();
  CheckAbilities();
  SchedulePlan();
  mPorts.mLoop.RunAfter(kTickPeriod, UnlessTermEnded([this] { Tick(); }));
}

} // namespace anvildoor
