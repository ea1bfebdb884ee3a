"""A tenant gets another name and keeps its key; then its client cancels its job."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import deployment as site  # noqa: E402
from deployment import KEY, TROUBLE, call, now  # noqa: E402

RACKS = ["r1", "r1", "r2", "r2"]
JOB = "00000000000000a7"
TASKS = 4
APPLY_S = 6.0  # Thrice config_apply_ms.
# UNASKED: a task of a cancelled job must have ended this long after the acknowledgement.
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.4, 3.0
WATCH_S = 30.0


def behave(run):
    run.lasts = True


async def scenario(deployment):
    await deployment.submit(JOB, [{"count": TASKS, "cpu": 1000, "mem_mb": 1024, "gpu": 1,
                                   "long_running": True}])
    await asyncio.sleep(5.0)
    if len([run for run in deployment.runs if run.ended is None]) != TASKS:
        raise site.NotRun("the tasks have not started")
    if TROUBLE:
        version = {**deployment.desired, "version": 9,
                   "tenants": [{"name": "t-renamed", "api_keys": [KEY],
                                "guaranteed": {"gpu": 8}}]}
        await deployment.store.put("op/config", version)
        deployment.record("version 9 is confirmed: tenant t is t-renamed, with the same key")
    await asyncio.sleep(APPLY_S)
    await deployment.state(JOB)
    acknowledged = None
    for attempt in range(5):
        vm = deployment.vms[attempt % len(deployment.vms)]
        status, _ = await call(vm.jobs, "DELETE", f"/q1/{JOB}")
        deployment.record(f"DELETE /q1/{JOB} with the same key at {vm.name}: {status}")
        if 200 <= status < 300 or status == 410:
            acknowledged = (now(), status)
            break
        await asyncio.sleep(1.0)
    if acknowledged is None:
        raise site.NotRun("the cancellation was not acknowledged")
    await asyncio.sleep(WATCH_S)
    state = await deployment.state(JOB)
    at, status = acknowledged
    late = [run for run in deployment.runs
            if (run.ended or now()) - at > CANCEL_S + STOP_S + CONTACT_S]
    return [f"UNASKED: {run.task} runs on {run.worker.id} {(run.ended or now()) - at:.1f} s after "
            f"the cancellation was acknowledged with {status}; the job is shown as {state}"
            for run in late]


site.main(__file__, behave, RACKS, scenario)
