#pragma once

#include "base/EventLoop.h"
#include "runs/RunPort.h"
#include "standin/GangRegistry.h"

#include <deque>
#include <map>
#include <memory>

namespace anvildoor {

/** Simulated duration and outcome of the tasks of a payload. */
struct run_behaviour
{
  duration mDuration{ 1'000 };
  bool mFails = false;
  /** Runs until it is stopped; reports 100 % after mDuration. */
  bool mRunsUntilStopped = false;
  uint32_t mGangSize = 0; ///< Number of tasks of its gang; 0: it belongs to none.
  duration mCheckpointInterval{ 0 }; ///< Of work; 0: it makes no checkpoints.
  duration mSaved{ 0 };              ///< Work of earlier runs, which it resumes after.
  /** Work that its worker does in a unit of time; all spans above are of work. */
  double mPace = 1.0;

  auto operator<=>(const run_behaviour&) const = default;
};

/** Record of one run, for tests and reports. */
struct run_trace
{
  std::string mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  time_point mStartedAt{ 0 };
  std::string mPayload;    ///< That it was started with, as mCheckpoint.
  std::string mCheckpoint; ///< Empty: from scratch.
  /** The checkpoints that a list showed, each with the time when it first did. */
  std::vector<std::pair<time_point, std::string>> mHandedOut;
  std::optional<time_point> mEnded;
  run_end mEnd = run_end::kLost;
  std::optional<time_point> mListed; ///< When a list first showed the end.
  std::optional<time_point> mNoted;  ///< When a hold that acknowledged the end came.
  /** When the worker's lease lapsed with the end not acknowledged. */
  std::optional<time_point> mLapsed;
  /** When the worker ended with the end not acknowledged. */
  std::optional<time_point> mForgotten;

  auto operator<=>(const run_trace&) const = default;
};

/**
 * Stand-in for one worker of the platform. Rejects requests with an outdated fencing
 * token, ends its runs when its lease expires, and lists ended runs until they are
 * acknowledged. A restarted worker is a new object. Not thread-safe: all calls come
 * from one thread.
 */
class run_worker
{
public:
  using behaviour_resolver = std::function<run_behaviour(const start_run_request&)>;

  /**
   * aLoop, aGangs and aTraces must outlive the worker. Leases longer than aLeaseMax are
   * shortened to it.
   */
  run_worker(event_loop& aLoop,
             std::string aId,
             int64_t aStartedAtMs,
             duration aLeaseMax,
             behaviour_resolver aResolveBehaviour,
             gang_registry& aGangs,
             std::vector<run_trace>& aTraces);
  ~run_worker();

  run_request_status Start(const start_run_request& aRequest);
  run_request_status Stop(const stop_run_request& aRequest);

  /**
   * Calls aDone immediately if the fencing token is outdated, ended runs are
   * unacknowledged or aRequest has no wait; otherwise when the next run ends or after
   * the wait.
   */
  void Hold(const hold_request& aRequest, std::function<void(const hold_reply&)> aDone);

  /** Returns the worker's clock in milliseconds, which starts at 1. */
  int64_t ClockMs() const;
  /** Sets how fast the clock runs; 1: exactly. Only before the first request. */
  void SetClockRate(double aRate) { mClockRate = aRate; }
  const std::string& Id() const { return mId; }
  int64_t StartedAtMs() const { return mStartedAtMs; }

private:
  struct active_run
  {
    size_t mTraceIndex = 0;
    bool mIsWorking = false; ///< False while the rest of its gang isn't there.
    time_point mWorkingSince{ 0 };
    run_behaviour mBehaviour;
  };

  /** Returns the lists, and records in the traces that they show the ends. */
  hold_reply Reply();
  /** Forgets the ends up to aNumber. */
  void Acknowledge(uint64_t aNumber);
  /**
   * Returns the newest checkpoint of a run, which names the run and the work that it
   * stands for, and records that it was handed out. Empty if there is none.
   */
  std::string HandOutCheckpoint(const task_ref& aTask,
                                uint32_t aRun,
                                const active_run& aActive,
                                bool aIsStopped = false);
  /** Returns a run that is there; null if there is none. */
  active_run* FindRun(const task_ref& aTask, uint32_t aRun);
  void BeginWork(const task_ref& aTask, uint32_t aRun);
  void JoinGang(const task_ref& aTask, uint32_t aRun, uint32_t aGangSize);
  /** aTask is a copy, as it may name the key of the run that is erased. */
  void FinishRun(task_ref aTask, uint32_t aRun, run_end aEnd);
  void ScheduleLeaseExpiry();
  void AnswerPendingHolds();

  event_loop& mLoop;
  std::string mId;
  int64_t mStartedAtMs; ///< Start time that hold replies report.
  duration mLeaseMax;
  behaviour_resolver mResolveBehaviour;
  gang_registry& mGangs;
  std::vector<run_trace>& mTraces;
  std::shared_ptr<bool> mAlive; ///< Set to false on destruction, for pending timers.
  time_point mStartedAt;        ///< Start time on mLoop.
  double mClockRate = 1.0;
  uint64_t mFence = 0;
  int64_t mLeaseDeadlineMs = 0;
  /** A late start may add an earlier run of a task beside a later one. */
  std::map<std::pair<task_ref, uint32_t>, active_run> mRuns;
  /** Highest ended or stopped run of each task; starts up to it are refused. */
  std::map<task_ref, uint32_t> mRefusedUpTo;
  std::deque<ended_run> mUnacknowledgedEnds;
  std::deque<size_t> mUnacknowledgedTraces; ///< The traces of the same ends.
  uint64_t mNextEndNumber = 1;
  std::vector<std::function<void()>> mPendingHolds;
};

} // namespace anvildoor
