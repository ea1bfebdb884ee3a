#pragma once

#include "base/EventLoop.h"

#include <memory>

namespace anvildoor {

/** Event loop in real time; runs tasks on a oneTBB arena. Thread-safe. */
class tbb_loop : public event_loop
{
public:
  /** Uses aThreads (>= 1) threads for tasks and one thread for timers. */
  explicit tbb_loop(int aThreads);
  ~tbb_loop() override;

  /** Drops pending tasks and waits for running ones. Must not be called by a task. */
  void Stop();

protected:
  time_point OnNow() const override;
  void OnRunAfter(duration aDelay, task aTask) override;

private:
  struct state;

  std::unique_ptr<state> mState;
};

} // namespace anvildoor
