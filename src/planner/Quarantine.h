#pragma once

#include "base/EventLoop.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** What a failed run says about the job and about the workers it ran on. */
enum class failure_verdict
{
  kRetry,  ///< Not enough evidence yet; run it elsewhere.
  kEndJob, ///< The job fails wherever it runs.
};

/**
 * Tells faulty workers from faulty jobs. A worker is quarantined once distinct jobs
 * have failed on it; a job is ended once it has failed on distinct workers that are
 * themselves above suspicion. Evidence from the one is withdrawn when the other is
 * found guilty. Not thread-safe.
 */
class quarantine
{
public:
  /** aSharePercent bounds the workers that are quarantined at once (at least one). */
  quarantine(size_t aWorkers, int64_t aSharePercent);

  /** Follows a change of the fleet or of the default. */
  void SetBounds(size_t aWorkers, int64_t aSharePercent);

  /** Records that aJob failed on aWorker. */
  failure_verdict OnFailure(const std::string& aJob,
                            const std::string& aWorker,
                            time_point aNow);

  /** Records that a task succeeded; the worker's evidence is cleared. */
  void OnSuccess(const std::string& aWorker);

  /** Forgets a job that has ended. */
  void ForgetJob(const std::string& aJob);

  /** Returns whether aWorker may take work now; after its time it may be probed. */
  bool IsUsable(const std::string& aWorker, time_point aNow) const;

  /** Returns the workers in quarantine at aNow. */
  std::vector<std::string> Quarantined(time_point aNow) const;

  /** Returns the workers on which aJob has failed. */
  std::set<std::string> FailedOn(const std::string& aJob) const;

private:
  struct worker_evidence
  {
    std::set<std::string> mJobs;
    time_point mUntil{};
    int mRounds = 0;
  };

  bool HasRoom(time_point aNow) const;
  void Condemn(const std::string& aWorker, time_point aNow);

  size_t mLimit = 1;
  std::map<std::string, worker_evidence> mWorkers;
  std::map<std::string, std::set<std::string>> mJobs;
};

} // namespace anvildoor
