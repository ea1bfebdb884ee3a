#include "scheduler/FleetScheduler.h"
#include "scheduler/FleetSchedulerState.h"
#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace anvildoor {

namespace {

/** Period of reading the worker directory; draining must be detected within 2 s. */
constexpr duration kDirectoryPeriod{ 700 };
/**
 * How long a worker delays the answer to a hold until a run ends; also the period of
 * lease renewals.
 */
constexpr duration kHoldWait{ 1'000 };
/** The same while the term's lease at the store may have ended. */
constexpr duration kGraceHoldWait{ 300 };
/** Delay before a failed or unanswered hold is retried. */
constexpr duration kHoldRetryDelay{ 300 };
/** The same for a worker that is in no list and has no known runs. */
constexpr duration kUnlistedHoldRetryDelay{ 700 };
/**
 * Period of holds while a worker lists ends of runs that are not yet durable. Once an
 * end is durable, a hold acknowledges it at once.
 */
constexpr duration kUndurableHoldPeriod{ 400 };
/**
 * The lease of a worker that has not answered for this long, or whose last hold failed,
 * is no longer extended, so that it can expire.
 */
constexpr duration kUnresponsiveAfter{ 2'000 };
/** Ends that wait longer than this for their acknowledgement are logged. */
constexpr duration kLateNoteAfter{ 1'000 };
/**
 * Ends that a worker lists after a longer silence are logged. One that is held answers
 * at least every kHoldWait.
 */
constexpr duration kLateListAfter{ 1'500 };
/** Delay before a stop is retried; a run ends within 400 ms of its stop. */
constexpr duration kStopRetryDelay{ 700 };

} // namespace

fleet_scheduler::worker_entry& fleet_scheduler::FindOrAddWorker(const std::string& aId)
{
  auto& entry = mWorkers[aId];
  if (!entry) {
    entry = std::make_unique<worker_entry>(aId, mBounds.mRuns);
    // What former schedulers may have requested: by holds as of the end of their leases
    // at the store, by starts as long as they were allowed to send requests.
    const auto& bounds = mBounds.mRuns;
    entry->mRuns.AssumeLeaseUntil(
      mTermBegunAt + std::max(LongestLease(bounds, bounds.mLeaseMax),
                              mBounds.mRequestGracePastTerm +
                                LongestLease(bounds, bounds.mStartDeadline)));
  }
  return *entry;
}

void fleet_scheduler::PollDirectory()
{
  mPorts.mLoop.RunAfter(
    kDirectoryPeriod, UnlessTermEnded([this] {
      const auto requestedAt = mPorts.mLoop.Now();
      mPorts.mDirectory.List(UnlessTermEnded(
        [this, requestedAt](const result<std::vector<listed_worker>>& aListed) {
          if (aListed) {
            OnWorkersListed(*aListed, requestedAt);
          }
          PollDirectory();
        }));
    }));
}

void fleet_scheduler::OnWorkersListed(const std::vector<listed_worker>& aListed,
                                      time_point aRequestedAt)
{
  const auto now = mPorts.mLoop.Now();
  mWorkersListedAt = now;
  std::set<std::string> seen;
  for (const auto& listed : aListed) {
    seen.insert(listed.mId);
    auto& worker = FindOrAddWorker(listed.mId);
    const bool isNew = !worker.mIsListed || worker.mListed.mAddress != listed.mAddress;
    const bool beganDraining = listed.mDraining && !worker.mListed.mDraining;
    // An entry may be older than the last answer, but doesn't change back.
    const bool isOfNewLife = worker.mListed.mStartedAtMs != 0 &&
                             listed.mStartedAtMs != 0 &&
                             listed.mStartedAtMs != worker.mListed.mStartedAtMs &&
                             listed.mStartedAtMs != worker.mRuns.WorkerStartedAtMs() &&
                             worker.mRuns.HasAcceptedToken();
    if (isNew || beganDraining) {
      mPorts.mLog.Write(log_event(beganDraining ? "worker_draining" : "worker_listed")
                          .Add("worker", listed.mId)
                          .Add("address", listed.mAddress)
                          .Add("born", listed.mStartedAtMs)
                          .Add("remaining_ms", listed.mMinTimeToShutdown.count()));
    }
    if (beganDraining && listed.mMinTimeToShutdown > duration::zero()) {
      worker.mEarliestShutdown = now + listed.mMinTimeToShutdown;
    } else if (!listed.mDraining) {
      worker.mEarliestShutdown.reset();
    }
    ObserveEntry(worker.mObservation,
                 listed.mStartedAtMs,
                 listed.mHeartbeat,
                 worker.mIsListed,
                 aRequestedAt);
    worker.mListed = listed;
    worker.mIsListed = true;
    if (isNew) {
      worker.mListedAt = now;
      AdoptPace(worker);
    }
    if (beganDraining) {
      CheckProgress(worker, now);
    }
    if (isOfNewLife) {
      OnNewLifeSuspected(worker, "list", listed.mStartedAtMs);
    }
    if (isNew && !worker.mHoldInFlight) {
      ScheduleHold(worker, duration::zero());
    }
  }
  for (auto& [id, worker] : mWorkers) {
    if (worker->mIsListed && seen.count(id) == 0) {
      worker->mIsListed = false;
      const bool hasLeft =
        HasDeregistered(worker->mObservation, mBounds.mRuns.mHeartbeatPeriod, now);
      mPorts.mLog.Write(
        log_event("worker_unlisted")
          .Add("worker", id)
          .Add("draining", worker->mListed.mDraining ? 1 : 0)
          .Add("beat_max_age_ms",
               worker->mObservation.mHeartbeatSince == time_point(0)
                 ? -1
                 : (now - worker->mObservation.mHeartbeatSince).count())
          .Add("left", hasLeft ? 1 : 0)
          .Add("runs", static_cast<int64_t>(worker->mRuns.Runs().size())));
      if (hasLeft) {
        // A worker that left has no runs any more, so its lease need not expire first.
        RememberFormerPlaces(*worker);
        DropRuns(*worker, run_end::kLost);
      }
    }
  }
  SchedulePlan();
}

void fleet_scheduler::ScheduleHold(worker_entry& aWorker, duration aAfter)
{
  const auto generation = ++aWorker.mHoldGeneration;
  const auto id = aWorker.mListed.mId;
  mPorts.mLoop.RunAfter(aAfter, UnlessTermEnded([this, id, generation] {
                          const auto found = mWorkers.find(id);
                          if (found != mWorkers.end() &&
                              found->second->mHoldGeneration == generation &&
                              !found->second->mHoldInFlight) {
                            Hold(*found->second);
                          }
                        }));
}

void fleet_scheduler::Hold(worker_entry& aWorker)
{
  if (!MaySendRequests() || aWorker.mListed.mAddress.empty()) {
    ScheduleHold(aWorker, kHoldRetryDelay);
    return;
  }
  const auto now = mPorts.mLoop.Now();
  auto& runs = aWorker.mRuns;
  hold_request request;
  request.mWorker = { aWorker.mListed.mId, aWorker.mListed.mAddress };
  request.mFence = mTerm.mFence;
  request.mAcknowledged = runs.SendableAcknowledgement();
  const bool hasAnsweredRecently =
    !aWorker.mIsUnresponsive && now - runs.LastAnswer() < kUnresponsiveAfter;
  const auto termLeaseEnd = TermLeaseEnd();
  if (hasAnsweredRecently) {
    request.mWorkerDeadlineMs = runs.LeaseDeadlineMs(now, termLeaseEnd);
  }
  if (request.mWorkerDeadlineMs) {
    runs.RecordLeaseRequest(now, termLeaseEnd);
  }
  // A worker gets no task before it has answered a hold that gives it a lease.
  const bool isFirstLease = request.mWorkerDeadlineMs && !runs.HasLease();
  if (hasAnsweredRecently && runs.ClockAt(now) != 0 && !isFirstLease) {
    request.mWait = now < termLeaseEnd ? kHoldWait : kGraceHoldWait;
  }
  runs.RecordAckSent(request.mAcknowledged);
  aWorker.mHoldInFlight = true;
  const auto number = ++aWorker.mHoldNumber;
  const auto id = aWorker.mListed.mId;
  mPorts.mWorkers.Hold(
    request,
    UnlessTermEnded([this, id, now, request, number](const hold_reply& aReply) {
      auto& worker = FindOrAddWorker(id);
      if (number != worker.mHoldNumber) {
        return;
      }
      worker.mHoldInFlight = false;
      if (IsAnswer(aReply.mAnswer)) {
        worker.mAnsweredAt = mPorts.mLoop.Now();
      }
      if (aReply.mAnswer == run_request_status::kAccepted) {
        OnHoldAccepted(worker, aReply, request, now);
      } else {
        OnHoldFailed(worker, aReply.mAnswer);
      }
    }));
}

void fleet_scheduler::OnHoldAccepted(worker_entry& aWorker,
                                     const hold_reply& aReply,
                                     const hold_request& aRequest,
                                     time_point aSentAt)
{
  const auto now = mPorts.mLoop.Now();
  const bool isFirstAnswer = !aWorker.mRuns.HasAcceptedToken();
  const bool wasUnresponsive = aWorker.mIsUnresponsive;
  NoteSilence(aWorker);
  if (aWorker.mIsUnresponsive) {
    mPorts.mLog.Write(
      log_event("worker_regained")
        .Add("worker", aWorker.mListed.mId)
        .Add("silent_ms", aWorker.mSilence ? aWorker.mSilence->count() : -1)
        .Add("failed_holds", static_cast<int64_t>(aWorker.mFailedHolds))
        .Add("pending_stops", static_cast<int64_t>(aWorker.mStops.size())));
  }
  aWorker.mIsUnresponsive = false;
  aWorker.mFailedHolds = 0;
  aWorker.mDroppedRuns = 0;
  if (aWorker.mRuns.IsOfNewLife(aReply)) {
    LogNewLife(aWorker, "hold", aReply.mStartedAtMs);
    mPaces.OnNewLife(aWorker.mListed.mPool, aWorker.mListed.mId);
  } else {
    aWorker.mRuns.RecordAckAnswered(aRequest.mAcknowledged);
  }
  // A worker answers after the hold's wait at the latest, so the hold has not reached
  // it before.
  const auto notedAt = std::max(aSentAt, now - aRequest.mWait);
  ReportNotedEnds(aWorker,
                  aWorker.mEndNotes.OnHoldReply(
                    aReply, aRequest.mAcknowledged, notedAt, now, aWorker.mSilence));
  const auto events = aWorker.mRuns.OnHoldReply(aReply, aSentAt, now);
  ApplyRunEvents(aWorker, events);
  if (aReply.mComplete) {
    ForgetEndedStops(aWorker, aReply);
  }
  if (wasUnresponsive) {
    RepeatLostStops(aWorker, aSentAt);
  }
  CheckProgress(aWorker, now);
  // A worker answers at once while it lists ends. Without a pause, holds would be sent
  // in a tight loop while the store is unavailable and the ends cannot become durable.
  const bool isDue = aWorker.mRuns.HasUnsentAcknowledgement() || aReply.mEnded.empty();
  ScheduleHold(aWorker, isDue ? duration::zero() : kUndurableHoldPeriod);
  if (isFirstAnswer) {
    LogFirstAnswer(aWorker);
    SchedulePlan();
  }
}

void fleet_scheduler::LogNewLife(const worker_entry& aWorker,
                                 const char* aSource,
                                 int64_t aStartedAtMs) const
{
  const auto& runs = aWorker.mRuns;
  const auto now = mPorts.mLoop.Now();
  mPorts.mLog.Write(log_event("worker_new_life")
                      .Add("worker", aWorker.mListed.mId)
                      .Add("source", aSource)
                      .Add("former_born", runs.WorkerStartedAtMs())
                      .Add("born", aStartedAtMs)
                      .Add("runs", static_cast<int64_t>(runs.Runs().size()))
                      .Add("silent_ms", (now - runs.LastAnswer()).count())
                      .Add("acknowledged", static_cast<int64_t>(runs.Acknowledged()))
                      .Add("lease_left_ms", (runs.LeaseExpiresAt() - now).count()));
}

void fleet_scheduler::ObserveClock(worker_entry& aWorker,
                                   const char* aSource,
                                   const run_answer& aAnswer,
                                   time_point aSentAt)
{
  constexpr int64_t kUnknown = 0;
  const auto& runs = aWorker.mRuns;
  // Stops are repeated for as long as they have no answer, and extend no lease.
  const bool isSign =
    runs.IsLifeUnknown() || runs.IsOfOtherLife(aAnswer.mClockMs, aSentAt);
  const bool isFromThere =
    IsAnswer(aAnswer.mStatus) && aAnswer.mStatus != run_request_status::kWrongInstance;
  if (isFromThere && isSign) {
    OnNewLifeSuspected(aWorker, aSource, kUnknown);
  }
}

void fleet_scheduler::OnNewLifeSuspected(worker_entry& aWorker,
                                         const char* aSource,
                                         int64_t aStartedAtMs)
{
  const bool isFirstSign = !aWorker.mRuns.IsLifeUnknown();
  if (isFirstSign) {
    LogNewLife(aWorker, aSource, aStartedAtMs);
    mPaces.OnNewLife(aWorker.mListed.mPool, aWorker.mListed.mId);
  }
  aWorker.mRuns.SuspectNewLife(mPorts.mLoop.Now());
  if (isFirstSign) {
    // The hold in flight waits for the former life, which answers it no more.
    ++aWorker.mHoldNumber;
    aWorker.mHoldInFlight = false;
    ScheduleHold(aWorker, duration::zero());
  }
}

void fleet_scheduler::LogFirstAnswer(const worker_entry& aWorker)
{
  if (std::exchange(mHasWorkerAnswered, true)) {
    return;
  }
  mPorts.mLog.Write(log_event("first_worker_answer")
                      .Add("fence", static_cast<int64_t>(mTerm.mFence))
                      .Add("worker", aWorker.mListed.mId)
                      .Add("ms", (mPorts.mLoop.Now() - mTermBegunAt).count()));
}

void fleet_scheduler::OnHoldFailed(worker_entry& aWorker, run_request_status aAnswer)
{
  if (aAnswer == run_request_status::kFenced) {
    OnFencedBy(aWorker);
    return;
  }
  ++aWorker.mFailedHolds;
  if (!aWorker.mIsUnresponsive) {
    mPorts.mLog.Write(log_event("worker_silent")
                        .Add("worker", aWorker.mListed.mId)
                        .Add("answer", ToString(aAnswer)));
  }
  aWorker.mIsUnresponsive = true;
  if (aAnswer == run_request_status::kWrongInstance) {
    // Another incarnation answers at this address; the runs of the former are lost.
    DropRuns(aWorker, run_end::kLost);
  }
  if (aWorker.mIsListed || !aWorker.mRuns.Runs().empty()) {
    ScheduleHold(aWorker, kHoldRetryDelay);
    return;
  }
  // A worker in no list may still run what was given up, until its lease has lapsed.
  const bool isOtherInstance = aAnswer == run_request_status::kWrongInstance;
  if (!isOtherInstance && mPorts.mLoop.Now() <= aWorker.mRuns.LeaseExpiresAt()) {
    ScheduleHold(aWorker, kUnlistedHoldRetryDelay);
    return;
  }
  mPorts.mLog.Write(log_event("hold_given_up")
                      .Add("worker", aWorker.mListed.mId)
                      .Add("answer", ToString(aAnswer))
                      .Add("dropped_runs", static_cast<int64_t>(aWorker.mDroppedRuns)));
}

void fleet_scheduler::ReportNotedEnds(const worker_entry& aWorker,
                                      const std::vector<end_note>& aNotes)
{
  int64_t lateEnds = 0;
  duration longestSilence(-1);
  duration longestWait(0);
  for (const auto& note : aNotes) {
    const auto found = mJobs.find(note.mJob);
    if (found != mJobs.end()) {
      const auto& job = found->second->mState.Job();
      mPorts.mMetrics.Observe(
        "end_to_note_seconds", job.mWorkspace, job.mQueue, ToSeconds(note.mWaited));
    }
    if (note.mWaited > kLateNoteAfter ||
        (note.mSilence && *note.mSilence > kLateListAfter)) {
      ++lateEnds;
      longestSilence = std::max(longestSilence, note.mSilence.value_or(duration(-1)));
      longestWait = std::max(longestWait, note.mWaited);
    }
  }
  if (lateEnds > 0) {
    mPorts.mLog.Write(log_event("ends_noted_late")
                        .Add("worker", aWorker.mListed.mId)
                        .Add("ends", lateEnds)
                        .Add("silent_ms", longestSilence.count())
                        .Add("listed_to_noted_ms", longestWait.count()));
  }
}

void fleet_scheduler::NoteSilence(worker_entry& aWorker) const
{
  const auto& runs = aWorker.mRuns;
  aWorker.mSilence.reset();
  if (runs.HasAcceptedToken()) {
    aWorker.mSilence = mPorts.mLoop.Now() - runs.LastAnswer();
  }
}

void fleet_scheduler::DropRuns(worker_entry& aWorker, run_end aEnd)
{
  NoteSilence(aWorker);
  aWorker.mDroppedRuns += aWorker.mRuns.Runs().size();
  ApplyRunEvents(aWorker, aWorker.mRuns.DropAll(aEnd));
  aWorker.mEndNotes.Forget();
  aWorker.mStops.clear();
}

void fleet_scheduler::ApplyRunEvents(worker_entry& aWorker,
                                     const std::vector<run_event>& aEvents)
{
  for (const auto& event : aEvents) {
    switch (event.mKind) {
      case run_event::kind::kEnded:
        ApplyRunEnd(aWorker, event);
        break;
      case run_event::kind::kUnexpected:
        HandleUnexpectedRun(aWorker, event);
        break;
      case run_event::kind::kMayStart:
        StopRun(aWorker,
                event.mTask,
                event.mRun,
                "its start may still reach the worker's new life");
        break;
      case run_event::kind::kCheckpoint: {
        const auto found = mJobs.find(event.mTask.mJob);
        if (found != mJobs.end() && found->second->mState.HasTask(event.mTask)) {
          found->second->mState.SaveCheckpoint(
            event.mTask, event.mRun, event.mCheckpoint);
        }
        break;
      }
    }
  }
}

void fleet_scheduler::ApplyRunEnd(worker_entry& aWorker, const run_event& aEvent)
{
  const auto id = aWorker.mListed.mId;
  const auto workerStartedAtMs = aWorker.mRuns.WorkerStartedAtMs();
  const auto number = aEvent.mNumber;
  const auto acknowledge = [this, id, workerStartedAtMs, number] {
    const auto found = mWorkers.find(id);
    if (number == 0 || found == mWorkers.end()) {
      return;
    }
    found->second->mRuns.MarkDurable(workerStartedAtMs, number);
    if (found->second->mRuns.HasUnsentAcknowledgement()) {
      ScheduleHold(*found->second, duration::zero());
    }
  };
  const auto unrecorded = mUnrecordedRuns.find(aEvent.mTask);
  if (unrecorded != mUnrecordedRuns.end() && unrecorded->second == id) {
    mUnrecordedRuns.erase(unrecorded);
    SchedulePlan();
  }
  const bool wasToldToStop = aWorker.mStops.erase({ aEvent.mTask, aEvent.mRun }) != 0;
  const auto found = mJobs.find(aEvent.mTask.mJob);
  if (found == mJobs.end() || found->second->mIsBeingRemoved ||
      !found->second->mState.HasTask(aEvent.mTask)) {
    const auto* known = found == mJobs.end() ? nullptr : found->second.get();
    if (wasToldToStop || IsCancelled(known)) {
      ReportRunEnd(aWorker, aEvent, known, false);
    }
    mPorts.mLoop.Post(UnlessTermEnded(acknowledge));
    return;
  }
  auto& job = *found->second;
  job.mMayHaveWaitingTasks = true;
  const auto effect =
    job.mState.End(aEvent.mTask, aEvent.mRun, aEvent.mEnd, aEvent.mCheckpoint);
  if (aEvent.mEnd != run_end::kDone || !effect.mIsLatestRun || IsCancelled(&job)) {
    ReportRunEnd(aWorker, aEvent, &job, effect.mIsLatestRun);
  }
  mPorts.mMetrics.Count("runs_ended_total", "end", ToString(aEvent.mEnd));
  if (!effect.mIsLatestRun && !effect.mTaskDone && !effect.mIsCounted) {
    // The job knows more than this end tells it, for example from a former scheduler,
    // but that may still have to be stored.
    mWriter.WhenStored(store_keys::kProgress + aEvent.mTask.mJob,
                       UnlessTermEnded(acknowledge));
    return;
  }
  UpdateWorkerHealth(aWorker, aEvent);
  if (!effect.mIsLatestRun && effect.mTaskDone) {
    StopNewerRuns(job, aEvent.mTask);
  }
  if (effect.mGangBroken) {
    ReportGangBroken(aWorker, aEvent, job);
    StopGang(job, aEvent.mTask, aEvent.mRun, kGangMemberEndedReason);
  }
  if (effect.mJobFinished) {
    OnJobEnded(job);
  }
  WriteProgress(job, record_writer::urgency::kBatched, acknowledge);
  SchedulePlan();
}

void fleet_scheduler::UpdateWorkerHealth(worker_entry& aWorker, const run_event& aEvent)
{
  const auto now = mPorts.mLoop.Now();
  if (aEvent.mEnd == run_end::kDone) {
    aWorker.mHealth.OnDone();
  } else if (aEvent.mEnd == run_end::kFailed) {
    aWorker.mHealth.OnFailed(aEvent.mTask.mJob, now);
    const auto found = mJobs.find(aEvent.mTask.mJob);
    found->second->mAvoidedWorkers[aEvent.mTask].insert(aWorker.mListed.mId);
  }
}

void fleet_scheduler::HandleUnexpectedRun(worker_entry& aWorker,
                                          const run_event& aEvent)
{
  const auto now = mPorts.mLoop.Now();
  const auto found = mJobs.find(aEvent.mTask.mJob);
  const bool isKnown =
    found != mJobs.end() && found->second->mState.HasTask(aEvent.mTask);
  if (isKnown) {
    const auto& state = found->second->mState;
    const auto& task = state.Task(aEvent.mTask);
    if (aWorker.mRuns.Runs().count(aEvent.mTask) == 0) {
      aWorker.mRuns.RegisterExisting(aEvent.mTask,
                                     aEvent.mRun,
                                     OccupiedBy(state.StepOf(aEvent.mTask)),
                                     now,
                                     state.StepOf(aEvent.mTask).mEstimate,
                                     true,
                                     state.Job().mPriority);
    }
    if (task.mRun == aEvent.mRun && task.mWorker == aWorker.mListed.mId) {
      LogUnexpectedRun(aWorker, aEvent, false);
      return;
    }
    mUnrecordedRuns[aEvent.mTask] = aWorker.mListed.mId;
  }
  if (aWorker.mStops.count({ aEvent.mTask, aEvent.mRun }) == 0) {
    LogUnexpectedRun(aWorker, aEvent, true);
  }
  StopRun(
    aWorker, aEvent.mTask, aEvent.mRun, "its worker lists it and no record shows it");
}

void fleet_scheduler::CheckWorker(worker_entry& aWorker, time_point aNow)
{
  if (aWorker.mRuns.Runs().empty()) {
    return;
  }
  if (aNow > aWorker.mRuns.LeaseExpiresAt()) {
    mPorts.mLog.Write(
      log_event("lease_lapsed")
        .Add("worker", aWorker.mListed.mId)
        .Add("born", aWorker.mRuns.WorkerStartedAtMs())
        .Add("silent_ms", (aNow - aWorker.mRuns.LastAnswer()).count())
        .Add("runs", static_cast<int64_t>(aWorker.mRuns.Runs().size())));
    DropRuns(aWorker, run_end::kLeaseExpired);
    return;
  }
  std::vector<std::pair<task_ref, uint32_t>> overdueStops;
  for (const auto& [task, run] : aWorker.mRuns.Runs()) {
    if (run.mStopping && aNow - run.mStopSentAt > kStopRetryDelay) {
      overdueStops.emplace_back(task, run.mRun);
    }
  }
  for (const auto& [task, run] : overdueStops) {
    StopRun(aWorker, task, run, "it has not ended since it was to stop");
  }
}

} // namespace anvildoor
