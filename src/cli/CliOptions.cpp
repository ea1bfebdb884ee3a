#include "cli/CliOptions.h"

#include <cstdlib>
#include <getopt.h>
#include <sstream>

namespace anvildoor {

namespace {

enum option_code
{
  kServer = 1000,
  kToken,
  kJson,
  kWait,
  kHelp,
  kGuarantee,
  kFirstFlag,
};

/** Flags that take a value. Each command looks up its own flags by name. */
const std::vector<const char*>& ValueFlags()
{
  static const std::vector<const char*> sNames{
    "workspace",    "class",     "tasks",       "accelerators", "cores",
    "memory-mb",    "adjacency", "payload",     "key",          "expected-seconds",
    "deadline-ms",  "setting",   "value",       "reason",       "if-match",
    "token-sha256", "weight",    "data-centre", "wait-ms"
  };
  return sNames;
}

const std::vector<const char*>& SwitchFlags()
{
  static const std::vector<const char*> sNames{ "not-idempotent",
                                                "checkpointable",
                                                "first-call" };
  return sNames;
}

std::vector<option> GetoptTable()
{
  std::vector<option> table{ { "server", required_argument, nullptr, kServer },
                             { "token", required_argument, nullptr, kToken },
                             { "json", no_argument, nullptr, kJson },
                             { "wait", no_argument, nullptr, kWait },
                             { "help", no_argument, nullptr, kHelp },
                             { "guarantee", required_argument, nullptr, kGuarantee } };
  int code = kFirstFlag;
  for (const auto* name : ValueFlags()) {
    table.push_back({ name, required_argument, nullptr, code++ });
  }
  for (const auto* name : SwitchFlags()) {
    table.push_back({ name, no_argument, nullptr, code++ });
  }
  table.push_back({ nullptr, 0, nullptr, 0 });
  return table;
}

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::istringstream stream(aText);
  std::string item;
  while (std::getline(stream, item, ',')) {
    items.push_back(item);
  }
  return items;
}

void StoreFlag(int aCode, const char* aValue, cli_options& aOptions)
{
  const auto index = static_cast<size_t>(aCode - kFirstFlag);
  if (index < ValueFlags().size()) {
    aOptions.mFlags[ValueFlags()[index]] = aValue;
  } else {
    aOptions.mFlags[SwitchFlags()[index - ValueFlags().size()]] = "yes";
  }
}

} // namespace

std::string cli_options::Flag(const std::string& aName,
                              const std::string& aDefault) const
{
  const auto found = mFlags.find(aName);
  return found == mFlags.end() ? aDefault : found->second;
}

std::string cli_options::Positional(size_t aIndex) const
{
  return aIndex < mPositionals.size() ? mPositionals[aIndex] : std::string();
}

result<cli_options> ParseCommandLine(int aCount, char** aArguments)
{
  cli_options options;
  if (const char* servers = std::getenv("ANVILDOOR_SERVER")) {
    options.mServers = SplitList(servers);
  }
  if (const char* token = std::getenv("ANVILDOOR_TOKEN")) {
    options.mToken = token;
  }
  const auto table = GetoptTable();
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(aCount, aArguments, "h", table.data(), nullptr)) != -1) {
    if (code == '?') {
      return Fail(error_code::kInvalid,
                  "arguments",
                  aArguments[optind - 1],
                  "unknown option or missing value; see anvildoor --help");
    }
    if (code == kServer) {
      options.mServers = SplitList(optarg);
    } else if (code == kToken) {
      options.mToken = optarg;
    } else if (code == kJson) {
      options.mJson = true;
    } else if (code == kWait) {
      options.mWait = true;
    } else if (code == kHelp || code == 'h') {
      options.mHelp = true;
    } else if (code == kGuarantee) {
      options.mGuarantees.emplace_back(optarg);
    } else {
      StoreFlag(code, optarg, options);
    }
  }
  for (int i = optind; i < aCount; ++i) {
    options.mPositionals.emplace_back(aArguments[i]);
  }
  return options;
}

const char* CliHelp()
{
  return R"(Usage: anvildoor [--server IP:PORT,...] [--token TOKEN] [--json] COMMAND ...

Command-line client of anvildoor for callers and operators. Servers are tried in
order. ANVILDOOR_SERVER and ANVILDOOR_TOKEN are the defaults of --server and --token.

For callers:
  submit --workspace W --tasks N --accelerators N [--cores N] [--memory-mb N]
         [--adjacency rack|any] [--class urgent|interactive|batch] [--key KEY]
         [--not-idempotent] [--checkpointable] [--expected-seconds N]
         [--payload TEXT] [--wait]
                       submit a gang job; safe to retry with the same key
  job ID               show a job
  wait ID              wait until a job ends, showing its states
  cancel ID            cancel a job and report whether it ran
  explain ID           show why a job waits or where it was placed
  request --workspace W [--payload TEXT] [--class C] [--deadline-ms N]
         [--not-idempotent --key KEY [--first-call]]
                       send a request to an upstream

For operators:
  workspace get|delete NAME
  workspace put NAME --token-sha256 DIGEST [--weight N] [--data-centre DC]
         [--guarantee COUNT:TASKS:ACCELERATORS:rack|any]...
  defaults get         show the fleet-wide defaults
  defaults put NAME=VALUE...
  exception get|delete NAME
  exception put NAME --workspace W --setting S --value N --reason TEXT
                       every put and delete accepts --if-match VERSION
  fleet                show racks, workers, guarantees and fragmentation
  status               show the status of the contacted VM
  drain                drain the contacted VM and shut it down
  config check FILE    validate a daemon's settings file
  hash TOKEN           print the SHA-256 of a token

Exit status: 0 success, 1 failure, 2 invalid usage, 3 not run, 4 may have run.
)";
}

} // namespace anvildoor
