"""Checks with real processes that a cancelled job's runs end in time.

Usage: check_cancellations.py BUILD [--rows TEXT] [--logs FOLDER] [ENTRY_BUILD].
--rows runs the rows whose name has TEXT. FOLDER, if given, keeps the VMs' logs of each row. ENTRY_BUILD, if given, has the
anvildoor-entry to be checked. Fails if a run goes on for longer than the platform allows, or
if an end in calm waits too long until a hold acknowledges it.
"""

import argparse
import concurrent.futures
import json
import os
import signal
import tempfile
import threading
import time

import entry_site
from entry_site import call, expect, wait_until

VMS = 3
WORKERS = 12
TASKS = 3
# From the acknowledgement to the end of the last run: cancel_ms + stop_timeout_ms.
BOUND_S = 3.4
# What a kill of all VMs and the takeover after it, 2 s, leave of it.
BEFORE_KILL_S = 1.4
# A disruption counts for this long after its end.
CONTACT_S = 3
# Sites that run at a time.
SITES = 3
INBOX, SCHEDULER = "anvildoor/in/", "anvildoor/scheduler"

ports_lock = threading.Lock()


def now_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Site(entry_site.Site):
    """Entry VMs, each with a port of the store of its own, and the stand-in."""

    def __init__(self, folder, build, entry_build, jobs, lease_ms, is_spread):
        with ports_lock:
            super().__init__(folder, build, entry_build, VMS, WORKERS, 4, VMS, lease_ms)
            self.wait_until_ready()
        self.spread_holds()
        for job, is_gang in jobs:
            step = {"count": TASKS, "cpu": 4000, "gpu": 1, "estimate_ms": 60000}
            if is_gang:
                step.update(gang=True)
            if is_gang or is_spread:
                step.update(max_per_server=1)
            self.submit(job, 60000, step)
        wait_until(lambda: len(self.traces("00000000000000")) == TASKS * len(jobs),
                   "the jobs are running")

    def submit(self, job, run_ms, step):
        body = {"spec": str(run_ms), "steps": [step]}
        if call(self.vms[0].jobs, "POST", f"/q/{job}", body)[0] != 200:
            expect(f"job {job} is accepted", False)

    def spread_holds(self):
        """Has a short run end on each worker in turn, as a hold is answered with an end."""
        for number in range(WORKERS):
            self.submit(f"ffff{number:012x}", 100 + 370 * number % 1000,
                        {"count": 1, "cpu": 4000, "gpu": 8, "estimate_ms": 1000})
        wait_until(lambda: sum(row["end"] == "done" for row in self.traces("ffff")) == WORKERS,
                   "the short runs have ended")

    def fault(self, vms, **fault):
        """Adds a fault at the store's ports of these VMs."""
        for vm in vms:
            call(self.store, "POST", "/store-fault",
                 {"port": str(self.stores[vm]), **fault})


class Cancellation:
    """A job that is cancelled at a time of the scenario, at a VM that doesn't schedule."""

    def __init__(self, number, at_s, is_gang, bound_s):
        self.bound_s = bound_s
        self.job = f"{(0xb0 if is_gang else 0xa0) + number:016x}"
        self.at_s, self.is_gang, self.acknowledged = at_s, is_gang, None

    def send(self, site, vm, began):
        """Cancels until it is acknowledged; consumers retry, too."""
        time.sleep(max(0, began + self.at_s - now_s()))
        while self.acknowledged is None and now_s() < began + self.at_s + 10:
            if call(site.vms[vm].jobs, "DELETE", f"/q/{self.job}")[0] == 200:
                self.acknowledged = now_s()
            else:
                time.sleep(0.1)

    def result(self, site, disturbed_until):
        """Returns the seconds from the acknowledgement, those beyond the bound, the ends."""
        if self.acknowledged is None:
            return None
        last = max(site.traces(self.job), key=lambda row: row["ended"] or float("inf"))
        ended = last["ended"] / 1000 if last["ended"] else float("inf")
        due = max(self.acknowledged, disturbed_until) + self.bound_s
        ends = [f"{row['end']} at {row['ended'] / 1000 - self.acknowledged:.2f}"
                if row["ended"] else "runs on" for row in site.traces(self.job)]
        return ended - self.acknowledged, ended - due, ", ".join(ends)


class Row:
    """A scenario: steps at seconds from its begin, each for the scheduler or others."""

    def __init__(self, name, steps, cancels, disrupted_s, lease_ms=6000, is_spread=False,
                 bound_s=BOUND_S):
        self.name, self.steps = name, steps
        # Spread: no gangs, and no two tasks of a job on one worker.
        self.is_spread = is_spread
        self.cancels = [Cancellation(number, at, is_gang, bound_s)
                        for number, at in enumerate(cancels)
                        for is_gang in ((False,) if is_spread else (False, True))]
        # The end of the last disruption; None: there is none at all.
        self.disrupted_s = disrupted_s
        self.lease_ms = lease_ms

    def play(self, build, entry_build, logs):
        with tempfile.TemporaryDirectory() as folder:
            if logs:
                folder = os.path.join(logs, f"row-{ROWS.index(self)}")
                os.makedirs(folder, exist_ok=True)
            site = Site(folder, build, entry_build,
                        [(each.job, each.is_gang) for each in self.cancels], self.lease_ms,
                        self.is_spread)
            try:
                scheduler = site.vms.index(site.scheduler())
                others = [vm for vm in range(VMS) if vm != scheduler]
                groups = {"scheduler": [scheduler], "others": others,
                          "all": list(range(VMS))}
                began = now_s()
                threads = [threading.Thread(target=each.send, args=(site, others[0], began))
                           for each in self.cancels]
                for thread in threads:
                    thread.start()
                for at_s, who, action in self.steps:
                    time.sleep(max(0, began + at_s - now_s()))
                    if callable(action):
                        action(site, groups[who])
                    elif isinstance(action, dict):
                        site.fault(groups[who], **action)
                    else:
                        for vm in groups[who]:
                            site.vms[vm].process.send_signal(action)
                for thread in threads:
                    thread.join()
                end = now_s() + 12
                while now_s() < end and any(not row["noted"] for row in site.traces()):
                    time.sleep(0.05)
                if logs:
                    self.keep_times(folder, site, began)
                disturbed = 0 if self.disrupted_s is None else (
                    began + self.disrupted_s + CONTACT_S)
                read_at = now_s()
                waits = entry_site.Waits(site.traces(), [(disturbed, read_at)], read_at)
                return [each.result(site, disturbed) for each in self.cancels], waits
            finally:
                entry_site.end_all(site.processes)

    def keep_times(self, folder, site, began):
        """Notes beside the logs when the row began and what became of its jobs."""
        with open(os.path.join(folder, "times.json"), "w", encoding="utf-8") as text:
            json.dump({"row": self.name, "began": began, "unix_offset": time.time() - now_s(),
                       "acknowledged": {each.job: each.acknowledged for each in self.cancels},
                       "traces": site.traces()}, text, indent=1)


def fault(call_kind, effect, **more):
    return {"call": call_kind, "effect": effect, **more}


def watches(effect, **more):
    return fault("watch", effect, for_ms=6000, **more)


def start_short_runs(site, _vms):
    """Has many starts at once leave idle connections to each worker."""
    site.submit("eeee000000000000", 100, {"count": 90, "cpu": 4000, "gpu": 1,
                                          "estimate_ms": 100})


def kill_worker_connections(site, _vms):
    site.kill_connections(site.worker_ports)


def kill_store_connections(site, vms):
    site.kill_connections(site.stores[vm] for vm in vms)


SILENT_KEY = [(0, "all", fault("watch", "silent", prefix=SCHEDULER, for_ms=500))]
# Besides, cheap reads are old. Until they show the key, each of them renews the watch.
DEAF = [(0, "all", fault("list", "stale", delay_ms=5000)),
        (6, "all", fault("watch", "silent", prefix=SCHEDULER, for_ms=500))]
CANCELS = [0.5, 2, 3.5, 5, 7]
# The connections die at 1.5 s.
DEAD_CANCELS = [1.5, 1.8, 2.5, 3.5, 4.5]
DEAF_CANCELS = [9.5, 10.5, 12, 13.5, 15]
ROWS = [
    Row("the scheduler is killed while its key's watches are silent and reads old",
        DEAF + [(10, "scheduler", signal.SIGKILL)], DEAF_CANCELS, 10),
    Row("renewals are unanswered while the key's watches are silent and reads old",
        DEAF + [(10, "scheduler", fault("renew", "answer-lost", for_ms=6000))],
        [10.5, 13, 15, 16, 18], 16),
    Row("the scheduler ends by itself while its key's watches are silent and reads old",
        DEAF + [(10, "scheduler", signal.SIGABRT)], DEAF_CANCELS, None),
    Row("a gang's last holds lie apart, the scheduler ends by itself while its key's "
        "watches are silent and reads old",
        DEAF + [(10, "scheduler", signal.SIGABRT)], DEAF_CANCELS[1:], None),
    Row("the scheduler is killed while its key's watches are silent and reads old, "
        "leases of 10 s",
        DEAF + [(10, "scheduler", signal.SIGKILL)], DEAF_CANCELS, 10,
        lease_ms=10000),
    Row("three of five calls are beyond the limits (429)",
        [(0, "all", fault("any", "429", for_ms=20000, percent=60))],
        [0.5 + 1.7 * number for number in range(10)], None),
    Row("the scheduler's watches are silent for 6 s",
        [(0, "scheduler", watches("silent"))], CANCELS, 6),
    Row("the scheduler's watches are answered 503 for 6 s",
        [(0, "scheduler", watches("503"))], CANCELS, 6),
    Row("the scheduler's watches are answered 429 for 6 s",
        [(0, "scheduler", watches("429"))], CANCELS, 6),
    Row("the scheduler's watches are answered 410 for 6 s",
        [(0, "scheduler", watches("410"))], CANCELS, None),
    Row("two watches of the inbox are silent",
        [(0, "scheduler", fault("watch", "silent", prefix=INBOX, calls=2))], CANCELS, 0),
    Row("all calls but renewals are answered 429 for 6 s",
        [(0, "all", fault(kind, "429", for_ms=6000))
         for kind in ("watch", "list", "get", "txn", "grant")], CANCELS, 6),
    Row("the answers to all changes are lost for 6 s",
        [(0, "all", fault("txn", "answer-lost", for_ms=6000))], CANCELS, 6),
    Row("all changes are executed 2 s late for 6 s",
        [(0, "all", fault("txn", "late", delay_ms=2000, for_ms=6000))], CANCELS, 8),
    Row("the scheduler is killed while lists are answered 503 for 6 s",
        [(0, "all", fault("list", "503", for_ms=6000)), (0.2, "scheduler", signal.SIGKILL)],
        CANCELS, 6),
    Row("renewals are silent for 2 s, lists of the inbox answered 429 for 8 s",
        [(0, "scheduler", fault("renew", "silent", for_ms=2000)),
         (0, "all", fault("list", "429", prefix=INBOX, for_ms=8000))], CANCELS, 2),
    Row("the scheduler ends by itself, its key's watches are silent, reads up to date",
        SILENT_KEY + [(4, "scheduler", signal.SIGABRT)], [4.5, 6, 7.5], None),
    Row("the scheduler is killed, its key's watches are silent, reads up to date",
        SILENT_KEY + [(4, "scheduler", signal.SIGKILL)], [4.5, 6, 7.5, 9], 4,
        lease_ms=10000),
    Row("the kept connections to all workers are dead for good",
        [(0, "all", start_short_runs), (1.5, "all", kill_worker_connections)],
        DEAD_CANCELS, None, bound_s=BEFORE_KILL_S),
    *[Row(f"the kept connections to all workers are dead for good, one run on each, "
          f"cancelled after {after_s} s",
          [(0, "all", start_short_runs), (1.5, "all", kill_worker_connections)],
          [1.6 + after_s], None, is_spread=True, bound_s=BEFORE_KILL_S)
      for after_s in (0, 1, 2)],
    Row("the scheduler's kept connections to the store are dead for good",
        [(0, "all", start_short_runs), (1.5, "scheduler", kill_store_connections)],
        DEAD_CANCELS, None),
    Row("all VMs' kept connections to the store are dead for good",
        [(0, "all", start_short_runs), (1.5, "all", kill_store_connections)],
        DEAD_CANCELS, None),
    Row("the scheduler ends by itself", [(0.5, "scheduler", signal.SIGABRT)],
        [0, 0.4, 0.6, 0.8, 1.2, 2], None),
    Row("no fault", [], [0, 0.7, 1.4], None),
]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("entry_build", nargs="?")
    parser.add_argument("--rows", default="")
    parser.add_argument("--logs")
    options = parser.parse_intermixed_args()
    rows = [row for row in ROWS if options.rows in row.name]
    with concurrent.futures.ThreadPoolExecutor(SITES) as pool:
        played = pool.map(
            lambda row: row.play(options.build, options.entry_build or options.build,
                                 options.logs), rows)
        for row, (results, waits) in zip(rows, played):
            print(row.name)
            figures = {**waits.figures("calm_note", waits.calm),
                       **waits.figures("note", waits.all)}
            expect(f"ends in calm are acknowledged within {entry_site.NOTE_BOUND_S} s",
                   not waits.late, f"{waits.longest:.2f} s, " +
                   ", ".join(f"{name} {value}" for name, value in figures.items()))
            for each, result in zip(row.cancels, results):
                kind = "gang's runs" if each.is_gang else "runs"
                what = f"cancelled at {each.at_s:.1f} s: the {kind} end in time"
                if result is None:
                    expect(what, False, "not acknowledged")
                    continue
                after_s, beyond_s, end = result
                expect(what, beyond_s <= 0,
                       f"{after_s:.2f} s after the acknowledgement, {end}, "
                       f"{beyond_s:+.2f} s against the bound")
    failed = entry_site.checks["failed"]
    print(f"{failed} expectations failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
