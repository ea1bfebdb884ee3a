"""Two members of a gang fail in the same run, each on an executor that fails all it starts."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as platform  # noqa: E402

EXECUTORS = 24
GREY = ["i-00", "i-01"]  # A twelfth of the executors; the site's largest share is 0.085.
GREY_S = 6.5             # The site's longest span.
MAX_ATTEMPTS = 2
FAIL_AFTER_MS = 100      # Sooner than the other executor hears of the end (200 ms).


async def case(make_site, record, trouble):
    site = make_site()
    await site.start(vms=3, executors=EXECUTORS, routes=[
        {"name": "r-roster", "prefix": "/roster/", "priority": 0, "slo_ms": 250,
         "max_attempts": MAX_ATTEMPTS, "stretch": 1.5}])
    await asyncio.sleep(3)
    jobs = [f"{0xbbbb0000 + number:016x}" for number in range(3)]
    until = platform.now() + GREY_S
    record.line(f"trouble: {', '.join(GREY) if trouble else 'no executors'} fail all they start")
    for ident in jobs:
        failing = {each: FAIL_AFTER_MS for each in GREY} if trouble else {}
        gang = platform.job([{"count": 2, "cpu": 3700, "mem_mb": 7600, "gpu": 8,
                              "estimate_ms": 1000, "gang": True}],
                            {"ms": 1000, "gang": 2, "fail_on": failing})
        if await site.submit(f"/roster/{ident}", gang) != 200:
            raise platform.CouldNotRun("a job was not accepted")
        await asyncio.sleep(1)
    await asyncio.sleep(max(0.0, until - platform.now()) + 4)
    wrong = 0
    for ident in jobs:
        _, answer = await site.request(site.vms[0], "GET", f"/roster/{ident}")
        failed_runs = {run for _, task, run, _, how in site.fleet.ends
                       if task.startswith(ident) and how == "failed"}
        state = (answer or {}).get("state")
        record.line(f"{ident}: shown as {state}; runs of the gang that failed: "
                    f"{sorted(failed_runs)} of {MAX_ATTEMPTS} allowed")
        wrong += state == "failed" and len(failed_runs) < MAX_ATTEMPTS
    return platform.BROKEN if wrong else platform.HELD


platform.main(case, HERE)
