#pragma once

#include "daemon/ConfigApi.h"
#include "daemon/JobsApi.h"
#include "daemon/RequestApi.h"

#include <functional>
#include <string>

namespace anvildoor {

/** What a VM says of itself and does to itself. */
struct node_controls
{
  std::function<bool()> mIsReady;
  std::function<void()> mBeginDrain;
  std::function<std::string()> mStatusJson;
  std::function<std::string()> mMetricsText;
};

/**
 * All calls of callers and operators: finds the part that serves a path, and answers
 * what concerns the VM itself. Thread-safe.
 */
class node_api : public api_part
{
public:
  node_api(const api_context& aContext, node_controls aControls);

protected:
  void OnServe(const api_call& aCall, const api_path& aPath, api_done aDone) override;

private:
  /** Serves what lies under /v1; false if there is no such path. */
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
