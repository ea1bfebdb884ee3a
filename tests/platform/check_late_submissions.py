"""Checks with real processes that no job runs that was stored after its cancellation.

Usage: check_late_submissions.py BUILD [ENTRY_BUILD]. A caller cancels a job at another VM than
the one that has its submission under way, and the answer is 410. Fails if the job's tasks run
on for longer than the platform allows.
"""

import signal
import socket
import sys
import tempfile
import threading
import time

import entry_site
from entry_site import call, checks, expect

ARGUMENTS = sys.argv[1:]
BUILD = ARGUMENTS[0]
ENTRY_BUILD = ARGUMENTS[-1]
VMS = 3
WORKERS = 4
# From the answer of a cancellation to the end of the last run.
END_BOUND_S = 3.4
# A disruption counts for this long after its end.
CONTACT_S = 3
# Shorter than the time after which a VM counts the store as unreachable.
FREEZE_S = 0.7
RACES = 20
JOB = {"spec": "60000", "steps": [{"count": 1, "cpu": 100, "estimate_ms": 60000}]}


class Site(entry_site.Site):
    """Entry VMs and the stand-in."""

    def __init__(self, folder):
        super().__init__(folder, BUILD, ENTRY_BUILD, VMS, WORKERS, WORKERS)
        self.wait_until_ready()
        scheduler = self.scheduler()
        self.fronts = [vm for vm in self.vms if vm is not scheduler]

    def open_runs(self, jobs):
        return [row for row in self.traces()
                if row["task"].split(".")[0] in jobs and not row["end"]]


def submit_and_leave(vm, job):
    """Submits a job on a connection that ends before the answer."""
    body = entry_site.json.dumps(JOB)
    with socket.create_connection(("127.0.0.1", vm.jobs)) as connection:
        connection.sendall((f"POST /q/{job} HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key\r\n"
                            f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        time.sleep(0.3)


def submission_that_a_frozen_vm_has(site):
    """The VM that has the submission is frozen until the cancellation was answered."""
    job = "00000000000000c1"
    taker, other = site.fronts
    taker.process.send_signal(signal.SIGSTOP)
    began = time.monotonic()
    try:
        submit_and_leave(taker, job)
        answer = call(other.jobs, "DELETE", f"/q/{job}")[0]
        time.sleep(max(0, began + FREEZE_S - time.monotonic()))
    finally:
        taker.process.send_signal(signal.SIGCONT)
    expect("the cancellation is answered 2xx or 410", answer in (200, 410), answer)
    time.sleep(CONTACT_S + END_BOUND_S)
    runs = site.open_runs([job])
    expect("the cancelled job has no runs", not runs, f"{len(runs)} runs")


def submissions_beside_their_cancellations(site):
    """The submission and the cancellation are sent at the same time to two VMs."""
    answers = {}
    taker, other = site.fronts

    def cancel(job):
        answers[job] = call(other.jobs, "DELETE", f"/q/{job}")[0]

    for number in range(RACES):
        job = f"00000000000000d{number:x}"[-16:]
        threads = [threading.Thread(target=call, args=(taker.jobs, "POST", f"/q/{job}", JOB)),
                   threading.Thread(target=cancel, args=(job,))]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
    expect("the cancellations are answered 2xx or 410",
           all(each in (200, 410) for each in answers.values()), sorted(answers.values()))
    time.sleep(END_BOUND_S)
    runs = site.open_runs(answers)
    expect("the cancelled jobs have no runs", not runs, f"{len(runs)} runs")


def main():
    for scenario in (submission_that_a_frozen_vm_has,
                     submissions_beside_their_cancellations):
        print(scenario.__doc__)
        with tempfile.TemporaryDirectory() as folder:
            site = Site(folder)
            try:
                scenario(site)
            finally:
                entry_site.end_all(site.processes)
    print(f"{checks['failed']} expectations failed")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
