#pragma once

#include "runs/RunPort.h"
#include "runs/RunProgress.h"

#include <map>

namespace anvildoor {

/** Limits of leases and requests, from the installation's settings. */
struct run_bounds
{
  duration mLeaseMax{ 6'000 }; ///< Workers shorten longer leases to this.
  double mClockDrift = 0.02;   ///< How slow a worker's clock may run, as a fraction.
  duration mLeaseExpiryMargin{ 250 }; ///< Covers call latency and rounding.
  duration mHeartbeatPeriod{ 1'500 }; ///< Period at which workers write their entry.
  duration mStartDeadline{ 1'500 };   ///< Workers refuse a start that arrives later.
  /** How much later than it was sent a request may be carried out, at most. */
  duration mLongestDelay{ 12'000 };

  auto operator<=>(const run_bounds&) const = default;
};

/**
 * Returns for how long, at most, a worker's runs go on after a request that extended
 * its lease by aSpan was sent. Thread-safe.
 */
duration LongestLease(const run_bounds& aBounds, duration aSpan);

enum class run_phase
{
  kRequested, ///< The start was sent or is about to be; not yet confirmed.
  kConfirmed, ///< The worker has accepted or listed the run.
};

struct run_info
{
  uint32_t mRun = 0;
  int64_t mPriority = 0;
  run_phase mPhase = run_phase::kRequested;
  task_resources mResources;
  time_point mRegisteredAt{ 0 }; ///< When the run was registered.
  time_point mConfirmedAt{ 0 };  ///< When the worker confirmed the run.
  /** Deadline of the start request on the worker's clock; 0: not sent in this term. */
  int64_t mWorkerDeadlineMs = 0;
  /** Start time of the worker's life whose clock that is; 0: unknown. */
  int64_t mMeantForLifeMs = 0;
  bool mStopping = false;
  bool mStopAnswered = false;
  time_point mStopAnsweredAt{ 0 };
  time_point mStopSentAt{ 0 };
  run_progress mProgress;
  bool mIsMeasured = false; ///< Its pace has been compared with other runs.

  auto operator<=>(const run_info&) const = default;
};

/** What the lists have shown of a worker's directory entry. */
struct entry_observation
{
  uint64_t mHeartbeat = 0; ///< The heartbeat counter of the entry.
  /**
   * The earliest time at which the worker can have written mHeartbeat: when the last
   * list that still showed an earlier one was requested. 0: unknown.
   */
  time_point mHeartbeatSince{ 0 };
  time_point mSeenAt{ 0 };  ///< When the last list with the entry was requested.
  int64_t mStartedAtMs = 0; ///< Start time of the worker's life that wrote the entry.
  /** When a list first showed that life in place of another; 0: it has shown no other.
   */
  time_point mNewLifeSince{ 0 };

  auto operator<=>(const entry_observation&) const = default;
};

/**
 * Updates aObservation with the entry of a list that was requested at aRequestedAt.
 * aStartedAtMs: start time of the life that wrote it, 0: unknown. aWasListed: whether
 * the previous list contained the entry. Pure.
 */
void ObserveEntry(entry_observation& aObservation,
                  int64_t aStartedAtMs,
                  uint64_t aHeartbeat,
                  bool aWasListed,
                  time_point aRequestedAt);

/**
 * Returns whether a worker whose entry is missing from the list received at aNow has
 * removed the entry itself, so that nothing runs on it any more. The directory removes
 * an entry after three heartbeat periods without an update, so one that may be older
 * can belong to a worker that runs on without reaching the directory. So can one of a
 * worker that has started again less than these periods ago, as the directory may
 * have missed the updates of its former life. Pure.
 */
bool HasDeregistered(const entry_observation& aObservation,
                     duration aHeartbeatPeriod,
                     time_point aNow);

/** A change in a run, detected from an answer of its worker. */
struct run_event
{
  enum class kind
  {
    kEnded,      ///< See mEnd; mNumber must be acknowledged unless 0.
    kUnexpected, ///< The worker reports a run that is not registered.
    /**
     * A start without an answer that was ruled out in a former life may still reach the
     * new one, which knows neither the stop nor the clock that ruled it out.
     */
    kMayStart,
    kCheckpoint ///< The run has a newer checkpoint.
  };

  kind mKind = kind::kEnded;
  task_ref mTask;
  uint32_t mRun = 0;
  run_end mEnd = run_end::kLost;
  uint64_t mNumber = 0;
  std::string mCheckpoint;

  auto operator<=>(const run_event&) const = default;
};

/**
 * Tracks the runs that may exist on one worker, and its lease, from the requests sent
 * to it and its answers. A run is removed only once its end was reported, it can no
 * longer exist, or it can never have started. A worker may start again under its id;
 * what is known of one life of it, such as its clock, holds for no other, but requests
 * that were meant for one may be carried out by the next. Reads no clock; not
 * thread-safe.
 */
class worker_runs
{
public:
  explicit worker_runs(const run_bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  const std::map<task_ref, run_info>& Runs() const { return mRuns; }

  /** Records that the pace of a run has been measured. */
  void MarkMeasured(const task_ref& aTask) { mRuns.at(aTask).mIsMeasured = true; }

  /** Returns the resources of all runs, including those being stopped. */
  task_resources UsedResources() const;

  /** Returns whether the worker has answered a hold with the current fencing token. */
  bool HasAcceptedToken() const { return mHasAcceptedToken; }
  time_point LastAnswer() const { return mLastAnswer; }

  /** Returns a lower bound in ms of the worker's clock at aNow; 0: unknown. */
  int64_t ClockAt(time_point aNow) const;

  /**
   * Returns the latest lease end that a hold sent at aNow may request, on the worker's
   * clock; nothing if that clock is unknown. After aTermLeaseEnd, when the lease of the
   * scheduler's term at the store may have ended, it stays that of a hold sent then,
   * and nothing once that has passed.
   */
  std::optional<int64_t> LeaseDeadlineMs(
    time_point aNow,
    time_point aTermLeaseEnd = time_point::max()) const;

  /**
   * Returns whether a request sent at aSentAt, whose answer tells aClockMs, was
   * answered by another life of the worker than the last hold: the clock of each begins
   * anew. False if one of the clocks is unknown (0).
   */
  bool IsOfOtherLife(int64_t aClockMs, time_point aSentAt) const;

  /** Returns whether aReply is from another life of the worker than the last one. */
  bool IsOfNewLife(const hold_reply& aReply) const;

  /** Returns the deadline, on the worker's clock, of a start sent at aNow. */
  int64_t StartDeadlineMs(time_point aNow) const;

  /**
   * Returns when all runs have certainly been killed if no further hold arrives. In an
   * unknown life that includes runs of starts without an answer, which may still come.
   */
  time_point LeaseExpiresAt() const;

  /** Records that a hold with LeaseDeadlineMs of these times is sent at aNow. */
  void RecordLeaseRequest(time_point aNow,
                          time_point aTermLeaseEnd = time_point::max());

  /**
   * For a takeover: runs may go on until aUntil, as a previous scheduler may have
   * extended the lease.
   */
  void AssumeLeaseUntil(time_point aUntil)
  {
    mLeaseRequested = true;
    mLeaseExpiresAt = std::max(mLeaseExpiresAt, aUntil);
  }

  /**
   * Registers a run before its start is sent. aEstimate is the expected run time, 0 if
   * unknown. aResumes: the run starts from a checkpoint.
   */
  void RegisterStart(const task_ref& aTask,
                     uint32_t aRun,
                     const task_resources& aResources,
                     time_point aNow,
                     duration aEstimate = duration::zero(),
                     bool aResumes = false,
                     int64_t aPriority = 0);

  /** Registers a run that may exist according to the store or to the worker. */
  void RegisterExisting(const task_ref& aTask,
                        uint32_t aRun,
                        const task_resources& aResources,
                        time_point aNow,
                        duration aEstimate = duration::zero(),
                        bool aResumes = false,
                        int64_t aPriority = 0);

  /** Records a start sent at aNow with this deadline. It may extend the lease. */
  void RecordStartRequest(const task_ref& aTask,
                          uint32_t aRun,
                          int64_t aWorkerDeadlineMs,
                          time_point aNow);

  /** Returns whether the worker has answered after a hold extended its lease. */
  bool HasLease() const { return mHasLease; }

  /**
   * Records that the worker seems to have started again. Its clock is unknown and it
   * has no lease from then on, until a reply to a hold shows which life it is in. What
   * was sent with the clock of its former life may have given it the longest lease.
   */
  void SuspectNewLife(time_point aNow);

  /** Returns whether SuspectNewLife was called since the last reply to a hold. */
  bool IsLifeUnknown() const { return mIsLifeUnknown; }

  /** Handles the answer to a start request. Returns the resulting run ends. */
  std::vector<run_event> OnStartAnswer(const task_ref& aTask,
                                       uint32_t aRun,
                                       run_request_status aAnswer,
                                       time_point aNow);

  /**
   * Marks a run as being stopped. Returns false if it is not registered; another run of
   * its task that is registered goes on.
   */
  bool MarkStopping(const task_ref& aTask, uint32_t aRun, time_point aNow);
  void OnStopAnswer(const task_ref& aTask,
                    uint32_t aRun,
                    run_request_status aAnswer,
                    time_point aNow);

  /** Applies an accepted reply to a hold that was sent at aSentAt. */
  std::vector<run_event> OnHoldReply(const hold_reply& aReply,
                                     time_point aSentAt,
                                     time_point aNow);

  /** Ends every run with aEnd and discards all ends not yet acknowledged. */
  std::vector<run_event> DropAll(run_end aEnd);

  /**
   * Records that the end numbered aNumber is durable. Ignored if aWorkerStartedAtMs is
   * not the current incarnation.
   */
  void MarkDurable(int64_t aWorkerStartedAtMs, uint64_t aNumber);

  /** Returns the highest number up to which all ends are durable. */
  uint64_t Acknowledged() const { return mAcknowledged; }

  /**
   * Returns the number that a hold is to acknowledge, or 0. Another life of the worker
   * that a hold meets, late or at once, forgets ends up to the number that nobody has
   * read. So it is 0 once a hold that carried it has been answered, and while a start
   * may have reached such a life, which until then has no ends. A start without an
   * answer counts until its deadline.
   */
  uint64_t SendableAcknowledgement() const;
  int64_t WorkerStartedAtMs() const { return mWorkerStartedAtMs; }

  /** Returns whether a hold may acknowledge ends that none has acknowledged yet. */
  bool HasUnsentAcknowledgement() const { return SendableAcknowledgement() > mAckSent; }
  void RecordAckSent(uint64_t aNumber) { mAckSent = std::max(mAckSent, aNumber); }
  /** Records that a hold which acknowledged aNumber was answered by this life. */
  void RecordAckAnswered(uint64_t aNumber)
  {
    mAckAnswered = std::max(mAckAnswered, aNumber);
  }

private:
  run_event MakeEndEvent(const task_ref& aTask, uint32_t aRun, run_end aEnd) const;
  /**
   * Ends as lost the runs of the worker's former life. Runs that aReply lists are of
   * its new life and stay, as do those confirmed after aSentAt, which a later reply
   * decides, and those whose start may still arrive; the latter are marked as stopping.
   */
  std::vector<run_event> DropFormerLife(const hold_reply& aReply, time_point aSentAt);
  void ForgetLeaseAndEnds();
  /** Returns the unanswered starts that may still reach the worker's new life. */
  std::vector<run_event> TakeLateStarts(time_point aNow);

  run_bounds mBounds;
  std::map<task_ref, run_info> mRuns;
  /** Records that the lease may last until aSpan after aNow on the worker's clock. */
  void ExtendLeaseExpiry(time_point aNow, duration aSpan);

  /** When starts without an answer were given up on, by task and run. */
  std::map<std::pair<task_ref, uint32_t>, time_point> mUnansweredStarts;
  bool mHasAcceptedToken = false;
  bool mHasLease = false;
  bool mLeaseRequested = false;
  bool mIsLifeUnknown = false;
  time_point mLastAnswer{ 0 };
  int64_t mClockMs = 0;
  time_point mClockReadAt{ 0 };
  time_point mLeaseExpiresAt{ 0 };
  int64_t mWorkerStartedAtMs = 0;
  uint64_t mHighestSeenEnd = 0; ///< The highest number of a processed end.
  /** Processed ends by number, with whether they are durable. */
  std::map<uint64_t, bool> mUnacknowledgedEnds;
  uint64_t mAcknowledged = 0;
  uint64_t mAckSent = 0;
  uint64_t mAckAnswered = 0;
};

} // namespace anvildoor
