"""A task that lasts fails while a more urgent job waits that no worker can run."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import deployment as site  # noqa: E402
from deployment import TROUBLE, now  # noqa: E402

RACKS = ["r1", "r1", "r2", "r2"]
SERVICE, HOPELESS = "00000000000000c0", "00000000000000c1"
TASKS = 22  # Of 32 accelerators.
FAILS_AFTER_S = 12.0
WATCH_S = 40.0
AFTER_LAST_RUN_S, IDLE_S = 6.0, 3.0  # See the rule.

plan = {"fails_at": None, "failed": False}


def behave(run):
    run.lasts = True
    if run.task == f"{SERVICE}.0.0.0" and run.run == 1:
        run.fails_at = run.began + FAILS_AFTER_S


async def scenario(deployment):
    await deployment.submit(SERVICE, [{"count": TASKS, "cpu": 1000, "mem_mb": 1024, "gpu": 1,
                                       "long_running": True}], priority=2)
    await asyncio.sleep(5.0)
    started = len(deployment.running(f"{SERVICE}.0.0.0"))
    if started != 1 or len(deployment.runs) != TASKS:
        raise site.NotRun("the lasting tasks have not started")
    if TROUBLE:
        await deployment.submit(HOPELESS, [{"count": 4, "cpu": 1000, "mem_mb": 1024, "gpu": 16,
                                            "estimate_ms": 60000}], priority=0)
    await asyncio.sleep(FAILS_AFTER_S + WATCH_S - 5.0)
    until = now()
    runs = [run for run in deployment.runs if run.task == f"{SERVICE}.0.0.0"]
    used = sum(len(worker.runs) for worker in deployment.workers)
    deployment.record(f"at the end {used} tasks of one accelerator run on 32 accelerators")
    state = await deployment.state(SERVICE, priority=2)
    broken = []
    for run, following in zip(runs, runs[1:] + [None]):
        end = following.began if following else until
        if run.ended and end - run.ended > AFTER_LAST_RUN_S + IDLE_S:
            broken.append(f"LOST: {run.task} has no run for {end - run.ended:.1f} s after its "
                          f"last one, while {32 - used} of 32 accelerators are free; its job "
                          f"is {state}")
    return broken


site.main(__file__, behave, RACKS, scenario)
