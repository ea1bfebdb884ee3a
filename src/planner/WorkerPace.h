#pragma once

#include "jobs/JobState.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** How fast a worker is, compared with the others of its pool. */
enum class pace_class
{
  kSlow,
  kUsual, ///< Also of a worker of which too little is known.
  kQuick
};

const char* ToString(pace_class aClass);

/** What is known of the pace of one worker. */
struct pace_estimate
{
  double mLogPace = 0.0; ///< Natural logarithm; 0: the usual pace.
  double mVariance = 0.0;
  double mNoise = 0.0; ///< The part of mVariance that comes from uneven work.

  auto operator<=>(const pace_estimate&) const = default;
};

/** The pace at which one run has worked. */
struct pace_sample
{
  task_ref mTask;
  uint32_t mRun = 0;
  bool mGang = false;
  uint32_t mTasks = 0; ///< Number of tasks of the step.
  std::string mWorker;
  double mRate = 0.0; ///< Of progress, in any unit that all runs of the step share.

  auto operator<=>(const pace_sample&) const = default;
};

/** A worker that has moved to another class. */
struct pace_change
{
  std::string mWorker;
  pace_class mFormer = pace_class::kUsual;
  pace_class mClass = pace_class::kUsual;
  double mPace = 1.0;

  auto operator<=>(const pace_change&) const = default;
};

/**
 * Learns how fast the workers of one pool work. The size of a task is not known, so
 * only runs of the same step are compared with each other: the members of a gang have
 * about the same amount of work, and the tasks of a wide step differ less than those of
 * a queue. A worker is slow or quick only if uneven work doesn't explain what was seen,
 * so that workers of one pace stay in one class. One that changes its pace is followed
 * by its next gang; a single task that takes a multiple of its time moves the estimate
 * by a bounded step. What is observed takes effect with the next Update. Reads no
 * clock; not thread-safe.
 */
class worker_pace_model
{
public:
  /**
   * Records the rate of one run, to be called once each run. Rates that are not
   * positive and finite are ignored.
   */
  void Observe(const pace_sample& aSample);

  /** Classifies the workers by all that was observed; returns those that moved. */
  std::vector<pace_change> Update();

  /**
   * Returns the pace relative to the median worker; 1 while it is unknown or about
   * usual. Within a factor of 8.
   */
  double PaceOf(const std::string& aWorker) const;

  pace_class ClassOf(const std::string& aWorker) const;

  /** Returns whether some workers are known to be slow or quick. */
  bool IsUneven() const
  {
    return Count(pace_class::kSlow) + Count(pace_class::kQuick) > 0;
  }

  /** Returns the mean pace of the workers of a class; 1 if there are none. */
  double TypicalPace(pace_class aClass) const;

  /** Returns how many workers are known to be of a class. */
  size_t Count(pace_class aClass) const;

  /**
   * Notes that a worker has started again: the same machine most often, so its class
   * stays, but what its next runs show outweighs the estimate.
   */
  void OnNewLife(const std::string& aWorker);

  /** Forgets the runs of a job, whose steps are not observed any more. */
  void ForgetJob(const std::string& aJob);

  /** Forgets the workers for which aIsKept returns false. */
  template<typename Predicate>
  void KeepWorkers(Predicate aIsKept)
  {
    mIsStale = true;
    std::erase_if(mWorkers, [&](const auto& aEntry) { return !aIsKept(aEntry.first); });
  }

  /** Returns the number of workers of which something is known. */
  size_t WorkerCount() const { return mWorkers.size(); }

  /** Returns for how many of them aIsCounted returns true. */
  template<typename Predicate>
  size_t CountWorkers(Predicate aIsCounted) const
  {
    return static_cast<size_t>(
      std::count_if(mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
        return aIsCounted(aEntry.first);
      }));
  }

  /** Returns the estimates that are good enough to be used, to be kept over takeovers.
   */
  std::map<std::string, pace_estimate> Known() const;

  /** Adopts the estimates of a former term, for workers without one of their own. */
  void Adopt(const std::map<std::string, pace_estimate>& aEstimates);

private:
  struct worker
  {
    pace_estimate mEstimate;
    pace_class mClass = pace_class::kUsual;
    double mPace = 1.0;
  };
  /** The step, and the run of a gang; 0 for single tasks. */
  using step_key = std::pair<task_ref, uint32_t>;
  /** A worker's mean log rate over its tasks of a step that were not compared yet. */
  struct pending_rate
  {
    double mLogRate = 0.0;
    uint32_t mTasks = 0;
  };
  struct step
  {
    uint32_t mPending = 0; ///< Tasks in mRates.
    std::map<std::string, pending_rate> mRates;
    /** Of the single tasks that were compared: what a usual worker would show. */
    double mWeights = 0.0;
    double mSum = 0.0;
  };
  /** The log pace that a worker showed in comparison with others. */
  struct comparison
  {
    std::string mWorker;
    double mLogPace = 0.0;
    double mNoise = 0.0;             ///< Variance that comes from uneven work.
    double mReferenceVariance = 0.0; ///< As the others' paces are uncertain.
    bool mGang = false;
  };

  pace_estimate EstimateOf(const std::string& aWorker) const;
  /** Compares the pending rates of a step with each other and, if any, its sums. */
  void Compare(step& aStep, bool aIsGang);
  void Apply(const comparison& aSeen);
  void BoundSteps();

  std::map<std::string, worker> mWorkers;
  std::map<step_key, step> mSteps;
  std::deque<step_key> mStepOrder; ///< Oldest first; may name steps that are gone.
  bool mIsStale = false;           ///< Whether an Update is due.
  std::map<pace_class, std::pair<size_t, double>> mClasses; ///< Size and mean pace.
};

} // namespace anvildoor
