#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "entry/PeerQuery.h"
#include "jobs/JobState.h"
#include "scheduler/Election.h"
#include "scheduler/FleetScheduler.h"
#include "store/TransactionStore.h"

#include <deque>
#include <map>
#include <memory>

namespace anvildoor {

/** What became of a call about a job. */
enum class job_answer
{
  kAccepted,    ///< It is stored, or was before.
  kNotAccepted, ///< It is not stored and never runs from this call.
  kUnknown,     ///< No answer of the store came in time: it may be stored.
  kNotFound,
  kUnavailable, ///< The question cannot be answered now.
};

struct job_reply
{
  job_answer mAnswer = job_answer::kUnavailable;
  std::string mState; ///< For questions about the state.
  size_t mPending = 0;

  auto operator<=>(const job_reply&) const = default;
};

/**
 * Calls about jobs at one entry VM. A job is accepted once it is in the store; jobs
 * that arrive together share a transaction, and a repeat of an id finds the first one.
 * Its state is what the scheduler says, or what the store says where the scheduler is
 * not reached. One thread.
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
    const fleet_scheduler& mScheduler;
    /** Returns whether the store has answered within the last mStoreSilent. */
    std::function<bool()> mStoreReached;
    duration mStoreSilent{ 0 };
  };

  /** Everything in aPorts must outlive the service and its calls. */
  explicit job_service(const ports& aPorts);

  /**
   * Stores aJob, or says by aUntil what is known; sooner if the store falls silent, and
   * at once, possibly inside this call, if it is known to be.
   */
  void Submit(const accepted_job& aJob, time_point aUntil, respond aRespond);

  /** Records that the job is to end. aWorkspace: whose job it must be; empty: any. */
  void Cancel(const std::string& aId, const std::string& aWorkspace, respond aRespond);

  /** Answers with the state of the job. */
  void State(const std::string& aId, respond aRespond);

  /** Answers with the number of the queue's jobs without a started task. */
  void Pending(const std::string& aQueue, respond aRespond);

private:
  struct submission
  {
    accepted_job mJob;
    std::string mText;
    time_point mUntil{ 0 };
    std::vector<respond> mResponds;
    bool mMaybeStored = false; ///< A write of it got no answer.
    bool mInFlight = false;
  };
  struct pending_count
  {
    size_t mCount = 0;
    time_point mAt{ 0 };
  };

  void SendSoon(duration aAfter);
  void Send();
  void OnStored(const std::vector<std::string>& aIds,
                const result<transaction_outcome>& aOutcome);
  /** Logs and counts what a submission was answered. */
  void Report(const accepted_job& aJob, job_answer aAnswer, const char* aReason);
  void Finish(const std::string& aId, job_answer aAnswer, const char* aReason);
  void GiveUp(const std::string& aId, time_point aUntil, const char* aReason);
  void StateFromStore(const std::string& aId, const respond& aRespond);
  void PendingFromCache(const std::string& aQueue, const respond& aRespond);

  ports mPorts;
  std::map<std::string, submission> mOpen;
  std::deque<std::string> mQueue;
  std::map<std::string, pending_count> mPending;
  bool mSendScheduled = false;
};

} // namespace anvildoor
