#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Settings.h"

namespace anvildoor {

/**
 * Runs the process of one entry VM, which serves gRPC and HTTP. Returns after a
 * graceful shutdown on SIGTERM, SIGINT or a drain call, or with the error that
 * prevented the start. Call it once, from the main thread.
 */
status RunDaemon(const daemon_settings& aSettings);

} // namespace anvildoor
