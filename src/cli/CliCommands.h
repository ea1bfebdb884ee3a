#pragma once

#include "cli/CliOptions.h"

namespace anvildoor {

/** Runs the command in aOptions, prints the result and returns the exit status. */
cli_exit RunCommand(const cli_options& aOptions);

} // namespace anvildoor
