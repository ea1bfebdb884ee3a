"""The scheduler is killed while it removes the records of jobs whose retention has ended."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as platform  # noqa: E402

# The sites have 120 s and records are kept for twice that; shortened to fit into 120 s.
STATUS_S = 15
JOBS = 60


async def case(make_site, record, trouble):
    site = make_site(bounds={"status_s": STATUS_S})
    await site.start(vms=3, executors=8, routes=[
        {"name": "r-check", "prefix": "/check/", "priority": 2, "max_attempts": 2}])
    ids = [f"{0xdddd0000 + number:016x}" for number in range(JOBS)]
    for ident in ids:
        small = platform.job([{"count": 1, "cpu": 2800, "mem_mb": 4100, "estimate_ms": 500}],
                             {"ms": 500})
        if await site.submit(f"/check/{ident}", small) != 200:
            raise platform.CouldNotRun("a job was not accepted")

    async def all_done():
        return sum(how == "done" for *_, how in site.fleet.noted) == JOBS

    await site.until(all_done, 20)
    # Planned work, with and without trouble: the leader is stopped and started again.
    # Its successor counts the retention of all ended jobs from its takeover.
    site.leader().kill("planned restart", platform.signal.SIGTERM)
    clean_ups = {"seen": 0}

    def on_txn(caller, body, status):
        if status == 200 and body.get("remove"):
            clean_ups["seen"] += 1
            record.line(f"store: {caller} removes {len(body['remove'])} keys")
            if trouble and clean_ups["seen"] == 1:
                next(vm for vm in site.vms if vm.name == caller).kill(
                    "it was the last that wrote to the store under a condition")

    site.store.on_txn = on_txn

    async def cleaned_up():
        left = [key for key in site.store.items if key.startswith("anvildoor/in/job/")]
        return clean_ups["seen"] and not left

    try:
        await site.until(cleaned_up, 2 * STATUS_S + 15)
    except platform.CouldNotRun:
        record.line("not all records were removed")
    await asyncio.sleep(5)
    if not clean_ups["seen"]:
        raise platform.CouldNotRun("no record was removed")
    noted = {task: at for at, task, _, _, how in reversed(site.fleet.noted) if how == "done"}
    twice = [(task, run, executor) for at, task, run, executor in site.fleet.starts
             if at > noted.get(task, at)]
    for task, run, executor in twice:
        record.line(f"TWICE: {task} starts as run {run} on {executor} after its end as done "
                    "was taken note of")
    record.line(f"{len(site.fleet.starts)} starts of {JOBS} tasks")
    return platform.BROKEN if twice else platform.HELD


platform.main(case, HERE)
