"""Checks with real processes that accepted jobs don't wait while the fleet has room.

Usage: check_waiting.py BUILD [ENTRY_BUILD]. The second folder, if given, has the
anvildoor-entry to be checked. Fails if a job has nothing running for longer than the
platform allows.
"""

import sys
import tempfile
import time

import entry_site
from entry_site import call, checks, expect, wait_until

BUILD = sys.argv[1]
ENTRY_BUILD = sys.argv[-1]
VMS = 3
# Nothing may wait for 3 s after 4 s without disruption.
IDLE_BOUND_S = 3
CALM_S = 4
# Longer than a scheduler without the store keeps its term.
BUSY_MS = 6000


class Site(entry_site.Site):
    """Entry VMs and the stand-in."""

    def __init__(self, folder, workers, workers_per_rack):
        super().__init__(folder, BUILD, ENTRY_BUILD, VMS, workers, workers_per_rack)
        self.wait_until_ready()

    def submit(self, job, spec, step, vm=0):
        body = {"spec": spec, "steps": [step]}
        if call(self.vms[vm].jobs, "POST", f"/q/{job}", body)[0] != 200:
            expect(f"job {job} is accepted", False)

    def starts_within(self, job, tasks, limit_s):
        """Returns the seconds until all tasks of the job have started; None: not in time."""
        began = time.monotonic()
        while time.monotonic() < began + limit_s:
            if len(self.traces(job)) >= tasks:
                return time.monotonic() - began
            time.sleep(0.02)
        return None


def gang_beside_spread_tasks(folder):
    """A gang that prefers one rack, while each rack has too few free workers."""
    racks, per_rack = 4, 8
    site = Site(folder, racks * per_rack, per_rack)
    try:
        for rack in range(racks):
            site.submit(f"00000000000000b{rack}", "60000",
                        {"count": 3, "cpu": 4000, "gpu": 8, "estimate_ms": 60000,
                         "data_rack": f"r{rack}"})
        wait_until(lambda: len(site.traces("00000000000000b")) == 12, "the fleet is in use")
        site.submit("00000000000000a1", "60000",
                    {"count": 6, "cpu": 4000, "gpu": 8, "estimate_ms": 11000, "gang": True,
                     "same_rack": True})
        waited = site.starts_within("00000000000000a1", 6, 20)
        expect("a gang of 6 of 20 free workers of 32 starts within 3 s",
               waited is not None and waited <= IDLE_BOUND_S,
               "not within 20 s" if waited is None else f"{waited:.2f} s")
    finally:
        entry_site.end_all(site.processes)


def workers_leave_without_store(folder):
    """Workers leave while the store is away and the scheduler changes."""
    for kills_scheduler in (False, True):
        site = Site(folder, 6, 3)
        try:
            job = "00000000000000a1"
            site.submit(job, "60000", {"count": 2, "cpu": 4000, "gpu": 8, "gang": True,
                                       "estimate_ms": 60000})
            wait_until(lambda: len(site.traces(job)) == 2, "the job is running")
            scheduler = site.scheduler()
            call(site.store, "POST", "/busy", {"for_ms": BUSY_MS})
            time.sleep(0.5)
            for row in site.traces(job):
                call(site.store, "POST", "/leave", {"worker": row["worker"]})
            if kills_scheduler:
                scheduler.process.kill()
            time.sleep(BUSY_MS / 1000 - 0.5)
            waited = site.starts_within(job, 4, 30)
            expect("the tasks start elsewhere in time after the store's return, the scheduler "
                   + ("having ended" if kills_scheduler else "having lost its term"),
                   waited is not None and waited <= CALM_S + IDLE_BOUND_S,
                   "not within 30 s" if waited is None else f"{waited:.2f} s")
        finally:
            entry_site.end_all(site.processes)


def main():
    for scenario in (gang_beside_spread_tasks, workers_leave_without_store):
        print(scenario.__doc__)
        with tempfile.TemporaryDirectory() as folder:
            scenario(folder)
    print(f"{checks['failed']} expectations failed")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
