#pragma once

#include "base/EventLoop.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** The action to take after a failed run. */
enum class failure_action
{
  kRetry,  ///< The evidence is insufficient; run the job elsewhere.
  kEndJob, ///< The job has failed on several workers that are not quarantined.
};

/**
 * Distinguishes faulty workers from faulty jobs. A worker is quarantined after failures
 * of several distinct jobs; a job is ended after failures on several distinct workers
 * that are not quarantined. Quarantining a worker discards its failures as evidence
 * against jobs, and ending a job discards its failures as evidence against workers. Not
 * thread-safe.
 */
class quarantine
{
public:
  /**
   * aSharePercent limits the share of workers in quarantine at any time. The limit is
   * at least one worker, unless aSharePercent is 0.
   */
  quarantine(size_t aWorkers, int64_t aSharePercent);

  /** Updates the limit after a change of the fleet or of the configuration. */
  void SetBounds(size_t aWorkers, int64_t aSharePercent);

  /** Records that aJob failed on aWorker and returns the action to take. */
  failure_action OnFailure(const std::string& aJob,
                           const std::string& aWorker,
                           time_point aNow);

  /**
   * Records that a task succeeded. Clears the evidence against the worker and ends its
   * quarantine, if any.
   */
  void OnSuccess(const std::string& aWorker);

  /** Removes the evidence about a job that has ended. */
  void ForgetJob(const std::string& aJob);

  /**
   * Returns whether aWorker is not quarantined at aNow. After a quarantine, one failure
   * of a job that has not failed elsewhere starts the next one.
   */
  bool IsUsable(const std::string& aWorker, time_point aNow) const;

  /** Returns the workers in quarantine at aNow. */
  std::vector<std::string> Quarantined(time_point aNow) const;

  /** Returns the workers on which aJob has failed. */
  std::set<std::string> FailedOn(const std::string& aJob) const;

private:
  struct worker_evidence
  {
    std::set<std::string> mJobs;
    time_point mQuarantinedUntil{};
    int mQuarantineCount = 0;
  };

  bool IsBelowLimit(time_point aNow) const;
  void StartQuarantine(const std::string& aWorker, time_point aNow);

  size_t mLimit = 1;
  std::map<std::string, worker_evidence> mWorkers;
  std::map<std::string, std::set<std::string>> mJobs;
};

} // namespace anvildoor
