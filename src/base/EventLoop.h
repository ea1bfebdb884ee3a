#pragma once

#include "anvildoor/Time.h"

#include <functional>

namespace anvildoor {

using task = std::function<void()>;

/**
 * Time and deferred work. Every controller takes its clock and its timers from here,
 * so that tests run on virtual time.
 */
class event_loop
{
public:
  virtual ~event_loop() = default;

  /** Returns the current time. Thread-safe. */
  time_point Now() const { return OnNow(); }

  /** Runs aTask soon, never inside this call. Thread-safe. */
  void Post(task aTask) { OnRunAfter(duration::zero(), std::move(aTask)); }

  /** Runs aTask once aDelay (>= 0 ms) has passed, never inside this call. Thread-safe.
   */
  void RunAfter(duration aDelay, task aTask) { OnRunAfter(aDelay, std::move(aTask)); }

protected:
  virtual time_point OnNow() const = 0;
  virtual void OnRunAfter(duration aDelay, task aTask) = 0;
};

/**
 * Calls aTask every aPeriod (> 0 ms) for as long as aLoop runs tasks.
 * aLoop must outlive the calls.
 */
void RunEvery(event_loop& aLoop, duration aPeriod, task aTask);

} // namespace anvildoor
