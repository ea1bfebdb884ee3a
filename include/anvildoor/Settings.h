#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"

#include <string>
#include <vector>

namespace anvildoor {

/** The settings of one anvildoord process, from its INI file. */
struct daemon_settings
{
  std::string mVm; ///< Id of this entry VM.
  std::string mDataCentre;
  std::string mListenHttp;           ///< IP:port for callers and operators.
  std::string mListenPeer;           ///< IP:port for other entry VMs.
  std::string mStore;                ///< IP:port of the platform's store.
  std::string mVmList;               ///< IP:port of the platform's VM list.
  std::string mOperatorTokenDigests; ///< SHA-256 digests, separated by commas.
  std::string mPeerSecret;
  std::string mTlsCertificate; ///< PEM file; set with the next two or not at all.
  std::string mTlsKey;
  std::string mTlsAuthority;
  int64_t mThreads = 2;
  int64_t mBodyLimitBytes = 65'536;
  int64_t mMaxConnections = 2'048;
  duration mReadTimeout{ 5'000 };
  duration mIdleTimeout{ 60'000 };
  duration mVmListPeriod{ 1'000 };
  duration mDrainGrace{ 30'000 }; ///< Maximum duration of a drain.
  duration mDrainSettle{ 1'000 }; ///< Time for which a draining VM accepts connections.

  auto operator<=>(const daemon_settings&) const = default;
};

/** Describes one setting, for help texts and documentation. */
struct setting_help
{
  std::string mSection;
  std::string mKey;
  std::string mExpected;
  std::string mDefault; ///< "" if the setting is required.

  auto operator<=>(const setting_help&) const = default;
};

/**
 * Parses the text of a settings file. Errors (kInvalid) name aFile, the section, the
 * key and the expected value. Thread-safe.
 */
result<daemon_settings> ParseSettings(const std::string& aFile,
                                      const std::string& aText);

/** Reads and parses a file; kNotFound if it cannot be read. Thread-safe. */
result<daemon_settings> LoadSettings(const std::string& aFile);

/** Returns every setting with its expected value and default. Thread-safe. */
std::vector<setting_help> DescribeSettings();

} // namespace anvildoor
