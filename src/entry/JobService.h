#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "entry/CancellationGuard.h"
#include "entry/PeerQuery.h"
#include "jobs/JobState.h"
#include "scheduler/Election.h"
#include "scheduler/FleetScheduler.h"
#include "store/TransactionStore.h"

#include <deque>
#include <map>
#include <memory>

namespace anvildoor {

/** Result of a job call. */
enum class job_answer
{
  kAccepted,    ///< The call succeeded; a submitted job is stored.
  kNotAccepted, ///< The job is not stored; this call does not cause it to run.
  kOverloaded,  ///< Like kNotAccepted, as too many jobs are open.
  kUnknown,     ///< The store did not answer in time; the job may be stored.
  kNotFound,
  kUnavailable, ///< The call cannot be answered now.
  kUnconfirmed, ///< The cancellation is stored; it is not known to be applied yet.
};

struct job_reply
{
  job_answer mAnswer = job_answer::kUnavailable;
  std::string mState;  ///< Set by State.
  size_t mPending = 0; ///< Set by Pending.

  auto operator<=>(const job_reply&) const = default;
};

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
    cancellation_guard& mGuard;
    /** Returns whether the store has answered within the last mStoreAnswerTimeout. */
    std::function<bool()> mStoreIsReachable;
    /** Returns whether the scheduler takes further jobs. */
    std::function<bool()> mIsIntakeOpen;
    /** Returns whether this VM drains. */
    std::function<bool()> mIsDraining;
    duration mStoreAnswerTimeout{ 0 };
    /** How long after the end of a term its runs may go on without a successor. */
    duration mLongestLease{ 0 };
  };

  /** All references in aPorts must outlive the service and its calls. */
  explicit job_service(const ports& aPorts);

  /**
   * Stores aJob and answers by aDeadline. Answers earlier if the store stops
   * responding, and before returning if the store is already known to be unreachable or
   * no further jobs are taken.
   */
  void Submit(const accepted_job& aJob, time_point aDeadline, respond aRespond);

  /**
   * Records the cancellation of a job. Answers kNotFound unless the job belongs to
   * aWorkspace; empty: any workspace. Of a job that is not stored an early cancellation
   * is written, so that a submission that is under way isn't accepted any more.
   * Answers kAccepted once the workers that may have runs of the job have been told to
   * stop them. By aDeadline, or a limit after the cancellation was stored, it answers
   * kAccepted if the scheduler has applied it, and otherwise kUnconfirmed.
   */
  void Cancel(const std::string& aId,
              const std::string& aWorkspace,
              time_point aDeadline,
              respond aRespond);

  /** Answers with the state of the job. */
  void State(const std::string& aId, respond aRespond);

  /** Answers with the number of jobs in the queue without a started task. */
  void Pending(const std::string& aQueue, respond aRespond);

private:
  /** What a cancellation is answered with. */
  struct cancel_outcome
  {
    job_answer mAnswer = job_answer::kUnavailable;
    uint64_t mRevision = 0;
    const char* mReason = "";
    duration mSettledAfter{ -1 }; ///< Since it was stored; negative: not settled.
  };
  using finish_cancel = std::function<void(const cancel_outcome&)>;
  /** A stored cancellation whose caller waits. */
  struct settlement
  {
    std::string mJob;
    uint64_t mRevision = 0;
    time_point mStoredAt{ 0 };
    uint64_t mAppliedFence = 0; ///< Of the last term that has applied it; 0: none.
    std::optional<time_point> mAppliedAt; ///< When that was last confirmed.
    bool mIsAnswered = false;
    finish_cancel mFinish;
  };
  using pending_settlement = std::shared_ptr<settlement>;

  struct submission
  {
    accepted_job mJob;
    std::string mEncodedJob;
    time_point mDeadline{ 0 };
    std::vector<respond> mResponders;
    bool mMaybeStored = false; ///< A write failed with an unknown effect.
    bool mInFlight = false;
  };
  /** Tells the scheduler of a stored cancellation. */
  struct cancel_notice
  {
    std::string mJob;
    uint64_t mRevision = 0;
    time_point mStoredAt{ 0 };
    int mAttempts = 0; ///< Made so far.
    pending_settlement mSettlement;
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
  void CancelStored(const std::string& aId,
                    const std::string& aWorkspace,
                    time_point aDeadline,
                    const finish_cancel& aFinish);
  /** Tells of a cancellation that has just been stored, and answers once it settles. */
  void OnCancelStored(const std::string& aId,
                      uint64_t aRevision,
                      time_point aDeadline,
                      const finish_cancel& aFinish);
  /** Asks the scheduler repeatedly, until it has settled the cancellation. */
  void AwaitSettlement(const pending_settlement& aSettlement);
  void OnProgress(const pending_settlement& aSettlement,
                  uint64_t aFence,
                  cancel_progress aProgress,
                  duration aRetryDelay);
  /** Reads whether a scheduler has recorded that the job has ended. */
  void CheckRecord(const pending_settlement& aSettlement);
  void NoteApplied(const pending_settlement& aSettlement, uint64_t aFence) const;
  /** Answers with what is known by the deadline. */
  void FinishUnsettled(const pending_settlement& aSettlement);
  /**
   * Stores an early cancellation, one of a job that is not stored: while it exists, no
   * VM stores the job, whose submission may be under way.
   */
  void CancelBeforeSubmission(const std::string& aId,
                              const std::string& aWorkspace,
                              time_point aDeadline,
                              const finish_cancel& aFinish);
  void StoreEarlyCancellation(const std::string& aId,
                              const std::string& aWorkspace,
                              time_point aDeadline,
                              const finish_cancel& aFinish);
  /** Logs and answers a cancellation that was asked for at aAskedAt. */
  void FinishCancel(const std::string& aId,
                    time_point aAskedAt,
                    const cancel_outcome& aOutcome,
                    const respond& aRespond);
  /**
   * Tells the scheduler of a stored cancellation, so that it need not wait for its
   * inbox, until the scheduler has applied it or for a limited time.
   */
  void NotifyScheduler(cancel_notice aNotice);
  /**
   * Tells former schedulers, too, since they may reach workers that a successor
   * doesn't, or there may be none yet.
   */
  void NotifyFormerSchedulers(const cancel_notice& aNotice);
  /** Logs the end of a notice that took more than one attempt. */
  void ReportNotice(const cancel_notice& aNotice, const char* aAnswer);
  void StateFromStore(const std::string& aId, const respond& aRespond);
  void PendingFromCache(const std::string& aQueue, const respond& aRespond);

  ports mPorts;
  std::map<std::string, submission> mSubmissions;
  std::deque<std::string> mQueue;
  std::map<std::string, pending_count> mPending;
  bool mBatchScheduled = false;
  uint64_t mEarlyCancelLease = 0; ///< Lease of cancellations without a job; 0: none.
  time_point mEarlyCancelLeaseUsableUntil{ 0 };
};

} // namespace anvildoor
