#pragma once

#include "daemon/ConfigApi.h"
#include "daemon/JobsApi.h"
#include "daemon/RequestApi.h"

#include <functional>
#include <string>

namespace anvildoor {

/** Queries and controls of the VM itself. */
struct node_controls
{
  std::function<bool()> mIsReady;
  std::function<void()> mBeginDrain;
  std::function<std::string()> mStatusJson;
  std::function<std::string()> mMetricsText;
};

/**
 * Entry point for all API calls: routes a call to the endpoint of its path, and serves
 * the calls about the VM itself. Thread-safe.
 */
class node_api : public api_endpoint
{
public:
  node_api(const api_context& aContext, node_controls aControls);

protected:
  void OnServe(const api_call& aCall, const api_path& aPath, api_done aDone) override;

private:
  /** Serves paths under /v1; returns false if the path does not exist. */
  bool ServeVersion1(const api_call& aCall,
                     const api_path& aPath,
                     const api_done& aDone);
  void ServeFleet(const api_call& aCall, const api_done& aDone);
  void ServeExplain(const api_call& aCall,
                    const api_path& aPath,
                    const api_done& aDone);
  void ServeDrain(const api_call& aCall, const api_done& aDone);

  node_controls mControls;
  jobs_api mJobs;
  request_api mRequests;
  config_api mConfig;
};

} // namespace anvildoor
