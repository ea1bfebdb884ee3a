#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "entry/CancellationGuard.h"
#include "entry/JobReply.h"
#include "entry/PeerQuery.h"
#include "jobs/JobOwners.h"
#include "scheduler/Election.h"
#include "scheduler/FleetScheduler.h"
#include "store/TransactionStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvildoor {

/**
 * Cancels jobs for the callers of one entry VM. A cancellation is stored first; then
 * the scheduler is told of it, as are former ones that may still reach workers, and the
 * caller is answered once the runs of the job are known to be stopped. Not thread-safe:
 * all calls come from one thread.
 */
class job_cancellations
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
    /** Returns whether this VM drains. */
    std::function<bool()> mIsDraining;
    /** Returns the owners of jobs by the policy in force; null: there is none yet. */
    std::function<std::shared_ptr<const job_owners>()> mOwners;
    /** How long after the end of a term its runs may go on without a successor. */
    duration mLongestLease{ 0 };
  };

  /** All references in aPorts must outlive this object and its calls. */
  explicit job_cancellations(const ports& aPorts)
    : mPorts(aPorts)
  {
  }

  /**
   * Records the cancellation of a job. Answers kForbidden if aCaller may not cancel it.
   * Answers kNotFound only if the job is not stored; an early cancellation is written
   * then, so that a submission that is under way isn't accepted any more.
   * Answers kAccepted once the workers that may have runs of the job have been told to
   * stop them. By aDeadline, or a limit after the cancellation was stored, it answers
   * kAccepted if the scheduler has applied it, and otherwise kUnconfirmed.
   */
  void Cancel(const std::string& aId,
              const job_caller& aCaller,
              time_point aDeadline,
              respond aRespond);

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

  /** Tells the scheduler of a stored cancellation. */
  struct cancel_notice
  {
    std::string mJob;
    uint64_t mRevision = 0;
    time_point mStoredAt{ 0 };
    int mAttempts = 0; ///< Made so far.
    pending_settlement mSettlement;
  };

  void CancelStored(const std::string& aId,
                    const job_caller& aCaller,
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
                              const job_caller& aCaller,
                              time_point aDeadline,
                              const finish_cancel& aFinish);
  void StoreEarlyCancellation(const std::string& aId,
                              const job_caller& aCaller,
                              time_point aDeadline,
                              const finish_cancel& aFinish);
  /** Returns whether the caller may cancel the job; logs who may instead if not. */
  bool CheckCaller(const accepted_job& aJob, const job_caller& aCaller) const;
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

  ports mPorts;
  uint64_t mEarlyCancelLease = 0; ///< Lease of cancellations without a job; 0: none.
  time_point mEarlyCancelLeaseUsableUntil{ 0 };
};

} // namespace anvildoor
