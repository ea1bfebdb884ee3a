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
  size_t Waiting() const;

protected:
  void OnHandle(const shared_request& aRequest, answer_done aDone) override;

private:
  struct pending
  {
    shared_request mRequest;
    answer_done mDone;
    std::vector<std::string> mTried;
    int mAttempts = 0;
    bool mMayHaveRun = false; ///< The outcome of an earlier attempt is unknown.
  };

  void Enqueue(pending aPending);
  void Pump();
  void PumpLaterLocked();
  std::list<pending>::iterator NextLocked();
  void Send(pending aPending, const upstream_choice& aUpstream);
  void OnReply(pending aPending,
               const std::string& aUpstream,
               const result<upstream_reply>& aReply);
  void OnRefused(pending aPending, const std::string& aUpstream);
  void OnUncertain(pending aPending,
                   const std::string& aUpstream,
                   const std::string& aReason);
  void Answer(const pending& aPending, const request_answer& aAnswer);

  event_loop& mLoop;
  upstream_pool& mPool;
  upstream_port& mPort;
  event_log& mLog;
  metrics& mMetrics;
  retry_budget mBudget;
  mutable std::mutex mMutex;
  std::list<pending> mQueue;
  bool mPumpPending = false;
};

} // namespace anvildoor
