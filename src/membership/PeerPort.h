#pragma once

#include "anvildoor/Error.h"
#include "gang/WorkerPort.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvildoor {

/** What one entry VM tells the others each second, and at once when it changes. */
struct peer_state
{
  std::string mVm;
  uint64_t mIncarnation = 0; ///< Differs for each start of the process.
  std::string mDataCentre;
  std::string mAddress;
  bool mLeaving = false;
  uint64_t mConfigVersion = 0;
  uint64_t mSchedulerEpoch = 0; ///< Of the latest scheduler it knows.
  std::string mSchedulerVm;     ///< "" if it knows none.
  std::vector<std::string> mBrokenAttempts;
  std::vector<std::string> mLeavingUpstreams;

  auto operator<=>(const peer_state&) const = default;
};

/** A configuration, whole or as a patch on the version that was asked from. */
struct config_transfer
{
  uint64_t mVersion = 0;
  bool mIsPatch = false;
  std::string mText;

  auto operator<=>(const config_transfer&) const = default;
};

/** A caller's call that another VM has to serve. */
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

/** What a session holder tells the scheduler about one worker. */
struct worker_status
{
  std::string mWorker;
  bool mLost = false; ///< Not heard from for longer than a lease.
  renew_reply mReply; ///< Unused when the worker is lost.

  auto operator<=>(const worker_status&) const = default;
};

struct worker_statuses
{
  std::string mReporter;
  uint64_t mEpoch = 0; ///< The scheduler's epoch that they are meant for.
  std::vector<worker_status> mStatuses;

  auto operator<=>(const worker_statuses&) const = default;
};

/** Calls to other entry VMs. Thread-safe; answers on the event loop, once. */
class peer_port
{
public:
  virtual ~peer_port() = default;

  /** Exchanges states; the answer is the peer's own. */
  void Heartbeat(const std::string& aAddress,
                 const peer_state& aState,
                 port_done<peer_state> aDone)
  {
    OnHeartbeat(aAddress, aState, std::move(aDone));
  }

  /** Reads the peer's configuration; aFrom is the version known here. */
  void PullConfig(const std::string& aAddress,
                  uint64_t aFrom,
                  port_done<config_transfer> aDone)
  {
    OnPullConfig(aAddress, aFrom, std::move(aDone));
  }

  /** Has the peer serve a call; kUnavailable only if it certainly did not. */
  void Forward(const std::string& aAddress,
               const forwarded_call& aCall,
               port_done<forwarded_answer> aDone)
  {
    OnForward(aAddress, aCall, std::move(aDone));
  }

  /** Tells the scheduler what has changed on workers. */
  void Report(const std::string& aAddress,
              const worker_statuses& aStatuses,
              port_done<accepted> aDone)
  {
    OnReport(aAddress, aStatuses, std::move(aDone));
  }

  /** Returns the lowest configuration version among the peer's live neighbours. */
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
                        const worker_statuses& aStatuses,
                        port_done<accepted> aDone) = 0;
  virtual void OnVersionInForce(const std::string& aAddress,
                                port_done<uint64_t> aDone) = 0;
};

/** The calls of other entry VMs as they arrive here. Thread-safe. */
class peer_service
{
public:
  virtual ~peer_service() = default;

  virtual peer_state OnPeerHeartbeat(const peer_state& aState) = 0;
  virtual config_transfer OnPeerPullConfig(uint64_t aFrom) = 0;
  virtual void OnPeerForward(const forwarded_call& aCall,
                             port_done<forwarded_answer> aDone) = 0;
  virtual result<accepted> OnPeerReport(const worker_statuses& aStatuses) = 0;
  virtual uint64_t OnPeerVersionInForce() = 0;
};

} // namespace anvildoor
