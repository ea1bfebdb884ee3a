"""An unhealthy executor refuses every start; its jobs are no longer counted as pending."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as platform  # noqa: E402

EXECUTORS = 12
UNHEALTHY_S = 6.4    # The site's longest span is 6.5 s.
JOBS = 6
COUNT_AFTER_S = 5.2  # visible_ms and 2 s after the last acceptance.


async def case(make_site, record, trouble):
    site = make_site()
    await site.start(vms=3, executors=EXECUTORS, routes=[
        {"name": "r-check", "prefix": "/check/", "priority": 2, "max_attempts": 2}])
    await asyncio.sleep(3)
    # All executors but one are in use for a minute.
    full = platform.job([{"count": EXECUTORS - 1, "cpu": 30000, "mem_mb": 60000, "gpu": 8,
                          "estimate_ms": 60000}], {"ms": 60000})
    if await site.submit("/check/00000000eeee0000", full) != 200:
        raise platform.CouldNotRun("the first job was not accepted")
    await asyncio.sleep(2)
    idle = [each for each in site.fleet.executors.values() if not each.runs]
    if len(idle) != 1:
        raise platform.CouldNotRun("the first job does not run")
    last = idle[0]  # One executor in twelve.
    last.unhealthy = trouble
    began = platform.now()
    record.line(f"trouble: {last.id} refuses starts with 503" if trouble else "trouble: none")
    ids = [f"{0xeeee1000 + number:016x}" for number in range(JOBS)]
    for ident in ids:
        small = platform.job([{"count": 1, "cpu": 2800, "mem_mb": 4100, "gpu": 1,
                               "estimate_ms": 1000}], {"ms": 1000})
        if await site.submit(f"/check/{ident}", small) != 200:
            raise platform.CouldNotRun("a job was not accepted")
    await asyncio.sleep(COUNT_AFTER_S)
    wrong = False
    for vm in site.vms:
        status, answer = await site.request(vm, "GET", "/check/")
        begun = {task.split(".")[0] for _, task, *_ in site.fleet.starts}
        waiting = [ident for ident in ids if ident not in begun]
        record.line(f"{vm.name} counts {answer} pending; {len(waiting)} of {JOBS} jobs that "
                    f"were accepted over 5 s before have not begun")
        wrong = wrong or (status == 200 and waiting and
                          answer["pending"] < len(waiting) / 2)
    for ident in ids:
        await site.request(site.vms[0], "GET", f"/check/{ident}")
    await asyncio.sleep(max(0.0, UNHEALTHY_S - (platform.now() - began)))
    last.unhealthy = False
    return platform.BROKEN if wrong else platform.HELD


platform.main(case, HERE)
