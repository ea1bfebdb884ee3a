#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Settings.h"

namespace anvildoor {

/**
 * Runs one entry VM's process: the node over gRPC and HTTP. Returns once SIGTERM,
 * SIGINT or a drain call has ended it gracefully, or with the error that kept it from
 * starting. Call it once, from the main thread.
 */
status RunDaemon(const daemon_settings& aSettings);

} // namespace anvildoor
