#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "runs/RunPort.h"
#include "scheduler/TermRuns.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace anvildoor {

/**
 * Stops the runs of cancelled jobs that this VM placed in a term which has ended, if
 * its successor can't be reached: that one may not reach their workers either, while
 * this VM does. So may the runs of an ended term go on if a later one of this VM can't
 * take over. The stops carry the fencing token of this VM's last term, which no other
 * VM uses: a worker that the successor has reached refuses them, and gets no further
 * ones; the others get none from shortly after that. Not thread-safe.
 */
class cancellation_guard
{
public:
  /**
   * Passes on whether the present scheduler answers that it has applied the stored
   * cancellation of aJob; its stops have reached the workers then, if it answered the
   * same before. Never calls aDone before it returns, and not at all if this VM's own
   * term has taken over, which ends the guard.
   */
  using scheduler_query = std::function<
    void(const std::string& aJob, uint64_t aRevision, std::function<void(bool)> aDone)>;

  /**
   * References must outlive the guard and its pending calls. aLifetime: how long after
   * the end of a term its runs may go on without a successor.
   */
  cancellation_guard(event_loop& aLoop,
                     run_port& aWorkers,
                     event_log& aLog,
                     metrics& aMetrics,
                     duration aLifetime,
                     scheduler_query aAskScheduler);

  /**
   * Takes over the runs of a term that ends now, and forgets those of earlier ones if
   * it is complete. Stops that its scheduler has sent without an answer are repeated.
   */
  void Begin(const term_runs& aRuns);

  /** Sends stops under the token of a new term of this VM from now on. */
  void Renew(uint64_t aFence) { mFence = aFence; }

  /** Sends no further stops, as a term of this VM has taken over the runs. */
  void End();

  /**
   * Stops the runs of a job whose cancellation is stored at aRevision, unless the
   * scheduler still answers for it after a short while. A job may be passed repeatedly.
   */
  void Observe(const std::string& aJob, uint64_t aRevision);

  /** Returns whether stops are to be sent, or await an answer. */
  bool HasUnsettledStops() const { return !mObserved.empty() || !mStops.empty(); }

private:
  struct pending_stop
  {
    task_ref mTask;
    uint32_t mRun = 0;
    time_point mSince{ 0 };
    uint32_t mAttempts = 0;
  };
  /** The stops for one worker, which are sent one at a time. */
  struct worker_stops
  {
    worker_address mAddress;
    std::deque<pending_stop> mPending;
    bool mIsWaiting = false; ///< For an answer, or until the next attempt.
  };
  using worker_key = std::pair<std::string, std::string>; ///< Id and address.

  void StopUnlessConfirmed(const std::string& aJob, uint64_t aRevision);
  void StopRuns(const std::string& aJob);
  void Queue(const placed_run& aRun);
  /** Sends the next stops, as far as the limit on stops in flight allows. */
  void SendNext();
  void Send(worker_stops& aWorker);
  void OnAnswer(const worker_key& aKey, run_request_status aAnswer);
  void RetryLater(const worker_key& aKey);
  void Report(const worker_stops& aWorker,
              const pending_stop& aStop,
              const char* aAnswer) const;
  void GiveUpAfter(duration aAfter);
  void GiveUp();

  event_loop& mLoop;
  run_port& mWorkers;
  event_log& mLog;
  metrics& mMetrics;
  duration mLifetime;
  scheduler_query mAskScheduler;
  uint64_t mFence = 0;
  /** Rises with each term; callbacks of older generations do nothing. */
  uint64_t mGeneration = 0;
  std::map<std::string, std::vector<placed_run>> mRunsByJob; ///< No stop is due.
  std::set<std::string> mObserved; ///< Jobs of mRunsByJob whose stops are soon due.
  std::map<worker_key, worker_stops> mStops;
  size_t mInFlight = 0;
};

} // namespace anvildoor
