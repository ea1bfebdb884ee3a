#include "anvildoor/Settings.h"

#include "base/Address.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <ini.h>
#include <optional>
#include <set>
#include <sstream>
#include <variant>

namespace anvildoor {

namespace {

constexpr size_t kDigestHexDigits = 64;
constexpr size_t kMinSecretBytes = 16;

struct name_text
{};
struct address_text
{};
struct digest_list
{};
struct secret_text
{};
struct readable_file
{};
struct whole_number
{
  int64_t mMin;
  int64_t mMax;
};
struct byte_size
{
  int64_t mMin;
  int64_t mMax;
};
struct time_span
{
  int64_t mMinMs;
  int64_t mMaxMs;
};

using value_kind = std::variant<name_text,
                                address_text,
                                digest_list,
                                secret_text,
                                readable_file,
                                whole_number,
                                byte_size,
                                time_span>;

using settings_member = std::variant<std::string daemon_settings::*,
                                     int64_t daemon_settings::*,
                                     duration daemon_settings::*>;

struct setting
{
  const char* mSection;
  const char* mKey;
  value_kind mKind;
  settings_member mMember;
  const char* mDefault; ///< As shown to operators; "" means required.
};

const std::vector<setting>& Schema()
{
  using s = daemon_settings;
  static const std::vector<setting> sSchema{
    { "node", "vm", name_text{}, &s::mVm, "" },
    { "node", "data_centre", name_text{}, &s::mDataCentre, "" },
    { "node", "listen_http", address_text{}, &s::mListenHttp, "" },
    { "node", "listen_peer", address_text{}, &s::mListenPeer, "" },
    { "node", "threads", whole_number{ 1, 64 }, &s::mThreads, "2" },
    { "platform", "store", address_text{}, &s::mStore, "" },
    { "platform", "vm_list", address_text{}, &s::mVmList, "" },
    { "platform", "vm_list_period", time_span{ 100, 10'000 }, &s::mVmListPeriod, "1s" },
    { "security", "operator_tokens", digest_list{}, &s::mOperatorTokenDigests, "" },
    { "security", "peer_secret", secret_text{}, &s::mPeerSecret, "" },
    { "security", "tls_certificate", readable_file{}, &s::mTlsCertificate, "none" },
    { "security", "tls_key", readable_file{}, &s::mTlsKey, "none" },
    { "security", "tls_authority", readable_file{}, &s::mTlsAuthority, "none" },
    { "http", "body_limit", byte_size{ 1024, 1 << 20 }, &s::mBodyLimitBytes, "64KB" },
    { "http", "connections", whole_number{ 1, 65'536 }, &s::mMaxConnections, "2048" },
    { "http", "read_timeout", time_span{ 100, 60'000 }, &s::mReadTimeout, "5s" },
    { "http", "idle_timeout", time_span{ 1'000, 600'000 }, &s::mIdleTimeout, "60s" },
    { "drain", "grace", time_span{ 1'000, 600'000 }, &s::mDrainGrace, "30s" },
    { "drain", "settle", time_span{ 0, 60'000 }, &s::mDrainSettle, "1s" },
  };
  return sSchema;
}

struct unit
{
  const char* mName;
  int64_t mFactor;
};

const std::vector<unit>& ByteUnits()
{
  static const std::vector<unit> sUnits{ { "B", 1 },
                                         { "KB", 1024 },
                                         { "MB", 1'048'576 } };
  return sUnits;
}

const std::vector<unit>& TimeUnits()
{
  static const std::vector<unit> sUnits{ { "ms", 1 },
                                         { "s", 1'000 },
                                         { "min", 60'000 } };
  return sUnits;
}

/** Returns the amount in the base unit, or nullopt if number or unit is invalid. */
std::optional<int64_t> ParseAmount(const std::string& aText,
                                   const std::vector<unit>& aUnits)
{
  constexpr int64_t kMaxNumber = 1'000'000'000;
  char* end = nullptr;
  const int64_t number = std::strtoll(aText.c_str(), &end, 10);
  const std::string name(end);
  if (end == aText.c_str() || number < 0 || number > kMaxNumber) {
    return std::nullopt;
  }
  for (const auto& item : aUnits) {
    if (name == item.mName) {
      return number * item.mFactor;
    }
  }
  return std::nullopt;
}

bool IsDigestList(const std::string& aText)
{
  std::istringstream stream(aText);
  std::string digest;
  bool any = false;
  while (std::getline(stream, digest, ',')) {
    any = true;
    const bool hex = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (digest.size() != kDigestHexDigits || !hex) {
      return false;
    }
  }
  return any;
}

/** Describes, checks and parses the values of each kind of setting. */
struct value_rules
{
  std::string Expected(const name_text&) const
  {
    return "1 to 64 letters, digits or hyphens";
  }
  std::string Expected(const address_text&) const
  {
    return "an IPv4 address and a port, such as 127.0.0.1:7000";
  }
  std::string Expected(const digest_list&) const
  {
    return "SHA-256 digests of 64 lower-case hexadecimal digits, separated by commas";
  }
  std::string Expected(const secret_text&) const { return "at least 16 bytes"; }
  std::string Expected(const readable_file&) const { return "a readable PEM file"; }
  std::string Expected(const whole_number& aKind) const
  {
    return "a whole number from " + std::to_string(aKind.mMin) + " to " +
           std::to_string(aKind.mMax);
  }
  std::string Expected(const byte_size& aKind) const
  {
    return "a size with unit B, KB or MB, from " + std::to_string(aKind.mMin) +
           "B to " + std::to_string(aKind.mMax) + "B";
  }
  std::string Expected(const time_span& aKind) const
  {
    return "a duration with unit ms, s or min, from " + std::to_string(aKind.mMinMs) +
           "ms to " + std::to_string(aKind.mMaxMs) + "ms";
  }

  static bool Accepts(const name_text&, const std::string& aText)
  {
    const auto isPlain = [](char aCharacter) {
      return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
             aCharacter == '-';
    };
    constexpr size_t kMaxBytes = 64;
    return !aText.empty() && aText.size() <= kMaxBytes &&
           std::all_of(aText.begin(), aText.end(), isPlain);
  }
  static bool Accepts(const address_text&, const std::string& aText)
  {
    return IsAddress(aText);
  }
  static bool Accepts(const digest_list&, const std::string& aText)
  {
    return IsDigestList(aText);
  }
  static bool Accepts(const secret_text&, const std::string& aText)
  {
    return aText.size() >= kMinSecretBytes;
  }

  static bool Accepts(const readable_file&, const std::string& aText)
  {
    return std::ifstream(aText).good();
  }

  static std::optional<int64_t> ParseInRange(const whole_number& aKind,
                                             const std::string& aText)
  {
    return CheckRange(ParseAmount(aText, { { "", 1 } }), aKind.mMin, aKind.mMax);
  }
  static std::optional<int64_t> ParseInRange(const byte_size& aKind,
                                             const std::string& aText)
  {
    return CheckRange(ParseAmount(aText, ByteUnits()), aKind.mMin, aKind.mMax);
  }
  static std::optional<int64_t> ParseInRange(const time_span& aKind,
                                             const std::string& aText)
  {
    return CheckRange(ParseAmount(aText, TimeUnits()), aKind.mMinMs, aKind.mMaxMs);
  }

private:
  static std::optional<int64_t> CheckRange(std::optional<int64_t> aAmount,
                                           int64_t aMin,
                                           int64_t aMax)
  {
    return aAmount && *aAmount >= aMin && *aAmount <= aMax ? aAmount : std::nullopt;
  }
};

std::string DescribeExpected(const setting& aSetting)
{
  return std::visit([](const auto& aKind) { return value_rules().Expected(aKind); },
                    aSetting.mKind);
}

bool Assign(const setting& aSetting, const std::string& aText, daemon_settings& aTarget)
{
  return std::visit(
    [&](const auto& aKind) {
      using kind = std::decay_t<decltype(aKind)>;
      constexpr bool kIsAmount = std::is_same_v<kind, whole_number> ||
                                 std::is_same_v<kind, byte_size> ||
                                 std::is_same_v<kind, time_span>;
      if constexpr (kIsAmount) {
        const auto amount = value_rules::ParseInRange(aKind, aText);
        if (amount &&
            std::holds_alternative<duration daemon_settings::*>(aSetting.mMember)) {
          aTarget.*std::get<duration daemon_settings::*>(aSetting.mMember) =
            duration(*amount);
        } else if (amount) {
          aTarget.*std::get<int64_t daemon_settings::*>(aSetting.mMember) = *amount;
        }
        return amount.has_value();
      } else {
        aTarget.*std::get<std::string daemon_settings::*>(aSetting.mMember) = aText;
        return value_rules::Accepts(aKind, aText);
      }
    },
    aSetting.mKind);
}

struct settings_parser
{
  std::string mFile;
  daemon_settings mSettings;
  std::set<const setting*> mSeenSettings;
  std::optional<error> mError;

  void Reject(const std::string& aWhere, const std::string& aMessage)
  {
    if (!mError) {
      mError =
        error{ error_code::kInvalid, "settings", mFile, aWhere + ": " + aMessage };
    }
  }

  void AddValue(const std::string& aSection,
                const std::string& aKey,
                const std::string& aText)
  {
    const auto where = "[" + aSection + "] " + aKey;
    for (const auto& item : Schema()) {
      if (aSection != item.mSection || aKey != item.mKey) {
        continue;
      }
      if (!mSeenSettings.insert(&item).second) {
        Reject(where, "given twice");
      } else if (!Assign(item, aText, mSettings)) {
        Reject(where, "'" + aText + "' is not " + DescribeExpected(item));
      }
      return;
    }
    Reject(where, "unknown key");
  }
};

int OnIniValue(void* aParser,
               const char* aSection,
               const char* aKey,
               const char* aValue)
{
  static_cast<settings_parser*>(aParser)->AddValue(aSection, aKey, aValue);
  return 1;
}

} // namespace

result<daemon_settings> ParseSettings(const std::string& aFile,
                                      const std::string& aText)
{
  settings_parser parser;
  parser.mFile = aFile;
  const int line = ini_parse_string(aText.c_str(), OnIniValue, &parser);
  if (line != 0) {
    parser.Reject("line " + std::to_string(line), "not a [section] or key = value");
  }
  for (const auto& item : Schema()) {
    const bool required = std::string(item.mDefault).empty();
    if (required && parser.mSeenSettings.count(&item) == 0) {
      parser.Reject(std::string("[") + item.mSection + "] " + item.mKey,
                    "missing; expected " + DescribeExpected(item));
    }
  }
  const auto& parsed = parser.mSettings;
  const bool anyTls = !parsed.mTlsCertificate.empty() || !parsed.mTlsKey.empty() ||
                      !parsed.mTlsAuthority.empty();
  const bool allTls = !parsed.mTlsCertificate.empty() && !parsed.mTlsKey.empty() &&
                      !parsed.mTlsAuthority.empty();
  if (anyTls && !allTls) {
    parser.Reject("[security] tls_certificate",
                  "expected with tls_key and tls_authority, or none of the three");
  }
  if (parser.mError) {
    return tl::unexpected<error>(*parser.mError);
  }
  return parser.mSettings;
}

result<daemon_settings> LoadSettings(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return Fail(error_code::kNotFound, "settings", aFile, "the file cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(aFile, text.str());
}

std::vector<setting_help> DescribeSettings()
{
  std::vector<setting_help> help;
  for (const auto& item : Schema()) {
    help.push_back({ item.mSection, item.mKey, DescribeExpected(item), item.mDefault });
  }
  return help;
}

} // namespace anvildoor
