#pragma once

#include "membership/PeerPort.h"
#include "rpc/PeerSecurity.h"

#include <memory>
#include <string>

namespace anvildoor {

/** Client for calls to other entry VMs over gRPC. Thread-safe. */
class grpc_peers : public peer_port
{
public:
  /** aLoop must outlive the object; aSecurity is shared by all entry VMs. */
  grpc_peers(event_loop& aLoop, const peer_security& aSecurity);
  ~grpc_peers() override;

protected:
  void OnHeartbeat(const std::string& aAddress,
                   const peer_state& aState,
                   port_done<peer_state> aDone) override;
  void OnPullConfig(const std::string& aAddress,
                    uint64_t aFrom,
                    port_done<config_transfer> aDone) override;
  void OnForward(const std::string& aAddress,
                 const forwarded_call& aCall,
                 port_done<forwarded_answer> aDone) override;
  void OnReport(const std::string& aAddress,
                const worker_status_report& aStatuses,
                port_done<call_ack> aDone) override;
  void OnVersionInForce(const std::string& aAddress,
                        port_done<uint64_t> aDone) override;

private:
  struct stubs;

  event_loop& mLoop;
  std::string mSecret;
  std::unique_ptr<stubs> mStubs;
};

/** gRPC server that passes the calls of other entry VMs to a peer_service. */
class grpc_peer_server
{
public:
  /** aService must outlive the server. */
  grpc_peer_server(peer_service& aService, const peer_security& aSecurity);
  ~grpc_peer_server();

  /** Listens on aAddress; kUnavailable if it cannot be bound. */
  status Listen(const std::string& aAddress);

  /** Stops the server; running calls have aGrace to finish. */
  void Shutdown(duration aGrace);

private:
  struct state;

  std::unique_ptr<state> mState;
};

} // namespace anvildoor
