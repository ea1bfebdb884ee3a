#pragma once

#include "base/EventLoop.h"

#include <cstdint>
#include <map>
#include <utility>

namespace anvildoor {

/**
 * Event loop on virtual time, for tests, golden sessions and benchmarks. Tasks run in
 * order of their due time, then of their arrival, and the clock advances to the due
 * time of each task. Not thread-safe: all calls come from one thread.
 */
class virtual_loop : public event_loop
{
public:
  explicit virtual_loop(time_point aStart = time_point(0))
    : mNow(aStart)
  {
  }

  /** Runs every task due within aSpan and advances the clock by aSpan. */
  void RunFor(duration aSpan);

  /** Runs tasks until aDone returns true or aLimit has passed; returns aDone(). */
  bool RunUntil(const std::function<bool()>& aDone, duration aLimit);

  /** Returns the number of tasks that have run. */
  uint64_t ExecutedTasks() const { return mExecutedTasks; }

protected:
  time_point OnNow() const override { return mNow; }
  void OnRunAfter(duration aDelay, task aTask) override;

private:
  using task_key = std::pair<time_point, uint64_t>;

  bool RunNext(time_point aEnd);

  time_point mNow;
  uint64_t mSequence = 0;
  uint64_t mExecutedTasks = 0;
  std::map<task_key, task> mTasks;
};

} // namespace anvildoor
