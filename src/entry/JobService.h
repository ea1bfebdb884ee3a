#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "entry/JobCancellations.h"
#include "entry/JobReply.h"
#include "entry/PeerQuery.h"
#include "jobs/JobState.h"
#include "scheduler/Election.h"
#include "scheduler/FleetScheduler.h"
#include "store/TransactionStore.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace anvildoor {

/**
 * Serves the job calls of one entry VM. A job is accepted once it is in the store; jobs
 * that arrive together share a transaction, and resubmitting a stored id is accepted
 * without effect. Job states come from the scheduler, or from the store if the
 * scheduler is unreachable. Not thread-safe: all calls come from one thread.
 */
class job_service
{
public:
  using respond = std::function<void(const job_reply&)>;

  struct ports
  {
    event_loop& mLoop;
    transaction_store& mStore;
    peer_query& mPeers;
    event_log& mLog;
    metrics& mMetrics;
    const scheduler_election& mElection;
    fleet_scheduler& mScheduler;
    job_cancellations& mCancellations;
    /** Returns whether the store has answered within the last mStoreAnswerTimeout. */
    std::function<bool()> mStoreIsReachable;
    /** Returns whether the scheduler takes further jobs. */
    std::function<bool()> mIsIntakeOpen;
    duration mStoreAnswerTimeout{ 0 };
  };

  /** All references in aPorts must outlive the service and its calls. */
  explicit job_service(const ports& aPorts);

  /**
   * Stores aJob and answers by aDeadline. Answers earlier if the store stops
   * responding, and before returning if the store is already known to be unreachable or
   * no further jobs are taken.
   */
  void Submit(const accepted_job& aJob, time_point aDeadline, respond aRespond);

  /** See job_cancellations::Cancel. */
  void Cancel(const std::string& aId,
              const job_caller& aCaller,
              time_point aDeadline,
              respond aRespond)
  {
    mPorts.mCancellations.Cancel(aId, aCaller, aDeadline, std::move(aRespond));
  }

  /** Answers with the state of the job. */
  void State(const std::string& aId, respond aRespond);

  /** Answers with the number of jobs in the queue without a started task. */
  void Pending(const std::string& aQueue, respond aRespond);

private:
  struct submission
  {
    accepted_job mJob;
    std::string mEncodedJob;
    time_point mDeadline{ 0 };
    std::vector<respond> mResponders;
    bool mMaybeStored = false; ///< A write failed with an unknown effect.
    bool mInFlight = false;
  };
  struct pending_count
  {
    size_t mCount = 0;
    time_point mReceivedAt{ 0 };
  };

  void ScheduleBatch(duration aAfter);
  void SendBatch();
  void OnBatchOutcome(const std::vector<std::string>& aIds,
                      const result<transaction_outcome>& aOutcome);
  /** Logs and counts the answer to a submission. */
  void Report(const accepted_job& aJob, job_answer aAnswer, const char* aReason);
  void Finish(const std::string& aId, job_answer aAnswer, const char* aReason);
  void AbandonSubmission(const std::string& aId,
                         time_point aDeadline,
                         const char* aReason);
  void StateFromStore(const std::string& aId, const respond& aRespond);
  void PendingFromCache(const std::string& aQueue, const respond& aRespond);

  ports mPorts;
  std::map<std::string, submission> mSubmissions;
  std::deque<std::string> mQueue;
  std::map<std::string, pending_count> mPending;
  bool mBatchScheduled = false;
};

} // namespace anvildoor
