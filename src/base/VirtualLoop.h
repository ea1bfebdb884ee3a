#pragma once

#include "base/EventLoop.h"

#include <cstdint>
#include <map>
#include <utility>

namespace anvildoor {

/**
 * Virtual time: tasks run in order of their due time, ties in order of arrival, and
 * the clock jumps from one to the next. Not thread-safe; for tests, golden sessions
 * and benchmarks.
 */
class virtual_loop : public event_loop
{
public:
  explicit virtual_loop(time_point aStart = time_point(0))
    : mNow(aStart)
  {
  }

  /** Runs every task due within aSpan and leaves the clock at its end. */
  void RunFor(duration aSpan);

  /** Runs until aDone holds or aLimit has passed; returns whether it holds. */
  bool RunUntil(const std::function<bool()>& aDone, duration aLimit);

  /** Returns how many tasks have run so far. */
  uint64_t Steps() const { return mSteps; }

protected:
  time_point OnNow() const override { return mNow; }
  void OnRunAfter(duration aDelay, task aTask) override;

private:
  using due = std::pair<time_point, uint64_t>;

  bool RunNext(time_point aEnd);

  time_point mNow;
  uint64_t mSequence = 0;
  uint64_t mSteps = 0;
  std::map<due, task> mTasks;
};

} // namespace anvildoor
