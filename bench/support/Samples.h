#pragma once

#include "config/FleetConfig.h"
#include "gang/JobRecord.h"
#include "gang/WorkerPort.h"
#include "planner/PlannerTypes.h"

#include <string>
#include <vector>

namespace anvildoor {

/** Values of realistic size for measurements. All deterministic. */

/** Returns a data centre of aWorkers in racks of 8; every second one has accelerators.
 */
fleet_view SampleFleet(int aWorkers);

/** Returns a configuration of aWorkspaces, one guarantee in every tenth. */
fleet_config SampleConfig(int aWorkspaces);

/** Returns gangs of 42 tasks that fill aFleet with 25 tasks per worker. */
std::vector<running_gang> SampleRunning(const fleet_view& aFleet);

/** Returns aJobs waiting gangs of mixed sizes. */
std::vector<waiting_job> SampleWaiting(int aJobs);

/** Returns a record of a gang of 42 tasks on 21 workers. */
job_record SampleRecord(int aNumber);

/** Returns what a worker with aAttempts reports in full. */
renew_reply SampleReply(int aAttempts);

} // namespace anvildoor
