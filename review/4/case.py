"""Hourly jobs for a year, accepted by the system, exhaust the memory of each scheduler."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as platform  # noqa: E402

SCHEDULED_JOBS = 6
WIDTH = 72               # The widest step of the site's scheduled jobs.
HOURS_OF_A_YEAR = 8760
USUAL_REPEATS = 8        # As the site's scheduled jobs have them.
ORDINARY_JOBS = 15
# LOST: 3 s without a run although there is room, after 4 s without disruption.
IDLE_BOUND_S = 7


async def case(make_site, record, trouble):
    site = make_site()
    await site.start(vms=3, executors=8, routes=[
        {"name": "r-check", "prefix": "/check/", "priority": 2, "max_attempts": 2}])
    first_due = int(time.time() * 1000) + 3600 * 1000
    for number in range(SCHEDULED_JOBS):
        scheduled = platform.job([{"count": WIDTH, "cpu": 2800, "mem_mb": 4100, "gpu": 0,
                                   "estimate_ms": 6100}], {"ms": 6100})
        scheduled.update(start_at_ms=first_due, interval_ms=3600 * 1000,
                         repeats=HOURS_OF_A_YEAR if trouble else USUAL_REPEATS)
        if await site.submit(f"/check/{number:016x}", scheduled) != 200:
            raise platform.CouldNotRun("a scheduled job was not accepted")
    accepted = {}
    for number in range(ORDINARY_JOBS):
        ident = f"{0xaaaa0000 + number:016x}"
        ordinary = platform.job([{"count": 2, "cpu": 1000, "mem_mb": 1000,
                                  "estimate_ms": 500}], {"ms": 500})
        if await site.submit(f"/check/{ident}", ordinary) == 200:
            accepted[ident] = platform.now()
        await asyncio.sleep(1)
    await asyncio.sleep(14)
    late = []
    for ident, since in accepted.items():
        begun = [at for at, task, *_ in site.fleet.starts if task.startswith(ident)]
        if (min(begun) if begun else platform.now()) - since > IDLE_BOUND_S:
            late.append(ident)
        await site.request(site.vms[0], "GET", f"/check/{ident}")
    record.line(f"{len(accepted)} ordinary jobs accepted; {len(late)} of them had nothing "
                f"running for more than {IDLE_BOUND_S} s with all executors idle; "
                f"{len(site.fleet.starts)} starts in all")
    record.line(f"processes that exceeded {platform.MEMORY_MB} MB: {site.killed_for_memory}")
    return platform.BROKEN if late else platform.HELD


platform.main(case, HERE)
