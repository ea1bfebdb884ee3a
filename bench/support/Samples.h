#pragma once

#include "config/FleetConfig.h"
#include "gang/JobRecord.h"
#include "gang/WorkerPort.h"
#include "planner/PlannerTypes.h"

#include <string>
#include <vector>

namespace anvildoor {

// All functions return deterministic values of realistic size.

/** Returns aWorkers workers in racks of 8; every second worker has accelerators. */
fleet_view SampleFleet(int aWorkers);

/** Returns a configuration of aWorkspaces; every tenth one has a guarantee. */
fleet_config SampleConfig(int aWorkspaces);

/** Returns gangs of 42 tasks that fill aFleet with 25 tasks per worker. */
std::vector<running_gang> SampleRunning(const fleet_view& aFleet);

/** Returns aJobs waiting gangs of mixed sizes. */
std::vector<waiting_job> SampleWaiting(int aJobs);

/** Returns a record of a gang of 42 tasks on 21 workers. */
job_record SampleRecord(int aNumber);

/** Returns the full report of a worker that runs aAttempts attempts. */
renew_reply SampleReply(int aAttempts);

} // namespace anvildoor
