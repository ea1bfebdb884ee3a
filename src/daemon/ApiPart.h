#pragma once

#include "config/ConfigController.h"
#include "gang/JobHome.h"
#include "gang/Scheduler.h"
#include "http/ApiSupport.h"
#include "http/ApiTypes.h"
#include "membership/Membership.h"
#include "routing/Request.h"

#include <functional>
#include <string>

namespace anvildoor {

/** What the parts of the interface for callers work with; all of it must outlive them.
 */
struct api_context
{
  event_loop& mLoop;
  peer_port& mPeers;
  config_controller& mConfig;
  scheduler& mScheduler;
  membership& mMembership;
  vm_directory& mDirectory;
  job_home& mJobHome;
  const token_check& mTokens;
  std::function<std::string()> mNewId; ///< Unique in the fleet.
  std::function<void(const request_spec&, answer_done)> mRunRequest;
};

/** One part of the interface for callers and operators. Thread-safe. */
class api_part
{
public:
  explicit api_part(const api_context& aContext);
  virtual ~api_part() = default;

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

  /** Serves aCall at the scheduler's VM if that is another; false if it is this one. */
  bool ForwardToScheduler(const api_call& aCall, const api_done& aDone) const;

  /** Has another entry VM serve aCall; the answer is "unknown" if none comes. */
  void Forward(const std::string& aAddress,
               const api_call& aCall,
               const api_done& aDone) const;

  /** Returns whether the caller may act for a workspace; answers if it may not. */
  bool MayActFor(const api_call& aCall,
                 const std::string& aWorkspace,
                 const api_done& aDone) const;

  /** Returns whether an operator calls; answers if none does. */
  bool IsOperator(const api_call& aCall, const api_done& aDone) const;

  /** Returns whether the caller may see a job of this VM's scheduler; answers if not.
   */
  bool MayUseJob(const api_call& aCall,
                 const std::string& aJob,
                 const api_done& aDone) const;

private:
  api_context mContext;
};

/** Answers a body that could not be read: 400 if it is no JSON, else the field. Pure.
 */
api_answer BodyRefusal(const error& aError);

/** Answers a method that a path does not take. Pure. */
api_answer MethodNotAllowed();

} // namespace anvildoor
