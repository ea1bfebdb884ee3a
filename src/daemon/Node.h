#pragma once

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "config/ConfigController.h"
#include "gang/BrokenAttempts.h"
#include "gang/JobJournal.h"
#include "gang/JobKeyClaims.h"
#include "gang/Scheduler.h"
#include "gang/WorkerSessions.h"
#include "http/ApiSupport.h"
#include "http/ApiTypes.h"
#include "membership/Membership.h"
#include "membership/SchedulerLease.h"
#include "membership/VmDirectory.h"
#include "routing/AdmissionFilter.h"
#include "routing/ClaimTable.h"
#include "routing/DispatchFilter.h"
#include "routing/RequestFilter.h"
#include "routing/UpstreamPool.h"

#include <atomic>
#include <memory>
#include <set>
#include <string>

namespace anvildoor {

/** External dependencies of an entry VM; all references must outlive the node. */
struct node_ports
{
  event_loop& mLoop;
  store_client& mStore;
  vm_list_port& mVmList;
  worker_port& mWorkers;
  peer_port& mPeers;
  upstream_port& mUpstreams;
  event_log& mLog;
};

struct node_settings
{
  vm_identity mIdentity;
  std::set<std::string> mOperatorTokenHashes;
  duration mVmListPeriod{ 1'000 };
  uint64_t mSeed = 1;

  auto operator<=>(const node_settings&) const = default;
};

/**
 * One entry VM: connects its controllers and filters through their ports. All entry VMs
 * run the same code; the VM that holds the lease is also the scheduler. Thread-safe.
 */
class node : public peer_service
{
public:
  node(const node_ports& aPorts, const node_settings& aSettings);
  ~node() override;

  /** Starts the periodic tasks. Call it once. */
  void Start();

  /** Serves one call from a caller or operator. */
  void Serve(const api_call& aCall, api_done aDone);

  /** Takes on no new role, gives up the scheduler role and notifies the peers. */
  void BeginDrain();

  /** Returns whether a drain has begun and no call or queued request is left. */
  bool IsDrained() const;
  bool IsDraining() const;

  /** Returns whether a configuration is loaded and no drain has begun. */
  bool IsReady() const;

  // Implements peer_service.
  peer_state OnPeerHeartbeat(const peer_state& aState) override;
  config_transfer OnPeerPullConfig(uint64_t aFrom) override;
  void OnPeerForward(const forwarded_call& aCall,
                     port_done<forwarded_answer> aDone) override;
  result<call_ack> OnPeerReport(const worker_status_report& aStatuses) override;
  uint64_t OnPeerVersionInForce() override;

  /** Returns the address of a worker of this data centre; "" if it is not listed. */
  std::string AddressOfWorker(const std::string& aWorker) const;

  scheduler& Scheduler() { return mScheduler; }
  config_controller& Config() { return mConfig; }
  membership& Members() { return mMembership; }
  upstream_pool& Upstreams() { return mUpstreamPool; }
  metrics& Metrics() { return mMetrics; }

private:
  void FillState(peer_state& aState) const;
  void OnPeerState(const peer_state& aState);
  void OnMembersChanged();
  void RefreshWorkerShare();
  void RefreshWatcher();
  void PullConfig(const std::string& aAddress);
  void ReportToScheduler(const worker_status_report& aStatuses,
                         std::function<void(bool)> aReportDone);
  bool MayAcquireLease();
  void RaiseEpoch(uint64_t aEpoch);
  bool HasOwnerEnded(const std::string& aOwner) const;
  void RunRequest(const request_spec& aSpec, answer_done aDone);
  std::string NewId();
  std::string StatusJson() const;
  std::string MetricsText();

  node_ports mPorts;
  node_settings mSettings;
  metrics mMetrics;
  vm_directory mDirectory;
  membership mMembership;
  broken_attempts mBroken;
  job_journal mJournal;
  scheduler_lease mLease;
  scheduler mScheduler;
  config_controller mConfig;
  worker_sessions mSessions;
  upstream_pool mUpstreamPool;
  claim_table mRequestClaims;
  job_key_claims mJobKeyClaims;
  token_verifier mTokens;
  dispatch_filter* mDispatch = nullptr; ///< Owned by mChain.
  std::unique_ptr<filter_chain> mChain;
  std::unique_ptr<class node_api> mApi;
  std::atomic<time_point> mSchedulerSeenAt{ time_point(0) };
  std::atomic<uint64_t> mEpoch{ 0 }; ///< Highest scheduler epoch seen.
  std::atomic<uint64_t> mIdCounter{ 0 };
  std::atomic<int64_t> mCallsInFlight{ 0 };
};

} // namespace anvildoor
