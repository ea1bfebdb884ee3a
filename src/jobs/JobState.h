#pragma once

#include "jobs/JobSpec.h"

#include <optional>
#include <set>

namespace anvildoor {

/** One task of a job. */
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
  kFailed,     ///< By its own or its worker's fault; counts as an attempt.
  kStopped,    ///< On an order.
  kLapsed,     ///< Its worker's lease ran out.
  kBroken,     ///< Another member of its gang ended.
  kAlone,      ///< It waited too long for the rest of its gang.
  kLost,       ///< Its worker restarted or is gone.
  kNotStarted, ///< The order was refused or can no longer be carried out.
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

struct task_progress
{
  uint32_t mRun = 0;   ///< Of the latest start; 0: never started.
  std::string mWorker; ///< Where the latest run may be; empty: nowhere.
  bool mDone = false;
  uint32_t mFailed = 0;    ///< Ends as failed; of a gang, on its first member.
  std::string mCheckpoint; ///< Newest known; empty: none.

  auto operator<=>(const task_progress&) const = default;
};

/** What applying an end changed. */
struct end_effect
{
  bool mKnown = false;      ///< The run was the task's latest one.
  bool mFinished = false;   ///< The job has its outcome now.
  bool mGangBroken = false; ///< The other members of the gang have to stop.

  auto operator<=>(const end_effect&) const = default;
};

/**
 * One job: which tasks may start, what their ends mean, and its outcome. Pure; knows
 * no workers, clock or network. Not thread-safe.
 */
class job_state
{
public:
  explicit job_state(const accepted_job& aJob);

  const accepted_job& Job() const { return mJob; }
  job_outcome Outcome() const { return mOutcome; }

  /** Returns whether any task was ever started. */
  bool Begun() const { return mBegun; }

  uint32_t Occurrences() const { return static_cast<uint32_t>(mSteps.size()); }

  /** Returns the Unix time before which aOccurrence must not start; 0: none. */
  int64_t DueMs(uint32_t aOccurrence) const;

  /** Returns whether every task of aStep is done. */
  bool IsDone(uint32_t aOccurrence, uint32_t aStep) const
  {
    return StepDone(aOccurrence, aStep);
  }

  /** Returns whether every task of the steps before aStep is done. */
  bool IsReady(uint32_t aOccurrence, uint32_t aStep) const;

  /** Returns the tasks of a step that are neither done nor placed, if it is ready. */
  std::vector<uint32_t> Waiting(uint32_t aOccurrence, uint32_t aStep) const;

  const task_progress& Task(const task_ref& aTask) const;
  const step_spec& StepOf(const task_ref& aTask) const;

  /** Returns whether aTask names a task of this job. */
  bool Has(const task_ref& aTask) const;

  /** Returns every task that may be on a worker. */
  std::vector<task_ref> Placed() const;

  /** Returns those of one step in one occurrence. */
  std::vector<task_ref> PlacedIn(uint32_t aOccurrence, uint32_t aStep) const;

  /** Returns the run number for the next start of a step's tasks. */
  uint32_t NextRun(uint32_t aOccurrence, uint32_t aStep, uint32_t aIndex) const;

  /** Records that a run is about to be ordered. The task must be waiting. */
  void Place(const task_ref& aTask, uint32_t aRun, const std::string& aWorker);

  /** Records the newest checkpoint of a run; of a gang, for all its members. */
  void Save(const task_ref& aTask, uint32_t aRun, const std::string& aCheckpoint);

  /** Applies the end of a run. Ends of older runs change nothing. */
  end_effect End(const task_ref& aTask,
                 uint32_t aRun,
                 run_end aEnd,
                 const std::string& aCheckpoint);

  /** Ends the job as cancelled unless it has an outcome. Returns whether it did. */
  bool Cancel();

  /** Returns the progress as text for the store. */
  std::string EncodeProgress() const;

  /** Takes over what EncodeProgress wrote; kInvalid if it cannot be read. */
  status DecodeProgress(const std::string& aText);

private:
  using step_progress = std::vector<task_progress>;

  task_progress& At(const task_ref& aTask);
  bool StepDone(uint32_t aOccurrence, uint32_t aStep) const;
  bool AllDone() const;

  accepted_job mJob;
  job_outcome mOutcome = job_outcome::kOpen;
  bool mBegun = false;
  std::vector<std::vector<step_progress>> mSteps; ///< By occurrence, step, index.
};

/** Returns the outcome in a text of EncodeProgress, without the rest. Thread-safe. */
std::optional<job_outcome> OutcomeIn(const std::string& aProgress);

} // namespace anvildoor
