#pragma once

#include "base/EventLoop.h"
#include "runs/RunPort.h"

#include <deque>
#include <map>
#include <memory>

namespace anvildoor {

/** Simulated duration and outcome of the tasks of a payload. */
struct run_work
{
  duration mTime{ 1'000 };
  bool mFails = false;
  bool mLasts = false; ///< Runs until it is stopped; reports 100 % after mTime.

  auto operator<=>(const run_work&) const = default;
};

/** Record of one run, for tests and reports. */
struct run_trace
{
  std::string mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  time_point mBegan{ 0 };
  std::optional<time_point> mEnded;
  run_end mEnd = run_end::kLost;

  auto operator<=>(const run_trace&) const = default;
};

/**
 * Stand-in for one worker of the platform. Rejects orders with an outdated fence, ends
 * its runs when its lease expires, and lists ended runs until they are acknowledged.
 * A restarted worker is a new object. Not thread-safe: all calls come from one thread.
 */
class run_worker
{
public:
  using work_of = std::function<run_work(const std::string& aPayload)>;

  /**
   * aLoop and aTraces must outlive the worker. Leases longer than aLeaseMax are
   * shortened to it.
   */
  run_worker(event_loop& aLoop,
             std::string aId,
             int64_t aBornMs,
             duration aLeaseMax,
             work_of aWorkOf,
             std::vector<run_trace>& aTraces);
  ~run_worker();

  run_request_status Start(const start_run_request& aOrder);
  run_request_status Stop(const stop_run_request& aOrder);

  /**
   * Calls aDone immediately if the fence is outdated, ended runs are unacknowledged or
   * the order does not wait; otherwise at the next end of a run or after the wait.
   */
  void Hold(const hold_request& aOrder, std::function<void(const hold_reply&)> aDone);

  int64_t ClockMs() const { return (mLoop.Now() - mBegan).count() + 1; }
  const std::string& Id() const { return mId; }

private:
  struct active_run
  {
    uint32_t mRun = 0;
    size_t mTrace = 0;
    time_point mBegan{ 0 };
    run_work mWork;
  };

  hold_reply Reply() const;
  void End(const task_ref& aTask, run_end aEnd);
  void CheckLease();
  void Wake();

  event_loop& mLoop;
  std::string mId;
  int64_t mStartedAtMs;
  duration mLeaseMax;
  work_of mWorkOf;
  std::vector<run_trace>& mTraces;
  std::shared_ptr<bool> mAlive;
  time_point mBegan;
  uint64_t mFence = 0;
  int64_t mDeadline = 0;
  std::map<task_ref, active_run> mRuns;
  std::map<task_ref, uint32_t> mBarred; ///< Highest refused run of each task.
  std::deque<ended_run> mEnds;
  uint64_t mNextEnd = 1;
  std::vector<std::function<void()>> mWaiting;
};

} // namespace anvildoor
