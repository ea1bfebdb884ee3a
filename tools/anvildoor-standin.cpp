#include "daemon/TbbLoop.h"
#include "standin/StandinServer.h"
#include "standin/StandinSite.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <optional>
#include <pthread.h>
#include <string>

namespace {

using anvildoor::standin_settings;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kLoopThreads = 4;
constexpr long kMaxCount = 100'000;

void PrintHelp()
{
  std::puts(
    "Usage: anvildoor-standin --grpc IP:PORT --control IP:PORT --data-centre NAME\n"
    "                         [--entry VM=DATA_CENTRE=IP:PORT]... [OPTIONS]\n"
    "\n"
    "Runs small stand-ins for the platform in one process: store, VM list,\n"
    "workers and upstreams. For tests and demonstrations only.\n"
    "\n"
    "      --grpc IP:PORT       store, VM list and workers\n"
    "      --control IP:PORT    HTTP: GET /counts, /runs; POST /store, /workers/ID,\n"
    "                           /upstreams/ID with a JSON object of faults\n"
    "      --data-centre NAME   may be given several times\n"
    "      --entry VM=DC=ADDR   an entry VM and its address for peers\n"
    "      --racks N            racks per data centre (2)\n"
    "      --workers N          workers per rack (4)\n"
    "      --accelerators N     accelerators per worker (8)\n"
    "      --upstreams N        upstreams per data centre (4)\n"
    "      --upstream-port N    port of the first upstream (7200)\n"
    "      --list-lag-ms N      lag of the VM list (0)\n"
    "  -h, --help               show this help");
}

std::optional<int> ParseCount(const char* aText)
{
  char* end = nullptr;
  const long value = std::strtol(aText, &end, 10);
  if (*aText == '\0' || *end != '\0' || value < 0 || value > kMaxCount) {
    return std::nullopt;
  }
  return static_cast<int>(value);
}

bool ParseEntry(const std::string& aText, standin_settings& aSettings)
{
  const auto first = aText.find('=');
  const auto second = aText.find('=', first + 1);
  if (first == std::string::npos || second == std::string::npos) {
    return false;
  }
  anvildoor::vm_record vm;
  vm.mKind = anvildoor::vm_kind::kEntry;
  vm.mId = aText.substr(0, first);
  vm.mDataCentre = aText.substr(first + 1, second - first - 1);
  vm.mAddress = aText.substr(second + 1);
  aSettings.mEntryVms.push_back(vm);
  return true;
}

/** Applies one option; returns false if the option or its value is invalid. */
bool ApplyOption(int aOptionCode, const char* aValue, standin_settings& aSettings)
{
  const auto parseCountInto = [aValue](auto& aTarget) {
    const auto parsed = ParseCount(aValue);
    aTarget = parsed.value_or(0);
    return parsed.has_value();
  };
  switch (aOptionCode) {
    case 'g':
      aSettings.mListenGrpc = aValue;
      return true;
    case 'c':
      aSettings.mListenControl = aValue;
      return true;
    case 'd':
      aSettings.mDataCentres.emplace_back(aValue);
      return true;
    case 'e':
      return ParseEntry(aValue, aSettings);
    case 'r':
      return parseCountInto(aSettings.mRacks);
    case 'w':
      return parseCountInto(aSettings.mWorkersPerRack);
    case 'a':
      return parseCountInto(aSettings.mWorker.mAccelerators);
    case 'u':
      return parseCountInto(aSettings.mUpstreams);
    case 'p':
      return parseCountInto(aSettings.mUpstreamPort);
    case 'l': {
      int lag = 0;
      const bool isValid = parseCountInto(lag);
      aSettings.mListLag = anvildoor::duration(lag);
      return isValid;
    }
    default:
      return false;
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  static const option sOptions[] = {
    { "grpc", required_argument, nullptr, 'g' },
    { "control", required_argument, nullptr, 'c' },
    { "data-centre", required_argument, nullptr, 'd' },
    { "entry", required_argument, nullptr, 'e' },
    { "racks", required_argument, nullptr, 'r' },
    { "workers", required_argument, nullptr, 'w' },
    { "accelerators", required_argument, nullptr, 'a' },
    { "upstreams", required_argument, nullptr, 'u' },
    { "upstream-port", required_argument, nullptr, 'p' },
    { "list-lag-ms", required_argument, nullptr, 'l' },
    { "help", no_argument, nullptr, 'h' },
    { nullptr, 0, nullptr, 0 }
  };
  standin_settings settings;
  int optionCode = 0;
  while ((optionCode = getopt_long(aCount, aArguments, "h", sOptions, nullptr)) != -1) {
    if (optionCode == 'h') {
      PrintHelp();
      return 0;
    }
    if (!ApplyOption(optionCode, optarg, settings)) {
      std::fprintf(stderr, "anvildoor-standin: invalid option or value; see --help\n");
      return kExitUsage;
    }
  }
  if (settings.mListenGrpc.empty() || settings.mListenControl.empty() ||
      settings.mDataCentres.empty()) {
    std::fprintf(
      stderr, "anvildoor-standin: --grpc, --control and --data-centre are required\n");
    return kExitUsage;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  anvildoor::tbb_loop loop(kLoopThreads);
  // Leaked on purpose: gRPC may call into both objects until the process exits.
  auto* site = new anvildoor::standin_site(loop, settings);
  auto* server = new anvildoor::standin_server(loop, *site, settings);
  if (auto listening = server->Listen(); !listening) {
    std::fprintf(stderr,
                 "anvildoor-standin: %s\n",
                 anvildoor::Describe(listening.error()).c_str());
    std::_Exit(kExitFailed);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}
