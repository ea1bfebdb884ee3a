#pragma once

#include "anvildoor/Error.h"
#include "gang/WorkerPort.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvildoor {

/** The state that an entry VM sends to its peers every second and after each change. */
struct peer_state
{
  std::string mVm;
  uint64_t mIncarnation = 0; ///< Rises with each start of the process.
  std::string mDataCentre;
  std::string mAddress;
  bool mLeaving = false;
  uint64_t mConfigVersion = 0;
  uint64_t mSchedulerEpoch = 0; ///< Epoch of the latest known scheduler.
  std::string mSchedulerVm;     ///< "" if no scheduler is known.
  std::vector<std::string> mBrokenAttempts;
  std::vector<std::string> mLeavingUpstreams;

  auto operator<=>(const peer_state&) const = default;
};

/** A complete configuration, or a patch to the version named in the request. */
struct config_transfer
{
  uint64_t mVersion = 0;
  bool mIsPatch = false;
  std::string mText;

  auto operator<=>(const config_transfer&) const = default;
};

/** An API call that is forwarded to another VM. */
struct forwarded_call
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::string mToken;
  std::string mIdempotencyKey;
  std::string mIfMatch;
  duration mTimeout{};

  auto operator<=>(const forwarded_call&) const = default;
};

struct forwarded_answer
{
  uint32_t mStatus = 0;
  std::string mBody;

  auto operator<=>(const forwarded_answer&) const = default;
};

/** Status of one worker, reported to the scheduler by the VM that holds its session. */
struct worker_status
{
  std::string mWorker;
  bool mLost = false; ///< No contact for longer than a lease.
  renew_reply mReply; ///< Unused if the worker is lost.

  auto operator<=>(const worker_status&) const = default;
};

struct worker_status_report
{
  std::string mReporter;
  uint64_t mEpoch = 0; ///< Epoch of the scheduler that is to receive the report.
  std::vector<worker_status> mStatuses;

  auto operator<=>(const worker_status_report&) const = default;
};

/**
 * Sends calls to other entry VMs. Each callback runs exactly once, on the event loop.
 * Thread-safe.
 */
class peer_port
{
public:
  virtual ~peer_port() = default;

  /** Sends the state of this VM; the answer is the state of the peer. */
  void Heartbeat(const std::string& aAddress,
                 const peer_state& aState,
                 port_done<peer_state> aDone)
  {
    OnHeartbeat(aAddress, aState, std::move(aDone));
  }

  /** Reads the peer's configuration. aFrom is the version that the caller holds. */
  void PullConfig(const std::string& aAddress,
                  uint64_t aFrom,
                  port_done<config_transfer> aDone)
  {
    OnPullConfig(aAddress, aFrom, std::move(aDone));
  }

  /**
   * Forwards a call to the peer. Fails with kUnavailable only if the peer certainly did
   * not serve the call.
   */
  void Forward(const std::string& aAddress,
               const forwarded_call& aCall,
               port_done<forwarded_answer> aDone)
  {
    OnForward(aAddress, aCall, std::move(aDone));
  }

  /** Reports changes in the status of workers to the scheduler. */
  void Report(const std::string& aAddress,
              const worker_status_report& aStatuses,
              port_done<call_ack> aDone)
  {
    OnReport(aAddress, aStatuses, std::move(aDone));
  }

  /** Reads the lowest configuration version of the live VMs that the peer sees. */
  void VersionInForce(const std::string& aAddress, port_done<uint64_t> aDone)
  {
    OnVersionInForce(aAddress, std::move(aDone));
  }

protected:
  virtual void OnHeartbeat(const std::string& aAddress,
                           const peer_state& aState,
                           port_done<peer_state> aDone) = 0;
  virtual void OnPullConfig(const std::string& aAddress,
                            uint64_t aFrom,
                            port_done<config_transfer> aDone) = 0;
  virtual void OnForward(const std::string& aAddress,
                         const forwarded_call& aCall,
                         port_done<forwarded_answer> aDone) = 0;
  virtual void OnReport(const std::string& aAddress,
                        const worker_status_report& aStatuses,
                        port_done<call_ack> aDone) = 0;
  virtual void OnVersionInForce(const std::string& aAddress,
                                port_done<uint64_t> aDone) = 0;
};

/** Handles calls from other entry VMs. Thread-safe. */
class peer_service
{
public:
  virtual ~peer_service() = default;

  virtual peer_state OnPeerHeartbeat(const peer_state& aState) = 0;
  virtual config_transfer OnPeerPullConfig(uint64_t aFrom) = 0;
  virtual void OnPeerForward(const forwarded_call& aCall,
                             port_done<forwarded_answer> aDone) = 0;
  virtual result<call_ack> OnPeerReport(const worker_status_report& aStatuses) = 0;
  virtual uint64_t OnPeerVersionInForce() = 0;
};

} // namespace anvildoor
