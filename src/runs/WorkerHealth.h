#pragma once

#include "anvildoor/Time.h"

#include <set>
#include <string>

namespace anvildoor {

/**
 * Tracks the health of a worker by the outcomes of its runs. A worker that fails runs
 * of several jobs without a success in between, or that refuses or does not answer a
 * start request, gets no new runs for a while. After failures it then gets a single
 * trial run. Reads no clock; not thread-safe.
 */
class worker_health
{
public:
  /** Records a run that completed. */
  void OnDone();

  /** Records a run of aJob that failed or stalled. */
  void OnFailed(const std::string& aJob, time_point aNow);

  /** Records a start request that was refused or not answered. */
  void OnStartFailed(time_point aNow);

  /** Returns whether the worker may get a new run. aRunning: number of its runs. */
  bool AcceptsRuns(time_point aNow, size_t aRunning) const;

  /**
   * Returns the penalty on the worker's placement score, in core equivalents. It grows
   * with the number of jobs that failed since the last run that completed.
   */
  double PlacementPenalty() const;

private:
  std::set<std::string> mFailedJobs; ///< Jobs failed since the last completed run.
  time_point mSuspendedUntil{ 0 };
  bool mOnTrial = false;
};

} // namespace anvildoor
