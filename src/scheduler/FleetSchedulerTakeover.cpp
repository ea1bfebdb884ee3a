#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"
#include "scheduler/StoreKeys.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Delay before a failed read of the records is retried. */
constexpr duration kReadRetryDelay{ 150 };
/** Jobs that a takeover decodes in one turn of the event loop: a few milliseconds. */
constexpr size_t kItemsPerSlice = 250;

} // namespace

/** Results of the reads that begin a takeover. */
struct fleet_scheduler::takeover_state
{
  int mPendingReads = 5;
  time_point mRequestedAt{ 0 }; ///< When the reads were sent.
  std::optional<error> mError;
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
  state->mRequestedAt = mPorts.mLoop.Now();
  const auto finish = [this, state] {
    if (--state->mPendingReads > 0) {
      return;
    }
    if (state->mError) {
      mPorts.mLog.Write(
        log_event("takeover_read_failed").Add("error", Describe(*state->mError)));
      mPorts.mLoop.RunAfter(kReadRetryDelay, UnlessTermEnded([this] { Load(); }));
      return;
    }
    OnLoaded(state);
  };
  const auto storeRangeIn = [state, finish](stored_range takeover_state::*aTarget) {
    return [state, finish, aTarget](const result<stored_range>& aRange) {
      if (aRange) {
        (*state).*aTarget = *aRange;
      } else {
        state->mError = aRange.error();
      }
      finish();
    };
  };
  if (mPredecessor.mFence != 0 && mPredecessor.mAddress != mTerm.mAddress) {
    mPorts.mAskForSummary(
      mPredecessor.mAddress,
      mTerm.mFence,
      UnlessTermEnded(
        [this, state, finish](const result<std::optional<std::string>>& aAnswer) {
          OnSummaryAnswer(*state, aAnswer);
          finish();
        }));
  } else {
    mPorts.mLoop.Post(UnlessTermEnded(finish));
  }
  mPorts.mStore.List(
    store_keys::kInbox,
    false,
    UnlessTermEnded([this, storeRange = storeRangeIn(&takeover_state::mInbox)](
                      const result<stored_range>& aRange) {
      if (aRange) {
        mInboxMonitor.OnAnswer(inbox_source::kTakeover, mPorts.mLoop.Now());
      }
      storeRange(aRange);
    }));
  mPorts.mStore.List(store_keys::kProgress,
                     false,
                     UnlessTermEnded(storeRangeIn(&takeover_state::mProgress)));
  mPorts.mStore.Get(
    store_keys::kWriter,
    UnlessTermEnded([state, finish](const result<std::optional<stored_item>>& aItem) {
      if (!aItem) {
        state->mError = aItem.error();
      } else if (*aItem) {
        state->mWriterRevision = (*aItem)->mRevision;
        state->mLastWrite = (*aItem)->mValue;
      }
      finish();
    }));
  mPorts.mDirectory.List(UnlessTermEnded(
    [state, finish](const result<std::vector<listed_worker>>& aWorkers) {
      if (aWorkers) {
        state->mWorkers = *aWorkers;
      } else {
        state->mError = aWorkers.error();
      }
      finish();
    }));
}

void fleet_scheduler::OnLoaded(const std::shared_ptr<takeover_state>& aState)
{
  auto& takeover = *aState;
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
      HandleInboxItem(item);
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
  for (const auto& task : state.PlacedTasks()) {
    const auto& taskState = state.Task(task);
    auto& worker = FindOrAddWorker(taskState.mWorker);
    // Where a worker can be reached that is in no list any more.
    if (const auto address = addresses.find(taskState.mWorker);
        address != addresses.end() && worker.mListed.mAddress.empty()) {
      worker.mListed.mAddress = address->second;
    }
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
  for (const auto& item : aTakeover.mInbox.mItems) {
    if (store_keys::StripPrefix(item.mKey, store_keys::kCancels)) {
      HandleInboxItem(item);
    }
  }
  mPorts.mLog.Write(log_event("takeover")
                      .Add("fence", static_cast<int64_t>(mTerm.mFence))
                      .Add("jobs", static_cast<int64_t>(mJobs.size()))
                      .Add("workers", static_cast<int64_t>(aTakeover.mWorkers.size()))
                      .Add("slices", aTakeover.mSlices)
                      .Add("ms", (mPorts.mLoop.Now() - mTermBegunAt).count()));
  OnWorkersListed(aTakeover.mWorkers, aTakeover.mRequestedAt);
  for (auto& [id, worker] : mWorkers) {
    if (!worker->mIsListed) {
      // It has left, or its entry has expired while it runs on; its answer tells.
      ScheduleHold(*worker, duration::zero());
    }
  }
  for (auto& [id, job] : mJobs) {
    if (job->mState.Outcome() != job_outcome::kOpen) {
      StopJob(*job, "the job has ended");
    }
  }
  mInbox.Begin(aTakeover.mInbox.mRevision);
  PollDirectory();
  Tick();
  SchedulePlan();
}

} // namespace anvildoor
