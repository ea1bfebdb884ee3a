"""A guaranteed gang that prefers one rack comes while others borrow its accelerators."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import deployment as site  # noqa: E402
from deployment import TROUBLE  # noqa: E402

RACKS = ["r1", "r1", "r2", "r2"]  # Two racks of 16 accelerators.
OWN, BORROWER, GANG = "00000000000000a{}", "00000000000000ab", "00000000000000ad"
WORK_S, GANG_S = 200.0, 20.0
RECLAIM_S = 2.9  # Of the site.
WATCH_S = 25.0
TENANTS = [{"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}},
           {"name": "t2", "api_keys": ["key-2"], "guaranteed": {"gpu": 16}},
           {"name": "t3", "api_keys": ["key-3"], "guaranteed": {"gpu": 0}}]


def behave(run):
    run.work_s = GANG_S if run.task.startswith(GANG) else WORK_S


async def scenario(deployment):
    base = {"cpu": 1000, "mem_mb": 1024, "estimate_ms": int(1000 * WORK_S)}
    if TROUBLE:
        for number, rack in ((1, "r1"), (2, "r2")):
            await deployment.submit(OWN.format(number), [{**base, "count": 1, "gpu": 4,
                                                          "data_rack": rack}],
                                    priority=0, key="key-1")
        await asyncio.sleep(2.0)
    await deployment.submit(BORROWER, [{**base, "count": 24 if TROUBLE else 32, "gpu": 1}],
                            priority=2, key="key-3")
    await asyncio.sleep(5.0)
    for worker in deployment.workers:
        deployment.record(f"{worker.id} in {worker.rack} runs "
                          f"{sorted(run.task for run in worker.runs.values())}")
    if sum(len(worker.runs) for worker in deployment.workers) != (26 if TROUBLE else 32):
        raise site.NotRun("the other jobs have not started")
    accepted = await deployment.submit(
        GANG, [{**base, "count": 4, "gpu": 4, "gang": True, "same_rack": True,
                "estimate_ms": int(1000 * GANG_S)}], priority=0, key="key-2")
    await asyncio.sleep(WATCH_S)
    begun = sorted(run.began - accepted for run in deployment.runs
                   if run.task.startswith(GANG))
    deployment.record(f"the gang's tasks have begun {begun} s after the confirmation")
    if len(begun) >= 4 and begun[3] <= RECLAIM_S:
        return []
    return [f"RECLAIM: {min(4, len(begun))} of 4 tasks of a gang of 16 accelerators have begun "
            f"{WATCH_S:.0f} s after its confirmation; its tenant is guaranteed 16, and 24 of "
            f"32 are in use by jobs of priority 2 of a tenant without a guarantee"]


site.main(__file__, behave, RACKS, scenario, config={"tenants": TENANTS})
