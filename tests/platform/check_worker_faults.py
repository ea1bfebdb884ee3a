"""Checks with real processes that cancelled jobs stop in time beside faults of workers.

Usage: check_worker_faults.py BUILD [--seeds FIRST COUNT] [--scenarios] [--mixes]
[--only TEXT] [--part NUMBER COUNT] [--lease-ms MS] [--entry ENTRY_BUILD]. Without
--scenarios and --mixes, runs both. ENTRY_BUILD has the anvildoor-entry to be checked.
--part runs only each COUNT-th round. --lease-ms: the longest lease of a worker. Fails if a
run goes on for longer after the acknowledgement of its job's cancellation than the platform
allows.
"""

import argparse
import random
import sys
import tempfile
import time

import entry_site
from entry_site import call, checks, expect, wait_until

VMS = 3
WORKERS = 6
# From the acknowledgement to the end of the last run.
CANCEL_BOUND_S = 3.4
# For this long after its end a disruption counts as going on; a run that a worker
# starts late may go on for this long.
CONTACT_S = 3.0
# A call may be carried out this much later.
LATE_MS = 12000
# After a cancellation; longer than any lease.
WATCH_S = 12.0
HEARTBEAT_MS = 1500
JOBS = ("00000000000000a1", "00000000000000a2")
# An entry expires after three heartbeats are missing.
SILENT_MS = 4600


def now_s():
    """Returns the time on the stand-in's clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Site(entry_site.Site):
    """Entry VMs and the stand-in."""

    def __init__(self, folder, args):
        super().__init__(folder, args.build, args.entry or args.build, VMS, WORKERS, 3,
                         lease_ms=args.lease_ms)
        self.workers = [f"i-{number}" for number in range(3, 3 + WORKERS)]
        # When the last disruption ended, by worker; "" is the scheduler's VM.
        self.disrupted_until = {}
        self.fault(kind="heartbeats", period_ms=HEARTBEAT_MS)
        self.wait_until_ready()

    def fault(self, lasts_s=None, **body):
        """Applies a fault of a worker; lasts_s: how long it counts as a disruption."""
        if call(self.store, "POST", "/worker-fault", body)[0] != 200:
            expect(f"the fault {body} is applied", False)
        if lasts_s is not None:
            self.disrupt(body["worker"], lasts_s)

    def disrupt(self, worker, lasts_s):
        until = now_s() + lasts_s
        self.disrupted_until[worker] = max(until, self.disrupted_until.get(worker, 0))

    def end_scheduler(self, how):
        """Ends the scheduler's process: kill or term."""
        vm = self.scheduler()
        if vm is None:
            return
        if how == "kill":
            vm.process.kill()
            vm.process.wait()
        else:
            vm.process.terminate()
        self.disrupt("", 0)

    def submit(self, job, count, gang=False, run_ms=60000):
        step = {"count": count, "cpu": 4000, "gpu": 8, "estimate_ms": 60000, "gang": gang}
        body = {"spec": str(run_ms), "steps": [step]}
        for vm in self.vms:
            if vm.process.poll() is None and call(vm.jobs, "POST", f"/q/{job}", body)[0] == 200:
                return
        expect(f"job {job} is accepted", False)

    def traces_of(self, jobs):
        return [row for row in self.traces() if row["task"].split(".")[0] in jobs]

    def cancel(self, job):
        """Cancels at a VM that isn't the scheduler; returns when it was acknowledged."""
        end = time.monotonic() + 5
        while time.monotonic() < end:
            scheduler = self.scheduler()
            for vm in self.vms:
                if vm is scheduler or vm.process.poll() is not None:
                    continue
                status = call(vm.jobs, "DELETE", f"/q/{job}")[0]
                if status // 100 == 2:
                    return now_s()
            time.sleep(0.02)
        return None

    def wait_for_ends(self, limit_s, least_s):
        """Waits for least_s, then until all runs have ended, for limit_s at most."""
        time.sleep(least_s)
        end = time.monotonic() + limit_s
        while time.monotonic() < end and any(
                not row["ended"] for row in self.traces_of(JOBS)):
            time.sleep(0.1)

    def check(self, title, acknowledged):
        """Checks the ends of the runs of cancelled jobs; acknowledged: when, by job."""
        late = {(row["task"], row["run"])
                for row in call(self.store, "GET", "/late-starts")[1]}
        worst, wrong = None, []
        for row in self.traces_of(acknowledged):
            ack = acknowledged[row["task"].split(".")[0]]
            calm = max(self.disrupted_until.get(row["worker"], 0),
                       self.disrupted_until.get("", 0)) + CONTACT_S
            begun = row["began"] / 1000
            if (row["task"], row["run"]) in late:
                calm = max(calm, begun + CONTACT_S)
            ended = row["ended"] / 1000 if row["ended"] else now_s()
            over = ended - max(ack, calm) - CANCEL_BOUND_S
            after = ended - ack
            worst = max(after, worst) if worst is not None else after
            if over > 0:
                wrong.append(f"{row['task']}/{row['run']} on {row['worker']} began "
                             f"{begun - ack:+.2f} s, ended {after:+.2f} s "
                             f"({row['end'] or 'running'}), {over:.2f} s too late")
        expect(title, not wrong, "; ".join(wrong) if wrong else
               "no runs" if worst is None else f"last end {worst:+.2f} s after the "
               "acknowledgement")


def run_round(args, title, prepare, before, after, run_ms=60000, late=True):
    """Runs one job of two tasks and one gang of three, and cancels both.

    prepare(site) comes before the jobs, before(site) before the cancellations and
    after(site) after them. late: whether calls may be carried out late.
    """
    args.rounds += 1
    if args.rounds % args.part[1] != args.part[0]:
        return
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, args)
        try:
            prepare(site)
            site.submit(JOBS[0], 2, run_ms=run_ms)
            site.submit(JOBS[1], 3, gang=True, run_ms=run_ms)
            before(site)
            acknowledged = {}
            for job in JOBS:
                at = site.cancel(job)
                if at is not None:
                    acknowledged[job] = at
            after(site)
            if len(acknowledged) < 2:
                print(f"  note {title}: {2 - len(acknowledged)} not acknowledged")
            site.wait_for_ends(WATCH_S, LATE_MS / 1000 + 2 if late else CANCEL_BOUND_S)
            site.check(title, acknowledged)
        finally:
            entry_site.end_all(site.processes)


def all_started(site):
    wait_until(lambda: len(site.traces_of(JOBS)) >= 5, "all tasks have started")
    time.sleep(1.2)


def on_all(site, lasts_s=None, **fault):
    for worker in site.workers:
        site.fault(lasts_s, worker=worker, **fault)


def orders(effect, names, for_ms, late_ms=0, seed=1):
    return {"kind": "orders", "orders": names, "effect": effect, "for_ms": for_ms,
            "late_ms": late_ms, "seed": seed}


def scenarios():
    """Yields title, prepare, before and after of each scenario."""
    def nothing(_site):
        pass

    for end, first in (("", False), ("kill", False), ("kill", True), ("term", False),
                       ("term", True)):
        title = {"": "", "kill": ", scheduler killed", "term": ", scheduler stopped"}[end]
        title += " first" if first else ""

        def finish(site, end=end, first=first):
            if end and not first:
                site.end_scheduler(end)

        def begin(site, end=end, first=first):
            if end and first:
                site.end_scheduler(end)

        for effect in ("lost", "unanswered", "busy", "limited", "late"):
            fault = orders(effect, ["stop"], 2000, LATE_MS)

            def before(site, fault=fault):
                all_started(site)
                on_all(site, 2.0, **fault)
                begin(site)

            yield f"stops {effect} for 2 s{title}", nothing, before, finish

        def silent(site):
            all_started(site)
            on_all(site, 0, **orders("lost", ["hold"], 300))
            time.sleep(0.3)
            begin(site)

        yield f"one hold silent{title}", nothing, silent, finish

        def late_starts(site):
            on_all(site, 1.0, **orders("late", ["start"], 1000, 2000))

        def soon(site):
            time.sleep(0.3)
            begin(site)

        yield f"starts late{title}", late_starts, soon, finish

        def reborn(site):
            time.sleep(0.3)
            on_all(site, 0, kind="restart")
            begin(site)

        yield (f"starts late into a new life{title}",
               lambda site: on_all(site, 1.0, **orders("late", ["start"], 1000, LATE_MS)),
               reborn, finish)

        def no_entry(site):
            all_started(site)
            on_all(site, 3.0 + SILENT_MS / 1000, kind="entry", silent_ms=SILENT_MS,
                   for_ms=3000)
            time.sleep(SILENT_MS / 1000 + 1.0)
            begin(site)

        yield f"entries missing for 3 s{title}", nothing, no_entry, finish

        def drained(site):
            all_started(site)
            on_all(site, None, kind="drain", remaining_ms=0, entry_ms=1000,
                   stays_ms=12000)
            time.sleep(1.5)
            begin(site)

        yield f"workers stay after their entry{title}", nothing, drained, finish

        def drained_silently(site):
            all_started(site)
            on_all(site, None, kind="drain", remaining_ms=0, entry_ms=1500,
                   stays_ms=14000)
            time.sleep(0.5)
            on_all(site, 1.8, **orders("lost", ["hold"], 1800))
            time.sleep(1.8)
            begin(site)

        yield (f"workers stay after their entry, holds silent{title}", nothing,
               drained_silently, finish)


def random_fault(site, worker, dice):
    kind = dice.choice(("orders", "orders", "orders", "entry", "restart", "drain", "none"))
    lasts_ms = dice.randrange(300, 4000)
    if kind == "orders":
        names = dice.sample(["start", "stop", "hold"], dice.randrange(1, 4))
        effect = dice.choice(("late", "unanswered", "lost", "busy", "limited"))
        site.fault(lasts_ms / 1000, worker=worker,
                   **orders(effect, names, lasts_ms, dice.choice((1500, 4000, LATE_MS)),
                            dice.randrange(1, 1 << 30)))
    elif kind == "entry":
        site.fault((SILENT_MS + lasts_ms) / 1000, worker=worker, kind=kind,
                   silent_ms=SILENT_MS, for_ms=lasts_ms)
    elif kind == "restart":
        site.fault(0, worker=worker, kind=kind)
    elif kind == "drain":
        entry_ms = dice.randrange(300, 2000)
        site.fault(None, worker=worker, kind=kind, entry_ms=entry_ms, stays_ms=LATE_MS,
                   remaining_ms=dice.choice((0, entry_ms)))


def mix(args, seed):
    """Runs a random mix of faults."""
    dice = random.Random(seed)
    run_ms = dice.choice((60000, 60000, 2500))
    faults_first = dice.random() < 0.5
    ends = dice.choice(("", "", "kill", "term"))
    ends_first = dice.random() < 0.5
    repeats = dice.randrange(1, 3)

    def faults(site):
        for _ in range(repeats):
            for worker in site.workers:
                if dice.random() < 0.6:
                    random_fault(site, worker, dice)
            time.sleep(dice.uniform(0, 1.0))

    def prepare(site):
        if faults_first:
            faults(site)

    def before(site):
        if faults_first:
            time.sleep(dice.uniform(0, 2.0))
        else:
            time.sleep(2.0)
            faults(site)
        if ends and ends_first:
            site.end_scheduler(ends)
        time.sleep(dice.uniform(0, 1.0))

    def after(site):
        if ends and not ends_first:
            site.end_scheduler(ends)

    run_round(args, f"mix of seed {seed}", prepare, before, after, run_ms)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--entry")
    parser.add_argument("--seeds", nargs=2, type=int, default=(1, 5))
    parser.add_argument("--scenarios", action="store_true")
    parser.add_argument("--mixes", action="store_true")
    parser.add_argument("--only", default="")
    parser.add_argument("--lease-ms", type=int, default=6000)
    parser.add_argument("--part", nargs=2, type=int, default=(0, 1))
    args = parser.parse_args()
    args.rounds = 0
    both = not args.scenarios and not args.mixes
    if args.scenarios or both:
        print("cancellations beside faults of workers")
        for title, prepare, before, after in scenarios():
            if args.only in title:
                run_round(args, title, prepare, before, after, late="late" in title)
    if args.mixes or both:
        print("cancellations beside random mixes of faults")
        for seed in range(args.seeds[0], sum(args.seeds)):
            mix(args, seed)
    print(f"{checks['failed']} expectations failed")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
