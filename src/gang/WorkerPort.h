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
  kPrepared,  ///< Capacity is held; nothing has run.
  kRunning,   ///< Released.
  kCompleted, ///< Every task here has ended well.
  kFailed,    ///< A task has failed.
  kStopped,   ///< Stopped after release, by request or by a lapsed lease.
  kNeverRan,  ///< Ended before release; nothing has run or will run.
};

const char* ToString(member_state aState);

/** What a worker says about one gang attempt. */
struct member_report
{
  std::string mAttempt;
  std::string mJob;
  member_state mState = member_state::kPrepared;
  bool mKnown = true;  ///< False: the worker has no memory of the attempt.
  bool mWhole = true;  ///< The gang has no tasks on other workers.
  std::string mResult; ///< The result of the gang's first task, if it ran here.
  std::string mReason;
  std::string mCheckpoint; ///< From where a restart can go on; "" if nothing is kept.

  auto operator<=>(const member_report&) const = default;
};

/** Asks a worker to hold capacity for its part of a gang. */
struct prepare_request
{
  uint64_t mEpoch = 0;
  std::string mAttempt;
  std::string mJob;
  int64_t mFirstTask = 0;
  int64_t mTasks = 1;
  int64_t mGangTasks = 1;
  resources mPerTask;
  std::string mPayload;
  std::string mCheckpoint;
  duration mHold{}; ///< How long to hold it without a release.

  auto operator<=>(const prepare_request&) const = default;
};

/** Stops one attempt; with a checkpoint if the grace allows one. */
struct stop_request
{
  uint64_t mEpoch = 0;
  std::string mAttempt;
  duration mGrace{}; ///< 0 ms: at once and without a checkpoint.

  auto operator<=>(const stop_request&) const = default;
};

/** Renews the leases of everything on one worker, but for the broken attempts. */
struct renew_request
{
  uint64_t mEpoch = 0;
  uint64_t mSinceSequence = 0; ///< Reports up to here are recorded and can go.
  duration mLease{};
  std::vector<std::string> mBrokenAttempts;

  auto operator<=>(const renew_request&) const = default;
};

/** What has changed on a worker since a sequence number. */
struct renew_reply
{
  uint64_t mIncarnation = 0;
  uint64_t mSequence = 0;
  bool mFull = false; ///< Every attempt is listed, not only the changed ones.
  std::vector<member_report> mMembers;

  auto operator<=>(const renew_reply&) const = default;
};

template<typename T>
using port_done = std::function<void(result<T>)>;

/** A call took effect; the numbers date it among the worker's reports. */
struct accepted
{
  uint64_t mIncarnation = 0;
  uint64_t mSequence = 0;

  auto operator<=>(const accepted&) const = default;
};

/**
 * The platform's workers. Every call answers exactly once, on the event loop and never
 * inside the call: kRefused for no capacity, kFenced for an older epoch, kUnavailable
 * or kUnknownEffect when there was no answer. Thread-safe.
 */
class worker_port
{
public:
  virtual ~worker_port() = default;

  /** Holds capacity on aWorker; a repeat for the same attempt is harmless. */
  void Prepare(const std::string& aWorker,
               const prepare_request& aRequest,
               port_done<accepted> aDone)
  {
    OnPrepare(aWorker, aRequest, std::move(aDone));
  }

  /** Starts the prepared tasks; kNotFound if the attempt is not held there. */
  void Release(const std::string& aWorker,
               uint64_t aEpoch,
               const std::string& aAttempt,
               port_done<accepted> aDone)
  {
    OnRelease(aWorker, aEpoch, aAttempt, std::move(aDone));
  }

  /** Stops an attempt and answers once it has ended. */
  void Stop(const std::string& aWorker,
            const stop_request& aRequest,
            port_done<member_report> aDone)
  {
    OnStop(aWorker, aRequest, std::move(aDone));
  }

  /** Renews leases and reads what has changed. */
  void Renew(const std::string& aWorker,
             const renew_request& aRequest,
             port_done<renew_reply> aDone)
  {
    OnRenew(aWorker, aRequest, std::move(aDone));
  }

protected:
  virtual void OnPrepare(const std::string& aWorker,
                         const prepare_request& aRequest,
                         port_done<accepted> aDone) = 0;
  virtual void OnRelease(const std::string& aWorker,
                         uint64_t aEpoch,
                         const std::string& aAttempt,
                         port_done<accepted> aDone) = 0;
  virtual void OnStop(const std::string& aWorker,
                      const stop_request& aRequest,
                      port_done<member_report> aDone) = 0;
  virtual void OnRenew(const std::string& aWorker,
                       const renew_request& aRequest,
                       port_done<renew_reply> aDone) = 0;
};

} // namespace anvildoor
