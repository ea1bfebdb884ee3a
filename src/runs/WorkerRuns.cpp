#include "runs/WorkerRuns.h"

#include <algorithm>
#include <set>

namespace anvildoor {

const char* ToString(order_answer aAnswer)
{
  static constexpr const char* kNames[] = { "accepted",  "fenced",   "old",
                                            "late",      "no_room",  "no_ticket",
                                            "unhealthy", "invalid",  "gone",
                                            "not_sent",  "no_answer" };
  return kNames[static_cast<size_t>(aAnswer)];
}

bool HasLeft(const entry_sight& aSight, duration aBeat, time_point aNow)
{
  constexpr int kBeatsOfOneAlive = 2;
  const bool wasFollowed = aNow - aSight.mSeenAt <= aBeat;
  return wasFollowed && aNow - aSight.mBeatAt < kBeatsOfOneAlive * aBeat;
}

run_event worker_runs::Ended(const task_ref& aTask, uint32_t aRun, run_end aEnd) const
{
  run_event event;
  event.mTask = aTask;
  event.mRun = aRun;
  event.mEnd = aEnd;
  return event;
}

task_resources worker_runs::Used() const
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
  const auto passed = static_cast<double>((aNow - mClockAt).count());
  return mClockMs + static_cast<int64_t>(passed * (1.0 - mBounds.mClockDrift));
}

std::optional<int64_t> worker_runs::LeaseDeadline(time_point aNow) const
{
  const auto clock = ClockAt(aNow);
  if (clock == 0) {
    return std::nullopt;
  }
  return clock + mBounds.mLeaseMax.count();
}

int64_t worker_runs::StartDeadline(time_point aNow) const
{
  return ClockAt(aNow) + mBounds.mStartDeadline.count();
}

void worker_runs::ExtendLapse(time_point aNow, duration aSpan)
{
  const auto longest = static_cast<double>(aSpan.count()) / (1.0 - mBounds.mClockDrift);
  const auto until =
    aNow + duration(static_cast<int64_t>(longest)) + mBounds.mLapseMargin;
  mLapsesAt = std::max(mLapsesAt, until);
}

void worker_runs::NoteLease(time_point aNow)
{
  mLeaseAsked = true;
  ExtendLapse(aNow, mBounds.mLeaseMax);
}

void worker_runs::Order(const task_ref& aTask,
                        uint32_t aRun,
                        const task_resources& aResources,
                        time_point aNow,
                        duration aEstimate,
                        bool aResumes)
{
  run_info run;
  run.mRun = aRun;
  run.mResources = aResources;
  run.mSince = aNow;
  run.mProgress = run_progress(aNow, aEstimate, aResumes);
  mRuns[aTask] = run;
}

void worker_runs::Assume(const task_ref& aTask,
                         uint32_t aRun,
                         const task_resources& aResources,
                         time_point aNow,
                         duration aEstimate,
                         bool aResumes)
{
  Order(aTask, aRun, aResources, aNow, aEstimate, aResumes);
  // Confirmed at time 0, so that the first complete reply under this fence decides
  // whether the run exists: from then on the worker refuses requests with older fences.
  mRuns[aTask].mPhase = run_phase::kConfirmed;
}

void worker_runs::NoteStart(const task_ref& aTask,
                            uint32_t aRun,
                            int64_t aDeadlineOnWorker,
                            time_point aNow)
{
  ExtendLapse(aNow, mBounds.mStartDeadline);
  const auto found = mRuns.find(aTask);
  if (found != mRuns.end() && found->second.mRun == aRun) {
    found->second.mDeadlineOnWorker =
      std::max(found->second.mDeadlineOnWorker, aDeadlineOnWorker);
  }
}

std::vector<run_event> worker_runs::OnStartAnswer(const task_ref& aTask,
                                                  uint32_t aRun,
                                                  order_answer aAnswer,
                                                  time_point aNow)
{
  const auto found = mRuns.find(aTask);
  if (found == mRuns.end() || found->second.mRun != aRun) {
    return {};
  }
  switch (aAnswer) {
    case order_answer::kAccepted:
      if (found->second.mPhase == run_phase::kOrdered) {
        found->second.mPhase = run_phase::kConfirmed;
        found->second.mConfirmedAt = aNow;
        found->second.mProgress.Begin(aNow);
      }
      return {};
    case order_answer::kLate:
    case order_answer::kNoRoom:
    case order_answer::kNoTicket:
    case order_answer::kUnhealthy:
    case order_answer::kInvalid:
    case order_answer::kFenced:
    case order_answer::kNotSent:
      if (found->second.mPhase == run_phase::kOrdered) {
        mRuns.erase(found);
        return { Ended(aTask, aRun, run_end::kNotStarted) };
      }
      return {};
    case order_answer::kOld:
    case order_answer::kGone:
    case order_answer::kNoAnswer:
      // A later reply of the worker, or the request's deadline, settles these.
      return {};
  }
  return {};
}

bool worker_runs::MarkStopping(const task_ref& aTask, time_point aNow)
{
  const auto found = mRuns.find(aTask);
  if (found == mRuns.end()) {
    return false;
  }
  found->second.mStopping = true;
  found->second.mStopSentAt = aNow;
  return true;
}

void worker_runs::OnStopAnswer(const task_ref& aTask,
                               uint32_t aRun,
                               order_answer aAnswer,
                               time_point aNow)
{
  const auto found = mRuns.find(aTask);
  if (found != mRuns.end() && found->second.mRun == aRun &&
      aAnswer == order_answer::kAccepted && !found->second.mStopAnswered) {
    found->second.mStopAnswered = true;
    found->second.mStopAnsweredAt = aNow;
  }
}

std::vector<run_event> worker_runs::OnHold(const hold_reply& aReply,
                                           time_point aSentAt,
                                           time_point aNow)
{
  std::vector<run_event> events;
  if (aReply.mBornMs != 0 && mBorn != 0 && aReply.mBornMs != mBorn) {
    events = DropAll(run_end::kLost);
  }
  if (aReply.mBornMs != 0) {
    mBorn = aReply.mBornMs;
  }
  mFenced = true;
  mHasLease = mLeaseAsked;
  mLastAnswer = aNow;
  mClockMs = aReply.mClockMs;
  mClockAt = aNow;

  std::set<task_ref> listed;
  for (const auto& row : aReply.mEnded) {
    if (row.mNumber <= mSeen) {
      continue;
    }
    mSeen = row.mNumber;
    mOpen[row.mNumber] = false;
    auto event = Ended(row.mTask, row.mRun, row.mEnd);
    event.mNumber = row.mNumber;
    event.mCheckpoint = row.mCheckpoint;
    events.push_back(event);
    const auto found = mRuns.find(row.mTask);
    if (found != mRuns.end() && found->second.mRun <= row.mRun) {
      mRuns.erase(found);
    }
  }
  for (const auto& row : aReply.mRunning) {
    listed.insert(row.mTask);
    auto found = mRuns.find(row.mTask);
    if (found == mRuns.end() || found->second.mRun != row.mRun) {
      run_event event;
      event.mKind = run_event::kind::kFound;
      event.mTask = row.mTask;
      event.mRun = row.mRun;
      event.mCheckpoint = row.mCheckpoint;
      events.push_back(event);
      continue;
    }
    auto& run = found->second;
    if (run.mPhase == run_phase::kOrdered) {
      run.mPhase = run_phase::kConfirmed;
      run.mConfirmedAt = aNow;
      run.mProgress.Begin(aNow);
    }
    run.mProgress.Report(row.mPercent, aNow);
    if (!row.mCheckpoint.empty()) {
      run_event event;
      event.mKind = run_event::kind::kCheckpoint;
      event.mTask = row.mTask;
      event.mRun = row.mRun;
      event.mCheckpoint = row.mCheckpoint;
      events.push_back(event);
    }
  }
  if (!aReply.mComplete) {
    return events;
  }
  for (auto at = mRuns.begin(); at != mRuns.end();) {
    const auto& run = at->second;
    const bool isListed = listed.count(at->first) != 0;
    const bool wasThere =
      run.mPhase == run_phase::kConfirmed && run.mConfirmedAt < aSentAt;
    const bool tooLate = run.mPhase == run_phase::kOrdered &&
                         run.mDeadlineOnWorker != 0 &&
                         aReply.mClockMs > run.mDeadlineOnWorker;
    const bool barred = run.mStopAnswered && run.mStopAnsweredAt < aSentAt;
    if (isListed || !(wasThere || tooLate || barred)) {
      ++at;
      continue;
    }
    const auto end = wasThere ? run_end::kLost : run_end::kNotStarted;
    events.push_back(Ended(at->first, run.mRun, end));
    at = mRuns.erase(at);
  }
  return events;
}

std::vector<run_event> worker_runs::DropAll(run_end aEnd)
{
  std::vector<run_event> events;
  for (const auto& [task, run] : mRuns) {
    events.push_back(Ended(task, run.mRun, aEnd));
  }
  mRuns.clear();
  mHasLease = false;
  mLeaseAsked = false;
  mSeen = 0;
  mOpen.clear();
  mAcknowledged = 0;
  mAckSent = 0;
  return events;
}

void worker_runs::MarkDurable(int64_t aBorn, uint64_t aNumber)
{
  if (aBorn != mBorn) {
    return;
  }
  const auto found = mOpen.find(aNumber);
  if (found != mOpen.end()) {
    found->second = true;
  }
  while (!mOpen.empty() && mOpen.begin()->second) {
    mAcknowledged = mOpen.begin()->first;
    mOpen.erase(mOpen.begin());
  }
}

} // namespace anvildoor
