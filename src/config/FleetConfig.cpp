#include "config/FleetConfig.h"

#include "base/JsonReader.h"
#include "base/JsonText.h"

#include <algorithm>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxReasonBytes = 1024;
constexpr size_t kMaxGuarantees = 64;
constexpr size_t kTokenHexDigits = 64;
constexpr size_t kMaxRecentChanges = 64;
constexpr int64_t kMaxTasks = 64;
constexpr int64_t kMaxAmount = 1'000'000;
constexpr const char* kStep = "config";

const std::vector<std::string>& AdjacencyNames()
{
  static const std::vector<std::string> sNames{ "any", "rack" };
  return sNames;
}

bool IsValidName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           const auto byte = static_cast<unsigned char>(aCharacter);
           return std::isalnum(byte) != 0 || aCharacter == '-' || aCharacter == '_' ||
                  aCharacter == '.';
         });
}

json ToJson(const guarantee& aGuarantee)
{
  const auto& shape = aGuarantee.mShape;
  return { { "count", aGuarantee.mCount },
           { "tasks", shape.mTasks },
           { "accelerators_per_task", shape.mPerTask.mAccelerators },
           { "cores_per_task", shape.mPerTask.mCores },
           { "memory_mb_per_task", shape.mPerTask.mMemoryMb },
           { "adjacency", AdjacencyNames()[shape.mAdjacency == adjacency::kRack] } };
}

json ToJson(const workspace_config& aWorkspace)
{
  json guarantees = json::array();
  for (const auto& item : aWorkspace.mGuarantees) {
    guarantees.push_back(ToJson(item));
  }
  return { { "data_centre", aWorkspace.mDataCentre },
           { "token_sha256", aWorkspace.mTokenSha256 },
           { "weight", aWorkspace.mWeight },
           { "guarantees", guarantees } };
}

json ToJson(const fleet_defaults& aDefaults)
{
  json object = json::object();
  for (const auto& field : DefaultFields()) {
    object[field.mName] = aDefaults.*field.mMember;
  }
  return object;
}

json ToJson(const fleet_exception& aException)
{
  return { { "workspace", aException.mWorkspace },
           { "setting", aException.mSetting },
           { "value", aException.mValue },
           { "reason", aException.mReason } };
}

json ToJson(const fleet_config& aConfig)
{
  json workspaces = json::object();
  for (const auto& [name, item] : aConfig.mWorkspaces) {
    workspaces[name] = ToJson(item);
  }
  json exceptions = json::object();
  for (const auto& [name, item] : aConfig.mExceptions) {
    exceptions[name] = ToJson(item);
  }
  return { { "version", aConfig.mVersion },
           { "recent_changes", aConfig.mRecentChanges },
           { "workspaces", workspaces },
           { "defaults", ToJson(aConfig.mDefaults) },
           { "exceptions", exceptions } };
}

result<guarantee> ReadGuarantee(json_reader& aReader)
{
  guarantee item;
  item.mCount = aReader.Integer("count", 1, kMaxAmount, 1);
  item.mShape.mTasks = aReader.Integer("tasks", 1, kMaxTasks);
  item.mShape.mPerTask.mAccelerators =
    aReader.Integer("accelerators_per_task", 0, kMaxAmount);
  item.mShape.mPerTask.mCores = aReader.Integer("cores_per_task", 0, kMaxAmount, 0);
  item.mShape.mPerTask.mMemoryMb =
    aReader.Integer("memory_mb_per_task", 0, kMaxAmount * 1000, 0);
  item.mShape.mAdjacency = aReader.Choice("adjacency", AdjacencyNames(), 0) == 1
                             ? adjacency::kRack
                             : adjacency::kAny;
  if (auto read = aReader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return item;
}

result<workspace_config> ReadWorkspace(const std::string& aName, json_reader& aReader)
{
  workspace_config item;
  item.mName = aName;
  item.mDataCentre = aReader.String("data_centre", kMaxNameBytes, false);
  item.mTokenSha256 = aReader.String("token_sha256", kTokenHexDigits);
  item.mWeight = aReader.Integer("weight", 1, 1000, 1);
  if (!IsValidName(aName)) {
    aReader.Reject("name", "expected 1 to 64 letters, digits, '-', '_' or '.'");
  }
  if (item.mTokenSha256.size() != kTokenHexDigits) {
    aReader.Reject("token_sha256", "expected 64 hexadecimal digits");
  }
  for (auto& reader : aReader.Objects("guarantees", kMaxGuarantees)) {
    auto read = ReadGuarantee(reader);
    if (!read) {
      aReader.Reject("guarantees." + read.error().mPeer, read.error().mMessage);
      break;
    }
    item.mGuarantees.push_back(*read);
  }
  if (auto read = aReader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return item;
}

result<fleet_defaults> ReadDefaults(json_reader& aReader, const fleet_defaults& aBase)
{
  fleet_defaults item = aBase;
  for (const auto& field : DefaultFields()) {
    item.*field.mMember =
      aReader.Integer(field.mName, field.mMin, field.mMax, item.*field.mMember);
  }
  if (auto read = aReader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return item;
}

const default_field* FindDefault(const std::string& aName)
{
  for (const auto& field : DefaultFields()) {
    if (aName == field.mName) {
      return &field;
    }
  }
  return nullptr;
}

result<fleet_exception> ReadException(const std::string& aName, json_reader& aReader)
{
  fleet_exception item;
  item.mName = aName;
  item.mWorkspace = aReader.String("workspace", kMaxNameBytes);
  item.mSetting = aReader.String("setting", kMaxNameBytes);
  item.mReason = aReader.String("reason", kMaxReasonBytes);
  item.mValue = aReader.Integer("value", INT64_MIN, INT64_MAX);
  const auto* field = FindDefault(item.mSetting);
  if (!IsValidName(aName)) {
    aReader.Reject("name", "expected 1 to 64 letters, digits, '-', '_' or '.'");
  }
  if (field == nullptr) {
    aReader.Reject("setting", "no default has this name");
  } else if (item.mValue < field->mMin || item.mValue > field->mMax) {
    aReader.Reject("value",
                   "expected " + std::to_string(field->mMin) + " to " +
                     std::to_string(field->mMax));
  }
  if (item.mReason.find_first_not_of(" \t\r\n") == std::string::npos) {
    aReader.Reject("reason", "an exception requires a reason");
  }
  if (auto read = aReader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return item;
}

result<fleet_config> FromJson(json aValue)
{
  json_reader reader(std::move(aValue), kStep);
  fleet_config config;
  config.mVersion = static_cast<uint64_t>(reader.Integer("version", 0, INT64_MAX));
  for (const auto& id : reader.RawValue("recent_changes")) {
    config.mRecentChanges.push_back(id.is_string() ? id.get<std::string>() : "");
  }
  for (auto& [name, member] : reader.Members("workspaces")) {
    auto read = ReadWorkspace(name, member);
    if (!read) {
      return tl::unexpected<error>(read.error());
    }
    config.mWorkspaces.emplace(name, std::move(*read));
  }
  json_reader defaultsReader(reader.RawValue("defaults"), kStep);
  auto defaults = ReadDefaults(defaultsReader, fleet_defaults{});
  if (!defaults) {
    return tl::unexpected<error>(defaults.error());
  }
  config.mDefaults = *defaults;
  for (auto& [name, member] : reader.Members("exceptions")) {
    auto read = ReadException(name, member);
    if (!read) {
      return tl::unexpected<error>(read.error());
    }
    config.mExceptions.emplace(name, std::move(*read));
  }
  if (auto read = reader.Finish(); !read) {
    return tl::unexpected<error>(read.error());
  }
  return config;
}

template<typename T>
status RemoveEntry(std::map<std::string, T>& aEntries, const std::string& aName)
{
  if (aEntries.erase(aName) == 0) {
    return Fail(error_code::kNotFound, kStep, aName, "no such entry");
  }
  return {};
}

bool HasExceptionFor(const fleet_config& aConfig, const std::string& aWorkspace)
{
  return std::any_of(
    aConfig.mExceptions.begin(), aConfig.mExceptions.end(), [&](const auto& aItem) {
      return aItem.second.mWorkspace == aWorkspace;
    });
}

status ApplyRemoval(fleet_config& aConfig, const config_change& aChange)
{
  switch (aChange.mKind) {
    case config_kind::kWorkspace:
      if (HasExceptionFor(aConfig, aChange.mName)) {
        return Fail(error_code::kInvalid,
                    kStep,
                    "workspace",
                    "an exception still refers to this workspace");
      }
      return RemoveEntry(aConfig.mWorkspaces, aChange.mName);
    case config_kind::kException:
      return RemoveEntry(aConfig.mExceptions, aChange.mName);
    case config_kind::kDefaults:
      aConfig.mDefaults = fleet_defaults{};
      return {};
  }
  return {};
}

template<typename T, typename Assign>
status ApplyIfValid(result<T> aRead, const Assign& aAssign)
{
  if (!aRead) {
    return tl::unexpected<error>(aRead.error());
  }
  aAssign(std::move(*aRead));
  return {};
}

status ApplyPut(fleet_config& aConfig, const config_change& aChange)
{
  auto reader = json_reader::Parse(aChange.mBody, kStep);
  switch (aChange.mKind) {
    case config_kind::kWorkspace:
      return ApplyIfValid(
        ReadWorkspace(aChange.mName, reader), [&](workspace_config aItem) {
          aConfig.mWorkspaces.insert_or_assign(aChange.mName, std::move(aItem));
        });
    case config_kind::kDefaults:
      return ApplyIfValid(ReadDefaults(reader, aConfig.mDefaults),
                          [&](fleet_defaults aItem) { aConfig.mDefaults = aItem; });
    case config_kind::kException: {
      auto read = ReadException(aChange.mName, reader);
      if (read && aConfig.mWorkspaces.count(read->mWorkspace) == 0) {
        return Fail(error_code::kInvalid, kStep, "workspace", "unknown workspace");
      }
      return ApplyIfValid(std::move(read), [&](fleet_exception aItem) {
        aConfig.mExceptions.insert_or_assign(aChange.mName, std::move(aItem));
      });
    }
  }
  return {};
}

} // namespace

const std::vector<default_field>& DefaultFields()
{
  static constexpr int64_t kDayMs = 86'400'000;
  static const std::vector<default_field> sFields{
    { "completion_weight_percent", &fleet_defaults::mCompletionWeightPercent, 0, 100 },
    { "drain_after_ms", &fleet_defaults::mDrainAfterMs, 0, kDayMs },
    { "batch_max_wait_ms", &fleet_defaults::mBatchMaxWaitMs, 1'000, kDayMs },
    { "checkpoint_grace_ms", &fleet_defaults::mCheckpointGraceMs, 0, 1'800 },
    { "queued_jobs", &fleet_defaults::mQueuedJobs, 1, 100'000 },
    { "requests_in_flight", &fleet_defaults::mRequestsInFlight, 1, 10'000 },
    { "requests_per_second", &fleet_defaults::mRequestsPerSecond, 1, 100'000 },
    { "job_attempts", &fleet_defaults::mJobAttempts, 1, 100 },
    { "quarantine_share_percent", &fleet_defaults::mQuarantineSharePercent, 0, 50 },
  };
  return sFields;
}

fleet_defaults fleet_config::DefaultsFor(const std::string& aWorkspace) const
{
  fleet_defaults settings = mDefaults;
  for (const auto& [name, item] : mExceptions) {
    const auto* field = FindDefault(item.mSetting);
    if (item.mWorkspace == aWorkspace && field != nullptr) {
      settings.*field->mMember = item.mValue;
    }
  }
  return settings;
}

std::string ToJsonText(const fleet_config& aConfig)
{
  return ToJson(aConfig).dump(-1, ' ', false, kReplaceInvalidUtf8);
}

result<fleet_config> ParseFleetConfig(const std::string& aText)
{
  auto parsed = json::parse(aText, nullptr, false);
  if (parsed.is_discarded()) {
    return Fail(error_code::kInvalid, kStep, "", "malformed JSON");
  }
  return FromJson(std::move(parsed));
}

std::string PatchBetween(const fleet_config& aFrom, const fleet_config& aTo)
{
  return json::diff(ToJson(aFrom), ToJson(aTo))
    .dump(-1, ' ', false, kReplaceInvalidUtf8);
}

result<fleet_config> ApplyPatch(const fleet_config& aFrom, const std::string& aPatch)
{
  try {
    return FromJson(ToJson(aFrom).patch(json::parse(aPatch)));
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalid, "config.patch", "", failure.what());
  }
}

result<fleet_config> ApplyChange(const fleet_config& aConfig,
                                 const config_change& aChange)
{
  if (aChange.mExpectedVersion && *aChange.mExpectedVersion != aConfig.mVersion) {
    return Fail(error_code::kConflict,
                kStep,
                "version",
                "the version is " + std::to_string(aConfig.mVersion));
  }
  fleet_config changed = aConfig;
  auto applied =
    aChange.mIsRemoval ? ApplyRemoval(changed, aChange) : ApplyPut(changed, aChange);
  if (!applied) {
    return tl::unexpected<error>(applied.error());
  }
  ++changed.mVersion;
  changed.mRecentChanges.push_back(aChange.mId);
  if (changed.mRecentChanges.size() > kMaxRecentChanges) {
    changed.mRecentChanges.erase(changed.mRecentChanges.begin());
  }
  return changed;
}

result<std::string> EntryJson(const fleet_config& aConfig,
                              config_kind aKind,
                              const std::string& aName)
{
  json entry;
  const auto workspace = aConfig.mWorkspaces.find(aName);
  const auto exception = aConfig.mExceptions.find(aName);
  if (aKind == config_kind::kDefaults) {
    entry = ToJson(aConfig.mDefaults);
  } else if (aKind == config_kind::kWorkspace &&
             workspace != aConfig.mWorkspaces.end()) {
    entry = ToJson(workspace->second);
  } else if (aKind == config_kind::kException &&
             exception != aConfig.mExceptions.end()) {
    entry = ToJson(exception->second);
  } else {
    return Fail(error_code::kNotFound, kStep, aName, "no such entry");
  }
  return json{ { "version", aConfig.mVersion }, { "entry", entry } }.dump(
    -1, ' ', false, kReplaceInvalidUtf8);
}

} // namespace anvildoor
