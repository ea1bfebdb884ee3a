#pragma once

#include "gang/WorkerPort.h"
#include "planner/FleetView.h"

#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** The phase of one attempt to run a gang. */
enum class gang_phase
{
  kPreparing,  ///< Workers are reserving capacity; no task may run.
  kCommitting, ///< All members are prepared; the commit is being recorded.
  kActive,     ///< Committed; members are being released and run.
  kStopping,   ///< All members are being stopped.
  kEnded,
};

const char* ToString(gang_phase aPhase);

/** The outcome of an attempt. */
enum class gang_outcome
{
  kNone,
  kCompleted,
  kNeverRan,    ///< No member was released.
  kFailed,      ///< A task failed.
  kInterrupted, ///< A member was lost or stopped; some members may have run.
};

/** The next step that the owner of a gang_run must take. */
enum class gang_action_kind
{
  kPrepare,
  kCommit,
  kRelease,
  kStop,
  kEnded,
};

struct gang_action
{
  gang_action_kind mKind = gang_action_kind::kEnded;
  std::string mWorker; ///< "" for kCommit and kEnded.

  auto operator<=>(const gang_action&) const = default;
};

/** Timeouts for the phases of an attempt, and the retry interval. */
struct gang_limits
{
  duration mPrepareTimeout{ 10'000 }; ///< From the first prepare call to the commit.
  duration mReleaseTimeout{ 6'000 };  ///< From the commit until all members run.
  duration mReportTimeout{ 30'000 };  ///< How long a member may stay unreported.
  duration mRetryInterval{ 100 };     ///< Between calls to the same member.

  auto operator<=>(const gang_limits&) const = default;
};

/**
 * One all-or-nothing attempt to run a gang: prepares every member, has the commit
 * recorded, then releases every member. A state machine without clock or I/O; each
 * event returns the actions that are due. Not thread-safe.
 */
class gang_run
{
public:
  using actions = std::vector<gang_action>;

  /** Creates an attempt at aPlacement, which must not be empty. */
  static gang_run Make(std::string aAttempt,
                       const placement& aPlacement,
                       const gang_limits& aLimits,
                       time_point aNow);

  /** Restores a committed attempt whose members have not reported yet. */
  static gang_run Resume(std::string aAttempt,
                         const placement& aPlacement,
                         const gang_limits& aLimits,
                         time_point aNow);

  /** Returns the first actions of an attempt. */
  actions Begin();

  actions OnPrepared(const std::string& aWorker,
                     const result<call_ack>& aAnswer,
                     time_point aNow);
  actions OnCommitted(time_point aNow);
  actions OnReleased(const std::string& aWorker,
                     const result<call_ack>& aAnswer,
                     time_point aNow);
  actions OnStopped(const std::string& aWorker,
                    const result<member_report>& aAnswer,
                    time_point aNow);

  /** Handles a worker's report on its part of the attempt. */
  actions OnReport(const std::string& aWorker,
                   const member_report& aReport,
                   time_point aNow);

  /**
   * Handles a full report that does not list this attempt. Ignores a report that
   * predates the preparation of the member.
   */
  actions OnMissing(const std::string& aWorker,
                    const renew_reply& aFullReport,
                    time_point aNow);

  /**
   * Handles the loss of a worker that has not replied for longer than its lease, so
   * that its tasks have stopped.
   */
  actions OnWorkerLost(const std::string& aWorker, time_point aNow);

  /** Stops all members. A gang whose members have all completed stays completed. */
  actions RequestStop(time_point aNow);

  /** Retries pending calls and enforces the timeouts. */
  actions OnTick(time_point aNow);

  const std::string& Attempt() const { return mAttempt; }
  gang_phase Phase() const { return mPhase; }

  /** Returns the outcome, or kNone until the phase is kEnded. */
  gang_outcome Outcome() const;

  /** Returns whether every member is running or has completed. */
  bool AllRunningOrCompleted() const;

  /** Returns whether any member may have run. */
  bool MayHaveRun() const;

  /** Returns the worker on which a task failed first, or "" if none failed. */
  const std::string& FailedWorker() const { return mFailedWorker; }
  const std::string& FailureReason() const { return mFailureReason; }
  const std::string& Result() const { return mResult; }
  const std::string& Checkpoint() const { return mCheckpoint; }

  /**
   * Returns the worker whose prepare call failed with an error other than kRefused, or
   * "".
   */
  const std::string& UnreachableWorker() const { return mUnreachableWorker; }

  std::vector<std::string> Workers() const;

private:
  enum class progress
  {
    /** No report since the resume, or since a release that returned kNotFound. */
    kUnknown,
    kIdle,
    kPrepared,
    kRunning,
    kCompleted,
    kFailed,
    kStopped,
    kNeverRan,
  };

  struct member
  {
    std::string mWorker;
    progress mProgress = progress::kIdle;
    bool mCallInFlight = false;
    bool mMayHaveRun = false;
    call_ack mPrepareAck; ///< The reply to the prepare call.
    time_point mNextTry{};
  };

  gang_run(std::string aAttempt,
           const placement& aPlacement,
           const gang_limits& aLimits,
           time_point aNow);

  member* Find(const std::string& aWorker);
  static bool IsEnded(const member& aMember);
  bool AllMembers(bool (*aPredicate)(const member&)) const;
  void ApplyReport(member& aMember, const member_report& aReport);
  actions Evaluate(time_point aNow);
  actions EvaluateActive(time_point aNow);
  actions TakeDueActions(time_point aNow);
  std::optional<gang_action_kind> DueAction(const member& aMember) const;
  bool IsOverdue(time_point aNow) const;
  void EnterStopping(time_point aNow);

  std::string mAttempt;
  gang_limits mLimits;
  gang_phase mPhase = gang_phase::kPreparing;
  time_point mPhaseSince{};
  std::vector<member> mMembers;
  std::string mFailedWorker;
  std::string mFailureReason;
  std::string mUnreachableWorker;
  std::string mResult;
  std::string mCheckpoint;
  bool mCommitted = false;
};

} // namespace anvildoor
