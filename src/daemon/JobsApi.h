#pragma once

#include "daemon/ApiEndpoint.h"

namespace anvildoor {

/** Serves submission, state and cancellation of jobs under /v1/jobs. Thread-safe. */
class jobs_api : public api_endpoint
{
public:
  using api_endpoint::api_endpoint;

protected:
  void OnServe(const api_call& aCall, const api_path& aPath, api_done aDone) override;

private:
  void Submit(const api_call& aCall, const api_done& aDone);
  void SubmitHere(const std::string& aId, const job_spec& aSpec, const api_done& aDone);
  void Get(const api_call& aCall, const api_path& aPath, const api_done& aDone);
  void Cancel(const api_call& aCall, const api_path& aPath, const api_done& aDone);
};

} // namespace anvildoor
