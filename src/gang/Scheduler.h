#pragma once

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "config/ConfigController.h"
#include "gang/BrokenAttempts.h"
#include "gang/GangRun.h"
#include "gang/JobJournal.h"
#include "gang/JobRecord.h"
#include "membership/PeerPort.h"
#include "membership/VmDirectory.h"
#include "planner/PlacementPolicy.h"
#include "planner/Quarantine.h"
#include "planner/RunTimeEstimator.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** The dependencies of a scheduler. The references must outlive it. */
struct scheduler_context
{
  event_loop& mLoop;
  worker_port& mWorkers;
  job_journal& mJournal;
  config_controller& mConfig;
  broken_attempts& mBroken;
  event_log& mLog;
  metrics& mMetrics;
  std::string mDataCentre;
  /** Returns the epoch of the lease, or 0 unless the lease is certainly held. */
  std::function<uint64_t()> mHeldEpoch;
  std::function<void()> mOnLeading; ///< Called after each completed takeover.
};

/** The result of a cancellation request. */
struct cancel_answer
{
  job_record mRecord;
  std::string mOutcome; ///< "not_run", "stopped", or the terminal state.

  auto operator<=>(const cancel_answer&) const = default;
};

/**
 * The scheduler of one data centre, active while this process holds the lease. Places
 * jobs with a placement_policy, takes gangs through prepare, commit and release, and
 * records durable state in the journal. Thread-safe.
 */
class scheduler
{
public:
  template<typename T>
  using done = std::function<void(result<T>)>;

  scheduler(const scheduler_context& aContext,
            std::unique_ptr<placement_policy> aPolicy);
  ~scheduler();

  /** Starts the periodic tasks. Must be called once. */
  void Start();

  /**
   * Takes over under aEpoch: loads the journal and resumes running gangs. A worker
   * receives no tasks until it has reported in full.
   */
  void StartLeading(uint64_t aEpoch);

  /** Stops scheduling. Running gangs continue and their records are kept. */
  void StepDown(const std::string& aReason);

  /** Returns whether the takeover is complete and the lease is still held. */
  bool IsLeading() const;

  /** Replaces the worker list. Workers that are no longer listed count as leaving. */
  void SetWorkers(const std::vector<vm_record>& aWorkers);

  /** Applies worker statuses; kFenced unless this scheduler leads in their epoch. */
  result<call_ack> OnStatuses(const worker_status_report& aStatuses);

  /**
   * Accepts a job under aId. A retry with the same id and specification returns the
   * job's current state. Errors: kInvalid with the field in mPeer, kNotFound for an
   * unknown workspace, kConflict if aId has a different specification, kExhausted if
   * the workspace's queue is full, kUnavailable if the job was not accepted,
   * kUnknownEffect if it may have been.
   */
  void Submit(const std::string& aId, const job_spec& aSpec, done<job_record> aDone);

  /** Cancels a job. Has no effect on a job that has ended. */
  void Cancel(const std::string& aId, done<cancel_answer> aDone);

  /** Calls aDone when the job has ended, or with its current state after aWait. */
  void Wait(const std::string& aId, duration aWait, done<job_record> aDone);

  /** Returns the current state of a job; kNotFound if it is unknown. */
  result<job_record> Find(const std::string& aId) const;

  /** Returns JSON that explains why a job is waiting or how it was scheduled. */
  result<std::string> Explain(const std::string& aId) const;

  /** Returns JSON that lists racks, workers, guarantees and fragmentation. */
  std::string FleetJson() const;

  /** Checks that the guarantees of aConfig fit the workers. */
  status CheckConfig(const fleet_config& aConfig) const;

private:
  struct worker_entry
  {
    vm_record mRecord;
    bool mReported = false; ///< A full report has arrived in this epoch.
    bool mLost = false;
    uint64_t mIncarnation = 0;
    uint64_t mSequence = 0;
    time_point mSuspectUntil{};
  };

  /** What to do with a job after its gang has stopped. */
  enum class stop_goal
  {
    kNone,
    kRequeue,
    kCancel,
  };

  struct job_entry
  {
    job_record mRecord;
    bool mDurable = false;
    std::optional<gang_run> mRun;
    std::set<std::string> mVictims; ///< Gangs that must stop before this one starts.
    stop_goal mStopGoal = stop_goal::kNone;
    duration mStopGrace{};
    time_point mEarliestStart{};
    int64_t mFailures = 0;
    bool mRecordingEnd = false; ///< The end of the run is being recorded.
    std::string mWaitReason;
    std::vector<std::string> mHistory;
    std::vector<done<job_record>> mWaiters;
    std::vector<done<cancel_answer>> mCancelWaiters;
  };
  using job_map = std::map<std::string, job_entry>;

  // Takeover and step-down.
  void OnJournalLoaded(uint64_t aEpoch,
                       result<std::map<std::string, job_record>> aRecords);
  void RestoreJob(const job_record& aRecord);
  bool HoldsLease() const;
  void ClearJobs();

  // Planning.
  void RequestPlan();
  void Plan();
  void PlanLocked();
  fleet_view FleetView() const;
  std::vector<running_gang> RunningGangs() const;
  std::vector<waiting_job> WaitingJobs() const;
  void ApplyStart(const start_decision& aStart);
  void StartIfUnblocked(job_entry& aJob);

  // Gangs.
  void Perform(job_entry& aJob, const gang_run::actions& aActions);
  void CallPrepare(job_entry& aJob, const std::string& aWorker);
  void CallRelease(job_entry& aJob, const std::string& aWorker);
  void CallStop(job_entry& aJob, const std::string& aWorker);
  void StopUntrackedAttempt(const std::string& aWorker, const std::string& aAttempt);
  void RecordCommit(job_entry& aJob);
  void OnGangEnded(job_entry& aJob);
  void EndAttempt(job_entry& aJob, const gang_run& aRun);
  void OnTaskFailed(job_entry& aJob, const gang_run& aRun);
  void Requeue(job_entry& aJob, const std::string& aReason);
  void Finish(job_entry& aJob, job_state aState, const std::string& aReason);
  void OnFinished(job_entry& aJob);
  void DiscardReports(const job_entry& aJob);
  void OnVictimStopped(const std::string& aJob);
  void StopGang(job_entry& aJob, stop_goal aGoal, duration aGrace);
  void ApplyStatus(const worker_status& aStatus);
  void ApplyMemberReports(const worker_status& aStatus);
  void Tick();

  /** Calls aBody under the lock if aAttempt is still the job's current attempt. */
  void WithRun(const std::string& aJob,
               const std::string& aAttempt,
               const std::function<void(job_entry&)>& aBody);
  void WithJob(const std::string& aJob, const std::function<void(job_entry&)>& aBody);
  void Record(job_entry& aJob, std::function<void(job_entry&)> aOnDurable);
  void AnswerWaiters(job_entry& aJob);
  status Validate(const job_spec& aSpec) const;
  status ValidateGuarantee(const job_spec& aSpec) const;
  size_t CountQueued(const std::string& aWorkspace) const;
  void AppendHistory(job_entry& aJob, const std::string& aText);
  job_record VisibleRecord(const job_entry& aJob) const;
  template<typename T>
  void Post(done<T> aDone, result<T> aAnswer) const;

  scheduler_context mContext;
  std::unique_ptr<placement_policy> mPolicy;
  mutable std::mutex mMutex;
  uint64_t mEpoch = 0;
  bool mLeading = false;
  uint64_t mAttemptCounter = 0;
  std::map<std::string, worker_entry> mWorkers;
  job_map mJobs;
  std::map<std::string, std::string> mJobOfAttempt;
  run_time_estimator mEstimator;
  quarantine mQuarantine;
  bool mPlanRequested = false;
  time_point mLastPlanTime{
    -1'000
  }; ///< Initially early enough not to delay the first round.
};

} // namespace anvildoor
