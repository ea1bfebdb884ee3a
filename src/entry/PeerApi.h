#pragma once

#include "entry/PeerQuery.h"
#include "http/HttpPool.h"
#include "http/LightServer.h"
#include "scheduler/FleetScheduler.h"

namespace anvildoor {

/** Answers other VMs' questions from the scheduler of this one. One thread. */
class peer_api
{
public:
  /** aScheduler must outlive the API. */
  explicit peer_api(const fleet_scheduler& aScheduler)
    : mScheduler(aScheduler)
  {
  }

  /** Answers a call: 200, 404 for an unknown job, 421 if this VM does not schedule. */
  void Serve(const light_request& aRequest,
             const light_server::respond& aRespond) const;

private:
  const fleet_scheduler& mScheduler;
};

/** Asks them over HTTP. One thread. */
class http_peer_query : public peer_query
{
public:
  /** aPool must outlive the queries and their calls. */
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

private:
  http_pool& mPool;
};

} // namespace anvildoor
