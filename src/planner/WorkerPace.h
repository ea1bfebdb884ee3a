#pragma once

#include "jobs/JobState.h"

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

  auto operator<=>(const pace_estimate&) const = default;
};

/**
 * Learns how fast the workers of one pool work. The size of a task is not known, so
 * only runs of the same step are compared with each other: the members of a gang have
 * about the same amount of work, and the tasks of a wide step differ less than those of
 * a queue. Each run counts once. A worker that turns slow is followed after a few runs;
 * a single task that takes a multiple of its time moves the estimate by a bounded step.
 * Reads no clock; not thread-safe.
 */
class worker_pace_model
{
public:
  /**
   * Records the rate of progress of a run of aTask on a worker; any unit that is the
   * same for all runs of a step. Only the first one of each step and worker counts.
   * Rates that are not positive and finite are ignored.
   */
  void Observe(const task_ref& aTask,
               bool aIsGang,
               uint32_t aRun,
               const std::string& aWorker,
               double aRate);

  /**
   * Returns the pace relative to the median worker; 1 while it is unknown or about
   * usual.
   */
  double PaceOf(const std::string& aWorker) const;

  pace_class ClassOf(const std::string& aWorker) const;

  /** Returns whether some workers are known to be slow or quick. */
  bool IsUneven() const { return mIsUneven; }

  /** Returns the mean pace of the workers of a class; 1 if there are none. */
  double TypicalPace(pace_class aClass) const;

  /** Trusts a worker's estimate less, as it may have become another machine. */
  void OnNewLife(const std::string& aWorker);

  /** Forgets the runs of a job, whose steps are not observed any more. */
  void ForgetJob(const std::string& aJob);

  /** Forgets the workers for which aIsKept returns false. */
  template<typename Predicate>
  void KeepWorkers(Predicate aIsKept)
  {
    std::erase_if(mWorkers, [&](const auto& aEntry) { return !aIsKept(aEntry.first); });
  }

  /** Returns the estimates, to be kept over takeovers. */
  const std::map<std::string, pace_estimate>& Estimates() const { return mWorkers; }

  /** Adopts the estimates of a former term, for workers without one of their own. */
  void Adopt(const std::map<std::string, pace_estimate>& aEstimates);

private:
  /** The step, and the run of a gang; 0 for single tasks. */
  using step_key = std::pair<task_ref, uint32_t>;
  struct sample
  {
    double mLogRate = 0.0;
    bool mIsApplied = false;
  };

  void Apply(const std::string& aWorker,
             double aLogPace,
             double aVariance,
             bool aIsGang);
  /** Updates what is derived from all estimates. */
  void Summarise();

  std::map<std::string, pace_estimate> mWorkers;
  std::map<step_key, std::map<std::string, sample>> mSteps;
  double mMedian = 0.0; ///< Of the log paces that are known.
  bool mIsUneven = false;
  std::map<pace_class, double> mTypicalPaces;
};

} // namespace anvildoor
