#pragma once

#include "anvildoor/Error.h"
#include "planner/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** A shape that a workspace can have assembled at any time, mCount times at once. */
struct guarantee
{
  int64_t mCount = 1;
  gang_shape mShape;

  auto operator<=>(const guarantee&) const = default;
};

/** A workspace: who may act for it and what it is guaranteed. */
struct workspace_config
{
  std::string mName;
  std::string mDataCentre;  ///< Where the guarantees hold; "" means in each one.
  std::string mTokenSha256; ///< 64 hexadecimal digits.
  int64_t mWeight = 1;      ///< Share of borrowed capacity relative to the others.
  std::vector<guarantee> mGuarantees;

  auto operator<=>(const workspace_config&) const = default;
};

/** Settings that hold for the whole fleet unless an exception says otherwise. */
struct fleet_defaults
{
  int64_t mCompletionWeightPercent = 60;
  int64_t mDrainAfterMs = 120'000;
  int64_t mBatchMaxWaitMs = 3'600'000;
  int64_t mCheckpointGraceMs = 1'000;
  int64_t mQueuedJobs = 2'000;
  int64_t mRequestsInFlight = 64;
  int64_t mRequestsPerSecond = 200;
  int64_t mJobAttempts = 5;
  int64_t mQuarantineSharePercent = 10;

  auto operator<=>(const fleet_defaults&) const = default;
};

/** One workspace's departure from a default, with the reason in writing. */
struct fleet_exception
{
  std::string mName;
  std::string mWorkspace;
  std::string mSetting;
  int64_t mValue = 0;
  std::string mReason;

  auto operator<=>(const fleet_exception&) const = default;
};

/** Everything that operators have set, as of one version. Immutable once shared. */
struct fleet_config
{
  uint64_t mVersion = 0;
  std::vector<std::string> mRecentChanges; ///< Ids of the latest accepted changes.
  std::map<std::string, workspace_config> mWorkspaces;
  fleet_defaults mDefaults;
  std::map<std::string, fleet_exception> mExceptions;

  auto operator<=>(const fleet_config&) const = default;

  /** Returns the defaults as they hold for aWorkspace, exceptions applied. */
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

/** Returns the description of every default. Thread-safe. */
const std::vector<default_field>& DefaultFields();

/** Which kind of entry a change is about. */
enum class config_kind
{
  kWorkspace,
  kDefaults,
  kException,
};

/** One change that an operator asks for. */
struct config_change
{
  std::string mId; ///< Unique; settles whether a lost answer took effect.
  config_kind mKind = config_kind::kWorkspace;
  std::string mName;
  std::string mBody; ///< JSON of the entry; unused when it is removed.
  bool mRemove = false;
  std::optional<uint64_t> mIfVersion;

  auto operator<=>(const config_change&) const = default;
};

/** Returns the JSON text of aConfig. Thread-safe. */
std::string ToJsonText(const fleet_config& aConfig);

/** Parses and checks a whole configuration; errors name the field. Thread-safe. */
result<fleet_config> ParseFleetConfig(const std::string& aText);

/** Returns the RFC 6902 patch from one configuration to another. Thread-safe. */
std::string PatchBetween(const fleet_config& aFrom, const fleet_config& aTo);

/** Applies a patch made by PatchBetween; kInvalid if it does not fit. Thread-safe. */
result<fleet_config> ApplyPatch(const fleet_config& aFrom, const std::string& aPatch);

/**
 * Returns aConfig with aChange applied, its version raised by one. Errors: kInvalid
 * with the field in mPeer, kNotFound for an unknown entry. Thread-safe.
 */
result<fleet_config> ApplyChange(const fleet_config& aConfig,
                                 const config_change& aChange);

/** Returns the JSON text of one entry as a caller reads it. Thread-safe. */
result<std::string> EntryJson(const fleet_config& aConfig,
                              config_kind aKind,
                              const std::string& aName);

} // namespace anvildoor
