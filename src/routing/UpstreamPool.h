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

/** What an attempt says about its upstream. */
enum class upstream_health
{
  kGood,
  kBad,
  kBusy, ///< It refused for lack of slots; no fault of its own.
};

struct upstream_choice
{
  std::string mId;
  std::string mAddress;

  auto operator<=>(const upstream_choice&) const = default;
};

/** One upstream as this VM sees it, for status pages. */
struct upstream_status
{
  std::string mId;
  int64_t mShare = 0;
  int64_t mOutstanding = 0;
  bool mLeaving = false;
  bool mEjected = false;

  auto operator<=>(const upstream_status&) const = default;
};

/**
 * The upstreams of the data centre and this VM's share of their slots. The shares of
 * all live VMs add up to the slots without a message per request. Thread-safe.
 */
class upstream_pool
{
public:
  /** aLoop and aLog must outlive the pool; aSeed drives the random choices. */
  upstream_pool(event_loop& aLoop, event_log& aLog, uint64_t aSeed);

  /** Follows the platform's list and the live entry VMs. */
  void Update(const std::vector<vm_record>& aUpstreams,
              const std::string& aOwnVm,
              const std::vector<std::string>& aLiveVms);

  /**
   * Takes no new work to aId, which has said itself that it is leaving. Unless the list
   * agrees by then it is tried again after a while, since it may have come back.
   */
  void SetLeaving(const std::string& aId);

  /** The same on a peer's word, for as long as the peer goes on saying so. */
  void SetLeavingByPeer(const std::string& aId);

  /** Returns the upstreams that have told this VM, for the heartbeats. */
  std::vector<std::string> Leaving() const;

  /**
   * Takes a slot at the less loaded of two upstreams, those in aAvoid left out.
   * Returns nothing when no slot is free. Each choice must be given back.
   */
  std::optional<upstream_choice> Take(const std::vector<std::string>& aAvoid);

  /** Gives a slot back with what the attempt has shown. */
  void GiveBack(const std::string& aId, upstream_health aHealth);

  /** Returns every upstream as seen from here. */
  std::vector<upstream_status> Statuses() const;

private:
  struct upstream
  {
    vm_record mRecord;
    int64_t mShare = 0;
    int64_t mOutstanding = 0;
    bool mListed = true;
    time_point mLeavingUntil{};     ///< By its own word.
    time_point mPeerLeavingUntil{}; ///< By a peer's.
    int mFailures = 0;
    int mEjections = 0;
    time_point mEjectedUntil{};
    time_point mSlowStart{};
  };

  bool IsLeaving(const upstream& aItem) const;
  bool IsEjected(const upstream& aItem) const;
  int64_t Limit(const upstream& aItem) const;
  bool MayEject() const;
  void NoteFailure(upstream& aItem);
  std::vector<upstream*> Candidates(const std::vector<std::string>& aAvoid);

  event_loop& mLoop;
  event_log& mLog;
  mutable std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::map<std::string, upstream> mUpstreams;
};

/** Returns the slots of an upstream that belong to aOwnVm. Pure. */
int64_t SlotShare(const std::string& aUpstream,
                  int64_t aSlots,
                  const std::string& aOwnVm,
                  const std::vector<std::string>& aLiveVms);

} // namespace anvildoor
