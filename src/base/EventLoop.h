#pragma once

#include "anvildoor/Time.h"

#include <functional>

namespace anvildoor {

using task = std::function<void()>;

/**
 * Clock and task queue. Every controller takes its time and timers from this interface,
 * so that tests can run on virtual time.
 */
class event_loop
{
public:
  virtual ~event_loop() = default;

  /** Returns the current time. Thread-safe. */
  time_point Now() const { return OnNow(); }

  /** Queues aTask to run without delay, never inside this call. Thread-safe. */
  void Post(task aTask) { OnRunAfter(duration::zero(), std::move(aTask)); }

  /**
   * Runs aTask once aDelay (>= 0 ms) has passed, never inside this call. Thread-safe.
   */
  void RunAfter(duration aDelay, task aTask) { OnRunAfter(aDelay, std::move(aTask)); }

protected:
  virtual time_point OnNow() const = 0;
  virtual void OnRunAfter(duration aDelay, task aTask) = 0;
};

/**
 * Runs aTask every aPeriod (> 0 ms) for as long as aLoop runs tasks; the first run is
 * one period from now. aLoop must outlive the runs.
 */
void RunEvery(event_loop& aLoop, duration aPeriod, task aTask);

} // namespace anvildoor
