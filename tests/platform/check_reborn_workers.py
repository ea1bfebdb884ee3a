"""Checks with real processes that tasks run once beside workers that start again and are cut off.

Usage: check_reborn_workers.py BUILD [--seeds FIRST COUNT] [--lease-ms MS] [--rounds COUNT]
[--entry ENTRY_BUILD] [--logs FOLDER]. Jobs are handed in all the time. Several
times, a share of the workers crashes, is back under the same ids after 0.6 s, and is cut off
from all VMs soon after, while its runs go on. Without --lease-ms, the seed chooses the longest
lease of a worker. ENTRY_BUILD has the anvildoor-entry to be checked. --logs keeps the logs of a
seed that breaks a rule. Fails if a task runs twice at once or again after an end that was noted,
if a job is failed with attempts left, or if one isn't done at the end.
"""

import argparse
import os
import random
import shutil
import sys
import tempfile
import threading
import time
from collections import defaultdict

import entry_site
from entry_site import call, checks, expect

VMS = 3
WORKERS = 8
HEARTBEAT_MS = 1500
# An entry expires after three heartbeats are missing.
EXPIRY_MS = 3 * HEARTBEAT_MS
DARK_MS = 600
CUT_MS = 9000
CALM_S = 3.0
# Some last until the leases of a worker that is cut off lapse.
LONG_SHARE = 1 / 3
LONG_MS = (5000, 15000)
SHORT_MS = (50, 700)
MAX_ATTEMPTS = 3
PERIOD_S = 0.2
END_S = 60
ALL_ORDERS = ["start", "stop", "hold"]


def now_s():
    """Returns the time on the stand-in's clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Callers:
    """Hands in jobs until it is ended."""

    def __init__(self, site, seed):
        self.site, self.dice, self.jobs = site, random.Random(seed), {}
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.is_over.wait(self.dice.expovariate(1 / PERIOD_S)):
            self.hand_in(f"{len(self.jobs):016x}")

    def hand_in(self, job):
        dice = self.dice
        is_gang = dice.random() < 0.2
        is_long = dice.random() < LONG_SHARE
        run_ms = dice.randrange(*LONG_MS) if is_long else dice.randrange(*SHORT_MS)
        fails = dice.random() < 0.1
        spec = f"{run_ms} fails:1" if fails else str(run_ms)
        step = {"count": 3 if is_gang else dice.randrange(1, 3), "cpu": 4000,
                "estimate_ms": run_ms, "gang": is_gang}
        vm = dice.choice(self.site.vms)
        if vm.process.poll() is None and call(
                vm.jobs, "POST", f"/q/{job}", {"spec": spec, "steps": [step]})[0] == 200:
            self.jobs[job] = step

    def end(self):
        self.is_over.set()
        self.thread.join()


class Site(entry_site.Site):
    """Entry VMs and the stand-in."""

    def __init__(self, folder, args, lease_ms):
        super().__init__(folder, args.build, args.entry or args.build, VMS, WORKERS, 2,
                         lease_ms=lease_ms)
        self.workers = [f"i-{number}" for number in range(3, 3 + WORKERS)]
        self.fault(kind="heartbeats", period_ms=HEARTBEAT_MS)
        self.wait_until_ready()

    def fault(self, **body):
        if call(self.store, "POST", "/worker-fault", body)[0] != 200:
            expect(f"the fault {body} is applied", False)

    def order_fault(self, worker, effect, names, for_ms, **more):
        self.fault(worker=worker, kind="orders", effect=effect, orders=names, for_ms=for_ms,
                   **more)

    def kill_scheduler(self):
        vm = self.scheduler()
        if vm is not None:
            vm.process.kill()
            vm.process.wait()
        return vm

    def restart(self, vm):
        if vm is not None:
            vm.start()
            self.processes.append(vm.process)

    def state_of(self, job):
        for vm in self.vms:
            status, body = call(vm.jobs, "GET", f"/q/{job}")
            if status == 200:
                return body["state"]
            if status == 410:
                return "unknown"
        return ""


def play_round(site, dice, note):
    """Has workers crash, start again and be cut off, beside other faults."""
    share = dice.choice((0.25, 0.5, 0.5, 0.75, 1.0))
    workers = dice.sample(site.workers, int(share * WORKERS))
    until_cut_ms = dice.choice((2000, dice.randrange(300, 1500), dice.randrange(300, 3000)))
    loses_entries = dice.random() < 0.5
    kills = dice.random() < 0.4
    beside = dice.choice(("", "", "late", "unanswered"))
    note(f"{len(workers)} workers crash, cut {until_cut_ms} ms after their return"
         f"{', entries expire' if loses_entries else ''}{', scheduler killed' if kills else ''}"
         f"{', starts ' + beside if beside else ''}")
    if beside:
        for worker in workers:
            site.order_fault(worker, beside, ["start"], 1000 + DARK_MS, late_ms=4000,
                             seed=dice.randrange(1, 1 << 30))
        time.sleep(dice.uniform(0.1, 0.8))
    returns_at = time.monotonic() + DARK_MS / 1000
    for worker in workers:
        site.fault(worker=worker, kind="crash", for_ms=DARK_MS)
    cut_at = returns_at + until_cut_ms / 1000
    vm = None
    if kills:
        time.sleep(max(0, cut_at - 0.6 - time.monotonic()))
        vm = site.kill_scheduler()
    time.sleep(max(0, cut_at - time.monotonic()))
    for worker in workers:
        site.order_fault(worker, "cut", ALL_ORDERS, CUT_MS)
        if loses_entries:
            site.fault(worker=worker, kind="entry", silent_ms=EXPIRY_MS,
                       for_ms=CUT_MS - EXPIRY_MS)
    time.sleep(CUT_MS / 1000)
    site.restart(vm)
    time.sleep(dice.uniform(0.5, CALM_S))


def describe(row, since):
    ended = f"{row['ended'] / 1000 - since:.2f} {row['end']}" if row["end"] else "runs on"
    noted = f", noted {row['noted'] / 1000 - since:.2f}" if row["noted"] else ""
    return (f"{row['task']}/{row['run']} on {row['worker']} "
            f"{row['began'] / 1000 - since:.2f} to {ended}{noted}")


def judge_runs(rows, since):
    """Returns what is wrong with the runs of each task, with times in s after since."""
    by_task, broken = defaultdict(list), []
    for row in rows:
        by_task[row["task"]].append(row)
    for runs in by_task.values():
        runs.sort(key=lambda row: row["began"])
        for number, later in enumerate(runs):
            for row in runs[:number]:
                pair = f"{describe(row, since)}; {describe(later, since)}"
                if not row["end"] or row["ended"] > later["began"]:
                    broken.append(f"two runs at once: {pair}")
                # After a lapse of its worker's lease an end counts as not noted.
                elif row["end"] == "done" and row["noted"] and not row["lapsed"]:
                    broken.append(f"a start after a run that was done: {pair}")
    return broken


def failed_runs(rows, job):
    """Returns the highest number of runs of a task of a job that ended failed; members of a
    gang share a run's number."""
    runs = defaultdict(set)
    for row in rows:
        parts = row["task"].split(".")
        if parts[0] == job["id"] and row["end"] == "failed":
            runs["" if job["gang"] else row["task"]].add(row["run"])
    return max((len(each) for each in runs.values()), default=0)


def judge_jobs(site, jobs):
    """Waits until all jobs are done; returns what is wrong with their states."""
    until = time.monotonic() + END_S
    states = dict.fromkeys(jobs, "")
    while time.monotonic() < until and any(state != "done" for state in states.values()):
        for job, state in states.items():
            if state not in ("done", "failed"):
                states[job] = site.state_of(job)
        time.sleep(0.2)
    rows, broken = site.traces(), []
    for job, state in states.items():
        failed = failed_runs(rows, {"id": job, "gang": jobs[job]["gang"]})
        if state == "failed" and failed < MAX_ATTEMPTS:
            broken.append(f"job {job} is failed after {failed} failed runs")
        elif state != "done":
            broken.append(f"job {job} is {state or 'not answered'} at the end")
    return broken


def play(args, seed):
    """Plays the rounds of one seed and judges its runs."""
    dice = random.Random(seed)
    lease_ms = args.lease_ms or dice.choice((6000, 10000))
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, args, lease_ms)
        since = now_s()
        callers = None
        try:
            callers = Callers(site, seed)
            notes = []
            time.sleep(5)
            for _ in range(args.rounds):
                play_round(site, dice,
                           lambda text: notes.append(f"{now_s() - since:.2f} s: {text}"))
            callers.end()
            broken = judge_jobs(site, callers.jobs)
            rows = site.traces()
            broken = judge_runs(rows, since) + broken
            again = sum(row["run"] > 1 for row in rows)
            expect(f"seed {seed}, leases of {lease_ms} ms", not broken,
                   "; ".join(notes + broken[:8]) if broken else
                   f"{len(callers.jobs)} jobs, {len(rows)} runs, {again} not the first")
            if broken and args.logs:
                shutil.copytree(folder, os.path.join(args.logs, f"seed-{seed}"))
        finally:
            if callers:
                callers.end()
            entry_site.end_all(site.processes)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--entry")
    parser.add_argument("--seeds", nargs=2, type=int, default=(1, 1))
    parser.add_argument("--lease-ms", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--logs")
    args = parser.parse_args()
    for seed in range(args.seeds[0], sum(args.seeds)):
        play(args, seed)
    print(f"{checks['failed']} expectations failed")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
