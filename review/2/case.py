"""Executors that are cut from the store alone lose their tasks after a short outage of it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as platform  # noqa: E402

EXECUTORS = 24
CUT_SHARE = 0.2                             # srv_cut, by default
CUT_S = 5.0
OUTAGE_S = 1.95
OUTAGE_AFTER_S = 0.55                       # from the leader's last list of the executors
ENTRY_KEPT_S = 3 * platform.HEARTBEAT_S     # of silence while the store is up
JOBS = 16                                   # Of two tasks that fill an executor; 8 are idle.
TASK_MS = 25000


async def case(make_site, record, trouble):
    site = make_site(bounds={"hold_max_ms": 10000})  # As on the site.
    platform.BOUNDS["hold_max_ms"] = 10000
    await site.start(vms=3, executors=EXECUTORS, routes=[
        {"name": "r-check", "prefix": "/check/", "priority": 2, "max_attempts": 2}])
    fleet, store = site.fleet, site.store
    down_from, cut_from = float("inf"), float("inf")
    cut, listed_at = set(), [0.0]

    def is_down():
        return down_from <= platform.now() < down_from + OUTAGE_S

    def is_cut(executor):
        return executor.id in cut and cut_from <= platform.now() < cut_from + CUT_S

    def store_trouble(caller, method, path, body):
        return "silent" if is_down() else platform.STORE_ANSWER_S

    async def keep_entries():
        """Removes the entries of silent executors. Leases pause while the store is down."""
        paused = 0.0
        while True:
            await asyncio.sleep(0.01)
            if is_down():
                paused += 0.01
                for lease, (ttl, until) in store.leases.items():
                    store.leases[lease] = (ttl, until + 0.0101)
                continue
            for executor in fleet.executors.values():
                pause = OUTAGE_S if executor.last_beat < down_from <= platform.now() else 0.0
                if platform.now() - executor.last_beat - pause > ENTRY_KEPT_S:
                    if f"servers/{executor.id}" in store.items:
                        record.line(f"store: the entry of {executor.id} expires")
                    store.remove(f"servers/{executor.id}")

    fleet.reaches_store = lambda executor: not is_down() and not is_cut(executor)
    keeper = asyncio.create_task(keep_entries())
    ids = [f"{0xabab0000 + number:016x}" for number in range(JOBS)]
    for ident in ids:
        work = platform.job([{"count": 2, "cpu": 10000, "mem_mb": 20000, "gpu": 4,
                              "estimate_ms": TASK_MS}], {"ms": TASK_MS})
        if await site.submit(f"/check/{ident}", work) != 200:
            raise platform.CouldNotRun("a job was not accepted")
    await asyncio.sleep(3)
    leader = site.leader().name
    inner = store.range

    def observed_range(prefix, after):
        if prefix == "servers/":
            listed_at[0] = platform.now()
        return inner(prefix, after)

    store.range = observed_range
    store.trouble = store_trouble
    for _ in range(20):
        before = platform.now()

        async def listed():
            return listed_at[0] > before

        await site.until(listed, 5)
        while platform.now() < listed_at[0] + OUTAGE_AFTER_S - 0.15:
            await asyncio.sleep(0.005)
        # Executors that run something and wrote their entry soon after the list.
        fresh = [each.id for each in fleet.executors.values()
                 if each.runs and each.last_beat > listed_at[0] + 0.02]
        cut.update(fresh[:int(CUT_SHARE * EXECUTORS)])
        if cut:
            break
    if not cut:
        raise platform.CouldNotRun("no executor wrote its entry in that time")
    if trouble:
        down_from = listed_at[0] + OUTAGE_AFTER_S
        cut_from = down_from + OUTAGE_S - 0.1
        record.line(f"trouble: the store is silent for {OUTAGE_S} s; {', '.join(sorted(cut))} "
                    f"are cut from it for {CUT_S} s, from 0.1 s before its return; {leader} leads")
    await asyncio.sleep(20)
    keeper.cancel()
    ended = {(task, run, executor): at for at, task, run, executor, _ in fleet.ends}
    twice = set()
    for at, task, run, executor in fleet.starts:
        for other_at, other, other_run, other_executor in fleet.starts:
            until = ended.get((other, other_run, other_executor), float("inf"))
            if other == task and other_run < run and at < until:
                twice.add((task, other_run, other_executor, run, executor, until - at))
    for task, first, where, second, elsewhere, span in sorted(twice):
        record.line(f"TWICE: {task} runs as {first} on {where} and as {second} on {elsewhere} "
                    f"at the same time, for {span:.2f} s")
    record.line(f"{len(fleet.starts)} starts of {2 * JOBS} tasks; {len(twice)} tasks ran "
                "twice at the same time")
    return platform.BROKEN if twice else platform.HELD


platform.main(case, HERE)
