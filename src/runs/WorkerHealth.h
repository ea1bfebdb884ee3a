#pragma once

#include "anvildoor/Time.h"

#include <set>
#include <string>

namespace anvildoor {

/**
 * Tracks the health of a worker by the outcomes of its runs. A worker that fails runs
 * of several jobs without a success, or does not answer a request, gets no new runs for
 * a while. After failures it then gets a single trial run. Reads no clock; not
 * thread-safe.
 */
class worker_health
{
public:
  /** Records a run that completed. */
  void OnDone();

  /** Records a run of aJob that failed or stalled. */
  void OnFailed(const std::string& aJob, time_point aNow);

  /** Records a request that was refused or not answered. */
  void OnNoAnswer(time_point aNow);

  /** Returns whether the worker may get a new run. aRunning: its current runs. */
  bool AcceptsRuns(time_point aNow, size_t aRunning) const;

  /** Returns a penalty on the placement score, per job that failed recently. */
  double PlacementPenalty() const;

private:
  std::set<std::string> mFailedJobs; ///< Since the last run that completed.
  time_point mSuspendedUntil{ 0 };
  bool mOnTrial = false;
};

} // namespace anvildoor
