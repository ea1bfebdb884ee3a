#pragma once

#include "daemon/ApiPart.h"

namespace anvildoor {

/** Serves requests to upstreams under /v1/requests. Thread-safe. */
class request_api : public api_part
{
public:
  using api_part::api_part;

protected:
  void OnServe(const api_call& aCall, const api_path& aPath, api_done aDone) override;
};

} // namespace anvildoor
