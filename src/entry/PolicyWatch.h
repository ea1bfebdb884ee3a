#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "config/FleetPolicy.h"
#include "store/RangeWatch.h"

#include <functional>
#include <memory>

namespace anvildoor {

/**
 * Watches the store key that holds the installation's desired state. The version in
 * force is replaced only by a newer one, and is kept if a new value cannot be decoded.
 * Not thread-safe: all calls come from one thread.
 */
class policy_watch
{
public:
  using decoder = std::function<result<fleet_policy>(const std::string& aValue)>;
  using listener = std::function<void(std::shared_ptr<const fleet_policy>)>;

  /** The references must outlive the watch and its calls. */
  policy_watch(event_loop& aLoop,
               transaction_store& aStore,
               event_log& aLog,
               std::string aKey,
               decoder aDecode,
               listener aListener);

  void Begin() { mWatch.Read(); }

  /** Reads the key now, for example when the store is reachable again. */
  void ReadAgain() { mWatch.Read(); }

  /** Returns the version in force; null before the first read. */
  const std::shared_ptr<const fleet_policy>& Current() const { return mCurrent; }

private:
  void Apply(const stored_item& aItem);

  event_log& mLog;
  std::string mKey;
  decoder mDecode;
  listener mListener;
  std::shared_ptr<const fleet_policy> mCurrent;
  range_watch mWatch;
};

} // namespace anvildoor
