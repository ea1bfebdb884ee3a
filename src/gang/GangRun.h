#pragma once

#include "gang/WorkerPort.h"
#include "planner/FleetView.h"

#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** How far one attempt to run a gang has come. */
enum class gang_phase
{
  kPreparing,  ///< Capacity is being held; nothing may run.
  kCommitting, ///< All members are prepared; the commit is being recorded.
  kActive,     ///< Committed: members are released and run.
  kStopping,   ///< Every member is being stopped.
  kEnded,
};

const char* ToString(gang_phase aPhase);

/** How an attempt ended. */
enum class gang_outcome
{
  kNone,
  kCompleted,
  kNeverRan, ///< No member was released.
  kFailed,   ///< A task failed.
  kBroken,   ///< A member was lost or stopped; some may have run.
};

/** What the owner of a gang_run has to do next. */
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
  std::string mWorker;

  auto operator<=>(const gang_action&) const = default;
};

/** Bounds on the phases of an attempt. */
struct gang_limits
{
  duration mPrepare{ 10'000 }; ///< From the first prepare to the commit.
  duration mRelease{ 6'000 };  ///< From the commit until every member runs.
  duration mUnknown{ 30'000 }; ///< How long a member may go unreported.
  duration mRetry{ 100 };      ///< Between tries at one member.

  auto operator<=>(const gang_limits&) const = default;
};

/**
 * One attempt to run a gang whole: prepare on every member, commit recorded, then
 * release. A state machine without clock or I/O; each event returns the actions due.
 * Not thread-safe.
 */
class gang_run
{
public:
  using actions = std::vector<gang_action>;

  /** Starts an attempt at aPlacement (not empty). */
  static gang_run Make(std::string aAttempt,
                       const placement& aPlacement,
                       const gang_limits& aLimits,
                       time_point aNow);

  /** Takes up a committed attempt whose members have yet to report. */
  static gang_run Resume(std::string aAttempt,
                         const placement& aPlacement,
                         const gang_limits& aLimits,
                         time_point aNow);

  /** Returns the first actions of an attempt. */
  actions Begin();

  actions OnPrepared(const std::string& aWorker,
                     const result<accepted>& aAnswer,
                     time_point aNow);
  actions OnCommitted(time_point aNow);
  actions OnReleased(const std::string& aWorker,
                     const result<accepted>& aAnswer,
                     time_point aNow);
  actions OnStopped(const std::string& aWorker,
                    const result<member_report>& aAnswer,
                    time_point aNow);

  /** A worker reported the attempt's state there. */
  actions OnReport(const std::string& aWorker,
                   const member_report& aReport,
                   time_point aNow);

  /**
   * A worker listed all it has, and the attempt was not among it. A list from before
   * the member was prepared says nothing.
   */
  actions OnMissing(const std::string& aWorker,
                    const renew_reply& aList,
                    time_point aNow);

  /** A worker has not been heard from for longer than a lease; its tasks are gone. */
  actions OnWorkerLost(const std::string& aWorker, time_point aNow);

  /** Stops every member; what completed whole before that stays completed. */
  actions RequestStop(time_point aNow);

  /** Retries what is due and enforces the bounds. */
  actions OnTick(time_point aNow);

  const std::string& Attempt() const { return mAttempt; }
  gang_phase Phase() const { return mPhase; }

  /** Returns the outcome once the phase is kEnded, kNone before. */
  gang_outcome Outcome() const;

  /** Returns whether every member runs or has completed. */
  bool IsWhole() const;

  /** Returns whether a member may have run. */
  bool MayHaveRun() const;

  /** Returns the worker on which a task failed first, and its reason. */
  const std::string& FailedWorker() const { return mFailedWorker; }
  const std::string& FailedReason() const { return mFailedReason; }
  const std::string& Result() const { return mResult; }
  const std::string& Checkpoint() const { return mCheckpoint; }

  /** Returns whether an attempt to prepare found a worker that did not answer. */
  const std::string& UnreachableWorker() const { return mUnreachableWorker; }

  /** Returns the workers of the gang. */
  std::vector<std::string> Workers() const;

private:
  enum class progress
  {
    kUnknown, ///< Resumed and not heard of.
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
    bool mCalling = false; ///< A call to the worker has not answered.
    bool mMayHaveRun = false;
    accepted mPrepared; ///< When it was prepared, in the worker's numbers.
    time_point mNextTry{};
  };

  gang_run(std::string aAttempt,
           const placement& aPlacement,
           const gang_limits& aLimits,
           time_point aNow);

  member* Find(const std::string& aWorker);
  static bool IsEnded(const member& aMember);
  bool All(bool (*aPredicate)(const member&)) const;
  void Learn(member& aMember, const member_report& aReport);
  actions Evaluate(time_point aNow);
  actions EvaluateActive(time_point aNow);
  actions CallDue(time_point aNow);
  std::optional<gang_action_kind> DueAction(const member& aMember) const;
  bool IsOverdue(time_point aNow) const;
  void EnterStopping(time_point aNow);

  std::string mAttempt;
  gang_limits mLimits;
  gang_phase mPhase = gang_phase::kPreparing;
  time_point mPhaseSince{};
  std::vector<member> mMembers;
  std::string mFailedWorker;
  std::string mFailedReason;
  std::string mUnreachableWorker;
  std::string mResult;
  std::string mCheckpoint;
  bool mCommitted = false;
};

} // namespace anvildoor
