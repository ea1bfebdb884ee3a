#pragma once

#include "anvildoor/Error.h"
#include "planner/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** Guarantees a workspace mCount concurrent gangs of mShape at any time. */
struct guarantee
{
  int64_t mCount = 1;
  gang_shape mShape;

  auto operator<=>(const guarantee&) const = default;
};

/** A workspace with its access token and guarantees. */
struct workspace_config
{
  std::string mName;
  std::string mDataCentre;  ///< Where the guarantees apply; "" means everywhere.
  std::string mTokenSha256; ///< 64 hexadecimal digits.
  int64_t mWeight = 1;      ///< Relative share of borrowed capacity.
  std::vector<guarantee> mGuarantees;

  auto operator<=>(const workspace_config&) const = default;
};

/** Settings for the whole fleet, unless an exception overrides them. */
struct fleet_defaults
{
  /**
   * High values avoid borrowed capacity that may be reclaimed, low ones avoid
   * fragmenting racks.
   */
  int64_t mCompletionWeightPercent = 60;
  /**
   * Wait before a rack is reserved for a gang, and again before checkpointable gangs in
   * the rack are preempted.
   */
  int64_t mDrainAfterMs = 120'000;
  /** Wait after which a batch job is ranked as an interactive one. */
  int64_t mBatchMaxWaitMs = 3'600'000;
  int64_t mCheckpointGraceMs = 1'000;   ///< Time for a preempted gang to checkpoint.
  int64_t mQueuedJobs = 2'000;          ///< Per workspace and data centre.
  int64_t mRequestsInFlight = 64;       ///< Per workspace and data centre.
  int64_t mRequestsPerSecond = 200;     ///< Per workspace and data centre.
  int64_t mJobAttempts = 5;             ///< Failed attempts after which a job fails.
  int64_t mQuarantineSharePercent = 10; ///< Limit on the workers in quarantine.

  auto operator<=>(const fleet_defaults&) const = default;
};

/** Overrides one default for one workspace, with the operator's reason. */
struct fleet_exception
{
  std::string mName;
  std::string mWorkspace;
  std::string mSetting;
  int64_t mValue = 0;
  std::string mReason;

  auto operator<=>(const fleet_exception&) const = default;
};

/** One version of all settings made by operators. Immutable once shared. */
struct fleet_config
{
  uint64_t mVersion = 0;
  std::vector<std::string> mRecentChanges; ///< Ids of the latest accepted changes.
  std::map<std::string, workspace_config> mWorkspaces;
  fleet_defaults mDefaults;
  std::map<std::string, fleet_exception> mExceptions;

  auto operator<=>(const fleet_config&) const = default;

  /** Returns the defaults with the exceptions for aWorkspace applied. */
  fleet_defaults DefaultsFor(const std::string& aWorkspace) const;
};

/** Describes one default: its JSON name, its member and its permitted range. */
struct default_field
{
  const char* mName;
  int64_t fleet_defaults::*mMember;
  int64_t mMin;
  int64_t mMax;
};

/** Returns the descriptions of all defaults. Thread-safe. */
const std::vector<default_field>& DefaultFields();

/** The kind of entry that a change applies to. */
enum class config_kind
{
  kWorkspace,
  kDefaults,
  kException,
};

/** A change requested by an operator. */
struct config_change
{
  std::string mId; ///< Unique; shows whether a change took effect after a lost answer.
  config_kind mKind = config_kind::kWorkspace;
  std::string mName;
  std::string mBody; ///< JSON of the entry; unused for a removal.
  bool mIsRemoval = false;
  std::optional<uint64_t> mExpectedVersion;

  auto operator<=>(const config_change&) const = default;
};

/** Returns the JSON text of aConfig. Thread-safe. */
std::string ToJsonText(const fleet_config& aConfig);

/** Parses and checks a complete configuration. Errors name the field. Thread-safe. */
result<fleet_config> ParseFleetConfig(const std::string& aText);

/** Returns the RFC 6902 patch from one configuration to another. Thread-safe. */
std::string PatchBetween(const fleet_config& aFrom, const fleet_config& aTo);

/** Applies a patch of PatchBetween; kInvalid if it does not apply. Thread-safe. */
result<fleet_config> ApplyPatch(const fleet_config& aFrom, const std::string& aPatch);

/**
 * Returns aConfig with aChange applied and the version raised by one. Errors: kInvalid
 * with the field in mPeer, kNotFound for an unknown entry, kConflict if the version is
 * not mExpectedVersion. Thread-safe.
 */
result<fleet_config> ApplyChange(const fleet_config& aConfig,
                                 const config_change& aChange);

/** Returns the JSON text of one entry for API callers. Thread-safe. */
result<std::string> EntryJson(const fleet_config& aConfig,
                              config_kind aKind,
                              const std::string& aName);

} // namespace anvildoor
