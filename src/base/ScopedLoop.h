#pragma once

#include "base/EventLoop.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace anvildoor {

/**
 * Runs the tasks of one process on an event loop that other processes may share. Stop
 * drops pending tasks, so that the objects they refer to can be destroyed. Pause defers
 * tasks, which simulates a frozen process. Thread-safe.
 */
class scoped_loop : public event_loop
{
public:
  /** aParent must outlive the tasks given to this loop. */
  explicit scoped_loop(event_loop& aParent);
  ~scoped_loop() override;

  /** Drops every task that has not started or is added later. Thread-safe. */
  void Stop();

  /** Defers tasks that become due from now on. Thread-safe. */
  void Pause();

  /** Queues the tasks that Pause deferred, in order. Thread-safe. */
  void Resume();

protected:
  time_point OnNow() const override { return mParent.Now(); }
  void OnRunAfter(duration aDelay, task aTask) override;

private:
  struct state
  {
    std::mutex mMutex;
    bool mStopped = false;
    bool mPaused = false;
    std::vector<task> mDeferredTasks;
  };

  static void RunOrDefer(const std::shared_ptr<state>& aState, const task& aTask);

  event_loop& mParent;
  std::shared_ptr<state> mState;
};

} // namespace anvildoor
