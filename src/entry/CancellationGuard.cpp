#include "entry/CancellationGuard.h"

#include "scheduler/FleetSchedulerState.h"

#include <algorithm>

namespace anvildoor {

namespace {

/** Delay before a stop without an answer, or not carried out, is sent again. */
constexpr duration kRetryDelay{ 500 };
/**
 * Delay before the scheduler is asked whether it stops the runs. It has had the
 * cancellation for most of this time, and answers if it hasn't been cut off since.
 */
constexpr duration kStopDelay{ 400 };
/**
 * For how long stops are sent after a worker has refused their token. Shorter than the
 * 3 s for which the platform tolerates calls under an outdated token.
 */
constexpr duration kTimeAfterRefusal{ 2'000 };
/** Limit on the workers that are sent a stop at once. */
constexpr size_t kMaxInFlight = 64;

/** Returns whether a stop with this answer is not to be sent again. */
bool IsSettled(run_request_status aAnswer)
{
  switch (aAnswer) {
    case run_request_status::kAccepted:
    case run_request_status::kOutdatedRun:
    case run_request_status::kInvalid:
    case run_request_status::kWrongInstance:
      return true;
    default:
      return false;
  }
}

} // namespace

cancellation_guard::cancellation_guard(event_loop& aLoop,
                                       run_port& aWorkers,
                                       event_log& aLog,
                                       metrics& aMetrics,
                                       duration aLifetime,
                                       scheduler_query aAskScheduler)
  : mLoop(aLoop)
  , mWorkers(aWorkers)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mLifetime(aLifetime)
  , mAskScheduler(std::move(aAskScheduler))
{
}

void cancellation_guard::Begin(const term_runs& aRuns)
{
  if (!aRuns.mIsComplete) {
    return;
  }
  End();
  mFence = aRuns.mFence;
  std::map<std::string, uint64_t> cancelled;
  for (const auto& run : aRuns.mRuns) {
    mRunsByJob[run.mTask.mJob].push_back(run);
    if (run.mCancelRevision != 0) {
      cancelled[run.mTask.mJob] = run.mCancelRevision;
    }
  }
  for (const auto& [job, revision] : cancelled) {
    Observe(job, revision);
  }
  if (!mRunsByJob.empty()) {
    GiveUpAfter(mLifetime);
  }
}

void cancellation_guard::GiveUpAfter(duration aAfter)
{
  mLoop.RunAfter(aAfter, [this, generation = mGeneration] {
    if (generation == mGeneration) {
      GiveUp();
    }
  });
}

void cancellation_guard::End()
{
  ++mGeneration;
  mFence = 0;
  mRunsByJob.clear();
  mObserved.clear();
  mStops.clear();
  mInFlight = 0;
}

void cancellation_guard::GiveUp()
{
  for (const auto& [key, worker] : mStops) {
    for (const auto& stop : worker.mPending) {
      Report(worker, stop, "given_up");
    }
  }
  End();
}

void cancellation_guard::Observe(const std::string& aJob, uint64_t aRevision)
{
  if (mRunsByJob.count(aJob) == 0 || !mObserved.insert(aJob).second) {
    return;
  }
  mLoop.RunAfter(kStopDelay, [this, generation = mGeneration, aJob, aRevision] {
    if (generation == mGeneration) {
      StopUnlessConfirmed(aJob, aRevision);
    }
  });
}

void cancellation_guard::StopUnlessConfirmed(const std::string& aJob,
                                             uint64_t aRevision)
{
  mAskScheduler(
    aJob, aRevision, [this, generation = mGeneration, aJob](bool aIsConfirmed) {
      if (generation != mGeneration) {
        return;
      }
      mObserved.erase(aJob);
      if (aIsConfirmed) {
        mRunsByJob.erase(aJob);
      } else {
        StopRuns(aJob);
      }
    });
}

void cancellation_guard::StopRuns(const std::string& aJob)
{
  const auto runs = mRunsByJob.extract(aJob);
  if (!runs) {
    return;
  }
  for (const auto& run : runs.mapped()) {
    Queue(run);
  }
  SendNext();
}

void cancellation_guard::Queue(const placed_run& aRun)
{
  auto& worker = mStops[{ aRun.mWorker.mId, aRun.mWorker.mAddress }];
  worker.mAddress = aRun.mWorker;
  worker.mPending.push_back({ aRun.mTask, aRun.mRun, mLoop.Now() });
}

void cancellation_guard::SendNext()
{
  for (auto& [key, worker] : mStops) {
    if (mInFlight == kMaxInFlight) {
      return;
    }
    if (!worker.mIsWaiting && !worker.mPending.empty()) {
      Send(worker);
    }
  }
}

void cancellation_guard::Send(worker_stops& aWorker)
{
  auto& stop = aWorker.mPending.front();
  ++stop.mAttempts;
  ++mInFlight;
  aWorker.mIsWaiting = true;
  stop_run_request request;
  request.mWorker = aWorker.mAddress;
  request.mTask = stop.mTask;
  request.mRun = stop.mRun;
  request.mFence = mFence;
  request.mOnNewConnection = true; // The kept ones may have died with the links.
  const worker_key key{ aWorker.mAddress.mId, aWorker.mAddress.mAddress };
  mWorkers.Stop(request,
                [this, generation = mGeneration, key](const run_answer& aAnswer) {
                  if (generation == mGeneration) {
                    const bool othersWait = mInFlight == kMaxInFlight;
                    --mInFlight;
                    OnAnswer(key, aAnswer.mStatus);
                    if (othersWait) {
                      SendNext();
                    }
                  }
                });
}

void cancellation_guard::OnAnswer(const worker_key& aKey, run_request_status aAnswer)
{
  auto& worker = mStops.at(aKey);
  if (aAnswer == run_request_status::kFenced) {
    GiveUpAfter(kTimeAfterRefusal);
    for (const auto& stop : worker.mPending) {
      Report(worker, stop, ToString(aAnswer));
    }
    mStops.erase(aKey);
    for (auto& [job, runs] : mRunsByJob) {
      std::erase_if(runs, [&](const auto& aRun) {
        return aRun.mWorker.mId == aKey.first && aRun.mWorker.mAddress == aKey.second;
      });
    }
    return;
  }
  if (!IsSettled(aAnswer)) {
    // The others that wait may be for runs that other calls reach sooner.
    std::rotate(
      worker.mPending.begin(), worker.mPending.begin() + 1, worker.mPending.end());
    RetryLater(aKey);
    return;
  }
  Report(worker, worker.mPending.front(), ToString(aAnswer));
  worker.mPending.pop_front();
  worker.mIsWaiting = false;
  if (worker.mPending.empty()) {
    mStops.erase(aKey);
  } else {
    Send(worker);
  }
}

void cancellation_guard::RetryLater(const worker_key& aKey)
{
  mLoop.RunAfter(kRetryDelay, [this, generation = mGeneration, aKey] {
    if (generation == mGeneration) {
      mStops.at(aKey).mIsWaiting = false;
      SendNext();
    }
  });
}

void cancellation_guard::Report(const worker_stops& aWorker,
                                const pending_stop& aStop,
                                const char* aAnswer) const
{
  mLog.Write(
    RunEvent("run_stop_after_term", aWorker.mAddress.mId, aStop.mTask, aStop.mRun)
      .Add("answer", aAnswer)
      .Add("attempts", aStop.mAttempts)
      .Add("ms", (mLoop.Now() - aStop.mSince).count())
      .Add("fence", static_cast<int64_t>(mFence)));
  mMetrics.Count("stops_after_term_total", "answer", aAnswer);
}

} // namespace anvildoor
