#pragma once

#include "base/EventLog.h"
#include "config/FleetConfig.h"
#include "store/StoreClient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace anvildoor {

using shared_config = std::shared_ptr<const fleet_config>;

/** Checks whether the guarantees of a new configuration fit the fleet. */
using config_check = std::function<status(const fleet_config&)>;

/**
 * Holds the configuration in force in this process. A change is accepted if and only if
 * the conditional write of the head key took effect. Versions only increase.
 * Thread-safe.
 */
class config_controller
{
public:
  using change_done = std::function<void(result<shared_config>)>;
  using listener = std::function<void(const shared_config&)>;

  /** The references must outlive the controller. aCheck may be empty. */
  config_controller(event_loop& aLoop,
                    store_client& aStore,
                    event_log& aLog,
                    config_check aCheck);

  /** Adds a listener for each configuration adopted. Must be called before Start. */
  void AddListener(listener aListener);

  /**
   * Reads the head key; retries if the read fails and no configuration is known yet.
   */
  void Start();

  /** Starts or stops watching the head key; one VM per data centre watches it. */
  void SetWatching(bool aWatching);

  /**
   * Applies a change to the head key. Errors: those of ApplyChange and of the
   * config_check, kConflict also after repeated conflicting writes, kUnavailable if the
   * change was not accepted, and kUnknownEffect if it may have been accepted.
   */
  void Change(const config_change& aChange, change_done aDone);

  /** Adopts aConfig if it is newer; returns whether it was. */
  bool Adopt(const fleet_config& aConfig);

  /** Returns the configuration in force, or null before the first one. */
  shared_config Current() const;

  /** Returns the version in force, 0 before the first one. */
  uint64_t Version() const;

  /** Returns whether a configuration is known, possibly the empty initial one. */
  bool IsReady() const { return Current() != nullptr; }

  /** Returns the patch from version aFrom to the current one, "" if not available. */
  std::string PatchFrom(uint64_t aFrom) const;

private:
  struct pending_change;

  void ReadHead();
  void Watch();
  void TryChange(const std::shared_ptr<pending_change>& aPending);
  void WriteChange(const std::shared_ptr<pending_change>& aPending,
                   const std::optional<store_value>& aHead);
  void OnWritten(const std::shared_ptr<pending_change>& aPending,
                 const fleet_config& aNext,
                 const result<uint64_t>& aAnswer);
  void AdoptHead(const std::optional<store_value>& aHead);

  event_loop& mLoop;
  store_client& mStore;
  event_log& mLog;
  config_check mCheck;
  std::vector<listener> mListeners;
  mutable std::mutex mMutex;
  shared_config mCurrent;
  shared_config mPrevious;
  uint64_t mHeadRevision = 0;
  bool mWatching = false;
  bool mWatchPending = false;
};

} // namespace anvildoor
