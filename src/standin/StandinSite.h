#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "gang/SimulatedWorker.h"
#include "http/ApiTypes.h"
#include "membership/VmDirectory.h"
#include "store/MemoryStore.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** Addresses and size of one stand-in site. */
struct standin_settings
{
  std::string mListenGrpc;    ///< Store, VM list and workers.
  std::string mListenControl; ///< Control interface over HTTP.
  std::string mUpstreamIp = "127.0.0.1";
  int mUpstreamPort = 7200; ///< Port of the first upstream; the others follow.
  std::vector<std::string> mDataCentres;
  std::vector<vm_record> mEntryVms;
  int mRacks = 2; ///< Per data centre.
  int mWorkersPerRack = 4;
  resources mWorker{ 8, 32, 65'536 }; ///< Capacity of each worker.
  int mUpstreams = 4;                 ///< Per data centre.
  int64_t mSlots = 8;                 ///< Per upstream.
  int64_t mConnections = 64;          ///< Per upstream.
  duration mListLag{ 0 };
};

/** One request that an upstream started to execute. */
struct upstream_run
{
  time_point mAt{};
  std::string mUpstream;
  std::string mRequestId;
  std::string mPayload;

  auto operator<=>(const upstream_run&) const = default;
};

/**
 * Stand-in for the platform: store, VM list with a configurable lag, workers and
 * upstreams. Injects faults on request, and records executed requests and tasks.
 * Thread-safe.
 */
class standin_site
{
public:
  /** aLoop must outlive the site. */
  standin_site(event_loop& aLoop, const standin_settings& aSettings);

  memory_store& Store() { return mStore; }

  /** Returns the worker with this id, or null. */
  simulated_worker* Worker(const std::string& aId);

  /**
   * Returns the changes of the VM list after version aSince, as a VM in aDataCentre
   * sees them. Each change becomes visible after mListLag.
   */
  vm_list_delta List(const std::string& aDataCentre, uint64_t aSince);

  /** Returns the records of all upstreams. */
  std::vector<vm_record> Upstreams() const;

  /** Serves POST /execute at one upstream. */
  void Execute(const std::string& aUpstream, const api_call& aCall, api_done aDone);

  /** Serves the control interface: fault injection, run records and store counts. */
  void Control(const api_call& aCall, const api_done& aDone);

private:
  struct upstream_state
  {
    vm_record mRecord;
    int64_t mActiveRequests = 0;
    bool mLeaving = false;
    bool mFailing = false;
  };
  struct listed_vm
  {
    vm_record mRecord;
    uint64_t mVersion = 0;
    time_point mVisibleFrom{};
  };

  void AddDataCentre(const std::string& aName, int& aPort);
  void PublishVm(const vm_record& aRecord);
  void FinishExecute(const std::string& aUpstream,
                     const std::string& aPayload,
                     const api_done& aDone);
  api_response SetStoreFaults(const std::string& aBody);
  api_response SetWorkerFaults(const std::string& aWorker, const std::string& aBody);
  api_response SetUpstreamFaults(const std::string& aUpstream,
                                 const std::string& aBody);
  std::string CountsJson() const;
  std::string RunsJson() const;

  event_loop& mLoop;
  standin_settings mSettings;
  memory_store mStore;
  std::map<std::string, std::unique_ptr<simulated_worker>> mWorkers;
  mutable std::mutex mMutex;
  std::map<std::string, upstream_state> mUpstreams;
  std::map<std::string, listed_vm> mListedVms;
  uint64_t mListVersion = 0;
  std::vector<upstream_run> mUpstreamRuns;
  std::vector<worker_event> mWorkerEvents;
};

} // namespace anvildoor
