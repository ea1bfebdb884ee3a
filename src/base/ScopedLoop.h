#pragma once

#include "base/EventLoop.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace anvildoor {

/**
 * The tasks of one process on a loop that it may share. Stop drops all of them, so
 * that objects they refer to can be destroyed; Pause holds them back, as a frozen
 * process would.
 */
class scoped_loop : public event_loop
{
public:
  /** aParent must outlive the tasks given to this loop. */
  explicit scoped_loop(event_loop& aParent);
  ~scoped_loop() override;

  /** Drops every task that has not begun. Thread-safe. */
  void Stop();

  /** Holds back tasks that fall due from now on. Thread-safe. */
  void Pause();

  /** Runs what Pause held back, in order. Thread-safe. */
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
    std::vector<task> mHeld;
  };

  static void RunOrHold(const std::shared_ptr<state>& aState, const task& aTask);

  event_loop& mParent;
  std::shared_ptr<state> mState;
};

} // namespace anvildoor
