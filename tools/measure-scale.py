"""Measures the daemons of one data centre against stand-ins of increasing size.

Prints CPU time, resident memory and network traffic per daemon, idle and with running
tasks. The loopback counters count each message once, so the traffic of a daemon is at
most twice its share of the counted bytes.
"""

import json
import sys
import time

from anvildoor_site import Site, call, sha256

TOKEN = "scale-token"
DAEMONS = 8
SETTLE_SECONDS = 12
WINDOW_SECONDS = 15
TASKS_PER_WORKER = 25


def loopback_bytes():
    with open("/proc/net/dev", encoding="utf-8") as file:
        for line in file:
            if line.strip().startswith("lo:"):
                return int(line.split(":")[1].split()[8])
    return 0


def measure_window(site):
    """Measures CPU use, peak resident memory, the traffic bound per daemon and store calls."""
    before = [d.cpu_seconds() for d in site.daemons]
    counts = site.counts()
    sent = loopback_bytes()
    begun = time.monotonic()
    time.sleep(WINDOW_SECONDS)
    span = time.monotonic() - begun
    sent = loopback_bytes() - sent
    used = [d.cpu_seconds() - b for d, b in zip(site.daemons, before)]
    after = site.counts()
    return {
        "cpu_max_percent": 100 * max(used) / span,
        "cpu_mean_percent": 100 * sum(used) / len(used) / span,
        "rss_max_mb": max(d.resident_mb() for d in site.daemons),
        "traffic_bound_kb_s": 2 * sent / len(used) / span / 1000,
        "store_reads_s": (after["store_reads"] - counts["store_reads"]) / span,
        "store_writes_s": (after["store_writes"] - counts["store_writes"]) / span,
    }


def submit_gangs(site, workers):
    """Submits gangs of up to 64 tasks, TASKS_PER_WORKER tasks per worker in total."""
    tasks = workers * TASKS_PER_WORKER
    jobs = 0
    while tasks > 0:
        gang = min(64, tasks)
        answer = call(site.daemons[jobs % DAEMONS].http, "POST", "/v1/jobs",
                      {"workspace": "scale", "tasks": gang, "cores_per_task": 1,
                       "payload": json.dumps({"run_ms": 600000})}, TOKEN, f"job-{jobs}")
        if answer.status != 202:
            raise RuntimeError(answer.text)
        tasks -= gang
        jobs += 1
    return jobs


def print_row(workers, phase, figures):
    print(f"{workers:7d}  {phase:12s}" +
          "".join(f"  {figures[k]:10.2f}" for k in figures))
    sys.stdout.flush()


def main():
    sizes = [int(a) for a in sys.argv[1:]] or [16, 66, 132, 264]
    print(f"{DAEMONS} daemons; {TASKS_PER_WORKER} tasks per worker")
    print("workers  phase         cpu max %  cpu mean %  rss max MB  traffic KB/s  "
          "reads/s   writes/s")
    for workers in sizes:
        racks = max(1, workers // 8)
        site = Site(daemons=DAEMONS, racks=racks, workers=workers // racks, accelerators=2)
        try:
            site.start()
            site.scheduler()
            site.cli("workspace", "put", "scale", "--token-sha256", sha256(TOKEN))
            time.sleep(SETTLE_SECONDS)
            print_row(workers, "quiet", measure_window(site))
            jobs = submit_gangs(site, workers)
            time.sleep(SETTLE_SECONDS)
            print_row(workers, f"{jobs} gangs", measure_window(site))
        finally:
            site.stop()
            site.remove()
    return 0


if __name__ == "__main__":
    sys.exit(main())
