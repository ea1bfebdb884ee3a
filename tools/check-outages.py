"""Injects outages into real processes and checks that no job or booking is lost or repeated.

Covers a store outage, lost store responses, a frozen scheduler and a crash of all daemons.
A booking is a request that is not idempotent.
"""

import json
import signal
import sys
import time

from anvildoor_site import Site, call, sha256

TOKEN = "gyms-token"


class Checks:
    """Prints the result of each check and counts the failures."""

    def __init__(self):
        self.failed = 0

    def expect(self, what, holds, seen=""):
        self.failed += 0 if holds else 1
        print(f"{'ok  ' if holds else 'FAIL'} {what}" + (f": {seen}" if seen != "" else ""))


def submit(site, key, run_ms, tasks=8):
    body = {"workspace": "gyms", "tasks": tasks, "accelerators_per_task": 1,
            "adjacency": "rack", "payload": json.dumps({"run_ms": run_ms})}
    return call(site.daemons[0].http, "POST", "/v1/jobs", body, TOKEN, key)


def send_request(daemon, idempotent, key=None, repeat=False):
    body = {"workspace": "gyms", "idempotent": idempotent, "repeat": repeat,
            "deadline_ms": 4000, "payload": json.dumps({"result": "answered", "tag": key})}
    return call(daemon.http, "POST", "/v1/requests", body, TOKEN, key)


def wait_job(site, job):
    _, ended = site.cli("wait", job, token=TOKEN)
    return ended


def started_attempts(site, job):
    return {t["attempt"] for t in site.runs()["tasks"]
            if t["job"] == job and t["state"] == "running"}


def set_store_faults(site, **faults):
    call(site.control, "POST", "/store", faults)


def store_outage(checks, site):
    job = submit(site, "through-the-outage", 22000).body["id"]
    time.sleep(2)
    set_store_faults(site, down=True)
    time.sleep(9)
    first, second = send_request(site.daemons[0], True), send_request(
        site.daemons[1], False, "booking-1")
    checks.expect("store down: an idempotent request is answered", first.status == 200)
    checks.expect("store down: a booking is not executed", second.status == 503 and
                  second.body["outcome"] == "not_run", second.text)
    refused = submit(site, "during-the-outage", 100)
    checks.expect("store down: no job is accepted", refused.status in (503, 504), refused.status)
    set_store_faults(site, down=False)
    site.scheduler()
    ended = wait_job(site, job)
    checks.expect("the gang keeps running and runs only once",
                  ended["state"] == "completed" and len(started_attempts(site, job)) == 1)
    again = send_request(site.daemons[2], False, "booking-1", repeat=True)
    ran = [r for r in site.runs()["requests"] if "booking-1" in r["payload"]]
    checks.expect("store back: the booking runs once", again.status == 200 and len(ran) == 1)


def lose_store_answers(checks, site):
    set_store_faults(site, lose_answers=6)
    answers = [send_request(d, False, "booking-2", repeat=n > 0)
               for n, d in enumerate(site.daemons)]
    ran = [r for r in site.runs()["requests"] if "booking-2" in r["payload"]]
    checks.expect("lost responses: the booking runs once", len(ran) == 1,
                  [a.status for a in answers])
    set_store_faults(site, lose_answers=3)
    _, answer = site.cli("defaults", "put", "job_attempts=7")
    checks.expect("lost responses: a change is accepted once", "version" in answer, answer)


def freeze_scheduler(checks, site):
    leader = site.scheduler()
    job = submit(site, "through-the-freeze", 20000).body["id"]
    time.sleep(2)
    leader.process.send_signal(signal.SIGSTOP)
    time.sleep(9)
    others = [d for d in site.daemons if d is not leader]
    names = {call(d.http, "GET", "/v1/status").body["scheduler_vm"] for d in others}
    checks.expect("scheduler frozen: another daemon takes over", len(names) == 1 and
                  names.isdisjoint({"", leader.vm}), names)
    leader.process.send_signal(signal.SIGCONT)
    time.sleep(3)
    agreed = {call(d.http, "GET", "/v1/status").body["scheduler_vm"] for d in site.daemons}
    checks.expect("scheduler resumed: it follows the new scheduler", agreed == names, agreed)
    ended = wait_job(site, job)
    checks.expect("the gang keeps running and runs only once",
                  ended["state"] == "completed" and len(started_attempts(site, job)) == 1)


def kill_all_daemons(checks, site):
    jobs = [submit(site, f"kept-{n}", 1500, tasks=4) for n in range(12)]
    accepted = [j.body["id"] for j in jobs if j.status == 202]
    for daemon in site.daemons:
        daemon.kill()
    time.sleep(1)
    for daemon in site.daemons:
        daemon.start()
    for daemon in site.daemons:
        daemon.wait_ready()
    site.scheduler()
    states = [wait_job(site, job)["state"] for job in accepted]
    checks.expect("all daemons killed: every accepted job completes",
                  len(accepted) == 12 and set(states) == {"completed"},
                  f"{len(accepted)} accepted")


def main():
    checks = Checks()
    site = Site(daemons=3, tls=True)
    begun = time.monotonic()
    try:
        site.start()
        site.scheduler()
        site.cli("workspace", "put", "gyms", "--token-sha256", sha256(TOKEN))
        time.sleep(2)
        store_outage(checks, site)
        lose_store_answers(checks, site)
        freeze_scheduler(checks, site)
        kill_all_daemons(checks, site)
    finally:
        site.stop()
    print(f"{checks.failed} failed, {time.monotonic() - begun:.0f} s")
    if checks.failed == 0:
        site.remove()
    else:
        print(f"logs in {site.folder}")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
