#pragma once

#include "anvildoor/Error.h"

#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** Exit statuses of the command-line client. */
enum class cli_exit
{
  kOk = 0,
  kFailed = 1,  ///< The job or the call failed.
  kUsage = 2,   ///< Invalid arguments or settings.
  kNotRun = 3,  ///< The work did not run and will not run.
  kUnknown = 4, ///< The work may have run.
};

/** A parsed command line. */
struct cli_options
{
  std::vector<std::string> mServers{ "127.0.0.1:7301" };
  std::string mToken;
  bool mJson = false;
  bool mHelp = false;
  bool mWait = false;
  std::vector<std::string> mPositionals;     ///< The command and its operands.
  std::map<std::string, std::string> mFlags; ///< Flags of the command, by name.
  std::vector<std::string> mGuarantees;

  /** Returns a flag's value, or aDefault if it was not given. */
  std::string Flag(const std::string& aName, const std::string& aDefault = "") const;

  /** Returns the operand at aIndex (0 is the command), or "" if there is none. */
  std::string Positional(size_t aIndex) const;
};

/**
 * Parses a command line. Fails with kInvalid and names the offending argument. Not
 * thread-safe; call it only once per process, since getopt keeps global state.
 */
result<cli_options> ParseCommandLine(int aCount, char** aArguments);

/** Returns the help text. */
const char* CliHelp();

} // namespace anvildoor
