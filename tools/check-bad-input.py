"""Sends invalid input to a real daemon and checks the status and field of each response."""

import json
import socket
import sys
import time

from anvildoor_site import OPERATOR_TOKEN, Site, call, sha256

TOKEN = "gyms-token"
JOB = {"workspace": "gripfjall", "tasks": 2, "accelerators_per_task": 1}


def job(**changes):
    body = dict(JOB, **changes)
    return {k: v for k, v in body.items() if v is not None}


# method, target, body, token, key, expected status, expected field
CASES = [
    ("POST", "/v1/jobs", "{not json", TOKEN, None, 400, "body"),
    ("POST", "/v1/jobs", "[]", TOKEN, None, 400, "body"),
    ("POST", "/v1/jobs", job(speed=3), TOKEN, None, 422, "speed"),
    ("POST", "/v1/jobs", job(tasks=-1), TOKEN, None, 422, "tasks"),
    ("POST", "/v1/jobs", job(tasks=10**30), TOKEN, None, 422, "tasks"),
    ("POST", "/v1/jobs", job(tasks="two"), TOKEN, None, 422, "tasks"),
    ("POST", "/v1/jobs", job(memory_mb_per_task=10**12), TOKEN, None, 422, "memory_mb_per_task"),
    ("POST", "/v1/jobs", job(adjacency="moon"), TOKEN, None, 422, "adjacency"),
    ("POST", "/v1/jobs", job(workspace=None), TOKEN, None, 422, "workspace"),
    ("POST", "/v1/jobs", job(workspace="nobody"), TOKEN, None, 404, "workspace"),
    ("POST", "/v1/jobs", job(), "wrong", None, 401, "Authorization"),
    ("POST", "/v1/jobs", job(), None, None, 401, "Authorization"),
    ("POST", "/v1/jobs", job(tasks=64, accelerators_per_task=64), TOKEN, None, 422, "tasks"),
    ("POST", "/v1/jobs", job(idempotent=False, tasks=16), TOKEN, None, 422, "idempotent"),
    ("POST", "/v1/jobs", job(payload="x" * 70000), TOKEN, None, 413, "body"),
    ("POST", "/v1/jobs", job(payload="x" * 20000), TOKEN, None, 422, "payload"),
    ("PATCH", "/v1/jobs", job(), TOKEN, None, 405, "method"),
    ("GET", "/v1/jobs/j-none", None, TOKEN, None, 404, ""),
    ("GET", "/v1/jobs/j-none?wait_ms=-4", None, TOKEN, None, 422, "wait_ms"),
    ("GET", "/v2/anything", None, TOKEN, None, 404, "path"),
    ("POST", "/v1/requests", {"workspace": "gripfjall", "idempotent": False}, TOKEN, None, 400,
     "Idempotency-Key"),
    ("POST", "/v1/requests", {"workspace": "gripfjall", "deadline_ms": 0}, TOKEN, None, 422,
     "deadline_ms"),
    ("PUT", "/v1/config/defaults", {"job_attempts": 0}, OPERATOR_TOKEN, None, 422, "job_attempts"),
    ("PUT", "/v1/config/defaults", {"no_such": 1}, OPERATOR_TOKEN, None, 422, "no_such"),
    ("PUT", "/v1/config/defaults", {"job_attempts": 5}, TOKEN, None, 401, "Authorization"),
    ("PUT", "/v1/config/exceptions/e1",
     {"workspace": "gripfjall", "setting": "queued_jobs", "value": 5, "reason": "  "},
     OPERATOR_TOKEN, None, 422, "reason"),
    ("PUT", "/v1/config/workspaces/big",
     {"token_sha256": sha256("b"), "guarantees": [
         {"count": 1, "tasks": 64, "accelerators_per_task": 8, "adjacency": "rack"}]},
     OPERATOR_TOKEN, None, 422, "guarantees[0]"),
    ("GET", "/v1/fleet", None, TOKEN, None, 401, "Authorization"),
    ("DELETE", "/v1/config/workspaces/nobody", None, OPERATOR_TOKEN, None, 404, ""),
]


def send_incomplete_request(address):
    """Sends an incomplete request and waits; returns the status line of the response."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{")
        return connection.recv(100).decode().split("\r\n")[0]


def send_raw_bytes(address, text):
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(text)
        return connection.recv(100).decode().split("\r\n")[0]


def main():
    failed = 0
    site = Site(daemons=2)
    try:
        site.start()
        site.scheduler()
        site.cli("workspace", "put", "gripfjall", "--token-sha256", sha256(TOKEN),
                 "--guarantee", "1:4:1:rack")
        time.sleep(2)
        target = site.daemons[0].http
        submitted_job = call(target, "POST", "/v1/jobs", job(payload='{"run_ms":20000}'), TOKEN,
                             "kept")
        for method, path, body, token, key, status, field in CASES:
            answer = call(target, method, path, body, token, key)
            seen = answer.body.get("field", "") if answer.body else None
            good = answer.status == status and seen == field
            failed += 0 if good else 1
            print(f"{'ok  ' if good else 'FAIL'} {method} {path} -> {answer.status} {answer.text[:90]}")
        for name, line, wanted in (
            ("slow client", send_incomplete_request(target), "408"),
            ("malformed HTTP", send_raw_bytes(target, b"\x00\x01garbage\r\n\r\n"), "400"),
        ):
            good = wanted in line
            failed += 0 if good else 1
            print(f"{'ok  ' if good else 'FAIL'} {name} -> {line}")
        found = call(target, "GET", "/v1/jobs/" + submitted_job.body["id"], None, TOKEN)
        alive = all(d.process.poll() is None for d in site.daemons)
        good = submitted_job.status == 202 and found.status == 200 and alive
        failed += 0 if good else 1
        print(f"{'ok  ' if good else 'FAIL'} the accepted job is still found and the daemons run")
    finally:
        site.stop()
        site.remove()
    print(f"{failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
