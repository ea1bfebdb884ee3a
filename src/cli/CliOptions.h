#pragma once

#include "anvildoor/Error.h"

#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** The exit statuses of the command line. */
enum class cli_exit
{
  kOk = 0,
  kFailed = 1,  ///< The job or the call failed.
  kUsage = 2,   ///< Wrong arguments or settings.
  kNotRun = 3,  ///< It did not run and will not.
  kUnknown = 4, ///< It may have run.
};

/** One parsed command line. */
struct cli_options
{
  std::vector<std::string> mServers{ "127.0.0.1:7301" };
  std::string mToken;
  bool mJson = false;
  bool mHelp = false;
  bool mWait = false;
  std::vector<std::string> mWords;           ///< The command and its operands.
  std::map<std::string, std::string> mFlags; ///< The command's own flags.
  std::vector<std::string> mGuarantees;

  /** Returns a flag's value, or aDefault if it was not given. */
  std::string Flag(const std::string& aName, const std::string& aDefault = "") const;

  /** Returns an operand, or "". */
  std::string Word(size_t aIndex) const;
};

/** Parses a command line; kInvalid names what is wrong. Uses getopt: call it once. */
result<cli_options> ParseCommandLine(int aCount, char** aArguments);

/** Returns the help text. */
const char* CliHelp();

} // namespace anvildoor
