#pragma once

#include "base/EventLog.h"
#include "gang/BrokenAttempts.h"
#include "gang/WorkerPort.h"
#include "membership/PeerPort.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** Lease and renewal times of worker sessions. */
struct session_policy
{
  duration mRenewPeriod{ 1'500 };
  duration mLease{ 6'000 };
  duration mLossMargin{ 1'000 }; ///< From the lease expiry until a worker is lost.

  auto operator<=>(const session_policy&) const = default;
};

/**
 * Sessions with the workers assigned to this VM. One call per worker and period renews
 * all of its leases; only changes are forwarded to the scheduler. Renewals continue
 * without a scheduler and without the store. Thread-safe; sessions are sharded.
 */
class worker_sessions
{
public:
  /** Sends statuses to the scheduler and reports whether it accepted them. */
  using status_sender =
    std::function<void(const worker_status_report&, std::function<void(bool)>)>;

  /** The references must outlive the sessions. */
  worker_sessions(event_loop& aLoop,
                  worker_port& aPort,
                  broken_attempts& aBroken,
                  event_log& aLog,
                  const session_policy& aPolicy);

  /** Starts renewing. aVm is the id of this VM. */
  void Start(const std::string& aVm, status_sender aStatusSender);

  /** Sets the workers assigned to this VM. */
  void AssignWorkers(const std::set<std::string>& aWorkers);

  /** Sets the scheduler's epoch. A newer one requests a full report from each worker.
   */
  void SetEpoch(uint64_t aEpoch);

  /** Returns the number of sessions. */
  size_t Count() const;

private:
  struct session
  {
    std::string mWorker;
    uint64_t mReportedSequence = 0; ///< Reported to the scheduler of mReportedEpoch.
    uint64_t mReportedEpoch = 0;
    uint64_t mIncarnation = 0;
    time_point mLastReply{};
    time_point mNextRenewal{};
    bool mCallInFlight = false;
    bool mLost = false;
    bool mLossReported = false;
    /** Active attempts, and whether the whole gang is on this worker. */
    std::map<std::string, bool> mAttempts;
  };
  struct shard
  {
    mutable std::mutex mMutex;
    std::map<std::string, session> mSessions;
  };
  static constexpr size_t kShardCount = 8;

  shard& ShardOf(const std::string& aWorker);
  uint64_t Epoch() const;
  void Tick();
  void Renew(const std::string& aWorker, uint64_t aEpoch, uint64_t aSince);
  void OnRenewed(const std::string& aWorker,
                 uint64_t aEpoch,
                 const result<renew_reply>& aAnswer);
  void ApplyReply(session& aSession, const renew_reply& aReply);
  void MarkLost(session& aSession);
  void QueueStatus(uint64_t aEpoch, const worker_status& aStatus);
  void SendStatuses();
  void OnReported(const worker_status_report& aStatuses, bool aAccepted);

  event_loop& mLoop;
  worker_port& mPort;
  broken_attempts& mBroken;
  event_log& mLog;
  session_policy mPolicy;
  std::string mVm;
  status_sender mStatusSender;
  std::array<shard, kShardCount> mShards;
  std::atomic<time_point> mLastTick{ time_point(0) };
  mutable std::mutex mMutex; ///< Guards the members below.
  uint64_t mEpoch = 0;
  std::vector<worker_status> mPendingStatuses;
  bool mReportScheduled = false;
};

} // namespace anvildoor
