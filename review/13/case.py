"""For one ping, another writer's bytes stand in place of a sound executor's entry."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import deployment as site  # noqa: E402
from deployment import TROUBLE  # noqa: E402

RACKS = ["r1", "r1", "r2", "r2"]
JOB = "00000000000000d0"
WORK_S = 25.0
VERDICT_AFTER_S = 8.0


def behave(run):
    run.work_s = WORK_S


def overlaps(runs):
    """Returns the pairs of runs of one task that were there at the same time."""
    pairs = []
    for number, one in enumerate(runs):
        for other in runs[number + 1:]:
            both_until = min(one.ended or site.now(), other.ended or site.now())
            if one.task == other.task and max(one.began, other.began) < both_until:
                pairs.append((one, other, both_until - max(one.began, other.began)))
    return pairs


async def scenario(deployment):
    await deployment.submit(JOB, [{"count": 4, "cpu": 1000, "mem_mb": 1024, "gpu": 1,
                                   "estimate_ms": int(1000 * WORK_S)}])
    await asyncio.sleep(6.0)
    if len([run for run in deployment.runs if run.ended is None]) != 4:
        raise site.NotRun("the tasks have not started")
    worker = deployment.runs[0].worker
    if TROUBLE:
        # The worker's next ping, 1.5 s later at most, writes its own entry again.
        deployment.record(f"another writer writes servers/{worker.id}: bytes that can't be read")
        await deployment.store.put(f"servers/{worker.id}", b"\x00\xff not an entry")
    await asyncio.sleep(VERDICT_AFTER_S)
    return [f"TWICE: {one.task} ran {seconds:.2f} s at the same time as run {one.run} on "
            f"{one.worker.id} and as run {other.run} on {other.worker.id}, both up"
            for one, other, seconds in overlaps(deployment.runs)]


site.main(__file__, behave, RACKS, scenario)
