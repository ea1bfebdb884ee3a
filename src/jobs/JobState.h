#pragma once

#include "jobs/GivenUpRuns.h"
#include "jobs/JobSpec.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace anvildoor {

/** Identifies one task of a job. */
struct task_ref
{
  std::string mJob;
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;
  uint32_t mIndex = 0;

  auto operator<=>(const task_ref&) const = default;
};

/** How a run of a task ended. */
enum class run_end
{
  kDone,
  kFailed,         ///< Failed due to the task or its worker; counts as an attempt.
  kStopped,        ///< Stopped on request.
  kLeaseExpired,   ///< The lease of its worker expired.
  kGangBroken,     ///< Another member of its gang ended.
  kGangIncomplete, ///< Timed out waiting for the rest of its gang.
  kLost,           ///< The worker restarted or left.
  kNotStarted,     ///< The start was refused or can no longer take effect.
};

const char* ToString(run_end aEnd);

enum class job_outcome
{
  kOpen,
  kDone,
  kFailed,
  kCancelled,
};

const char* ToString(job_outcome aOutcome);

/**
 * The stored state of one task. Of a done task whose latest run has ended, only mDone
 * is kept.
 */
struct task_progress
{
  uint32_t mRun = 0;   ///< Number of the latest run; 0: never started.
  std::string mWorker; ///< Where the latest run may exist; empty: none.
  bool mDone = false;
  uint32_t mFailedRuns = 0; ///< Failed runs; a gang counts them on its first member.
  std::string mCheckpoint;  ///< The newest checkpoint; empty: none.

  auto operator<=>(const task_progress&) const = default;
};

/** A worker that may run what was given up of a job, until its lease lapses. */
struct former_place
{
  std::string mWorker;
  std::string mAddress;
  int64_t mGivenUpAtMs = 0; ///< Unix time in ms.

  auto operator<=>(const former_place&) const = default;
};

/** The effects of a run's end on its job. */
struct end_effect
{
  bool mIsLatestRun = false; ///< The run was the latest one of its task.
  bool mTaskDone = false;    ///< The task was not done before this end.
  bool mJobFinished = false; ///< This end decided the outcome of the job.
  bool mGangBroken = false;  ///< The other members of the gang must stop.
  bool mIsCounted = false;   ///< This end made its run count as a failed one.

  auto operator<=>(const end_effect&) const = default;
};

/**
 * The state machine of one job: decides which tasks may start, applies the ends of
 * their runs and determines the outcome. Its memory grows with the open tasks, those
 * that have had a run and are not done, and by a bit for each task of an occurrence
 * that has begun and is not finished. Uses no clock, worker or network; not
 * thread-safe.
 */
class job_state
{
public:
  /** Limit on open tasks, which bounds memory and the size of the stored record. */
  static constexpr size_t kMaxOpenTasks = 2'048;
  /** Limit on the waiting tasks of a step that are offered for placement at once. */
  static constexpr size_t kMaxOfferedTasks = 1'024;
  /** Upper bound in bytes on the memory of an open task. */
  static constexpr size_t kBytesPerOpenTask = 512;
  /** Longer checkpoints are not kept; a run then resumes from an earlier one. */
  static constexpr size_t kMaxCheckpointBytes = 128;

  /** Limit on former places; of more, the latest are kept. */
  static constexpr size_t kMaxFormerPlaces = 256;
  /** Upper bound in bytes on the memory of a former place. */
  static constexpr size_t kBytesPerFormerPlace = 256;

  explicit job_state(const accepted_job& aJob);

  const accepted_job& Job() const { return mJob; }
  job_outcome Outcome() const { return mOutcome; }

  /** The Unix time in ms at which the job ended; 0: unknown or not ended. */
  int64_t EndedAtMs() const { return mEndedAtMs; }
  void SetEndedAtMs(int64_t aUnixMs) { mEndedAtMs = aUnixMs; }

  /** Returns whether a worker has started any task, as far as is known. */
  bool HasStarted() const { return mHasStarted; }

  /** Records that a worker has started a task. */
  void MarkStarted() { mHasStarted = true; }

  uint32_t OccurrenceCount() const
  {
    return std::max<uint32_t>(1, mJob.mSpec.mRepeats);
  }

  /** Returns the first occurrence that is not finished; OccurrenceCount() if none. */
  uint32_t FirstUnfinishedOccurrence() const { return mFirstUnfinished; }

  /** Returns the number of tasks that have had a run and are not done or still placed.
   */
  size_t OpenTaskCount() const { return mOpenTasks; }

  /** Returns the Unix time before which aOccurrence must not start; 0: none. */
  int64_t DueMs(uint32_t aOccurrence) const;

  /** Returns whether every task of aStep is done. */
  bool IsDone(uint32_t aOccurrence, uint32_t aStep) const
  {
    return IsStepDone(aOccurrence, aStep);
  }

  /** Returns whether every step that aStep depends on is done. */
  bool IsReady(uint32_t aOccurrence, uint32_t aStep) const;

  /** Returns whether aNewTasks tasks without a run may become open. */
  bool HasRoomFor(size_t aNewTasks) const
  {
    return mOpenTasks == 0 || mOpenTasks + aNewTasks <= kMaxOpenTasks;
  }

  /**
   * Returns the indices of tasks of a ready step that are neither done nor placed: at
   * most kMaxOfferedTasks, and no more new ones than kMaxOpenTasks leaves room for.
   * Empty for a gang unless all its tasks are waiting and have room.
   */
  std::vector<uint32_t> WaitingTasks(uint32_t aOccurrence, uint32_t aStep) const;

  const task_progress& Task(const task_ref& aTask) const;
  const step_spec& StepOf(const task_ref& aTask) const;

  /** Returns how many failed runs are counted of a task, or of its whole gang. */
  uint32_t CountedFailedRuns(const task_ref& aTask) const
  {
    return Task(CountedTask(aTask)).mFailedRuns;
  }

  /** Returns whether aTask refers to a task of this job. */
  bool HasTask(const task_ref& aTask) const;

  /** Returns every task whose latest run may exist on a worker. */
  std::vector<task_ref> PlacedTasks() const;

  /** Returns the first placed task for which aMatches returns true, if there is one. */
  std::optional<task_ref> FindPlaced(
    const std::function<bool(const task_ref&)>& aMatches) const;

  /** Returns the placed tasks of one step in one occurrence. */
  std::vector<task_ref> PlacedTasksOf(uint32_t aOccurrence, uint32_t aStep) const;

  /** Returns the next run number of a task; the members of a gang share theirs. */
  uint32_t NextRun(uint32_t aOccurrence, uint32_t aStep, uint32_t aIndex) const;

  /** Records the worker of a run about to be started. The task must be waiting. */
  void Place(const task_ref& aTask, uint32_t aRun, const std::string& aWorker);

  /** Records the newest checkpoint of a run; for a gang, on all members. */
  void SaveCheckpoint(const task_ref& aTask,
                      uint32_t aRun,
                      const std::string& aCheckpoint);

  /**
   * Records a worker that may still have runs of the job that count as ended; replaces
   * what is recorded of the same worker. Its tasks don't count as placed there.
   */
  void AddFormerPlace(const former_place& aPlace);

  /** Forgets the former places that were given up before aUnixMs. */
  void ForgetFormerPlaces(int64_t aUnixMs);

  /** Returns the former places, also of a job that has ended, the latest last. */
  const std::vector<former_place>& FormerPlaces() const { return mFormerPlaces; }

  /**
   * Applies the end of a run. An end as done completes the task whichever of its runs
   * it is of; a newer run then stays placed until its own end. An end as failed of a
   * run that was given up before counts as an attempt. Other ends of older runs are
   * ignored.
   */
  end_effect End(const task_ref& aTask,
                 uint32_t aRun,
                 run_end aEnd,
                 const std::string& aCheckpoint);

  /**
   * Forgets the specification and the tasks of a job that has an outcome and no placed
   * tasks. HasTask is false from then on.
   */
  void DropTasks();

  /** Cancels the job. Returns false if it already has an outcome. */
  bool Cancel();

  /** Returns the address of a worker; empty if unknown. */
  using address_resolver = std::function<std::string(const std::string& aWorker)>;

  /**
   * Encodes the progress as text for the store. aAddressOf, if set, gives the addresses
   * that are stored of the workers with placed tasks.
   */
  std::string EncodeProgress(const address_resolver& aAddressOf = nullptr) const;

  /**
   * Restores the progress from the output of EncodeProgress; kInvalid if malformed.
   * Adds the stored addresses of workers to aAddresses, if set.
   */
  status DecodeProgress(const std::string& aText,
                        std::map<std::string, std::string>* aAddresses = nullptr);

private:
  /** The tasks of one step in one occurrence. */
  struct step_progress
  {
    std::map<uint32_t, task_progress> mOpen; ///< By index; see OpenTaskCount.
    std::vector<bool> mDone;                 ///< By index; empty while none is done.
    uint32_t mDoneCount = 0;
    uint32_t mCountedRun = 0; ///< The latest run counted as failed; only of a gang.
    /** By index of the counted task; only of tasks that are open. */
    std::map<uint32_t, given_up_runs> mGivenUp;
  };
  using occurrence_progress = std::vector<step_progress>; // By step.

  /** Returns the step's progress; null if none of its occurrence's tasks had a run. */
  const step_progress* FindStep(uint32_t aOccurrence, uint32_t aStep) const;
  step_progress& MutableStep(uint32_t aOccurrence, uint32_t aStep);
  /** Returns the entry of an open task, which is added if there is none. */
  task_progress& MutableTask(const task_ref& aTask);
  /** Returns whether another member of a counted run may still end as failed. */
  static bool MayCountAgain(const step_progress& aStep);
  void MarkDone(const task_ref& aTask);
  /** Forgets the entry of a task that is done and not placed. */
  void CloseTask(const task_ref& aTask);
  /** Forgets the tasks of an occurrence of which all are done and none is open. */
  void CloseOccurrence(uint32_t aOccurrence);
  void MarkFinished(uint32_t aOccurrence);
  bool IsFinished(uint32_t aOccurrence) const;
  bool IsStepDone(uint32_t aOccurrence, uint32_t aStep) const;
  uint64_t TaskCount() const;
  bool AllDone() const { return mDoneTasks == TaskCount(); }
  /** Returns the task on which failed runs are counted: of a gang its first member. */
  task_ref CountedTask(const task_ref& aTask) const;
  /** Notes that the end of a run isn't known, unless the run is counted already. */
  void AddGivenUpRun(const task_ref& aTask, uint32_t aRun);
  /** Forgets a run that was given up. Returns whether it was known as such. */
  bool RemoveGivenUpRun(const task_ref& aTask, uint32_t aRun);
  /**
   * Counts a failed run of a task that isn't done, unless it is counted already.
   * Returns whether it counted.
   */
  bool CountFailedRun(const task_ref& aTask, uint32_t aRun, bool aIsLatestRun);
  void DecodeRows(const std::string& aText,
                  std::map<std::string, std::string>* aAddresses);

  accepted_job mJob;
  job_outcome mOutcome = job_outcome::kOpen;
  bool mHasStarted = false;
  int64_t mEndedAtMs = 0;
  /** Occurrences of which a task has had a run and that are not finished. */
  std::map<uint32_t, occurrence_progress> mBegun;
  std::vector<bool> mFinished; ///< By occurrence; empty while none is finished.
  uint32_t mFirstUnfinished = 0;
  size_t mOpenTasks = 0;
  uint64_t mDoneTasks = 0; ///< Of all occurrences.
  std::vector<former_place> mFormerPlaces;
};

/**
 * Decodes only the outcome from the output of EncodeProgress; nothing if malformed.
 * Thread-safe.
 */
std::optional<job_outcome> DecodeOutcome(const std::string& aProgress);

} // namespace anvildoor
