#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "jobs/JobOwners.h"
#include "planner/CapacityHeadroom.h"
#include "planner/DurationModel.h"
#include "planner/RackPatience.h"
#include "planner/TaskPlacement.h"
#include "runs/EndNotes.h"
#include "runs/WorkerDirectory.h"
#include "runs/WorkerHealth.h"
#include "runs/WorkerRuns.h"
#include "scheduler/CancelProgress.h"
#include "scheduler/Evacuations.h"
#include "scheduler/IdleJobs.h"
#include "scheduler/InboxMonitor.h"
#include "scheduler/InboxReader.h"
#include "scheduler/RecordWriter.h"
#include "scheduler/RequestLimits.h"
#include "scheduler/SchedulerPorts.h"
#include "scheduler/TermHealth.h"
#include "scheduler/TermRuns.h"
#include "scheduler/TermSummary.h"
#include "scheduler/WorkerPaces.h"

#include <map>
#include <memory>
#include <optional>

namespace anvildoor {

/**
 * Schedules the whole installation during one VM's term: reads accepted jobs from the
 * store, places their tasks on workers, starts and monitors the runs, and records their
 * results. State that must survive the term is durable in the store before it takes
 * effect: a placement before its start request, the end of a run before its
 * acknowledgement, an outcome before it is shown. Not thread-safe.
 */
class fleet_scheduler
{
public:
  /**
   * aOnFenced ends the term because another VM has a later one, aOnIncapable because
   * another VM may do the work that this one can't. aOnUnwritable lets the term run
   * out: this VM holds the runs, but the store takes no write of it. aOnImpaired is
   * called with true before the store says that the term is impaired, so that other VMs
   * may end it, and with false once the store no longer does.
   */
  fleet_scheduler(const scheduler_ports& aPorts,
                  const scheduler_bounds& aBounds,
                  std::function<void(const std::string& aReason)> aOnFenced,
                  std::function<void(const std::string& aReason)> aOnIncapable,
                  std::function<void(const std::string& aReason)> aOnUnwritable,
                  std::function<void(bool aIsImpaired)> aOnImpaired);
  ~fleet_scheduler();

  /**
   * Begins a term: reads the records from the store, then contacts every worker under
   * the new fencing token and continues scheduling. aPredecessor, if its fence is not
   * 0, is asked what the store does not know.
   */
  void Begin(const scheduler_term& aTerm, const scheduler_term& aPredecessor);

  /** Ends the term: sends no further requests and discards all state. */
  void End();

  /**
   * Returns the newest summary that this VM has, of its own last term or one that it
   * was told; nothing if there is none before aFence.
   */
  std::optional<term_summary> LastTermSummary(uint64_t aFence) const;

  /**
   * Returns the runs that may exist on the workers, but for those that have refused the
   * fencing token of the term; none without a term. Looks at all runs.
   */
  term_runs RunsOfTerm() const;

  bool Active() const { return mActive; }

  /** Returns whether the term has taken over the jobs and workers. */
  bool HasTakenOver() const { return mActive && mLoaded; }

  /** Returns what this VM can't do of the work of its term. */
  impairment Impairment() const { return mHealth.Current(); }

  /** Returns the number of transactions that this VM has sent as the scheduler. */
  uint64_t TransactionCount() const { return mWriter.TransactionCount(); }

  /**
   * Sets a function that returns the limits of requests to workers; they advance with
   * each renewal of the term.
   */
  void SetRequestLimits(std::function<request_limits()> aLimits);

  /**
   * Tells whether the store says that the intake is closed, as far as this VM knows.
   * The scheduler corrects that if it is wrong.
   */
  void ObserveIntake(bool aIsClosed);

  /**
   * Applies a cancellation without waiting for the inbox. The caller has stored it at
   * aRevision, which is not checked. Returns false if this VM does not schedule the
   * job, or not yet.
   */
  bool ObserveCancellation(const std::string& aJob, uint64_t aRevision);

  /**
   * Returns how far the cancellation of a job has got. Looks at its placed tasks
   * and at what was given up of them.
   */
  cancel_progress ProgressOfCancellation(const std::string& aJob) const;

  /**
   * Returns how many runs go on although their job ended, or they were told to stop,
   * more than 3 s ago. Looks at all runs.
   */
  size_t CountOverdueRuns() const;

  /** Sets the rules of queues and workspaces; aOwners must not be null. */
  void SetPolicy(std::shared_ptr<const job_owners> aOwners);

  /** Returns a job's state; nothing if it is unknown or the takeover is not done. */
  std::optional<std::string> StateOf(const std::string& aJob) const;

  /**
   * Returns the number of the queue's open jobs without a started task; nothing before
   * the takeover is done.
   */
  std::optional<size_t> PendingOf(const std::string& aQueue) const;

private:
  struct job_entry;
  struct worker_entry;
  struct takeover_state;
  struct takeover_cancels;
  struct unmatched_cancel
  {
    uint64_t mRevision = 0; ///< At which it was stored.
    time_point mReadAt{ 0 };

    auto operator<=>(const unmatched_cancel&) const = default;
  };

  // The takeover at the beginning of a term (FleetSchedulerTakeover.cpp).
  void Load();
  void ReadSummary(const std::shared_ptr<takeover_state>& aState);
  void ReadRange(const std::shared_ptr<takeover_state>& aState,
                 const std::string& aPrefix,
                 stored_range takeover_state::*aTarget);
  void ReadLastWrite(const std::shared_ptr<takeover_state>& aState);
  void ReadWorkers(const std::shared_ptr<takeover_state>& aState);
  void FinishRead(const std::shared_ptr<takeover_state>& aState);
  /** Repeats aRead, which failed, or gives way to another VM. */
  void RepeatRead(const error& aError, task aRead);
  void OnLoaded(const std::shared_ptr<takeover_state>& aState);
  /** Adds the jobs that were read, in slices, and their records. */
  void ApplyLoadedItems(const std::shared_ptr<takeover_state>& aState);
  void ApplyRecord(job_entry& aJob, const std::string& aRecord);
  void FinishTakeover(const takeover_state& aTakeover);
  /** Stops runs that the records show, but that are not to go on. */
  void StopLeftoverRuns();
  /** Applies the cancellations that were read. */
  takeover_cancels ApplyLoadedCancels(const takeover_state& aTakeover);
  void LogTakeover(const takeover_state& aTakeover,
                   const takeover_cancels& aCancels) const;
  /**
   * Notes a worker that is about to be given up in the records of its runs' jobs, so
   * that a successor asks it, too.
   */
  void RememberFormerPlaces(const worker_entry& aWorker);
  /** Returns the Unix time in ms before which all that was given up has lapsed. */
  int64_t OldestFormerPlaceMs() const;
  /** Keeps what a successor cannot read in the store. */
  void SaveSummary();
  void OnSummaryAnswer(takeover_state& aTakeover,
                       const result<std::optional<std::string>>& aAnswer);

  // Jobs and their records (FleetScheduler.cpp).
  void HandleInboxItem(const stored_item& aItem, inbox_source aSource);
  void HandleInboxRemoval(const std::string& aKey);
  void AddJob(const accepted_job& aJob, inbox_source aSource);
  /** Cancels a job by the cancellation that was stored at aRevision. */
  void CancelJob(const std::string& aId, uint64_t aRevision, inbox_source aSource);
  void WriteProgress(job_entry& aJob,
                     record_writer::urgency aUrgency,
                     std::function<void()> aDurable);
  std::string EncodeRecord(const std::string& aKey) const;
  /** Takes the starts back that wait for a record which the store has refused. */
  void OnRecordRefused(const std::string& aKey);
  void OnJobEnded(job_entry& aJob);
  /** Drops what is no longer needed of ended jobs; removes those that have expired. */
  void TidyEndedJobs();
  /** Opens or closes the intake by the memory that the jobs take. */
  void UpdateIntake();
  /**
   * Lets the term run out if the store has taken no write for too long, and writes to
   * the store that the term is impaired, or no longer is.
   */
  void CheckAbilities();
  /**
   * Returns how many of the workers that have been listed for a while answer holds. A
   * refusal is an answer, too.
   */
  worker_reach ReachOfWorkers() const;
  void ReportEvacuations();
  /** Forgets a job whose records have been removed from the store. */
  void OnJobRemoved(const std::string& aId);
  void ForgetRemovedJobs();

  // Workers: hold calls and ends of runs (FleetSchedulerWorkers.cpp).
  void PollDirectory();
  /** Applies a list that was requested at aRequestedAt. */
  void OnWorkersListed(const std::vector<listed_worker>& aListed,
                       time_point aRequestedAt);
  worker_entry& FindOrAddWorker(const std::string& aId);
  void ScheduleHold(worker_entry& aWorker, duration aAfter);
  void Hold(worker_entry& aWorker);
  void OnHoldAccepted(worker_entry& aWorker,
                      const hold_reply& aReply,
                      const hold_request& aRequest,
                      time_point aSentAt);
  /** Logs once a term how long its first answer of a worker took. */
  void LogFirstAnswer(const worker_entry& aWorker);
  void OnHoldFailed(worker_entry& aWorker, run_request_status aAnswer);
  /** Logs that a worker has started again under its id, as aSource shows. */
  void LogNewLife(const worker_entry& aWorker,
                  const char* aSource,
                  int64_t aStartedAtMs) const;
  /**
   * Asks a worker at once which life it is in, as aSource shows that it has started
   * again. aStartedAtMs: when, in Unix time; 0: unknown.
   */
  void OnNewLifeSuspected(worker_entry& aWorker,
                          const char* aSource,
                          int64_t aStartedAtMs);
  /** Handles the clock in an answer to a start or stop that was sent at aSentAt. */
  void ObserveClock(worker_entry& aWorker,
                    const char* aSource,
                    const run_answer& aAnswer,
                    time_point aSentAt);
  void ApplyRunEvents(worker_entry& aWorker, const std::vector<run_event>& aEvents);
  void ApplyRunEnd(worker_entry& aWorker, const run_event& aEvent);
  /** Measures the ends that a hold has acknowledged; logs them if they waited long. */
  void ReportNotedEnds(const worker_entry& aWorker,
                       const std::vector<end_note>& aNotes);
  /** Notes how long a worker has not answered, before run events are applied. */
  void NoteSilence(worker_entry& aWorker) const;
  /** Ends all runs of a worker that can have none any more. */
  void DropRuns(worker_entry& aWorker, run_end aEnd);
  void HandleUnexpectedRun(worker_entry& aWorker, const run_event& aEvent);
  void UpdateWorkerHealth(worker_entry& aWorker, const run_event& aEvent);
  void Tick();
  void CheckWorker(worker_entry& aWorker, time_point aNow);

  // Stops of runs, and what is logged of them (FleetSchedulerStops.cpp).
  void StopRun(worker_entry& aWorker,
               const task_ref& aTask,
               uint32_t aRun,
               const char* aReason);
  /** A stop that its worker has not answered. */
  struct unanswered_stop
  {
    time_point mSentAt{ 0 }; ///< Of the last request.
    task_ref mTask;
    uint32_t mRun = 0;

    auto operator<=>(const unanswered_stop&) const = default;
  };
  static std::vector<unanswered_stop> UnansweredStops(const worker_entry& aWorker);
  void OnStopAnswered(worker_entry& aWorker,
                      const task_ref& aTask,
                      uint32_t aRun,
                      time_point aSentAt);
  /** Repeats the unanswered stops that were sent before a call that was answered. */
  void RepeatLostStops(worker_entry& aWorker, time_point aBefore);
  void ScheduleStopRepeat(worker_entry& aWorker, duration aAfter);
  /** Repeats one stop, so that a worker that is silent or slow is not flooded. */
  void RepeatOldestStop(worker_entry& aWorker);
  /** Counts a stop request, and logs the first one and each doubling of the count. */
  void LogStop(worker_entry& aWorker,
               const task_ref& aTask,
               uint32_t aRun,
               const char* aReason,
               bool aIsSent);
  /** Logs an answer other than accepted, unless the one before was the same. */
  void LogStopAnswer(worker_entry& aWorker,
                     const task_ref& aTask,
                     uint32_t aRun,
                     run_request_status aAnswer);
  /** Forgets the stops of runs that are neither registered nor listed in aReply. */
  static void ForgetEndedStops(worker_entry& aWorker, const hold_reply& aReply);
  void StopTask(const job_entry& aJob, const task_ref& aTask, const char* aReason);
  void StopJob(const job_entry& aJob, const char* aReason);
  void StopGang(const job_entry& aJob,
                const task_ref& aTask,
                uint32_t aRun,
                const char* aReason);
  /** Stops the runs of a task, or of its whole gang, that is done without them. */
  void StopNewerRuns(const job_entry& aJob, const task_ref& aTask);
  static bool IsCancelled(const job_entry* aJob);
  /** Returns whether aWorker has been told to stop all runs of a job that it may have.
   */
  bool HasStoppedRunsOf(const std::string& aJob, const worker_entry& aWorker) const;
  /** Ends the term, as aWorker has received a newer fencing token. */
  void OnFencedBy(worker_entry& aWorker);
  /** Logs the end of a run, and measures it if its job was cancelled. */
  void ReportRunEnd(const worker_entry& aWorker,
                    const run_event& aEvent,
                    const job_entry* aJob,
                    bool aIsCurrent);
  /**
   * Logs and counts the first end of a member of a gang's run, which has been applied
   * to aJob. Does nothing for the further ones.
   */
  void ReportGangBroken(const worker_entry& aWorker,
                        const run_event& aEvent,
                        const job_entry& aJob);
  void LogUnexpectedRun(const worker_entry& aWorker,
                        const run_event& aEvent,
                        bool aIsStopped) const;

  // Runs that should be restarted on another worker (FleetSchedulerProgress.cpp).
  void CheckProgress(worker_entry& aWorker, time_point aNow);
  enum class run_verdict
  {
    kKeepRunning,
    kStalled,
    kWorkerLeaving, ///< Its worker drains and shuts down before the run would end.
  };
  /** Decides whether a run stays on its worker. Updates mDurations with its rate. */
  run_verdict EvaluateRun(worker_entry& aWorker,
                          job_entry& aJob,
                          const task_ref& aTask,
                          const run_info& aRun,
                          time_point aNow);
  void MoveRun(worker_entry& aWorker, const task_ref& aTask, run_verdict aVerdict);
  /**
   * Returns when the last member of a gang was confirmed; nothing if some member does
   * not run.
   */
  std::optional<time_point> LastGangStart(const job_entry& aJob,
                                          const task_ref& aTask) const;
  /** Compares the pace of a run with others of its step, once it is known. */
  void MeasurePace(worker_entry& aWorker,
                   const job_entry& aJob,
                   const task_ref& aTask,
                   const run_info& aRun);
  /** Updates the paces of the workers. */
  void UpdatePaces();
  /** Updates what mPaces tells of a worker. */
  void AdoptPace(worker_entry& aWorker) const;
  /** Updates mPaceWaits after a planning round. */
  void ObservePaceWaits(const placement_input& aInput,
                        const placement_plan& aPlan,
                        time_point aNow);
  /** Returns the slowest workers on which an occurrence can still be on time. */
  pace_class MinPaceOf(const placement_group& aGroup, const job_state& aState) const;
  /** Returns the run of a placed task on its worker; null if there is none. */
  const run_info* FindPlacedRun(const job_state& aState, const task_ref& aTask) const;
  /** Returns the expected remaining time of a run or of its whole gang. */
  duration ExpectedRemaining(const job_entry& aJob,
                             const task_ref& aTask,
                             time_point aNow) const;
  /**
   * Returns whether a run has had time to show progress. This holds for every run of a
   * single task. For a gang, all members must have started, and a member that started
   * well before the last one must have had two reports since.
   */
  bool HasHadTimeForProgress(const job_entry& aJob,
                             const task_ref& aTask,
                             const run_info& aRun,
                             time_point aNow) const;
  bool HasCrossRackTraffic(const job_entry& aJob,
                           const task_ref& aTask,
                           const worker_entry& aWorker) const;
  bool HasCapacityElsewhere(const worker_entry& aWorker,
                            const job_entry& aJob,
                            const task_ref& aTask,
                            time_point aNow) const;

  // Jobs that have nothing running (FleetSchedulerIdle.cpp).
  /** Tells the monitor, at most once in kIdlePeriod, which jobs are idle. */
  void ObserveIdleJobs();
  /** Returns a task whose turn has come if nothing of the job runs. */
  std::optional<idle_task> FindIdleTask(const job_entry& aJob, time_point aNow) const;
  /** Describes a placed task that does not run as far as is known; else nothing. */
  std::optional<idle_task> DescribePlaced(const job_state& aState,
                                          const task_ref& aTask,
                                          time_point aNow) const;
  /** Describes a task of the job that waits to be placed, if there is one. */
  std::optional<idle_task> DescribeWaiting(const job_entry& aJob,
                                           time_point aNow) const;

  // Planning and starting (FleetSchedulerPlanning.cpp).
  void SchedulePlan();
  void Plan();
  /** Logs and counts, at most once in kCapacityLogPeriod, what waits and why. */
  void ReportWaiting(const placement_input& aInput, const placement_plan& aPlan);
  void LogPlacements(const job_entry& aJob,
                     const std::vector<std::pair<task_ref, uint32_t>>& aRuns) const;
  void ExecutePlan(const placement_input& aInput,
                   const placement_plan& aPlan,
                   const std::vector<std::string>& aWorkerIds);
  void StopUnit(const preemption_unit& aUnit, const char* aReason);
  void SendStart(const task_ref& aTask, uint32_t aRun);
  void OnStartAnswer(const std::string& aWorker,
                     const task_ref& aTask,
                     uint32_t aRun,
                     const run_answer& aAnswer,
                     time_point aSentAt);

  // The input of a planning round (FleetSchedulerInput.cpp).
  static task_resources FreeResources(const worker_entry& aWorker);
  bool AcceptsStarts(const worker_entry& aWorker, time_point aNow) const;
  placement_input BuildInput(std::vector<std::string>& aWorkerIds);
  void AddGroups(job_entry& aJob, std::vector<placement_group>& aGroups);
  /** Returns how many tasks of a long-running step are not in service. */
  int64_t CountMissingTasks(const job_state& aState, const task_ref& aFirstTask) const;
  /**
   * Adds the runs that may be preempted. The resources of those that end before a stop
   * would end them count as being released.
   */
  void AddPreemptibleUnits(const std::vector<std::string>& aWorkerIds,
                           placement_input& aInput) const;
  std::map<const workspace_rule*, int64_t> DemandByWorkspace() const;
  bool IsWithinGuarantee(const job_entry& aJob) const;

  bool MaySendRequests() const;
  /** Returns until when the term's lease lasts for certain, if it has a limit. */
  time_point TermLeaseEnd() const;
  void OnFenced(const std::string& aReason);
  template<typename Callback>
  auto UnlessTermEnded(Callback aCallback);

  scheduler_ports mPorts;
  scheduler_bounds mBounds;
  std::function<void(const std::string&)> mOnFenced;
  std::function<void(const std::string&)> mOnIncapable;
  std::function<void(const std::string&)> mOnUnwritable;
  std::function<void(bool)> mOnImpaired;
  std::function<request_limits()> mRequestLimits;
  std::shared_ptr<const job_owners> mOwners; ///< By the policy in force.
  record_writer mWriter;
  inbox_monitor mInboxMonitor;
  idle_job_monitor mIdleJobs;
  time_point mIdleObservedAt{ 0 };
  inbox_reader mInbox;
  evacuations mEvacuations;
  scheduler_term mTerm;
  scheduler_term mPredecessor;
  std::optional<term_summary> mLastSummary; ///< The newest known; see LastTermSummary.
  /** Rises with each Begin and End; callbacks of older generations do nothing. */
  uint64_t mGeneration = 0;
  bool mActive = false;
  bool mLoaded = false;
  bool mPlanScheduled = false;
  bool mHasWorkerAnswered = false; ///< Whether a worker has accepted this term's token.
  time_point mTermBegunAt{ 0 };
  time_point mTakeoverReadAt{ 0 }; ///< When a read of the takeover last succeeded.
  std::map<std::string, std::unique_ptr<job_entry>> mJobs;
  /** Cancellations that were read before their job. */
  std::map<std::string, unmatched_cancel> mUnmatchedCancels;
  bool mIsIntakeClosed = false;        ///< Wanted by this term.
  bool mIsIntakeClosedInStore = false; ///< As last observed or written.
  time_point mIntakeWrittenAt{ 0 };
  /** Kept in mJobs while the inbox is listed, as a list may still contain them. */
  std::vector<std::string> mRemovedWhileListing;
  term_health mHealth;

  time_point mWorkersListedAt{ 0 }; ///< When the list of the workers last came.
  std::map<std::string, std::unique_ptr<worker_entry>> mWorkers;
  /** Workers of runs that no record shows, by task. The task waits until they end. */
  std::map<task_ref, std::string> mUnrecordedRuns;
  /** Workers reserved by the last planning round, by the first task of each step. */
  std::map<task_ref, std::vector<std::string>> mReserved;
  capacity_headroom mHeadroom;
  rack_patience mRackPatience;
  duration_model mDurations; ///< Learnt from the runs of this term.
  worker_paces mPaces;
  /** Since when waiting groups have waited for workers of their pace. */
  std::map<task_ref, time_point> mPaceWaits;
  duration mLastPlanDuration{ 0 }; ///< Duration of the last planning round.
  time_point mCapacityLoggedAt{ 0 };
  /** Accelerators of the open jobs of priority 0, by workspace. */
  std::map<const workspace_rule*, int64_t> mPriorityZeroDemand;
};

} // namespace anvildoor
