#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "store/RangeWatch.h"

#include <functional>
#include <map>
#include <string>

namespace anvildoor {

/** How operators request the evacuation of data centres. */
struct evacuation_settings
{
  /**
   * Each key under this prefix names a data centre in which nothing more may be started
   * while the key exists. Empty: there are no evacuations.
   */
  std::string mKeyPrefix;
  /** How long after a request starts must have ceased. */
  duration mBound{ 0 };

  auto operator<=>(const evacuation_settings&) const = default;
};

/** What a data centre holds. */
struct data_centre_load
{
  size_t mWorkers = 0; ///< That are listed.
  size_t mRuns = 0;

  auto operator<=>(const data_centre_load&) const = default;
};

/**
 * Follows which data centres are being evacuated during a scheduler's term. Until the
 * requests have been read, and again when the store has not confirmed them for half of
 * the bound, nothing may be started at all. Not thread-safe.
 */
class evacuations
{
public:
  /** The references must outlive it. aOnChange is called after each change. */
  evacuations(event_loop& aLoop,
              transaction_store& aStore,
              event_log& aLog,
              metrics& aMetrics,
              evacuation_settings aSettings,
              std::function<void()> aOnChange);

  /** Begins to follow the requests, for a new term. */
  void Begin();

  /** Forgets the requests. */
  void End();

  /**
   * Returns whether the requests are known well enough to start tasks; logs when that
   * changes.
   */
  bool CheckKnown();

  /** Returns whether no task may be placed in aDataCentre. */
  bool Includes(const std::string& aDataCentre) const;

  /**
   * Returns whether a start in aDataCentre that was decided before its evacuation, or
   * while the requests were known, must not be sent any more.
   */
  bool ForbidsStarts(const std::string& aDataCentre) const;

  /** Returns whether a data centre is being evacuated. */
  bool Any() const { return !mEvacuated.empty(); }

  /**
   * Logs, once each, that a data centre has no runs any more, or that a request names
   * one that has no workers.
   */
  void Report(const std::map<std::string, data_centre_load>& aLoads);

private:
  struct evacuation
  {
    time_point mSince{ 0 }; ///< When it was first seen.
    bool mIsReported = false;
  };

  /** Returns whether the store has confirmed the requests within aMaxAge. */
  bool AreKnown(duration aMaxAge) const;
  bool IsEnabled() const { return !mSettings.mKeyPrefix.empty(); }
  void OnRead(const stored_range& aRange);
  void Insert(const std::string& aKey);
  void Remove(const std::string& aDataCentre);
  /** Returns the data centre that aKey names. */
  std::string DataCentreOf(const std::string& aKey) const;
  void OnChanged();

  event_loop& mLoop;
  event_log& mLog;
  metrics& mMetrics;
  evacuation_settings mSettings;
  std::function<void()> mOnChange;
  std::map<std::string, evacuation> mEvacuated; ///< By data centre.
  range_watch mWatch;
  time_point mBegunAt{ 0 };
  bool mWasKnown = false; ///< As last returned by CheckKnown.
};

} // namespace anvildoor
