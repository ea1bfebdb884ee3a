#pragma once

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "routing/RequestFilter.h"
#include "routing/RetryBudget.h"
#include "routing/UpstreamPool.h"
#include "routing/UpstreamPort.h"

#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * The last filter of the chain. Queues requests until an upstream slot is free, sends
 * them and retries where that is safe. The queue order is urgent, interactive, batch;
 * a batch request that exceeds its maximum wait goes first. Thread-safe.
 */
class dispatch_filter : public request_filter
{
public:
  /** The references must outlive the filter. */
  dispatch_filter(event_loop& aLoop,
                  upstream_pool& aPool,
                  upstream_port& aPort,
                  event_log& aLog,
                  metrics& aMetrics);

  /** Returns the number of requests that wait for a slot. */
  size_t QueuedCount() const;

protected:
  void OnHandle(const shared_request& aRequest, answer_done aDone) override;

private:
  struct queued_request
  {
    shared_request mRequest;
    answer_done mDone;
    std::vector<std::string> mTriedUpstreams;
    int mAttempts = 0;
    bool mMayHaveRun = false; ///< The outcome of an earlier attempt is unknown.
  };

  void Enqueue(queued_request aQueued);
  void DispatchQueued();
  void ScheduleDispatchLocked();
  std::list<queued_request>::iterator NextRequestLocked();
  void Send(queued_request aQueued, const upstream_choice& aUpstream);
  void OnReply(queued_request aQueued,
               const std::string& aUpstream,
               const result<upstream_reply>& aReply);
  void OnRefused(queued_request aQueued, const std::string& aUpstream);
  void OnUnknownOutcome(queued_request aQueued,
                        const std::string& aUpstream,
                        const std::string& aReason);
  void Answer(const queued_request& aQueued, const request_answer& aAnswer);

  event_loop& mLoop;
  upstream_pool& mPool;
  upstream_port& mPort;
  event_log& mLog;
  metrics& mMetrics;
  retry_budget mRetryBudget;
  mutable std::mutex mMutex;
  std::list<queued_request> mQueue;
  bool mDispatchScheduled = false;
};

} // namespace anvildoor
