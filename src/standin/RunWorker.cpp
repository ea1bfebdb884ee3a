#include "standin/RunWorker.h"

#include "platform/Wire.h"

#include <algorithm>
#include <cmath>

namespace anvildoor {

namespace {

/** Time that a stop takes; on the platform it takes at most 400 ms. */
constexpr duration kStopDelay{ 50 };

duration TimeToWork(const run_behaviour& aBehaviour)
{
  const auto workMs = static_cast<double>(aBehaviour.mDuration.count());
  return duration(std::lround(workMs / aBehaviour.mPace));
}

} // namespace

run_worker::run_worker(event_loop& aLoop,
                       std::string aId,
                       int64_t aStartedAtMs,
                       duration aLeaseMax,
                       behaviour_resolver aResolveBehaviour,
                       gang_registry& aGangs,
                       std::vector<run_trace>& aTraces)
  : mLoop(aLoop)
  , mId(std::move(aId))
  , mStartedAtMs(aStartedAtMs)
  , mLeaseMax(aLeaseMax)
  , mResolveBehaviour(std::move(aResolveBehaviour))
  , mGangs(aGangs)
  , mTraces(aTraces)
  , mAlive(std::make_shared<bool>(true))
  , mStartedAt(aLoop.Now())
{
}

run_worker::~run_worker()
{
  *mAlive = false;
  for (const auto& [key, run] : mRuns) {
    mTraces[run.mTraceIndex].mEnded = mLoop.Now();
    mTraces[run.mTraceIndex].mEnd = run_end::kLost;
    mGangs.Leave(key.first, key.second, run_end::kLost);
  }
  for (const auto trace : mUnacknowledgedTraces) {
    mTraces[trace].mForgotten = mLoop.Now();
  }
}

run_request_status run_worker::Start(const start_run_request& aRequest)
{
  if (aRequest.mFence < mFence) {
    return run_request_status::kFenced;
  }
  mFence = aRequest.mFence;
  if (FindRun(aRequest.mTask, aRequest.mRun) != nullptr) {
    return run_request_status::kAccepted;
  }
  const auto refusedUpTo = mRefusedUpTo.find(aRequest.mTask);
  if (refusedUpTo != mRefusedUpTo.end() && aRequest.mRun <= refusedUpTo->second) {
    return run_request_status::kOutdatedRun;
  }
  if (aRequest.mWorkerDeadlineMs < ClockMs()) {
    return run_request_status::kLate;
  }
  const auto latestDeadline = ClockMs() + mLeaseMax.count();
  mLeaseDeadlineMs =
    std::max(mLeaseDeadlineMs, std::min(aRequest.mWorkerDeadlineMs, latestDeadline));
  active_run run;
  run.mTraceIndex = mTraces.size();
  run.mBehaviour = mResolveBehaviour(aRequest);
  run_trace trace;
  trace.mWorker = mId;
  trace.mTask = aRequest.mTask;
  trace.mRun = aRequest.mRun;
  trace.mPayload = aRequest.mPayload;
  trace.mCheckpoint = aRequest.mCheckpoint;
  trace.mStartedAt = mLoop.Now();
  mTraces.push_back(trace);
  mRuns[{ aRequest.mTask, aRequest.mRun }] = run;
  if (run.mBehaviour.mGangSize > 0) {
    JoinGang(aRequest.mTask, aRequest.mRun, run.mBehaviour.mGangSize);
  } else {
    BeginWork(aRequest.mTask, aRequest.mRun);
  }
  ScheduleLeaseExpiry();
  return run_request_status::kAccepted;
}

run_worker::active_run* run_worker::FindRun(const task_ref& aTask, uint32_t aRun)
{
  const auto found = mRuns.find({ aTask, aRun });
  return found == mRuns.end() ? nullptr : &found->second;
}

void run_worker::BeginWork(const task_ref& aTask, uint32_t aRun)
{
  auto* const run = FindRun(aTask, aRun);
  if (run == nullptr) {
    return;
  }
  run->mIsWorking = true;
  run->mWorkingSince = mLoop.Now();
  const auto workEnds = [this, alive = mAlive, aTask, aRun] {
    const auto* const working = *alive ? FindRun(aTask, aRun) : nullptr;
    if (working != nullptr && !working->mBehaviour.mRunsUntilStopped) {
      FinishRun(
        aTask, aRun, working->mBehaviour.mFails ? run_end::kFailed : run_end::kDone);
    }
  };
  mLoop.RunAfter(TimeToWork(run->mBehaviour), workEnds);
}

void run_worker::JoinGang(const task_ref& aTask, uint32_t aRun, uint32_t aGangSize)
{
  mGangs.Join(aTask,
              aRun,
              aGangSize,
              { [this, aTask, aRun] { BeginWork(aTask, aRun); },
                [this, aTask, aRun](run_end aEnd) {
                  if (FindRun(aTask, aRun) != nullptr) {
                    FinishRun(aTask, aRun, aEnd);
                  }
                } });
}

run_request_status run_worker::Stop(const stop_run_request& aRequest)
{
  if (aRequest.mFence < mFence) {
    return run_request_status::kFenced;
  }
  mFence = aRequest.mFence;
  auto& refusedUpTo = mRefusedUpTo[aRequest.mTask];
  refusedUpTo = std::max(refusedUpTo, aRequest.mRun);
  mLoop.RunAfter(
    kStopDelay,
    [this, alive = mAlive, task = aRequest.mTask, runNumber = aRequest.mRun] {
      if (!*alive) {
        return;
      }
      std::vector<uint32_t> stopped;
      for (auto at = mRuns.lower_bound({ task, 0 });
           at != mRuns.end() && at->first.first == task &&
           at->first.second <= runNumber;
           ++at) {
        stopped.push_back(at->first.second);
      }
      for (const auto run : stopped) {
        FinishRun(task, run, run_end::kStopped);
      }
    });
  return run_request_status::kAccepted;
}

int64_t run_worker::ClockMs() const
{
  const auto elapsedMs = static_cast<double>((mLoop.Now() - mStartedAt).count());
  return static_cast<int64_t>(elapsedMs * mClockRate) + 1;
}

std::string run_worker::HandOutCheckpoint(const task_ref& aTask,
                                          uint32_t aRun,
                                          const active_run& aActive,
                                          bool aIsStopped)
{
  const auto interval = aActive.mBehaviour.mCheckpointInterval;
  if (interval <= duration::zero() || !aActive.mIsWorking) {
    return "";
  }
  const auto elapsedMs =
    static_cast<double>((mLoop.Now() - aActive.mWorkingSince).count());
  const duration worked(std::lround(elapsedMs * aActive.mBehaviour.mPace));
  const auto saved = aIsStopped ? worked : worked - worked % interval;
  if (saved <= duration::zero()) {
    return "";
  }
  auto checkpoint = wire::FormatTaskName(aTask) + "/" + std::to_string(aRun) + "/" +
                    std::to_string((aActive.mBehaviour.mSaved + saved).count());
  auto& handedOut = mTraces[aActive.mTraceIndex].mHandedOut;
  if (handedOut.empty() || handedOut.back().second != checkpoint) {
    handedOut.emplace_back(mLoop.Now(), checkpoint);
  }
  return checkpoint;
}

hold_reply run_worker::Reply()
{
  hold_reply reply;
  reply.mAnswer = run_request_status::kAccepted;
  reply.mClockMs = ClockMs();
  reply.mStartedAtMs = mStartedAtMs;
  constexpr int64_t kFullPercent = 100;
  for (const auto& [key, run] : mRuns) {
    const auto elapsedMs =
      run.mIsWorking ? (mLoop.Now() - run.mWorkingSince).count() : 0;
    const auto durationMs = std::max<int64_t>(1, TimeToWork(run.mBehaviour).count());
    reply.mRunning.push_back(
      { key.first,
        key.second,
        HandOutCheckpoint(key.first, key.second, run),
        std::min(kFullPercent, kFullPercent * elapsedMs / durationMs) });
  }
  reply.mEnded.assign(mUnacknowledgedEnds.begin(), mUnacknowledgedEnds.end());
  for (const auto trace : mUnacknowledgedTraces) {
    mTraces[trace].mListed = mTraces[trace].mListed.value_or(mLoop.Now());
  }
  return reply;
}

void run_worker::Acknowledge(uint64_t aNumber)
{
  while (!mUnacknowledgedEnds.empty() &&
         mUnacknowledgedEnds.front().mNumber <= aNumber) {
    mTraces[mUnacknowledgedTraces.front()].mNoted = mLoop.Now();
    mUnacknowledgedTraces.pop_front();
    mUnacknowledgedEnds.pop_front();
  }
}

void run_worker::Hold(const hold_request& aRequest,
                      std::function<void(const hold_reply&)> aDone)
{
  if (aRequest.mFence < mFence) {
    hold_reply refused;
    refused.mAnswer = run_request_status::kFenced;
    aDone(refused);
    return;
  }
  mFence = aRequest.mFence;
  if (aRequest.mWorkerDeadlineMs) {
    const auto latestDeadline = ClockMs() + mLeaseMax.count();
    mLeaseDeadlineMs =
      std::max(mLeaseDeadlineMs, std::min(*aRequest.mWorkerDeadlineMs, latestDeadline));
    ScheduleLeaseExpiry();
  }
  Acknowledge(aRequest.mAcknowledged);
  if (!mUnacknowledgedEnds.empty() || aRequest.mWait <= duration::zero()) {
    aDone(Reply());
    return;
  }
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, alive = mAlive, answered, done = std::move(aDone)] {
    if (*alive && !*answered) {
      *answered = true;
      done(Reply());
    }
  };
  mPendingHolds.push_back(answer);
  mLoop.RunAfter(aRequest.mWait, answer);
}

void run_worker::FinishRun(task_ref aTask, uint32_t aRun, run_end aEnd)
{
  const auto found = mRuns.find({ aTask, aRun });
  const auto run = found->second;
  mRuns.erase(found);
  mTraces[run.mTraceIndex].mEnded = mLoop.Now();
  mTraces[run.mTraceIndex].mEnd = aEnd;
  auto& refusedUpTo = mRefusedUpTo[aTask];
  refusedUpTo = std::max(refusedUpTo, aRun);
  const auto checkpoint =
    aEnd == run_end::kDone
      ? ""
      : HandOutCheckpoint(aTask, aRun, run, aEnd == run_end::kStopped);
  mUnacknowledgedEnds.push_back({ mNextEndNumber++, aTask, aRun, aEnd, checkpoint });
  mUnacknowledgedTraces.push_back(run.mTraceIndex);
  AnswerPendingHolds();
  mGangs.Leave(aTask, aRun, aEnd);
}

void run_worker::AnswerPendingHolds()
{
  const auto pendingHolds = std::move(mPendingHolds);
  mPendingHolds.clear();
  for (const auto& answer : pendingHolds) {
    answer();
  }
}

void run_worker::ScheduleLeaseExpiry()
{
  const auto remainingMs = static_cast<double>(mLeaseDeadlineMs - ClockMs() + 1);
  const duration remaining(static_cast<int64_t>(std::ceil(remainingMs / mClockRate)));
  mLoop.RunAfter(std::max(duration(1), remaining), [this, alive = mAlive] {
    if (!*alive || ClockMs() <= mLeaseDeadlineMs) {
      return;
    }
    for (const auto trace : mUnacknowledgedTraces) {
      mTraces[trace].mLapsed = mTraces[trace].mLapsed.value_or(mLoop.Now());
    }
    while (!mRuns.empty()) {
      const auto& [task, run] = mRuns.begin()->first;
      FinishRun(task, run, run_end::kLeaseExpired);
    }
  });
}

} // namespace anvildoor
