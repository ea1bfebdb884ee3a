#pragma once

#include "gang/WorkerPort.h"
#include "membership/VmDirectory.h"

#include <functional>
#include <memory>
#include <string>

namespace anvildoor {

/** Client for the platform's VM list over gRPC. Thread-safe. */
class grpc_vm_list : public vm_list_port
{
public:
  /** aLoop must outlive the object; aAddress is "IP:port". */
  grpc_vm_list(event_loop& aLoop, std::string aAddress);
  ~grpc_vm_list() override;

protected:
  void OnList(const std::string& aDataCentre, uint64_t aSince, done aDone) override;

private:
  struct stubs;

  event_loop& mLoop;
  std::string mAddress;
  std::unique_ptr<stubs> mStubs;
};

/** Client for the platform's workers over gRPC. Thread-safe. */
class grpc_workers : public worker_port
{
public:
  /** Returns the address of a worker, or "" if it is unknown. */
  using resolver = std::function<std::string(const std::string& aWorker)>;

  /** aLoop must outlive the object. */
  grpc_workers(event_loop& aLoop, resolver aResolver);
  ~grpc_workers() override;

protected:
  void OnPrepare(const std::string& aWorker,
                 const prepare_request& aRequest,
                 port_done<call_ack> aDone) override;
  void OnRelease(const std::string& aWorker,
                 uint64_t aEpoch,
                 const std::string& aAttempt,
                 port_done<call_ack> aDone) override;
  void OnStop(const std::string& aWorker,
              const stop_request& aRequest,
              port_done<member_report> aDone) override;
  void OnRenew(const std::string& aWorker,
               const renew_request& aRequest,
               port_done<renew_reply> aDone) override;

private:
  struct stubs;

  event_loop& mLoop;
  resolver mResolver;
  std::unique_ptr<stubs> mStubs;
};

} // namespace anvildoor
