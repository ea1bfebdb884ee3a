#include "cli/CliCommands.h"
#include "cli/CliOptions.h"

#include <cstdio>

int main(int aCount, char** aArguments)
{
  const auto options = anvildoor::ParseCommandLine(aCount, aArguments);
  if (!options) {
    std::fprintf(
      stderr, "anvildoor: %s\n", anvildoor::Describe(options.error()).c_str());
    return static_cast<int>(anvildoor::cli_exit::kUsage);
  }
  if (options->mHelp) {
    std::printf("%s", anvildoor::CliHelp());
    return 0;
  }
  return static_cast<int>(anvildoor::RunCommand(*options));
}
