#pragma once

#include "config/ConfigController.h"
#include "gang/JobKeyClaims.h"
#include "gang/Scheduler.h"
#include "http/ApiSupport.h"
#include "http/ApiTypes.h"
#include "membership/Membership.h"
#include "routing/Request.h"

#include <functional>
#include <string>

namespace anvildoor {

/** Dependencies of the API endpoints; all references must outlive them. */
struct api_context
{
  event_loop& mLoop;
  peer_port& mPeers;
  config_controller& mConfig;
  scheduler& mScheduler;
  membership& mMembership;
  vm_directory& mDirectory;
  job_key_claims& mJobKeyClaims;
  const token_verifier& mTokens;
  std::function<std::string()> mNewId; ///< Returns an id that is unique in the fleet.
  std::function<void(const request_spec&, answer_done)> mRunRequest;
};

/** Base class of the API endpoints for callers and operators. Thread-safe. */
class api_endpoint
{
public:
  explicit api_endpoint(const api_context& aContext);
  virtual ~api_endpoint() = default;

  /** Serves one call; aDone is called once. */
  void Serve(const api_call& aCall, const api_path& aPath, api_done aDone)
  {
    OnServe(aCall, aPath, std::move(aDone));
  }

protected:
  virtual void OnServe(const api_call& aCall,
                       const api_path& aPath,
                       api_done aDone) = 0;

  const api_context& Context() const { return mContext; }

  /**
   * Forwards aCall to the scheduler, or sends an error if there is none. Returns false
   * if this VM is the scheduler.
   */
  bool ForwardToScheduler(const api_call& aCall, const api_done& aDone) const;

  /**
   * Forwards aCall to another entry VM. If it may have arrived but no answer does, the
   * outcome is "unknown".
   */
  void Forward(const std::string& aAddress,
               const api_call& aCall,
               const api_done& aDone) const;

  /** Returns whether the caller may act for a workspace; sends the error if not. */
  bool MayActFor(const api_call& aCall,
                 const std::string& aWorkspace,
                 const api_done& aDone) const;

  /** Returns whether the caller is an operator; sends the error if not. */
  bool IsOperator(const api_call& aCall, const api_done& aDone) const;

  /**
   * Returns whether the caller may use a job of this VM's scheduler; sends the error if
   * not.
   */
  bool MayUseJob(const api_call& aCall,
                 const std::string& aJob,
                 const api_done& aDone) const;

private:
  api_context mContext;
};

/**
 * Returns the response to a body that could not be parsed: 400 if it is not JSON,
 * otherwise an error that names the field. Pure.
 */
api_response InvalidBodyResponse(const error& aError);

/** Returns the response to a method that a path does not support. Pure. */
api_response MethodNotAllowedResponse();

} // namespace anvildoor
