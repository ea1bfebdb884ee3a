#pragma once

#include "daemon/Node.h"

#include <functional>
#include <memory>
#include <string>

namespace anvildoor {

/**
 * The calls of callers and operators: checks them, serves them from the node's
 * controllers, and sends on to the scheduler's VM what only it can serve. Thread-safe.
 */
class node_api
{
public:
  /** aNode must outlive the object. */
  explicit node_api(node& aNode);

  /** Serves one call; aDone is called once. */
  void Serve(const api_call& aCall, api_done aDone);

private:
  /** Serves what lies under /v1; false if there is no such path. */
  bool ServeVersion1(const api_call& aCall,
                     const api_path& aPath,
                     const api_done& aDone);
  void ServeJobs(const api_call& aCall, const api_path& aPath, api_done aDone);
  void SubmitJob(const api_call& aCall, api_done aDone);
  void SubmitHere(const std::string& aId, const job_spec& aSpec, api_done aDone);
  void GetJob(const api_call& aCall, const api_path& aPath, api_done aDone);
  void CancelJob(const api_call& aCall, const api_path& aPath, api_done aDone);
  bool MayUseJob(const api_call& aCall, const std::string& aJob, api_answer& aRefusal);

  void ServeRequest(const api_call& aCall, api_done aDone);

  void ServeConfig(const api_call& aCall, const api_path& aPath, api_done aDone);
  void ChangeConfig(const api_call& aCall,
                    const config_change& aChange,
                    api_done aDone);
  void AwaitInForce(const shared_config& aConfig, api_done aDone);

  void ServeFleet(const api_call& aCall, api_done aDone);
  void ServeExplain(const api_call& aCall, const api_path& aPath, api_done aDone);
  void ServeDrain(const api_call& aCall, const api_done& aDone);
  void RefreshGauges();
  std::string StatusJson() const;

  /** Serves aCall at the scheduler's VM if that is another; false if it is this one. */
  bool ForwardToScheduler(const api_call& aCall, const api_done& aDone);

  node& mNode;
};

/** Waits until a configuration version is in force in every data centre it can reach.
 */
class in_force_wait : public std::enable_shared_from_this<in_force_wait>
{
public:
  using done = std::function<void(const std::map<std::string, std::string>&)>;

  /** The references must outlive the wait. */
  in_force_wait(event_loop& aLoop,
                peer_port& aPeers,
                membership& aMembers,
                const vm_directory& aDirectory,
                uint64_t aVersion,
                done aDone);

  /** Asks until every data centre has answered or the bound has passed. */
  void Run();

private:
  void AskAll();
  void Ask(const std::string& aDataCentre);
  void OnVersion(const std::string& aDataCentre, const result<uint64_t>& aAnswer);
  void FinishIfDone();

  event_loop& mLoop;
  peer_port& mPeers;
  membership& mMembers;
  const vm_directory& mDirectory;
  uint64_t mVersion;
  done mDone;
  time_point mDeadline;
  std::mutex mMutex;
  std::map<std::string, std::string> mState;
  std::map<std::string, size_t> mAsked;
  bool mFinished = false;
};

} // namespace anvildoor
