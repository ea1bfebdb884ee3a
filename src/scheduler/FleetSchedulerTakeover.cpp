#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"
#include "scheduler/StoreKeys.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Delay before a failed read is repeated. */
constexpr duration kReadRetryDelay{ 75 };
/**
 * A read that fails this long after the beginning of the term, or after another of its
 * reads has succeeded, ends the term, so that another VM can take over: until the reads
 * are done, no lease is extended.
 */
constexpr duration kMaxReadTime{ 1'000 };
/** Jobs that a takeover decodes in one turn of the event loop: a few milliseconds. */
constexpr size_t kItemsPerSlice = 250;
/**
 * A worker that was given up is known for this multiple of the longest lease, as clocks
 * of VMs step and workers' clocks are slow.
 */
constexpr int kFormerPlaceLeases = 2;

} // namespace

/** Results of the reads that begin a takeover. */
struct fleet_scheduler::takeover_state
{
  int mPendingReads = 5;
  time_point mRequestedAt{ 0 }; ///< When the list of the workers was requested.
  stored_range mInbox;
  stored_range mProgress;
  uint64_t mWriterRevision = 0;
  std::string mLastWrite; ///< Name of the last transaction of any scheduler.
  std::vector<listed_worker> mWorkers;
  std::optional<term_summary> mSummary;
  /** Progress records by job: those of the store, replaced by those of mSummary. */
  std::map<std::string, std::string> mRecords;
  size_t mNextItem = 0; ///< The first item of mInbox that is not applied yet.
  int64_t mSlices = 0;  ///< Turns of the event loop that the items have taken.
};

/** The cancellations that a takeover was the first to see. */
struct fleet_scheduler::takeover_cancels
{
  int64_t mJobs = 0;
  uint64_t mOldestRevision = 0; ///< 0: none.
};

void fleet_scheduler::SaveSummary()
{
  term_summary summary;
  summary.mFence = mTerm.mFence;
  for (const auto& key : mWriter.UnconfirmedKeys()) {
    const auto id = store_keys::StripPrefix(key, store_keys::kProgress);
    if (id && mJobs.count(*id) != 0) {
      summary.mRecords[*id] = EncodeRecord(key);
    }
  }
  mLastSummary = std::move(summary);
}

std::optional<term_summary> fleet_scheduler::LastTermSummary(uint64_t aFence) const
{
  if (mActive || !mLastSummary || mLastSummary->mFence >= aFence) {
    return std::nullopt;
  }
  return mLastSummary;
}

void fleet_scheduler::OnSummaryAnswer(takeover_state& aTakeover,
                                      const result<std::optional<std::string>>& aAnswer)
{
  std::string outcome = "none";
  if (!aAnswer) {
    outcome = Describe(aAnswer.error());
  } else if (*aAnswer) {
    const auto summary = DecodeSummary(**aAnswer);
    if (!summary) {
      outcome = Describe(summary.error());
    } else {
      outcome = "received";
      aTakeover.mSummary = *summary;
      if (!mLastSummary || mLastSummary->mFence < summary->mFence) {
        // This term may end before it has written anything.
        mLastSummary = *summary;
      }
    }
  }
  mPorts.mLog.Write(
    log_event("term_summary")
      .Add("predecessor", mPredecessor.mVm)
      .Add("fence", static_cast<int64_t>(mPredecessor.mFence))
      .Add("answer", outcome)
      .Add("records",
           aTakeover.mSummary ? int64_t(aTakeover.mSummary->mRecords.size()) : 0));
}

void fleet_scheduler::Load()
{
  const auto state = std::make_shared<takeover_state>();
  ReadSummary(state);
  ReadRange(state, store_keys::kInbox, &takeover_state::mInbox);
  ReadRange(state, store_keys::kProgress, &takeover_state::mProgress);
  ReadLastWrite(state);
  ReadWorkers(state);
}

void fleet_scheduler::FinishRead(const std::shared_ptr<takeover_state>& aState)
{
  if (--aState->mPendingReads == 0) {
    OnLoaded(aState);
  }
}

void fleet_scheduler::RepeatRead(const error& aError, task aRead)
{
  mPorts.mLog.Write(log_event("takeover_read_failed").Add("error", Describe(aError)));
  if (mPorts.mLoop.Now() - mTakeoverReadAt >= kMaxReadTime) {
    mOnIncapable("the takeover could not read the records");
    return;
  }
  mPorts.mLoop.RunAfter(kReadRetryDelay, UnlessTermEnded(std::move(aRead)));
}

void fleet_scheduler::ReadSummary(const std::shared_ptr<takeover_state>& aState)
{
  if (mPredecessor.mFence == 0 || mPredecessor.mAddress == mTerm.mAddress) {
    mPorts.mLoop.Post(UnlessTermEnded([this, aState] { FinishRead(aState); }));
    return;
  }
  mPorts.mAskForSummary(
    mPredecessor.mAddress,
    mTerm.mFence,
    UnlessTermEnded([this, aState](const result<std::optional<std::string>>& aAnswer) {
      OnSummaryAnswer(*aState, aAnswer);
      FinishRead(aState);
    }));
}

void fleet_scheduler::ReadRange(const std::shared_ptr<takeover_state>& aState,
                                const std::string& aPrefix,
                                stored_range takeover_state::*aTarget)
{
  mPorts.mStore.List(aPrefix,
                     false,
                     UnlessTermEnded([this, aState, aPrefix, aTarget](
                                       const result<stored_range>& aRange) {
                       if (!aRange) {
                         RepeatRead(aRange.error(), [this, aState, aPrefix, aTarget] {
                           ReadRange(aState, aPrefix, aTarget);
                         });
                         return;
                       }
                       (*aState).*aTarget = *aRange;
                       mTakeoverReadAt = mPorts.mLoop.Now();
                       FinishRead(aState);
                     }));
}

void fleet_scheduler::ReadLastWrite(const std::shared_ptr<takeover_state>& aState)
{
  mPorts.mStore.Get(
    store_keys::kWriter,
    UnlessTermEnded([this, aState](const result<std::optional<stored_item>>& aItem) {
      if (!aItem) {
        RepeatRead(aItem.error(), [this, aState] { ReadLastWrite(aState); });
        return;
      }
      mTakeoverReadAt = mPorts.mLoop.Now();
      if (*aItem) {
        aState->mWriterRevision = (*aItem)->mRevision;
        aState->mLastWrite = (*aItem)->mValue;
      }
      FinishRead(aState);
    }));
}

void fleet_scheduler::ReadWorkers(const std::shared_ptr<takeover_state>& aState)
{
  aState->mRequestedAt = mPorts.mLoop.Now();
  mPorts.mDirectory.List(
    UnlessTermEnded([this, aState](const result<std::vector<listed_worker>>& aWorkers) {
      if (!aWorkers) {
        RepeatRead(aWorkers.error(), [this, aState] { ReadWorkers(aState); });
        return;
      }
      aState->mWorkers = *aWorkers;
      mTakeoverReadAt = mPorts.mLoop.Now();
      FinishRead(aState);
    }));
}

void fleet_scheduler::OnLoaded(const std::shared_ptr<takeover_state>& aState)
{
  auto& takeover = *aState;
  mInboxMonitor.OnAnswer(inbox_source::kTakeover, mPorts.mLoop.Now());
  mWriter.Begin(mTerm, takeover.mWriterRevision);
  if (mLastSummary &&
      (!takeover.mSummary || takeover.mSummary->mFence < mLastSummary->mFence)) {
    takeover.mSummary = mLastSummary;
  }
  if (takeover.mSummary &&
      record_writer::IsOfLaterTerm(takeover.mLastWrite, takeover.mSummary->mFence)) {
    // Records of a later term are newer. Terms that wrote nothing also started and
    // acknowledged nothing.
    mPorts.mLog.Write(log_event("term_summary_outdated")
                        .Add("fence", static_cast<int64_t>(takeover.mSummary->mFence))
                        .Add("last_write", takeover.mLastWrite));
    takeover.mSummary.reset();
  }
  for (const auto& item : takeover.mProgress.mItems) {
    if (const auto id = store_keys::StripPrefix(item.mKey, store_keys::kProgress)) {
      takeover.mRecords[*id] = item.mValue;
    }
  }
  if (takeover.mSummary) {
    // The former scheduler knew at least what it had written.
    for (const auto& [id, record] : takeover.mSummary->mRecords) {
      takeover.mRecords[id] = record;
    }
  }
  ApplyLoadedItems(aState);
}

void fleet_scheduler::ApplyLoadedItems(const std::shared_ptr<takeover_state>& aState)
{
  auto& takeover = *aState;
  const auto& items = takeover.mInbox.mItems;
  const auto end = std::min(items.size(), takeover.mNextItem + kItemsPerSlice);
  ++takeover.mSlices;
  for (; takeover.mNextItem < end; ++takeover.mNextItem) {
    const auto& item = items[takeover.mNextItem];
    if (const auto id = store_keys::StripPrefix(item.mKey, store_keys::kJobs)) {
      HandleInboxItem(item, inbox_source::kTakeover);
      const auto record = takeover.mRecords.find(*id);
      const auto job = mJobs.find(*id);
      if (record != takeover.mRecords.end() && job != mJobs.end()) {
        ApplyRecord(*job->second, record->second);
      }
    }
  }
  if (takeover.mNextItem < items.size()) {
    // Returns to the event loop, so that the term is renewed in the meantime.
    mPorts.mLoop.Post(UnlessTermEnded([this, aState] { ApplyLoadedItems(aState); }));
    return;
  }
  FinishTakeover(takeover);
}

void fleet_scheduler::ApplyRecord(job_entry& aJob, const std::string& aRecord)
{
  const auto now = mPorts.mLoop.Now();
  auto& state = aJob.mState;
  std::map<std::string, std::string> addresses;
  if (const auto decoded = state.DecodeProgress(aRecord, &addresses); !decoded) {
    mPorts.mLog.Write(log_event("record_unreadable")
                        .Add("job", state.Job().mId)
                        .Add("error", Describe(decoded.error())));
    return;
  }
  aJob.mDurableOutcome = state.Outcome();
  const auto endedAtMs = state.EndedAtMs();
  const auto age = endedAtMs == 0 ? 0 : mPorts.mUnixMs() - endedAtMs;
  aJob.mEndedAt = now - duration(std::max<int64_t>(0, age));
  // Where workers can be reached that are in no list any more.
  state.ForgetFormerPlaces(OldestFormerPlaceMs());
  for (const auto& place : state.FormerPlaces()) {
    addresses.try_emplace(place.mWorker, place.mAddress);
  }
  for (const auto& [id, address] : addresses) {
    auto& listed = FindOrAddWorker(id).mListed;
    if (listed.mAddress.empty()) {
      listed.mAddress = address;
    }
  }
  for (const auto& task : state.PlacedTasks()) {
    const auto& taskState = state.Task(task);
    auto& worker = FindOrAddWorker(taskState.mWorker);
    const auto& step = state.StepOf(task);
    worker.mRuns.RegisterExisting(task,
                                  taskState.mRun,
                                  OccupiedBy(step),
                                  now,
                                  step.mEstimate,
                                  true,
                                  state.Job().mPriority);
  }
}

void fleet_scheduler::RememberFormerPlaces(const worker_entry& aWorker)
{
  const auto& listed = aWorker.mListed;
  for (const auto& [task, run] : aWorker.mRuns.Runs()) {
    const auto found = mJobs.find(task.mJob);
    if (found != mJobs.end()) {
      found->second->mState.AddFormerPlace(
        { listed.mId, listed.mAddress, mPorts.mUnixMs() });
    }
  }
}

int64_t fleet_scheduler::OldestFormerPlaceMs() const
{
  return mPorts.mUnixMs() - kFormerPlaceLeases * mBounds.mRuns.mLeaseMax.count();
}

void fleet_scheduler::FinishTakeover(const takeover_state& aTakeover)
{
  mLoaded = true;
  if (aTakeover.mSummary) {
    for (const auto& [id, record] : aTakeover.mSummary->mRecords) {
      const auto job = mJobs.find(id);
      if (job != mJobs.end()) {
        // Shown as ended only once this term has stored it.
        job->second->mDurableOutcome = job_outcome::kOpen;
        WriteProgress(*job->second, record_writer::urgency::kBatched, nullptr);
      }
    }
  }
  // Applies cancellations after the progress records, so that a finished job keeps its
  // outcome.
  const auto cancels = ApplyLoadedCancels(aTakeover);
  OnWorkersListed(aTakeover.mWorkers, aTakeover.mRequestedAt);
  for (auto& [id, worker] : mWorkers) {
    if (!worker->mIsListed) {
      // It has left, or its entry has expired while it runs on; its answer tells.
      ScheduleHold(*worker, duration::zero());
    }
  }
  StopLeftoverRuns();
  LogTakeover(aTakeover, cancels);
  mInbox.Begin(aTakeover.mInbox.mRevision);
  PollDirectory();
  Tick();
  SchedulePlan();
}

fleet_scheduler::takeover_cancels fleet_scheduler::ApplyLoadedCancels(
  const takeover_state& aTakeover)
{
  takeover_cancels cancels;
  for (const auto& item : aTakeover.mInbox.mItems) {
    const auto id = store_keys::StripPrefix(item.mKey, store_keys::kCancels);
    if (!id) {
      continue;
    }
    const auto job = mJobs.find(*id);
    if (job != mJobs.end() && job->second->mState.Outcome() == job_outcome::kOpen) {
      ++cancels.mJobs;
      cancels.mOldestRevision = cancels.mOldestRevision == 0
                                  ? item.mRevision
                                  : std::min(cancels.mOldestRevision, item.mRevision);
    }
    HandleInboxItem(item, inbox_source::kTakeover);
  }
  return cancels;
}

void fleet_scheduler::LogTakeover(const takeover_state& aTakeover,
                                  const takeover_cancels& aCancels) const
{
  size_t stoppedRuns = 0;
  int64_t unlistedRuns = 0;
  duration leaseWait(0);
  for (const auto& [id, worker] : mWorkers) {
    stoppedRuns += worker->mStops.size();
    if (!worker->mIsListed && !worker->mRuns.Runs().empty()) {
      unlistedRuns += static_cast<int64_t>(worker->mRuns.Runs().size());
      leaseWait =
        std::max(leaseWait, worker->mRuns.LeaseExpiresAt() - mPorts.mLoop.Now());
    }
  }
  mPorts.mLog.Write(
    log_event("takeover")
      .Add("fence", static_cast<int64_t>(mTerm.mFence))
      .Add("jobs", static_cast<int64_t>(mJobs.size()))
      .Add("workers", static_cast<int64_t>(aTakeover.mWorkers.size()))
      .Add("slices", aTakeover.mSlices)
      .Add("cancelled_jobs", aCancels.mJobs)
      .Add("oldest_cancel_revision", static_cast<int64_t>(aCancels.mOldestRevision))
      .Add("stopped_runs", static_cast<int64_t>(stoppedRuns))
      .Add("unlisted_runs", unlistedRuns)
      .Add("lease_wait_ms", leaseWait.count())
      .Add("ms", (mPorts.mLoop.Now() - mTermBegunAt).count()));
}

void fleet_scheduler::StopLeftoverRuns()
{
  for (auto& [id, job] : mJobs) {
    if (job->mState.Outcome() != job_outcome::kOpen) {
      StopJob(*job, "the job has ended");
      continue;
    }
    for (const auto& task : job->mState.PlacedTasks()) {
      if (job->mState.Task(task).mDone) {
        StopTask(*job, task, kDoneByEarlierRunReason);
      }
    }
  }
}

} // namespace anvildoor
