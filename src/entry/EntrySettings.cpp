#include "entry/EntrySettings.h"

#include "base/Address.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <ini.h>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

namespace anvildoor {

namespace {

constexpr double kMaxDurationMs = 1'000'000'000.0;

struct entry_setting
{
  const char* mSection;
  const char* mKey;
  const char* mExpected;
  bool mRequired;
  std::function<bool(const std::string&, entry_settings&)> mParse;
};

using text_member = std::string entry_settings::*;
using duration_member = duration entry_settings::*;

entry_setting Name(const char* aSection, const char* aKey, text_member aMember)
{
  return { aSection,
           aKey,
           "a non-empty name",
           true,
           [aMember](const std::string& aText, entry_settings& aInto) {
             aInto.*aMember = aText;
             return !aText.empty();
           } };
}

entry_setting Address(const char* aSection,
                      const char* aKey,
                      text_member aMember,
                      bool aRequired = true)
{
  return { aSection,
           aKey,
           "an IPv4 address and port, such as 127.0.0.1:7000",
           aRequired,
           [aMember](const std::string& aText, entry_settings& aInto) {
             aInto.*aMember = aText;
             return IsAddress(aText);
           } };
}

/** Describes a setting with a non-negative duration in units of aUnitMs. */
entry_setting Duration(const char* aSection,
                       const char* aKey,
                       duration_member aMember,
                       double aUnitMs,
                       const char* aExpected)
{
  return { aSection,
           aKey,
           aExpected,
           false,
           [aMember, aUnitMs](const std::string& aText, entry_settings& aInto) {
             char* end = nullptr;
             const double value = std::strtod(aText.c_str(), &end) * aUnitMs;
             const bool isValid = end != aText.c_str() && *end == '\0' &&
                                  std::isfinite(value) && value >= 0.0 &&
                                  value <= kMaxDurationMs;
             if (isValid) {
               aInto.*aMember = duration(std::llround(value));
             }
             return isValid;
           } };
}

entry_setting PositiveNumber(const char* aSection,
                             const char* aKey,
                             double entry_settings::*aMember)
{
  return { aSection,
           aKey,
           "a number above 0",
           false,
           [aMember](const std::string& aText, entry_settings& aInto) {
             char* end = nullptr;
             const double value = std::strtod(aText.c_str(), &end);
             aInto.*aMember = value;
             return end != aText.c_str() && *end == '\0' && std::isfinite(value) &&
                    value > 0.0;
           } };
}

const std::vector<entry_setting>& Schema()
{
  constexpr double kMsPerSecond = 1'000.0;
  static const char* const sMs = "a number of milliseconds";
  static const char* const sSeconds = "a number of seconds";
  static const std::vector<entry_setting> sSchema{
    Name("vm", "name", &entry_settings::mVm),
    Name("vm", "data_centre", &entry_settings::mDataCentre),
    PositiveNumber("vm", "cores", &entry_settings::mCores),
    PositiveNumber("vm", "link_mbps", &entry_settings::mLinkMbps),
    PositiveNumber("limits", "memory_mb", &entry_settings::mMemoryMb),
    PositiveNumber("limits", "max_fds", &entry_settings::mMaxFds),
    PositiveNumber("limits", "receive_mb", &entry_settings::mReceiveMb),
    PositiveNumber("limits", "connections", &entry_settings::mConnections),
    Address("listen", "jobs", &entry_settings::mListenJobs),
    Address("listen", "readiness", &entry_settings::mListenReady),
    Address("listen", "peers", &entry_settings::mListenPeers),
    Address("listen", "metrics", &entry_settings::mListenMetrics, false),
    Address("store", "address", &entry_settings::mStore),
    Duration("store", "lease_least_ms", &entry_settings::mMinStoreLease, 1.0, sMs),
    Duration("bounds", "lease_max_ms", &entry_settings::mLeaseMax, 1.0, sMs),
    Duration("bounds",
             "status_kept_s",
             &entry_settings::mMinStatusRetention,
             kMsPerSecond,
             sSeconds),
    Duration(
      "bounds", "worker_beat_ms", &entry_settings::mWorkerHeartbeatPeriod, 1.0, sMs),
    Duration("bounds", "reclaim_ms", &entry_settings::mReclaimBound, 1.0, sMs),
    Duration("bounds", "evacuation_ms", &entry_settings::mEvacuationBound, 1.0, sMs),
    Duration(
      "bounds", "stop_grace_s", &entry_settings::mStopGrace, kMsPerSecond, sSeconds),
  };
  return sSchema;
}

struct entry_parser
{
  std::string mFile;
  entry_settings mSettings;
  std::map<std::string, bool> mGiven;
  std::optional<error> mError;

  void Reject(const std::string& aWhere, const std::string& aMessage)
  {
    if (!mError) {
      mError =
        error{ error_code::kInvalid, "settings", mFile, aWhere + ": " + aMessage };
    }
  }
};

std::string SettingLabel(const std::string& aSection, const std::string& aKey)
{
  return "[" + aSection + "] " + aKey;
}

int OnEntryValue(void* aParser,
                 const char* aSection,
                 const char* aKey,
                 const char* aValue)
{
  auto& parser = *static_cast<entry_parser*>(aParser);
  for (const auto& item : Schema()) {
    const bool matches =
      std::string(item.mSection) == aSection && std::string(item.mKey) == aKey;
    if (!matches) {
      continue;
    }
    const std::string text = aValue;
    parser.mGiven[SettingLabel(aSection, aKey)] = true;
    if (text.empty() && !item.mRequired) {
      return 1;
    }
    if (!item.mParse(text, parser.mSettings)) {
      parser.Reject(SettingLabel(aSection, aKey),
                    "'" + text + "' is not " + item.mExpected);
    }
  }
  return 1;
}

/** Returns aSet, or else aShare of aWhole, or else aDefault; 0 stands for unknown. */
double SetOrShare(double aSet, double aWhole, double aShare, double aDefault)
{
  if (aSet > 0) {
    return aSet;
  }
  return aWhole > 0 ? aWhole * aShare : aDefault;
}

} // namespace

receive_limits CallerReceiveLimits(const entry_settings& aSettings)
{
  constexpr double kBytesPerMb = 1'048'576;
  constexpr double kMemoryShare = 0.25;
  constexpr double kDescriptorShare = 0.5;
  const receive_limits defaults;
  receive_limits limits;
  limits.mBytes = static_cast<size_t>(
    kBytesPerMb * SetOrShare(aSettings.mReceiveMb,
                             aSettings.mMemoryMb,
                             kMemoryShare,
                             static_cast<double>(defaults.mBytes) / kBytesPerMb));
  limits.mConnections = static_cast<size_t>(
    std::max(1.0,
             SetOrShare(aSettings.mConnections,
                        aSettings.mMaxFds,
                        kDescriptorShare,
                        static_cast<double>(defaults.mConnections))));
  return limits;
}

receive_limits InternalReceiveLimits(const entry_settings& aSettings)
{
  constexpr size_t kPartOfCallers = 4;
  auto limits = CallerReceiveLimits(aSettings);
  limits.mBytes /= kPartOfCallers;
  limits.mConnections = std::max<size_t>(1, limits.mConnections / kPartOfCallers);
  return limits;
}

result<entry_settings> ParseEntrySettings(const std::string& aFile,
                                          const std::string& aText)
{
  entry_parser parser;
  parser.mFile = aFile;
  const int line = ini_parse_string(aText.c_str(), OnEntryValue, &parser);
  if (line != 0) {
    parser.Reject("line " + std::to_string(line), "not a [section] or key = value");
  }
  for (const auto& item : Schema()) {
    const auto label = SettingLabel(item.mSection, item.mKey);
    if (item.mRequired && parser.mGiven.count(label) == 0) {
      parser.Reject(label, std::string("missing; expected ") + item.mExpected);
    }
  }
  if (parser.mError) {
    return tl::unexpected<error>(*parser.mError);
  }
  return parser.mSettings;
}

result<entry_settings> LoadEntrySettings(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return Fail(error_code::kNotFound, "settings", aFile, "the file cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseEntrySettings(aFile, text.str());
}

} // namespace anvildoor
