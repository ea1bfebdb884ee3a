#pragma once

#include "store/StoreClient.h"

#include <memory>
#include <string>

namespace anvildoor {

/** Client for the platform's store over gRPC. Thread-safe. */
class grpc_store : public store_client
{
public:
  /** aLoop must outlive the store; aAddress is "IP:port". */
  grpc_store(event_loop& aLoop, const std::string& aAddress);
  ~grpc_store() override;

protected:
  void OnGet(const std::string& aKey,
             store_done<std::optional<store_value>> aDone) override;
  void OnCas(const store_write& aWrite, store_done<uint64_t> aDone) override;
  void OnRemove(const std::string& aKey,
                uint64_t aVersion,
                store_done<uint64_t> aDone) override;
  void OnList(const std::string& aPrefix,
              store_done<std::vector<store_entry>> aDone) override;
  void OnWatch(const std::string& aKey,
               uint64_t aKnownVersion,
               duration aWait,
               store_done<std::optional<store_value>> aDone) override;
  void OnGrantLease(duration aTtl, store_done<uint64_t> aDone) override;
  void OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone) override;

private:
  struct connection;

  event_loop& mLoop;
  std::string mAddress;
  std::unique_ptr<connection> mConnection;
};

} // namespace anvildoor
