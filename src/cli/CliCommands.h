#pragma once

#include "cli/CliOptions.h"

namespace anvildoor {

/** Runs one command; prints its answer and returns the exit status. */
cli_exit RunCommand(const cli_options& aOptions);

} // namespace anvildoor
