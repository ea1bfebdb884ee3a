#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"
#include "http/ReceiveBudget.h"

#include <string>

namespace anvildoor {

/** The settings of one entry VM on the platform. */
struct entry_settings
{
  std::string mVm;
  std::string mDataCentre;
  std::string mListenJobs;    ///< IP:port for callers.
  std::string mListenReady;   ///< IP:port for the platform's readiness checks.
  std::string mListenPeers;   ///< IP:port for queries from other entry VMs.
  std::string mListenMetrics; ///< IP:port for metrics; may be empty.
  std::string mStore;         ///< IP:port of the platform's store.
  duration mLeaseMax{ 6'000 };
  duration mMinStatusRetention{ 120'000 };
  duration mWorkerHeartbeatPeriod{ 1'500 };
  duration mStopGrace{ 6'000 }; ///< Time from SIGTERM until the VM must have stopped.
  /** How long after a request to evacuate a data centre starts there must have ceased;
   * 0: there are no such requests. */
  duration mEvacuationBound{ 0 };
  /** Time within which a guaranteed job begins, though others use its accelerators. */
  duration mReclaimBound{ 2'900 };
  duration mMinStoreLease{ 1'000 }; ///< Shortest lease that the store grants.
  double mCores = 1.0;              ///< Processor share in cores; may be a fraction.
  double mLinkMbps = 1'000;         ///< Bandwidth of this VM's network link.
  double mMemoryMb = 0;             ///< This VM's memory; 0: unknown.
  double mMaxFds = 0;               ///< Descriptors that it may open; 0: unknown.
  double mReceiveMb = 0;            ///< For callers' requests; 0: by its memory.
  double mConnections = 0;          ///< Of callers; 0: by its descriptors.

  auto operator<=>(const entry_settings&) const = default;
};

/**
 * Returns the limits on callers' requests and connections: as set, or else a quarter of
 * the memory and half of the descriptors, or else the defaults.
 */
receive_limits CallerReceiveLimits(const entry_settings& aSettings);

/**
 * Returns the limits on the other listeners together: a quarter of the callers' share,
 * so that readiness checks and other VMs are answered beside any number of callers.
 */
receive_limits InternalReceiveLimits(const entry_settings& aSettings);

/** Parses INI text; kInvalid names section and key. Unknown keys are ignored. */
result<entry_settings> ParseEntrySettings(const std::string& aFile,
                                          const std::string& aText);

/** Reads and parses a file; kNotFound if it cannot be read. */
result<entry_settings> LoadEntrySettings(const std::string& aFile);

} // namespace anvildoor
