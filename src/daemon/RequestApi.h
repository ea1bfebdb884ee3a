#pragma once

#include "daemon/ApiEndpoint.h"

namespace anvildoor {

/** Serves requests to upstreams under /v1/requests. Thread-safe. */
class request_api : public api_endpoint
{
public:
  using api_endpoint::api_endpoint;

protected:
  void OnServe(const api_call& aCall, const api_path& aPath, api_done aDone) override;
};

} // namespace anvildoor
