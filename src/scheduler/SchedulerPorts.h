#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "runs/WorkerDirectory.h"
#include "runs/WorkerRuns.h"
#include "scheduler/Evacuations.h"
#include "store/TransactionStore.h"

#include <functional>
#include <optional>
#include <string>

namespace anvildoor {

/** Receives an encoded term_summary, nothing, or why it could not be had. */
using summary_callback = std::function<void(const result<std::optional<std::string>>&)>;

/** The scheduler's interfaces to its environment. All must outlive it. */
struct scheduler_ports
{
  event_loop& mLoop;
  transaction_store& mStore;
  run_port& mWorkers;
  worker_directory& mDirectory;
  event_log& mLog;
  metrics& mMetrics;
  std::function<int64_t()> mUnixMs; ///< Returns the Unix time in ms.
  /** Asks the VM at an address for the encoded summary of a term before aFence. */
  std::function<
    void(const std::string& aAddress, uint64_t aFence, summary_callback aDone)>
    mAskForSummary;
};

struct scheduler_bounds
{
  run_bounds mRuns;
  /**
   * How long after its lease at the store a former scheduler may still send requests.
   * Leases that it requests by holds then end as if requested at the end of its own.
   */
  duration mRequestGracePastTerm{ 4'000 };
  /** Minimum time for which outcomes are shown. */
  duration mMinStatusRetention{ 120'000 };
  evacuation_settings mEvacuations;
  /** Time within which a guaranteed job begins, though others use its accelerators. */
  duration mReclaim{ 2'900 };
  /** Bound on the memory for jobs, over which no further ones are taken. */
  size_t mMaxJobBytes = 48'000'000;

  auto operator<=>(const scheduler_bounds&) const = default;
};

} // namespace anvildoor
