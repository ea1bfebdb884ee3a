#pragma once

#include "base/EventLoop.h"
#include "runs/RunPort.h"

#include <deque>
#include <map>
#include <memory>

namespace anvildoor {

/** How long the tasks of a payload run, and whether they fail. */
struct run_work
{
  duration mTime{ 1'000 };
  bool mFails = false;
  bool mLasts = false; ///< Runs until it is stopped; at work after mTime.

  auto operator<=>(const run_work&) const = default;
};

/** What tests and reports want to know of a run. */
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
 * One worker of a platform: starts, stops and holds runs under a fence, keeps a lease,
 * lists ends until they are acknowledged. One life; a restart is a new object. One
 * thread.
 */
class run_worker
{
public:
  using work_of = std::function<run_work(const std::string& aPayload)>;

  /** References must outlive the worker. aLeaseMax: longer leases are shortened. */
  run_worker(event_loop& aLoop,
             std::string aId,
             int64_t aBornMs,
             duration aLeaseMax,
             work_of aWorkOf,
             std::vector<run_trace>& aTraces);
  ~run_worker();

  order_answer Start(const start_order& aOrder);
  order_answer Stop(const stop_order& aOrder);

  /** Answers at once; aDone runs after the order's wait or at the next end. */
  void Hold(const hold_order& aOrder, std::function<void(const hold_reply&)> aDone);

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
  int64_t mBornMs;
  duration mLeaseMax;
  work_of mWorkOf;
  std::vector<run_trace>& mTraces;
  std::shared_ptr<bool> mAlive;
  time_point mBegan;
  uint64_t mFence = 0;
  int64_t mDeadline = 0;
  std::map<task_ref, active_run> mRuns;
  std::map<task_ref, uint32_t> mBarred; ///< Runs up to this one are refused.
  std::deque<ended_row> mEnds;
  uint64_t mNextEnd = 1;
  std::vector<std::function<void()>> mWaiting;
};

} // namespace anvildoor
