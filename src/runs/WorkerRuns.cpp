#include "runs/WorkerRuns.h"

#include <algorithm>
#include <set>

namespace anvildoor {

const char* ToString(run_request_status aAnswer)
{
  static constexpr const char* kNames[] = { "accepted",  "fenced",   "old",
                                            "late",      "no_room",  "no_ticket",
                                            "unhealthy", "invalid",  "gone",
                                            "not_sent",  "no_answer" };
  return kNames[static_cast<size_t>(aAnswer)];
}

bool IsAnswer(run_request_status aStatus)
{
  return aStatus != run_request_status::kNoAnswer &&
         aStatus != run_request_status::kNotSent;
}

duration LongestLease(const run_bounds& aBounds, duration aSpan)
{
  const auto longestMs =
    static_cast<double>(aSpan.count()) / (1.0 - aBounds.mClockDrift);
  return duration(static_cast<int64_t>(longestMs)) + aBounds.mLeaseExpiryMargin;
}

bool HasDeregistered(const entry_observation& aObservation,
                     duration aHeartbeatPeriod,
                     time_point aNow)
{
  constexpr int kExpiryPeriods = 3;
  // Covers inaccuracies of the directory's clock and of the worker's period.
  const auto margin = aHeartbeatPeriod / 2;
  const auto expiry = kExpiryPeriods * aHeartbeatPeriod;
  const bool isNewLife = aObservation.mNewLifeSince != time_point(0) &&
                         aNow - aObservation.mNewLifeSince < expiry + margin;
  return !isNewLife && aObservation.mHeartbeatSince != time_point(0) &&
         aNow - aObservation.mHeartbeatSince < expiry - margin;
}

void ObserveEntry(entry_observation& aObservation,
                  int64_t aStartedAtMs,
                  uint64_t aHeartbeat,
                  bool aWasListed,
                  time_point aRequestedAt)
{
  if (!aWasListed) {
    // An entry read for the first time may be old.
    aObservation.mHeartbeatSince = time_point(0);
  } else if (aHeartbeat != aObservation.mHeartbeat) {
    aObservation.mHeartbeatSince = aObservation.mSeenAt;
  }
  if (aObservation.mStartedAtMs != 0 && aObservation.mStartedAtMs != aStartedAtMs) {
    aObservation.mNewLifeSince = aRequestedAt;
  }
  aObservation.mStartedAtMs = aStartedAtMs;
  aObservation.mHeartbeat = aHeartbeat;
  aObservation.mSeenAt = aRequestedAt;
}

run_event worker_runs::MakeEndEvent(const task_ref& aTask,
                                    uint32_t aRun,
                                    run_end aEnd) const
{
  run_event event;
  event.mTask = aTask;
  event.mRun = aRun;
  event.mEnd = aEnd;
  return event;
}

task_resources worker_runs::UsedResources() const
{
  task_resources used;
  for (const auto& [task, run] : mRuns) {
    Add(used, run.mResources);
  }
  return used;
}

int64_t worker_runs::ClockAt(time_point aNow) const
{
  if (mClockMs == 0) {
    return 0;
  }
  const auto elapsedMs = static_cast<double>((aNow - mClockReadAt).count());
  return mClockMs + static_cast<int64_t>(elapsedMs * (1.0 - mBounds.mClockDrift));
}

bool worker_runs::IsOfOtherLife(int64_t aClockMs, time_point aSentAt) const
{
  constexpr int64_t kRoundingMs = 2;
  // An answer may be older than the last reply to a hold.
  const auto earliest = aSentAt < mClockReadAt
                          ? mClockMs - (mClockReadAt - aSentAt).count()
                          : ClockAt(aSentAt);
  return aClockMs != 0 && mClockMs != 0 && aClockMs + kRoundingMs < earliest;
}

std::optional<int64_t> worker_runs::LeaseDeadlineMs(time_point aNow,
                                                    time_point aTermLeaseEnd) const
{
  const auto clock = ClockAt(aNow);
  const auto span = mBounds.mLeaseMax - (aNow - std::min(aNow, aTermLeaseEnd));
  if (clock == 0 || span <= duration::zero()) {
    return std::nullopt;
  }
  return clock + span.count();
}

int64_t worker_runs::StartDeadlineMs(time_point aNow) const
{
  return ClockAt(aNow) + mBounds.mStartDeadline.count();
}

void worker_runs::ExtendLeaseExpiry(time_point aNow, duration aSpan)
{
  mLeaseExpiresAt = std::max(mLeaseExpiresAt, aNow + LongestLease(mBounds, aSpan));
}

bool worker_runs::IsOfNewLife(const hold_reply& aReply) const
{
  return aReply.mStartedAtMs != 0 && mWorkerStartedAtMs != 0 &&
         aReply.mStartedAtMs != mWorkerStartedAtMs;
}

time_point worker_runs::LeaseExpiresAt() const
{
  auto latest = mLeaseExpiresAt;
  if (mIsLifeUnknown) {
    for (const auto& [start, givenUpAt] : mUnansweredStarts) {
      latest = std::max(latest,
                        givenUpAt + mBounds.mLongestDelay +
                          LongestLease(mBounds, mBounds.mLeaseMax));
    }
  }
  return latest;
}

void worker_runs::RecordLeaseRequest(time_point aNow, time_point aTermLeaseEnd)
{
  mLeaseRequested = true;
  ExtendLeaseExpiry(std::min(aNow, aTermLeaseEnd), mBounds.mLeaseMax);
}

void worker_runs::RegisterStart(const task_ref& aTask,
                                uint32_t aRun,
                                const task_resources& aResources,
                                time_point aNow,
                                duration aEstimate,
                                bool aResumes,
                                int64_t aPriority)
{
  run_info run;
  run.mRun = aRun;
  run.mPriority = aPriority;
  run.mResources = aResources;
  run.mRegisteredAt = aNow;
  run.mProgress = run_progress(aNow, aEstimate, aResumes);
  mRuns[aTask] = run;
}

void worker_runs::RegisterExisting(const task_ref& aTask,
                                   uint32_t aRun,
                                   const task_resources& aResources,
                                   time_point aNow,
                                   duration aEstimate,
                                   bool aResumes,
                                   int64_t aPriority)
{
  RegisterStart(aTask, aRun, aResources, aNow, aEstimate, aResumes, aPriority);
  // Confirmed at time 0, so that the first complete reply under this fencing token
  // decides whether the run exists: from then on the worker refuses older tokens.
  mRuns[aTask].mPhase = run_phase::kConfirmed;
}

void worker_runs::RecordStartRequest(const task_ref& aTask,
                                     uint32_t aRun,
                                     int64_t aWorkerDeadlineMs,
                                     time_point aNow)
{
  ExtendLeaseExpiry(aNow, mBounds.mStartDeadline);
  const auto found = mRuns.find(aTask);
  if (found != mRuns.end() && found->second.mRun == aRun) {
    found->second.mWorkerDeadlineMs =
      std::max(found->second.mWorkerDeadlineMs, aWorkerDeadlineMs);
    found->second.mMeantForLifeMs = mWorkerStartedAtMs;
  }
}

std::vector<run_event> worker_runs::OnStartAnswer(const task_ref& aTask,
                                                  uint32_t aRun,
                                                  run_request_status aAnswer,
                                                  time_point aNow)
{
  const auto found = mRuns.find(aTask);
  if (found == mRuns.end() || found->second.mRun != aRun) {
    return {};
  }
  const bool wasSent =
    found->second.mWorkerDeadlineMs != 0 && aAnswer != run_request_status::kNotSent;
  if (wasSent &&
      (mIsLifeUnknown || found->second.mMeantForLifeMs != mWorkerStartedAtMs)) {
    ExtendLeaseExpiry(aNow, mBounds.mLeaseMax);
  }
  switch (aAnswer) {
    case run_request_status::kAccepted:
      if (found->second.mPhase == run_phase::kRequested) {
        found->second.mPhase = run_phase::kConfirmed;
        found->second.mConfirmedAt = aNow;
        found->second.mProgress.Begin(aNow);
      }
      return {};
    case run_request_status::kLate:
    case run_request_status::kNoCapacity:
    case run_request_status::kNoTicket:
    case run_request_status::kUnhealthy:
    case run_request_status::kInvalid:
    case run_request_status::kFenced:
    case run_request_status::kNotSent:
      if (found->second.mPhase == run_phase::kRequested) {
        mRuns.erase(found);
        return { MakeEndEvent(aTask, aRun, run_end::kNotStarted) };
      }
      return {};
    case run_request_status::kNoAnswer:
      std::erase_if(mUnansweredStarts, [&](const auto& aStart) {
        return aNow - aStart.second > mBounds.mLongestDelay;
      });
      mUnansweredStarts[{ aTask, aRun }] = aNow;
      return {};
    case run_request_status::kOutdatedRun:
    case run_request_status::kWrongInstance:
      // A later hold reply or the deadline of the request decides these cases.
      return {};
  }
  return {};
}

bool worker_runs::MarkStopping(const task_ref& aTask, uint32_t aRun, time_point aNow)
{
  const auto found = mRuns.find(aTask);
  if (found == mRuns.end() || found->second.mRun != aRun) {
    return false;
  }
  found->second.mStopping = true;
  found->second.mStopSentAt = aNow;
  return true;
}

void worker_runs::OnStopAnswer(const task_ref& aTask,
                               uint32_t aRun,
                               run_request_status aAnswer,
                               time_point aNow)
{
  const auto found = mRuns.find(aTask);
  if (found != mRuns.end() && found->second.mRun == aRun &&
      aAnswer == run_request_status::kAccepted && !found->second.mStopAnswered) {
    found->second.mStopAnswered = true;
    found->second.mStopAnsweredAt = aNow;
  }
}

std::vector<run_event> worker_runs::OnHoldReply(const hold_reply& aReply,
                                                time_point aSentAt,
                                                time_point aNow)
{
  std::vector<run_event> events;
  if (IsOfNewLife(aReply)) {
    events = DropFormerLife(aReply, aSentAt);
    const auto lateStarts = TakeLateStarts(aNow);
    events.insert(events.end(), lateStarts.begin(), lateStarts.end());
    ExtendLeaseExpiry(aNow, mBounds.mLeaseMax);
  }
  mIsLifeUnknown = false;
  if (aReply.mStartedAtMs != 0) {
    mWorkerStartedAtMs = aReply.mStartedAtMs;
  }
  mHasAcceptedToken = true;
  mHasLease = mLeaseRequested;
  mLastAnswer = aNow;
  mClockMs = aReply.mClockMs;
  mClockReadAt = aNow;

  std::set<task_ref> listed;
  for (const auto& reported : aReply.mEnded) {
    if (reported.mNumber <= mHighestSeenEnd) {
      continue;
    }
    mHighestSeenEnd = reported.mNumber;
    mUnacknowledgedEnds[reported.mNumber] = false;
    auto event = MakeEndEvent(reported.mTask, reported.mRun, reported.mEnd);
    event.mNumber = reported.mNumber;
    event.mCheckpoint = reported.mCheckpoint;
    events.push_back(event);
    const auto found = mRuns.find(reported.mTask);
    if (found != mRuns.end() && found->second.mRun <= reported.mRun) {
      mRuns.erase(found);
    }
  }
  for (const auto& reported : aReply.mRunning) {
    listed.insert(reported.mTask);
    auto found = mRuns.find(reported.mTask);
    if (found == mRuns.end() || found->second.mRun != reported.mRun) {
      run_event event;
      event.mKind = run_event::kind::kUnexpected;
      event.mTask = reported.mTask;
      event.mRun = reported.mRun;
      event.mCheckpoint = reported.mCheckpoint;
      events.push_back(event);
      continue;
    }
    auto& run = found->second;
    if (run.mPhase == run_phase::kRequested) {
      run.mPhase = run_phase::kConfirmed;
      run.mConfirmedAt = aNow;
      run.mProgress.Begin(aNow);
    }
    run.mProgress.Report(reported.mPercent, aNow);
    if (!reported.mCheckpoint.empty()) {
      run_event event;
      event.mKind = run_event::kind::kCheckpoint;
      event.mTask = reported.mTask;
      event.mRun = reported.mRun;
      event.mCheckpoint = reported.mCheckpoint;
      events.push_back(event);
    }
  }
  if (!aReply.mComplete) {
    return events;
  }
  for (auto at = mRuns.begin(); at != mRuns.end();) {
    const auto& run = at->second;
    const bool isListed = listed.count(at->first) != 0;
    const bool wasConfirmed =
      run.mPhase == run_phase::kConfirmed && run.mConfirmedAt < aSentAt;
    const bool isStartExpired = run.mPhase == run_phase::kRequested &&
                                run.mWorkerDeadlineMs != 0 &&
                                aReply.mClockMs > run.mWorkerDeadlineMs;
    const bool isStartPrevented = run.mStopAnswered && run.mStopAnsweredAt < aSentAt;
    if (isListed || !(wasConfirmed || isStartExpired || isStartPrevented)) {
      ++at;
      continue;
    }
    const auto end = wasConfirmed ? run_end::kLost : run_end::kNotStarted;
    events.push_back(MakeEndEvent(at->first, run.mRun, end));
    at = mRuns.erase(at);
  }
  return events;
}

void worker_runs::SuspectNewLife(time_point aNow)
{
  mIsLifeUnknown = true;
  mHasLease = false;
  mClockMs = 0;
  ExtendLeaseExpiry(aNow, mBounds.mLeaseMax);
}

std::vector<run_event> worker_runs::DropAll(run_end aEnd)
{
  std::vector<run_event> events;
  for (const auto& [task, run] : mRuns) {
    events.push_back(MakeEndEvent(task, run.mRun, aEnd));
  }
  mRuns.clear();
  ForgetLeaseAndEnds();
  return events;
}

uint64_t worker_runs::SendableAcknowledgement() const
{
  const bool hasUnansweredStart =
    std::any_of(mRuns.begin(), mRuns.end(), [this](const auto& aRun) {
      const auto& run = aRun.second;
      return run.mPhase == run_phase::kRequested &&
             run.mMeantForLifeMs == mWorkerStartedAtMs &&
             run.mWorkerDeadlineMs >= mClockMs;
    });
  const bool isNeeded = mAcknowledged > mAckAnswered;
  return !isNeeded || mIsLifeUnknown || hasUnansweredStart ? 0 : mAcknowledged;
}

std::vector<run_event> worker_runs::DropFormerLife(const hold_reply& aReply,
                                                   time_point aSentAt)
{
  std::vector<run_event> events;
  const auto isListed =
    [&](const auto& aReported, const task_ref& aTask, uint32_t aRun) {
      return std::any_of(aReported.begin(), aReported.end(), [&](const auto& aEach) {
        return aEach.mTask == aTask && aEach.mRun == aRun;
      });
    };
  for (auto at = mRuns.begin(); at != mRuns.end();) {
    auto& [task, run] = *at;
    const bool isOfNewLife = isListed(aReply.mRunning, task, run.mRun) ||
                             isListed(aReply.mEnded, task, run.mRun);
    const bool isConfirmed = run.mPhase == run_phase::kConfirmed;
    if (!isOfNewLife && isConfirmed && run.mConfirmedAt <= aSentAt) {
      events.push_back(MakeEndEvent(task, run.mRun, run_end::kLost));
      at = mRuns.erase(at);
      continue;
    }
    if (!isOfNewLife && !isConfirmed && run.mWorkerDeadlineMs != 0) {
      // The deadline is on the clock of the former life, so only a stop prevents a late
      // start.
      run.mStopping = true;
      run.mStopSentAt = time_point(0);
      run.mStopAnswered = false;
    }
    ++at;
  }
  ForgetLeaseAndEnds();
  return events;
}

std::vector<run_event> worker_runs::TakeLateStarts(time_point aNow)
{
  std::vector<run_event> events;
  for (const auto& [start, givenUpAt] : mUnansweredStarts) {
    const auto& [task, number] = start;
    const auto run = mRuns.find(task);
    const bool isRegistered = run != mRuns.end() && run->second.mRun == number;
    if (!isRegistered && aNow - givenUpAt <= mBounds.mLongestDelay) {
      run_event event;
      event.mKind = run_event::kind::kMayStart;
      event.mTask = task;
      event.mRun = number;
      events.push_back(event);
    }
  }
  return events;
}

void worker_runs::ForgetLeaseAndEnds()
{
  mHasLease = false;
  mLeaseRequested = false;
  mHighestSeenEnd = 0;
  mUnacknowledgedEnds.clear();
  mAcknowledged = 0;
  mAckSent = 0;
  mAckAnswered = 0;
}

void worker_runs::MarkDurable(int64_t aWorkerStartedAtMs, uint64_t aNumber)
{
  if (aWorkerStartedAtMs != mWorkerStartedAtMs) {
    return;
  }
  const auto found = mUnacknowledgedEnds.find(aNumber);
  if (found != mUnacknowledgedEnds.end()) {
    found->second = true;
  }
  while (!mUnacknowledgedEnds.empty() && mUnacknowledgedEnds.begin()->second) {
    mAcknowledged = mUnacknowledgedEnds.begin()->first;
    mUnacknowledgedEnds.erase(mUnacknowledgedEnds.begin());
  }
}

} // namespace anvildoor
