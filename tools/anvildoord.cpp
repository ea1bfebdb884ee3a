#include "anvildoor/Daemon.h"
#include "anvildoor/Settings.h"

#include <cstdio>
#include <getopt.h>
#include <glog/logging.h>
#include <string>

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

void PrintHelp()
{
  std::printf("Usage: anvildoord --config FILE [--check]\n"
              "\n"
              "Runs one anvildoor entry VM until SIGTERM, then drains and exits.\n"
              "\n"
              "  -c, --config FILE  the INI file with the settings\n"
              "      --check        validate the settings and exit\n"
              "  -h, --help         show this help\n"
              "\n"
              "Exit status: 0 graceful shutdown or valid settings, 1 failed to start,\n"
              "2 invalid usage or settings.\n"
              "\n"
              "Settings:\n");
  for (const auto& item : anvildoor::DescribeSettings()) {
    const auto defaultText =
      item.mDefault.empty() ? std::string("required") : "default " + item.mDefault;
    std::printf("  [%s] %s: %s; %s\n",
                item.mSection.c_str(),
                item.mKey.c_str(),
                item.mExpected.c_str(),
                defaultText.c_str());
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  static const option sOptions[] = { { "config", required_argument, nullptr, 'c' },
                                     { "check", no_argument, nullptr, 'k' },
                                     { "help", no_argument, nullptr, 'h' },
                                     { nullptr, 0, nullptr, 0 } };
  std::string file;
  bool checkOnly = false;
  int optionCode = 0;
  while ((optionCode = getopt_long(aCount, aArguments, "c:h", sOptions, nullptr)) !=
         -1) {
    if (optionCode == 'c') {
      file = optarg;
    } else if (optionCode == 'k') {
      checkOnly = true;
    } else if (optionCode == 'h') {
      PrintHelp();
      return 0;
    } else {
      return kExitUsage;
    }
  }
  if (file.empty() || optind != aCount) {
    std::fprintf(stderr, "anvildoord: --config FILE is required; see --help\n");
    return kExitUsage;
  }
  const auto settings = anvildoor::LoadSettings(file);
  if (!settings) {
    std::fprintf(
      stderr, "anvildoord: %s\n", anvildoor::Describe(settings.error()).c_str());
    return kExitUsage;
  }
  if (checkOnly) {
    std::printf("%s: the settings are valid\n", file.c_str());
    return 0;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArguments[0]);
  google::InstallFailureSignalHandler();
  const auto finished = anvildoor::RunDaemon(*settings);
  if (!finished) {
    std::fprintf(
      stderr, "anvildoord: %s\n", anvildoor::Describe(finished.error()).c_str());
    return kExitFailed;
  }
  return 0;
}
