"""Measures CPU time, memory and store calls per request of a real daemon."""

import http.client
import json
import sys
import threading
import time

from anvildoor_site import Site, sha256

TOKEN = "load-token"
CALLERS = 8
SETTLE_SECONDS = 12


def run_caller(address, name, count, idempotent, times):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    body = json.dumps({"workspace": "load", "idempotent": idempotent, "repeat": False,
                       "deadline_ms": 20000, "payload": '{"work_ms":1}'})
    for number in range(count):
        headers = {"Authorization": "Bearer " + TOKEN}
        if not idempotent:
            headers["Idempotency-Key"] = f"{name}-{number}"
        begun = time.monotonic()
        connection.request("POST", "/v1/requests", body, headers)
        response = connection.getresponse()
        text = response.read()
        if response.status != 200:
            raise RuntimeError(text.decode())
        times.append(time.monotonic() - begun)
    connection.close()


def measure(site, label, count, idempotent):
    daemon = site.daemons[-1]
    counts, cpu = site.counts(), daemon.cpu_seconds()
    times, threads = [], []
    begun = time.monotonic()
    for caller in range(CALLERS):
        threads.append(threading.Thread(target=run_caller, args=(
            daemon.http, f"{label}-{caller}", count // CALLERS, idempotent, times)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    span = time.monotonic() - begun
    used = daemon.cpu_seconds() - cpu
    after = site.counts()
    times.sort()
    calls = sum(after[k] - counts[k] for k in ("store_reads", "store_writes"))
    print(f"{label:16s} {len(times):6d} requests  {len(times) / span:8.0f}/s  "
          f"p50 {times[len(times) // 2] * 1000:6.2f} ms  "
          f"p99 {times[len(times) * 99 // 100] * 1000:6.2f} ms  "
          f"cpu {used / len(times) * 1000:6.3f} ms  store calls {calls / len(times):5.2f}  "
          f"rss {daemon.resident_mb():5.1f} MB")


def main():
    site = Site(daemons=2, upstreams=4)
    try:
        site.start()
        site.scheduler()
        site.cli("workspace", "put", "load", "--token-sha256", sha256(TOKEN))
        site.cli("defaults", "put", "requests_per_second=100000", "requests_in_flight=1000")
        time.sleep(SETTLE_SECONDS)
        measure(site, "idempotent", 8000, True)
        measure(site, "not idempotent", 2000, False)
    finally:
        site.stop()
        site.remove()
    return 0


if __name__ == "__main__":
    sys.exit(main())
