#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "membership/VmDirectory.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvildoor {

/** The result of an attempt, for the health tracking of its upstream. */
enum class attempt_result
{
  kSucceeded,
  kFailed,
  kBusy, ///< Refused or not sent; counts neither as success nor as failure.
};

struct upstream_choice
{
  std::string mId;
  std::string mAddress;

  auto operator<=>(const upstream_choice&) const = default;
};

/** The state of an upstream at this VM, for status pages. */
struct upstream_status
{
  std::string mId;
  int64_t mSlotShare = 0;
  int64_t mOutstanding = 0;
  bool mLeaving = false;
  bool mEjected = false;

  auto operator<=>(const upstream_status&) const = default;
};

/**
 * The upstreams of the data centre and this VM's share of their slots. The shares of
 * all live VMs add up to the total, so that no coordination per request is needed.
 * Thread-safe.
 */
class upstream_pool
{
public:
  /** aLoop and aLog must outlive the pool; aSeed seeds the random selection. */
  upstream_pool(event_loop& aLoop, event_log& aLog, uint64_t aSeed);

  /** Applies the platform's upstream list and the set of live entry VMs. */
  void Update(const std::vector<vm_record>& aUpstreams,
              const std::string& aOwnVm,
              const std::vector<std::string>& aLiveVms);

  /**
   * Stops sending new requests to aId, which reported that it is leaving. It is used
   * again after 5 min, since it may have returned, unless the platform's list marks it
   * as leaving.
   */
  void SetLeaving(const std::string& aId);

  /** Stops sending new requests to aId for 5 s, because a peer reported it leaving. */
  void SetLeavingByPeer(const std::string& aId);

  /** Returns the upstreams that reported leaving to this VM, for heartbeats. */
  std::vector<std::string> ReportedLeaving() const;

  /**
   * Takes a slot at the less loaded of two random upstreams that are not in aExcluded.
   * Returns nullopt if no slot is free. Each slot must be released with ReleaseSlot().
   */
  std::optional<upstream_choice> AcquireSlot(const std::vector<std::string>& aExcluded);

  /** Releases a slot and records the result of the attempt. */
  void ReleaseSlot(const std::string& aId, attempt_result aResult);

  /** Returns the state of every upstream at this VM. */
  std::vector<upstream_status> Statuses() const;

private:
  struct upstream
  {
    vm_record mRecord;
    int64_t mSlotShare = 0;
    int64_t mOutstanding = 0;
    bool mListed = true;
    time_point mLeavingUntil{};     ///< Reported by the upstream.
    time_point mPeerLeavingUntil{}; ///< Reported by a peer.
    int mConsecutiveFailures = 0;
    int mConsecutiveEjections = 0;
    time_point mEjectedUntil{};
    time_point mSlowStartBegin{};
  };

  bool IsLeaving(const upstream& aItem) const;
  bool IsEjected(const upstream& aItem) const;
  int64_t SlotLimit(const upstream& aItem) const;
  bool MayEject() const;
  void RecordFailure(upstream& aItem);
  std::vector<upstream*> Candidates(const std::vector<std::string>& aExcluded);

  event_loop& mLoop;
  event_log& mLog;
  mutable std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::map<std::string, upstream> mUpstreams;
};

/** Returns the number of slots of an upstream that aOwnVm may use. Pure. */
int64_t SlotShare(const std::string& aUpstream,
                  int64_t aSlots,
                  const std::string& aOwnVm,
                  const std::vector<std::string>& aLiveVms);

} // namespace anvildoor
