#pragma once

#include "entry/EntryNode.h"
#include "entry/PeerQuery.h"
#include "http/HttpPool.h"
#include "http/SingleThreadServer.h"

namespace anvildoor {

/**
 * Answers queries of other entry VMs from the local scheduler. Not thread-safe: all
 * calls come from one thread.
 */
class peer_api
{
public:
  /** aNode must outlive the API. */
  explicit peer_api(entry_node& aNode)
    : mNode(aNode)
  {
  }

  /**
   * Answers 200, 400 for a malformed number, 404 for what is unknown, or 421 if this VM
   * is not the scheduler.
   */
  void Serve(const server_request& aRequest,
             const single_thread_server::respond& aRespond) const;

private:
  server_reply SummaryFor(const std::string& aFence) const;
  /** Applies a notification; its arguments are a job and a revision, "JOB/REVISION". */
  server_reply ApplyCancellation(const std::string& aArguments) const;
  /** Like ApplyCancellation; answers once the cancellation is settled, or soon. */
  void AwaitCancellation(const std::string& aArguments,
                         const single_thread_server::respond& aRespond) const;

  entry_node& mNode;
};

/** Sends peer queries over HTTP. Not thread-safe: all calls come from one thread. */
class http_peer_query : public peer_query
{
public:
  /** aPool must outlive this object and its calls. */
  explicit http_peer_query(http_pool& aPool)
    : mPool(aPool)
  {
  }

protected:
  void OnStateOf(const std::string& aAddress,
                 const std::string& aJob,
                 done<std::string> aDone) override;
  void OnPendingOf(const std::string& aAddress,
                   const std::string& aQueue,
                   done<size_t> aDone) override;
  void OnSummaryOf(const std::string& aAddress,
                   uint64_t aFence,
                   done<std::string> aDone) override;
  void OnNotifyOfCancellation(const std::string& aAddress,
                              const std::string& aJob,
                              uint64_t aRevision,
                              done<std::string> aDone) override;
  void OnAwaitCancellation(const std::string& aAddress,
                           const std::string& aJob,
                           uint64_t aRevision,
                           done<cancel_progress> aDone) override;

private:
  http_pool& mPool;
};

} // namespace anvildoor
