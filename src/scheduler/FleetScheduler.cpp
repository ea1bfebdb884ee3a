#include "scheduler/FleetScheduler.h"

#include "scheduler/FleetSchedulerState.h"
#include "scheduler/StoreKeys.h"

#include <cassert>

namespace anvildoor {

namespace {

/** Delay before a failed call to the store is retried. */
constexpr duration kStoreRetry{ 150 };
/** Timeout of one watch call on the inbox; a dead connection is noticed within it. */
constexpr duration kInboxWait{ 1'000 };
/** Period of the checks for expired leases, unfinished stops and old outcomes. */
constexpr duration kTick{ 250 };
/** Outcomes are kept for this multiple of mStatusKept. */
constexpr int kKeptTimes = 2;

} // namespace

/** Results of the reads that begin a takeover. */
struct fleet_scheduler::loading
{
  int mLeft = 4;
  std::optional<error> mFailed;
  stored_range mInbox;
  stored_range mProgress;
  uint64_t mWriterRevision = 0;
  std::vector<listed_worker> mWorkers;
};

fleet_scheduler::fleet_scheduler(const scheduler_ports& aPorts,
                                 const scheduler_bounds& aBounds,
                                 std::function<void(const std::string&)> aOnFenced)
  : mPorts(aPorts)
  , mBounds(aBounds)
  , mOnFenced(std::move(aOnFenced))
  , mPolicy(std::make_shared<fleet_policy>())
  , mWriter(aPorts.mLoop,
            aPorts.mStore,
            aPorts.mLog,
            { [this](const std::string& aKey) { return EncodeRecord(aKey); },
              [this](const std::string& aReason) { Fenced(aReason); } })
{
}

fleet_scheduler::~fleet_scheduler() = default;

void fleet_scheduler::SetOrdersUntil(std::function<time_point()> aUntil)
{
  mOrdersUntil = std::move(aUntil);
}

void fleet_scheduler::SetPolicy(std::shared_ptr<const fleet_policy> aPolicy)
{
  mPolicy = std::move(aPolicy);
  if (mActive && mLoaded) {
    PlanSoon();
  }
}

bool fleet_scheduler::MayOrder() const
{
  return mActive && (!mOrdersUntil || mPorts.mLoop.Now() < mOrdersUntil());
}

void fleet_scheduler::Fenced(const std::string& aReason)
{
  if (mActive) {
    mOnFenced(aReason);
  }
}

void fleet_scheduler::Begin(const scheduler_term& aTerm)
{
  End();
  mTerm = aTerm;
  mActive = true;
  mBegunAt = mPorts.mLoop.Now();
  Load();
}

void fleet_scheduler::End()
{
  ++mRound;
  mActive = false;
  mLoaded = false;
  mPlanScheduled = false;
  mWriter.End();
  mJobs.clear();
  mEarlyCancels.clear();
  mStray.clear();
  mWorkers.clear();
  mReserved.clear();
  mDurations = duration_model();
}

void fleet_scheduler::Load()
{
  const auto state = std::make_shared<loading>();
  const auto finish = [this, state] {
    if (--state->mLeft > 0) {
      return;
    }
    if (state->mFailed) {
      mPorts.mLog.Write(
        log_event("takeover_read_failed").Add("error", Describe(*state->mFailed)));
      mPorts.mLoop.RunAfter(kStoreRetry, Guarded([this] { Load(); }));
      return;
    }
    OnLoaded(*state);
  };
  const auto range = [state, finish](stored_range loading::*aTarget) {
    return [state, finish, aTarget](const result<stored_range>& aRange) {
      if (aRange) {
        (*state).*aTarget = *aRange;
      } else {
        state->mFailed = aRange.error();
      }
      finish();
    };
  };
  mPorts.mStore.List(store_keys::kInbox, false, Guarded(range(&loading::mInbox)));
  mPorts.mStore.List(store_keys::kProgress, false, Guarded(range(&loading::mProgress)));
  mPorts.mStore.Get(
    store_keys::kWriter,
    Guarded([state, finish](const result<std::optional<stored_item>>& aItem) {
      if (!aItem) {
        state->mFailed = aItem.error();
      } else if (*aItem) {
        state->mWriterRevision = (*aItem)->mRevision;
      }
      finish();
    }));
  mPorts.mDirectory.List(
    Guarded([state, finish](const result<std::vector<listed_worker>>& aWorkers) {
      if (aWorkers) {
        state->mWorkers = *aWorkers;
      } else {
        state->mFailed = aWorkers.error();
      }
      finish();
    }));
}

void fleet_scheduler::OnLoaded(loading& aLoading)
{
  mWriter.Begin(mTerm, aLoading.mWriterRevision);
  std::map<std::string, std::string> progress;
  for (const auto& item : aLoading.mProgress.mItems) {
    if (const auto id = store_keys::After(item.mKey, store_keys::kProgress)) {
      progress[*id] = item.mValue;
    }
  }
  for (const auto& item : aLoading.mInbox.mItems) {
    if (store_keys::After(item.mKey, store_keys::kJobs)) {
      TakeInboxItem(item);
    }
  }
  const auto now = mPorts.mLoop.Now();
  for (auto& [id, job] : mJobs) {
    const auto found = progress.find(id);
    if (found == progress.end()) {
      continue;
    }
    if (const auto read = job->mState.DecodeProgress(found->second); !read) {
      mPorts.mLog.Write(log_event("record_unreadable")
                          .Add("job", id)
                          .Add("error", Describe(read.error())));
      continue;
    }
    job->mShown = job->mState.Outcome();
    job->mEndedAt = now;
    for (const auto& task : job->mState.Placed()) {
      const auto& about = job->mState.Task(task);
      auto& worker = WorkerNamed(about.mWorker);
      const auto& step = job->mState.StepOf(task);
      worker.mRuns.Assume(
        task, about.mRun, OccupiedBy(step), now, step.mEstimate, true);
    }
  }
  mLoaded = true;
  // Applies cancellations after the progress records: a finished job keeps its outcome.
  for (const auto& item : aLoading.mInbox.mItems) {
    if (store_keys::After(item.mKey, store_keys::kCancels)) {
      TakeInboxItem(item);
    }
  }
  mInboxRevision = aLoading.mInbox.mRevision;
  mPorts.mLog.Write(log_event("takeover")
                      .Add("fence", static_cast<int64_t>(mTerm.mFence))
                      .Add("jobs", static_cast<int64_t>(mJobs.size()))
                      .Add("workers", static_cast<int64_t>(aLoading.mWorkers.size()))
                      .Add("ms", (now - mBegunAt).count()));
  OnListed(aLoading.mWorkers);
  for (auto& [id, job] : mJobs) {
    if (job->mState.Outcome() != job_outcome::kOpen) {
      StopJob(*job, "the job has ended");
    }
  }
  WatchInbox();
  PollDirectory();
  Tick();
  PlanSoon();
}

void fleet_scheduler::WatchInbox()
{
  mPorts.mStore.Watch(store_keys::kInbox,
                      mInboxRevision,
                      kInboxWait,
                      Guarded([this](const result<stored_changes>& aChanges) {
                        if (!aChanges) {
                          mPorts.mLoop.RunAfter(kStoreRetry,
                                                Guarded([this] { WatchInbox(); }));
                          return;
                        }
                        if (aChanges->mLost) {
                          ReadInboxAgain();
                          return;
                        }
                        for (const auto& change : aChanges->mChanges) {
                          if (!change.mRemoved) {
                            TakeInboxItem(change.mItem);
                          }
                        }
                        mInboxRevision = std::max(mInboxRevision, aChanges->mRevision);
                        WatchInbox();
                      }));
}

void fleet_scheduler::ReadInboxAgain()
{
  mPorts.mLog.Write(log_event("inbox_history_lost")
                      .Add("revision", static_cast<int64_t>(mInboxRevision)));
  mPorts.mStore.List(
    store_keys::kInbox, false, Guarded([this](const result<stored_range>& aRange) {
      if (!aRange) {
        mPorts.mLoop.RunAfter(kStoreRetry, Guarded([this] { ReadInboxAgain(); }));
        return;
      }
      for (const auto& item : aRange->mItems) {
        TakeInboxItem(item);
      }
      mInboxRevision = aRange->mRevision;
      WatchInbox();
    }));
}

void fleet_scheduler::TakeInboxItem(const stored_item& aItem)
{
  if (const auto cancelled = store_keys::After(aItem.mKey, store_keys::kCancels)) {
    CancelJob(*cancelled);
    return;
  }
  const auto id = store_keys::After(aItem.mKey, store_keys::kJobs);
  if (!id || mJobs.count(*id) != 0) {
    return;
  }
  const auto job = DecodeJob(*id, aItem.mValue);
  if (!job) {
    mPorts.mLog.Write(
      log_event("job_unreadable").Add("job", *id).Add("error", Describe(job.error())));
    return;
  }
  AddJob(*job);
}

void fleet_scheduler::AddJob(const accepted_job& aJob)
{
  auto entry = std::make_unique<job_entry>(aJob);
  entry->mSeenAt = mPorts.mLoop.Now();
  mJobs[aJob.mId] = std::move(entry);
  if (mEarlyCancels.erase(aJob.mId) != 0) {
    CancelJob(aJob.mId);
    return;
  }
  if (mLoaded) {
    mPorts.mLog.Write(log_event("job_taken")
                        .Add("job", aJob.mId)
                        .Add("queue", aJob.mQueue)
                        .Add("workspace", aJob.mWorkspace)
                        .Add("age_ms", mPorts.mUnixMs() - aJob.mAcceptedAtMs));
    PlanSoon();
  }
}

void fleet_scheduler::CancelJob(const std::string& aId)
{
  const auto found = mJobs.find(aId);
  if (found == mJobs.end()) {
    // A listing is sorted by key, so cancellations come before jobs.
    mEarlyCancels.insert(aId);
    return;
  }
  if (!found->second->mState.Cancel()) {
    return;
  }
  mPorts.mLog.Write(log_event("job_cancelled").Add("job", aId));
  OnOutcome(*found->second);
}

void fleet_scheduler::OnOutcome(job_entry& aJob)
{
  const auto outcome = aJob.mState.Outcome();
  const auto& job = aJob.mState.Job();
  aJob.mEndedAt = mPorts.mLoop.Now();
  mPorts.mLog.Write(log_event("job_ended")
                      .Add("job", job.mId)
                      .Add("outcome", ToString(outcome))
                      .Add("age_ms", mPorts.mUnixMs() - job.mAcceptedAtMs));
  constexpr double kMsPerSecond = 1'000.0;
  mPorts.mMetrics.Observe("job_seconds",
                          job.mWorkspace,
                          job.mQueue,
                          static_cast<double>(mPorts.mUnixMs() - job.mAcceptedAtMs) /
                            kMsPerSecond);
  mPorts.mMetrics.Count("jobs_ended_total", "outcome", ToString(outcome));
  if (outcome != job_outcome::kDone) {
    StopJob(aJob, ToString(outcome));
  }
  WriteProgress(aJob, record_writer::haste::kNow, nullptr);
}

void fleet_scheduler::WriteProgress(job_entry& aJob,
                                    record_writer::haste aHaste,
                                    std::function<void()> aDurable)
{
  const auto id = aJob.mState.Job().mId;
  const auto outcome = aJob.mState.Outcome();
  mWriter.Write(store_keys::kProgress + id,
                aHaste,
                [this, id, outcome, durable = std::move(aDurable)] {
                  const auto found = mJobs.find(id);
                  if (found != mJobs.end() && outcome != job_outcome::kOpen) {
                    found->second->mShown = outcome;
                  }
                  if (durable) {
                    durable();
                  }
                });
}

std::string fleet_scheduler::EncodeRecord(const std::string& aKey) const
{
  const auto id = store_keys::After(aKey, store_keys::kProgress);
  assert(id);
  const auto found = mJobs.find(*id);
  assert(found != mJobs.end());
  return found->second->mState.EncodeProgress();
}

std::optional<std::string> fleet_scheduler::StateOf(const std::string& aJob) const
{
  const auto found = mJobs.find(aJob);
  if (!mActive || !mLoaded || found == mJobs.end()) {
    return std::nullopt;
  }
  const auto& job = *found->second;
  if (job.mShown != job_outcome::kOpen) {
    return ToString(job.mShown);
  }
  return job.mState.Begun() ? "running" : "queued";
}

std::optional<size_t> fleet_scheduler::PendingOf(const std::string& aQueue) const
{
  if (!mActive || !mLoaded) {
    return std::nullopt;
  }
  size_t pending = 0;
  for (const auto& [id, job] : mJobs) {
    const bool waits =
      !job->mState.Begun() && job->mState.Outcome() == job_outcome::kOpen;
    pending += waits && job->mState.Job().mQueue == aQueue ? 1 : 0;
  }
  return pending;
}

void fleet_scheduler::ForgetOldJobs()
{
  const auto now = mPorts.mLoop.Now();
  std::vector<std::string> keys;
  for (auto at = mJobs.begin(); at != mJobs.end();) {
    const auto& job = *at->second;
    const bool old = job.mShown != job_outcome::kOpen &&
                     now - job.mEndedAt > kKeptTimes * mBounds.mStatusKept &&
                     job.mState.Placed().empty() && mWriter.Idle();
    if (!old) {
      ++at;
      continue;
    }
    keys.push_back(store_keys::kJobs + at->first);
    keys.push_back(store_keys::kCancels + at->first);
    keys.push_back(store_keys::kProgress + at->first);
    at = mJobs.erase(at);
  }
  if (!keys.empty()) {
    mWriter.Remove(keys);
  }
}

void fleet_scheduler::Tick()
{
  const auto now = mPorts.mLoop.Now();
  for (auto& [id, worker] : mWorkers) {
    CheckWorker(*worker, now);
  }
  ForgetOldJobs();
  PlanSoon();
  mPorts.mLoop.RunAfter(kTick, Guarded([this] { Tick(); }));
}

} // namespace anvildoor
