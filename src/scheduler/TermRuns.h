#pragma once

#include "runs/RunPort.h"

#include <vector>

namespace anvildoor {

/** A run that may exist on a worker. */
struct placed_run
{
  worker_address mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  /**
   * Revision at which its job's cancellation is stored, if a stop was due for that and
   * none has been accepted; 0 otherwise.
   */
  uint64_t mCancelRevision = 0;

  auto operator<=>(const placed_run&) const = default;
};

/** The runs of one term on workers that have not refused its fencing token. */
struct term_runs
{
  uint64_t mFence = 0; ///< Fencing token of the term; 0: there was no term.
  std::vector<placed_run> mRuns;
  bool mIsComplete = true; ///< Whether the term has taken over from its predecessor.

  auto operator<=>(const term_runs&) const = default;
};

} // namespace anvildoor
