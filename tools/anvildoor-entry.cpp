#include "entry/EntrySettings.h"
#include "platform/EntryProgram.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <string>

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr const char* kSettingsFileVariable = "ANVILDOOR_BOOT";

void PrintHelp()
{
  std::printf("Usage: anvildoor-entry [--config FILE] [--check]\n"
              "\n"
              "Runs one anvildoor entry VM on the users' platform until SIGTERM.\n"
              "\n"
              "  -c, --config FILE  the INI file with the settings (default: the file\n"
              "                     named by the environment variable %s)\n"
              "      --check        validate the settings and exit\n"
              "  -h, --help         show this help\n"
              "\n"
              "Exit status: 0 graceful shutdown or valid settings, 1 failed to start,\n"
              "2 invalid usage or settings.\n",
              kSettingsFileVariable);
}

} // namespace

int main(int aCount, char** aArguments)
{
  static const option sOptions[] = { { "config", required_argument, nullptr, 'c' },
                                     { "check", no_argument, nullptr, 'k' },
                                     { "help", no_argument, nullptr, 'h' },
                                     { nullptr, 0, nullptr, 0 } };
  const char* fileFromEnvironment = std::getenv(kSettingsFileVariable);
  std::string file = fileFromEnvironment == nullptr ? "" : fileFromEnvironment;
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
    std::fprintf(stderr, "anvildoor-entry: a settings file is required; see --help\n");
    return kExitUsage;
  }
  const auto settings = anvildoor::LoadEntrySettings(file);
  if (!settings) {
    std::fprintf(
      stderr, "anvildoor-entry: %s\n", anvildoor::Describe(settings.error()).c_str());
    return kExitUsage;
  }
  if (checkOnly) {
    std::printf("%s: the settings are valid\n", file.c_str());
    return 0;
  }
  const auto finished = anvildoor::RunEntry(file, *settings);
  if (!finished) {
    std::fprintf(
      stderr, "anvildoor-entry: %s\n", anvildoor::Describe(finished.error()).c_str());
    return kExitFailed;
  }
  return 0;
}
