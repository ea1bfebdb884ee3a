#pragma once

#include "gang/WorkerPort.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace anvildoor {

/** A state change of a gang's tasks on one worker. */
struct worker_event
{
  time_point mAt{};
  std::string mWorker;
  std::string mJob;
  std::string mAttempt;
  member_state mState = member_state::kPrepared;
  int64_t mTasks = 0;
  int64_t mGangTasks = 0;

  auto operator<=>(const worker_event&) const = default;
};

/** Faults that tests and the stand-in inject into one worker. */
struct worker_faults
{
  bool mFailTasks = false;     ///< Every task fails shortly after release.
  bool mRefusePrepare = false; ///< Every prepare call is refused.
  duration mReleaseDelay{ 0 }; ///< Delays the effect of a release.

  auto operator<=>(const worker_faults&) const = default;
};

/**
 * A simulated platform worker: reserves capacity and runs, checkpoints and stops tasks
 * under leases and epochs. The payload {"run_ms":N,"fail":true,"result":"..."} sets the
 * behaviour of a task. Thread-safe.
 */
class simulated_worker
{
public:
  using event_sink = std::function<void(const worker_event&)>;

  /** aLoop must outlive the worker. aSink is called for each state change. */
  simulated_worker(event_loop& aLoop,
                   std::string aId,
                   const resources& aCapacity,
                   event_sink aSink);

  result<call_ack> Prepare(const prepare_request& aRequest);
  result<call_ack> Release(uint64_t aEpoch, const std::string& aAttempt);

  /** Calls aDone once the attempt has ended, without delay if it already has. */
  void Stop(const stop_request& aRequest, port_done<member_report> aDone);

  result<renew_reply> Renew(const renew_request& aRequest);

  /** Simulates a restart, which loses all state. */
  void Restart();

  void SetFaults(const worker_faults& aFaults);

  const std::string& Id() const { return mId; }
  const resources& Capacity() const { return mCapacity; }

private:
  struct held_attempt
  {
    prepare_request mRequest;
    member_report mReport;
    uint64_t mSequence = 0;
    uint64_t mTimerId = 0; ///< Identifies the current timer; others are stale.
    time_point mReleased{};
    int64_t mCheckpointedMs = 0; ///< Run time saved in the checkpoint.
    bool mStopRequested = false; ///< A stop was requested; renewals omit it.
    std::vector<port_done<member_report>> mWaiters;
  };

  /** Returns whether aEpoch is outdated; if not, records it as the latest one. */
  bool IsFenced(uint64_t aEpoch);
  resources Free() const;
  void SetState(held_attempt& aAttempt,
                member_state aState,
                const std::string& aReason);
  void ArmTimer(held_attempt& aAttempt, duration aDelay);
  void OnTimer(const std::string& aAttempt, uint64_t aTimer);
  void EndRun(held_attempt& aAttempt);
  void StopNow(held_attempt& aAttempt, bool aCheckpoint);
  void CheckLease();
  void BeginRun(held_attempt& aAttempt);

  event_loop& mLoop;
  std::string mId;
  resources mCapacity;
  event_sink mSink;
  std::mutex mMutex;
  std::map<std::string, held_attempt> mAttempts;
  /** Expiry times of stopped attempts, which a late prepare call must not start. */
  std::map<std::string, time_point> mTombstones;
  worker_faults mFaults;
  uint64_t mEpoch = 0;
  uint64_t mIncarnation = 1;
  uint64_t mSequence = 0;
  uint64_t mTimerCount = 0;
  time_point mLeaseUntil{};
};

} // namespace anvildoor
