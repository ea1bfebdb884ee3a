#pragma once

#include "scheduler/FleetScheduler.h"

namespace anvildoor {

/** State of one job during a term. */
struct fleet_scheduler::job_entry
{
  explicit job_entry(const accepted_job& aJob)
    : mState(aJob)
    , mMemory(MemoryBound(aJob))
  {
  }

  job_state mState;
  /** The workspace that it belongs to by the policy in force; null: none. */
  const workspace_rule* mOwner = nullptr;
  size_t mMemory;        ///< Upper bound in bytes, without its open tasks.
  bool mHasTasks = true; ///< False once the tasks of an ended job have been dropped.
  uint64_t mCancelRevision = 0; ///< Of its cancellation; 0: none in this term.
  /** The outcome as it is durable in the store. */
  job_outcome mDurableOutcome = job_outcome::kOpen;
  /** Whether tasks may be waiting; the next planning round checks. */
  bool mMayHaveWaitingTasks = true;
  bool mIsBeingRemoved = false;  ///< The removal of its records has been queued.
  time_point mMayStartFrom{ 0 }; ///< Until then it is not placed.
  time_point mFirstSeenAt{ 0 };
  time_point mEndedAt{ 0 };
  /** Workers on which a task failed, stalled or could not be completed. */
  std::map<task_ref, std::set<std::string>> mAvoidedWorkers;
};

/** Reason logged when a gang's members are stopped because one of them has ended. */
constexpr const char* kGangMemberEndedReason = "another member of its gang ended";
/** Reason logged when a run of a task is stopped that needs no further run. */
constexpr const char* kDoneByEarlierRunReason =
  "an earlier run of the task has ended as done";

/** Returns an event with the fields that name a run and its worker. Thread-safe. */
log_event RunEvent(const char* aName,
                   const std::string& aWorker,
                   const task_ref& aTask,
                   uint32_t aRun);

/** The stop requests for one run, for the log. */
struct stop_calls
{
  uint32_t mCount = 0;
  time_point mFirstAt{ 0 };
  time_point mLastAt{ 0 };
  /** Whether the worker has answered one of the requests. */
  bool mIsAnswered = false;
  /** Answer to the last request; nothing while it is pending. */
  std::optional<run_request_status> mAnswer;
  std::optional<run_request_status> mLoggedAnswer;

  auto operator<=>(const stop_calls&) const = default;
};

/** State of one worker during a term. */
struct fleet_scheduler::worker_entry
{
  worker_entry(const std::string& aId, const run_bounds& aBounds)
    : mRuns(aBounds)
  {
    mListed.mId = aId;
  }

  listed_worker mListed;
  entry_observation mObservation;
  bool mIsListed = false;
  bool mHasRefusedToken = false; ///< It has received a newer fencing token.
  time_point mListedAt{ 0 }; ///< Since when it has been listed, or at a new address.
  double mPace = 1.0;        ///< As last known, relative to its pool.
  pace_class mPaceClass = pace_class::kUsual;
  worker_runs mRuns;
  worker_health mHealth;
  /** True while a hold call awaits its answer. */
  bool mHoldInFlight = false;
  /** Number of the last hold call; the answers to former ones are ignored. */
  uint64_t mHoldNumber = 0;
  /** Rises with each scheduled hold; timers of older generations do nothing. */
  uint64_t mHoldGeneration = 0;
  /**
   * How long the worker had not answered a hold when the run events being applied were
   * learned; nothing if it had not answered one in this term.
   */
  std::optional<duration> mSilence;
  time_point mAnsweredAt{ 0 }; ///< Of the last answer of any kind to a hold.
  /** True if the last hold call failed or got no answer. */
  bool mIsUnresponsive = false;
  uint64_t mFailedHolds = 0; ///< Since the last accepted hold, or the term's begin.
  end_notes mEndNotes;
  /** Runs that were told to stop and have not ended, by task and run number. */
  std::map<std::pair<task_ref, uint32_t>, stop_calls> mStops;
  /** True while a timer waits to repeat a stop that is not answered. */
  bool mRepeatsStops = false;
  /** Runs given up without a report of their end since the last accepted hold. */
  size_t mDroppedRuns = 0;
  /** Earliest time at which the draining worker shuts down, if it reported one. */
  std::optional<time_point> mEarliestShutdown;
};

/** Wraps a callback so that it does nothing after the end of the term. */
template<typename Callback>
auto fleet_scheduler::UnlessTermEnded(Callback aCallback)
{
  return [this, generation = mGeneration, callback = std::move(aCallback)](
           auto&&... aArguments) {
    if (generation == mGeneration) {
      callback(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

} // namespace anvildoor
