"""Demonstrates the main functions on stand-ins; fails if an expectation is not met."""

import json
import sys
import threading
import time

from anvildoor_site import OPERATOR_TOKEN, Site, call, sha256

GYMS_TOKEN = "gyms-token"
DEPOTS_TOKEN = "depots-token"
GANG_TASKS = 16
RUN_MS = 15000


class Report:
    """Prints expectations with the observed values and counts the failed ones."""

    def __init__(self):
        self.failed = 0

    def section(self, title):
        print(f"\n{title}")

    def expect(self, what, holds, seen=""):
        self.failed += 0 if holds else 1
        mark = "ok  " if holds else "FAIL"
        print(f"  {mark} {what}" + (f": {seen}" if seen != "" else ""))

    def print_value(self, what, value):
        print(f"       {what}: {value}")


def start(report, site):
    report.section("1. Stand-ins and three daemons")
    times = site.start()
    report.expect("three daemons are ready", len(times) == 3)
    report.print_value("time from start of a daemon until it is ready",
                       f"{min(times):.2f} to {max(times):.2f} s")
    leader = site.scheduler()
    report.expect("one daemon is the scheduler", True, leader.vm)


def configure(report, site):
    report.section("2. An operator creates workspaces and an exception")
    for name, token, guarantee in (
        ("gripfjall", GYMS_TOKEN, "1:16:1:rack"),
        ("kistenwasch", DEPOTS_TOKEN, "2:4:1:rack"),
    ):
        _, answer = site.cli(
            "workspace", "put", name, "--token-sha256", sha256(token), "--guarantee", guarantee
        )
        report.expect(f"workspace {name} is in force", "not" not in str(answer["in_force"]),
                      json.dumps(answer))
    _, answer = site.cli(
        "exception", "put", "roster-rush", "--workspace", "gripfjall",
        "--setting", "requests_in_flight", "--value", "128",
        "--reason", "rosters for the spring reset are due this week",
    )
    report.expect("the exception is in force", set(answer["in_force"].values()) == {"in_force"},
                  json.dumps(answer))
    status, _ = site.cli("exception", "put", "no-reason", "--workspace", "gripfjall",
                         "--setting", "requests_in_flight", "--value", "9", check=False)
    report.expect("an exception without a reason is refused", status != 0)


def run_gang(report, site):
    report.section(f"3. A gang of {GANG_TASKS} tasks in one rack")
    before = site.counts()
    begun = time.monotonic()
    _, job = site.cli(
        "submit", "--workspace", "gripfjall", "--tasks", str(GANG_TASKS), "--accelerators", "1",
        "--adjacency", "rack", "--class", "urgent", "--checkpointable",
        "--payload", json.dumps({"run_ms": RUN_MS, "result": "routes rendered"}),
        "--key", "spring-reset", token=GYMS_TOKEN,
    )
    while job["state"] in ("queued", "starting") and time.monotonic() - begun < 20:
        _, job = site.cli("job", job["id"], token=GYMS_TOKEN)
    started = time.monotonic() - begun
    racks = {part["worker"].rsplit("-", 1)[0] for part in job["placement"]}
    tasks = sum(part["tasks"] for part in job["placement"])
    report.expect("all tasks of the gang run", job["state"] == "running" and tasks == GANG_TASKS,
                  f"{tasks} tasks on {len(job['placement'])} workers")
    report.expect("its workers share one rack", len(racks) == 1, ", ".join(sorted(racks)))
    report.expect("the urgent gang starts within 2.8 s", started < 2.8, f"{started:.2f} s")
    used = site.counts()
    report.print_value("store writes until the gang runs",
                       used["store_writes"] - before["store_writes"])
    return job["id"]


def serve_requests(report, site):
    report.section("4. Requests")
    body = {"workspace": "kistenwasch", "class": "interactive", "deadline_ms": 5000,
            "payload": json.dumps({"result": "line 3 is free", "tag": "ask"})}
    times = []
    for _ in range(50):
        begun = time.monotonic()
        answer = call(site.daemons[0].http, "POST", "/v1/requests", body, DEPOTS_TOKEN)
        times.append(time.monotonic() - begun)
    report.expect("a request is answered", answer.body["result"] == "line 3 is free", answer.text)
    times.sort()
    report.print_value("latency, including 20 ms of upstream work",
                       f"p50 {times[25] * 1000:.1f} ms, max {times[-1] * 1000:.1f} ms")
    booking = {"workspace": "kistenwasch", "class": "urgent", "idempotent": False,
               "deadline_ms": 5000,
               "payload": json.dumps({"result": "slot 14:30 booked", "tag": "booking"})}
    before = site.counts()
    first = call(site.daemons[0].http, "POST", "/v1/requests", booking, DEPOTS_TOKEN, "slot-1430")
    time.sleep(0.3)
    used = site.counts()
    repeat = call(site.daemons[1].http, "POST", "/v1/requests", booking, DEPOTS_TOKEN, "slot-1430")
    ran = [r for r in site.runs()["requests"] if "booking" in r["payload"]]
    report.expect("a booking is answered", first.status == 200, first.text)
    report.expect("a retry at another daemon returns the first result",
                  repeat.body["result"] == first.body["result"])
    report.expect("the booking ran once", len(ran) == 1, f"{len(ran)} runs")
    report.print_value("store writes for the first booking, including its lease and the scheduler's",
                       used["store_writes"] - before["store_writes"])


def kill_scheduler(report, site, job):
    report.section("5. The daemon that runs the scheduler is killed")
    leader = site.scheduler()
    leader.kill()
    killed = time.monotonic()
    successor = site.scheduler()
    report.expect("another daemon takes over", successor.vm != leader.vm, successor.vm)
    report.print_value("time to the new scheduler", f"{time.monotonic() - killed:.1f} s")
    _, ended = site.cli("wait", job, token=GYMS_TOKEN)
    report.expect("the running job completes", ended["state"] == "completed", ended["result"])
    attempts = {t["attempt"] for t in site.runs()["tasks"]
                if t["job"] == job and t["state"] == "running"}
    report.expect("it ran in a single attempt", len(attempts) == 1 and ended["attempt"] == 1)


def drain(report, site):
    report.section("6. A daemon is drained with a request in flight")
    live = [d for d in site.daemons if d.process.poll() is None]
    body = {"workspace": "kistenwasch", "deadline_ms": 10000,
            "payload": json.dumps({"work_ms": 2000, "result": "whole"})}
    answers = []
    thread = threading.Thread(target=lambda: answers.append(
        call(live[0].http, "POST", "/v1/requests", body, DEPOTS_TOKEN)))
    thread.start()
    time.sleep(0.5)
    status = live[0].terminate()
    thread.join()
    report.expect("the request in flight is answered completely",
                  bool(answers) and answers[0].body["result"] == "whole")
    report.expect("the daemon exits with status 0", status == 0)


def print_measurements(report, site):
    report.section("Measurements")
    for daemon in site.daemons:
        if daemon.process.poll() is None:
            report.print_value(f"resident memory of {daemon.vm}", f"{daemon.resident_mb():.1f} MB")
    text = call(live_daemon_address(site), "GET", "/metrics").text
    report.expect("metrics include a histogram per workspace and class",
                  'anvildoor_request_seconds_bucket{class="' in text)


def live_daemon_address(site):
    return [d for d in site.daemons if d.process.poll() is None][0].http


def main():
    report = Report()
    site = Site(daemons=3)
    begun = time.monotonic()
    try:
        start(report, site)
        configure(report, site)
        job = run_gang(report, site)
        serve_requests(report, site)
        print_measurements(report, site)
        kill_scheduler(report, site, job)
        drain(report, site)
    finally:
        site.stop()
    print(f"\n{time.monotonic() - begun:.0f} s; " +
          ("all expectations met" if report.failed == 0
           else f"{report.failed} expectations failed; logs in {site.folder}"))
    if report.failed == 0:
        site.remove()
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
