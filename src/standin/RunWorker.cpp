#include "standin/RunWorker.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Time that a stop takes; on the platform it takes at most 400 ms. */
constexpr duration kStopTakes{ 50 };

} // namespace

run_worker::run_worker(event_loop& aLoop,
                       std::string aId,
                       int64_t aBornMs,
                       duration aLeaseMax,
                       work_of aWorkOf,
                       std::vector<run_trace>& aTraces)
  : mLoop(aLoop)
  , mId(std::move(aId))
  , mStartedAtMs(aBornMs)
  , mLeaseMax(aLeaseMax)
  , mWorkOf(std::move(aWorkOf))
  , mTraces(aTraces)
  , mAlive(std::make_shared<bool>(true))
  , mBegan(aLoop.Now())
{
}

run_worker::~run_worker()
{
  *mAlive = false;
  for (const auto& [task, run] : mRuns) {
    mTraces[run.mTrace].mEnded = mLoop.Now();
    mTraces[run.mTrace].mEnd = run_end::kLost;
  }
}

run_request_status run_worker::Start(const start_run_request& aOrder)
{
  if (aOrder.mFence < mFence) {
    return run_request_status::kFenced;
  }
  mFence = aOrder.mFence;
  const auto running = mRuns.find(aOrder.mTask);
  if (running != mRuns.end() && running->second.mRun == aOrder.mRun) {
    return run_request_status::kAccepted;
  }
  const auto barred = mBarred.find(aOrder.mTask);
  if (barred != mBarred.end() && aOrder.mRun <= barred->second) {
    return run_request_status::kOld;
  }
  if (aOrder.mWorkerDeadlineMs < ClockMs()) {
    return run_request_status::kLate;
  }
  const auto longest = ClockMs() + mLeaseMax.count();
  mDeadline = std::max(mDeadline, std::min(aOrder.mWorkerDeadlineMs, longest));
  active_run run;
  run.mRun = aOrder.mRun;
  run.mTrace = mTraces.size();
  run.mBegan = mLoop.Now();
  run.mWork = mWorkOf(aOrder.mPayload);
  run_trace trace;
  trace.mWorker = mId;
  trace.mTask = aOrder.mTask;
  trace.mRun = aOrder.mRun;
  trace.mBegan = mLoop.Now();
  mTraces.push_back(trace);
  mRuns[aOrder.mTask] = run;
  mLoop.RunAfter(
    run.mWork.mTime, [this, alive = mAlive, task = aOrder.mTask, number = aOrder.mRun] {
      if (!*alive) {
        return;
      }
      const auto found = mRuns.find(task);
      const bool isThere = found != mRuns.end() && found->second.mRun == number;
      if (isThere && !found->second.mWork.mLasts) {
        End(task, found->second.mWork.mFails ? run_end::kFailed : run_end::kDone);
      }
    });
  CheckLease();
  return run_request_status::kAccepted;
}

run_request_status run_worker::Stop(const stop_run_request& aOrder)
{
  if (aOrder.mFence < mFence) {
    return run_request_status::kFenced;
  }
  mFence = aOrder.mFence;
  auto& barred = mBarred[aOrder.mTask];
  barred = std::max(barred, aOrder.mRun);
  mLoop.RunAfter(kStopTakes,
                 [this, alive = mAlive, task = aOrder.mTask, number = aOrder.mRun] {
                   if (!*alive) {
                     return;
                   }
                   const auto found = mRuns.find(task);
                   if (found != mRuns.end() && found->second.mRun <= number) {
                     End(task, run_end::kStopped);
                   }
                 });
  return run_request_status::kAccepted;
}

hold_reply run_worker::Reply() const
{
  hold_reply reply;
  reply.mAnswer = run_request_status::kAccepted;
  reply.mClockMs = ClockMs();
  reply.mStartedAtMs = mStartedAtMs;
  constexpr int64_t kAll = 100;
  for (const auto& [task, run] : mRuns) {
    const auto ran = (mLoop.Now() - run.mBegan).count();
    const auto whole = std::max<int64_t>(1, run.mWork.mTime.count());
    reply.mRunning.push_back(
      { task, run.mRun, "", std::min(kAll, kAll * ran / whole) });
  }
  reply.mEnded.assign(mEnds.begin(), mEnds.end());
  return reply;
}

void run_worker::Hold(const hold_request& aOrder,
                      std::function<void(const hold_reply&)> aDone)
{
  if (aOrder.mFence < mFence) {
    hold_reply refused;
    refused.mAnswer = run_request_status::kFenced;
    aDone(refused);
    return;
  }
  mFence = aOrder.mFence;
  if (aOrder.mWorkerDeadlineMs) {
    const auto longest = ClockMs() + mLeaseMax.count();
    mDeadline = std::max(mDeadline, std::min(*aOrder.mWorkerDeadlineMs, longest));
    CheckLease();
  }
  while (!mEnds.empty() && mEnds.front().mNumber <= aOrder.mAcknowledged) {
    mEnds.pop_front();
  }
  if (!mEnds.empty() || aOrder.mWait <= duration::zero()) {
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
  mWaiting.push_back(answer);
  mLoop.RunAfter(aOrder.mWait, answer);
}

void run_worker::End(const task_ref& aTask, run_end aEnd)
{
  const auto found = mRuns.find(aTask);
  const auto run = found->second;
  mRuns.erase(found);
  mTraces[run.mTrace].mEnded = mLoop.Now();
  mTraces[run.mTrace].mEnd = aEnd;
  auto& barred = mBarred[aTask];
  barred = std::max(barred, run.mRun);
  mEnds.push_back({ mNextEnd++, aTask, run.mRun, aEnd, "" });
  Wake();
}

void run_worker::Wake()
{
  const auto waiting = std::move(mWaiting);
  mWaiting.clear();
  for (const auto& answer : waiting) {
    answer();
  }
}

void run_worker::CheckLease()
{
  const auto left = duration(mDeadline - ClockMs());
  mLoop.RunAfter(std::max(duration(1), left + duration(1)), [this, alive = mAlive] {
    if (!*alive || ClockMs() <= mDeadline) {
      return;
    }
    while (!mRuns.empty()) {
      End(mRuns.begin()->first, run_end::kLapsed);
    }
  });
}

} // namespace anvildoor
