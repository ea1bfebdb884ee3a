#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "planner/Resources.h"

#include <functional>
#include <string>
#include <vector>

namespace anvildoor {

/** The state of one gang's tasks on one worker. */
enum class member_state
{
  kPrepared,  ///< Capacity is reserved; no task has run.
  kRunning,   ///< Released; tasks are running.
  kCompleted, ///< All tasks on this worker have succeeded.
  kFailed,    ///< A task has failed.
  kStopped,   ///< Stopped after release, by request or because the lease expired.
  kNeverRan,  ///< Ended before release; no task has run or will run.
};

const char* ToString(member_state aState);

/** A worker's report on its part of one gang attempt. */
struct member_report
{
  std::string mAttempt;
  std::string mJob;
  member_state mState = member_state::kPrepared;
  bool mKnown = true;          ///< False if the worker has no record of the attempt.
  bool mHoldsWholeGang = true; ///< The gang has no tasks on other workers.
  std::string mResult;         ///< The result of the gang's first task, if it ran here.
  std::string mReason;
  std::string mCheckpoint; ///< Where a restart resumes; "" if there is none.

  auto operator<=>(const member_report&) const = default;
};

/** Asks a worker to reserve capacity for its part of a gang. */
struct prepare_request
{
  uint64_t mEpoch = 0;
  std::string mAttempt;
  std::string mJob;
  int64_t mFirstTask = 0; ///< Index in the gang of the worker's first task.
  int64_t mTasks = 1;
  int64_t mGangTasks = 1;
  resources mPerTask;
  std::string mPayload;
  std::string mCheckpoint;
  duration mHoldDuration{}; ///< How long to reserve capacity without a release.

  auto operator<=>(const prepare_request&) const = default;
};

/** Stops one attempt, with a checkpoint if the grace period allows one. */
struct stop_request
{
  uint64_t mEpoch = 0;
  std::string mAttempt;
  duration mGrace{}; ///< 0 stops at once, without a checkpoint.

  auto operator<=>(const stop_request&) const = default;
};

/** Renews the leases of all attempts on one worker except the broken ones. */
struct renew_request
{
  uint64_t mEpoch = 0;
  /** Changes up to this number are recorded and may be dropped; 0: report in full. */
  uint64_t mSinceSequence = 0;
  duration mLease{};
  std::vector<std::string> mBrokenAttempts;

  auto operator<=>(const renew_request&) const = default;
};

/** The changes on a worker since a sequence number. */
struct renew_reply
{
  uint64_t mIncarnation = 0;
  uint64_t mSequence = 0;
  bool mIsFull = false; ///< Lists every attempt, not only changed ones.
  std::vector<member_report> mMembers;

  auto operator<=>(const renew_reply&) const = default;
};

template<typename T>
using port_done = std::function<void(result<T>)>;

/** Confirms a call; the numbers order it relative to the worker's reports. */
struct call_ack
{
  uint64_t mIncarnation = 0;
  uint64_t mSequence = 0;

  auto operator<=>(const call_ack&) const = default;
};

/**
 * Calls to the platform's workers. Each call invokes aDone exactly once, on the event
 * loop and never before the call returns. Errors: kRefused if capacity is insufficient,
 * kFenced for an outdated epoch, kUnavailable or kUnknownEffect if there was no reply.
 * Thread-safe.
 */
class worker_port
{
public:
  virtual ~worker_port() = default;

  /** Reserves capacity on aWorker. Idempotent for each attempt. */
  void Prepare(const std::string& aWorker,
               const prepare_request& aRequest,
               port_done<call_ack> aDone)
  {
    OnPrepare(aWorker, aRequest, std::move(aDone));
  }

  /** Starts the prepared tasks; kNotFound if they are neither prepared nor running. */
  void Release(const std::string& aWorker,
               uint64_t aEpoch,
               const std::string& aAttempt,
               port_done<call_ack> aDone)
  {
    OnRelease(aWorker, aEpoch, aAttempt, std::move(aDone));
  }

  /** Stops an attempt. Calls aDone once it has ended. */
  void Stop(const std::string& aWorker,
            const stop_request& aRequest,
            port_done<member_report> aDone)
  {
    OnStop(aWorker, aRequest, std::move(aDone));
  }

  /** Renews leases and reads the changes. */
  void Renew(const std::string& aWorker,
             const renew_request& aRequest,
             port_done<renew_reply> aDone)
  {
    OnRenew(aWorker, aRequest, std::move(aDone));
  }

protected:
  virtual void OnPrepare(const std::string& aWorker,
                         const prepare_request& aRequest,
                         port_done<call_ack> aDone) = 0;
  virtual void OnRelease(const std::string& aWorker,
                         uint64_t aEpoch,
                         const std::string& aAttempt,
                         port_done<call_ack> aDone) = 0;
  virtual void OnStop(const std::string& aWorker,
                      const stop_request& aRequest,
                      port_done<member_report> aDone) = 0;
  virtual void OnRenew(const std::string& aWorker,
                       const renew_request& aRequest,
                       port_done<renew_reply> aDone) = 0;
};

} // namespace anvildoor
