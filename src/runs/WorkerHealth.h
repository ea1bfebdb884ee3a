#pragma once

#include "anvildoor/Time.h"

#include <set>
#include <string>

namespace anvildoor {

/**
 * Judges a worker by what became of the runs it was given. One that fails runs of
 * several jobs in a row, or leaves orders unanswered, gets no work for a while, then
 * one run as a trial. Pure: times are arguments. Not thread-safe.
 */
class worker_health
{
public:
  /** Notes a run that ended done. */
  void OnDone();

  /** Notes a run of aJob that failed or stood still. */
  void OnFailed(const std::string& aJob, time_point aNow);

  /** Notes an order that was refused or got no answer. */
  void OnNoAnswer(time_point aNow);

  /** Returns whether the worker takes new runs. aRunning: how many it has. */
  bool IsOpen(time_point aNow, size_t aRunning) const;

  /** Returns how many fewer tasks than others it should get; for ties. */
  double Reluctance() const;

private:
  std::set<std::string> mFailedJobs; ///< Since the last run that ended done.
  time_point mClosedUntil{ 0 };
  bool mOnTrial = false;
};

} // namespace anvildoor
