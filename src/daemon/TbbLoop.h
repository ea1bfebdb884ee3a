#pragma once

#include "base/EventLoop.h"

#include <memory>

namespace anvildoor {

/** Real time; tasks run on the threads of a oneTBB arena. Thread-safe. */
class tbb_loop : public event_loop
{
public:
  /** Uses aThreads (>= 1) threads for tasks and one for timers. */
  explicit tbb_loop(int aThreads);
  ~tbb_loop() override;

  /** Drops what has not begun and waits for what has. Call it from outside a task. */
  void Stop();

protected:
  time_point OnNow() const override;
  void OnRunAfter(duration aDelay, task aTask) override;

private:
  struct state;

  std::unique_ptr<state> mState;
};

} // namespace anvildoor
