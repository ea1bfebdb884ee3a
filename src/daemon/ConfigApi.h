#pragma once

#include "daemon/ApiEndpoint.h"

namespace anvildoor {

/** Serves workspaces, defaults and exceptions under /v1/config. Thread-safe. */
class config_api : public api_endpoint
{
public:
  using api_endpoint::api_endpoint;

protected:
  void OnServe(const api_call& aCall, const api_path& aPath, api_done aDone) override;

private:
  /**
   * Forwards a workspace whose guarantees apply in another data centre to that data
   * centre, which checks and stores it. Returns false if this VM handles the change.
   */
  bool ForwardToDataCentre(const api_call& aCall,
                           const config_change& aChange,
                           const api_done& aDone);
  void Change(const config_change& aChange, const api_done& aDone);
  void AwaitInForce(uint64_t aVersion, const api_done& aDone);
};

} // namespace anvildoor
