"""Checks with real processes that no client ends an entry VM or takes it out of its memory.

Usage: check_hostile_clients.py BUILD [ENTRY_BUILD] [--only TEXT]. Each attack meets a new entry
VM. Fails if the process ends, if its memory or descriptors pass what its settings give it, or
if one ordinary submission isn't answered while the attack's connections are still open.
"""

import argparse
import contextlib
import os
import socket
import sys
import tempfile
import threading
import time

import entry_site
from entry_site import call, checks, expect

MEMORY_MB = 64
DESCRIPTORS = 400
BODY_BYTES = 262_144
POST = b"POST /q/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
DEPTH = 131_000
NESTED = (POST + b"Content-Length: %d\r\n\r\n" % (2 * DEPTH + 9) + b'{"spec":' +
          b"[" * DEPTH + b"]" * DEPTH + b"}")
PIECE_BYTES = 65_536
JOB = {"spec": "10", "steps": [{"count": 1, "cpu": 100, "estimate_ms": 10}]}


def repeated(line):
    return line * (PIECE_BYTES // len(line))


# What each client of an attack sends: a beginning once, then a piece so many times.
# Name, listener, clients, beginning, piece, repetitions.
ATTACKS = [
    ("trailers without end", "jobs", 16, CHUNKED + b"0\r\n", repeated(b"X-T: 0123456789\r\n"), 256),
    ("trailers without end at the readiness listener", "ready", 16, CHUNKED + b"0\r\n",
     repeated(b"X-T: 0123456789\r\n"), 256),
    ("a chunk extension without end", "jobs", 16, CHUNKED + b"1;", repeated(b"x"), 256),
    ("header lines without end", "jobs", 16, POST, repeated(b"X-H: 0123456789\r\n"), 256),
    ("chunks of one byte", "jobs", 16, CHUNKED, repeated(b"1\r\na\r\n"), 256),
    ("half-sent bodies", "jobs", 390, POST + b"Content-Length: %d\r\n\r\n" % BODY_BYTES,
     b"x" * (BODY_BYTES - 1), 1),
    ("half-sent bodies in chunks", "jobs", 390, CHUNKED,
     b"%x\r\n" % (BODY_BYTES - 1) + b"x" * (BODY_BYTES - 1) + b"\r\n", 1),
    ("requests without reading their answers", "jobs", 32, b"",
     repeated(b"GET /q/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key\r\n\r\n"),
     64),
    ("deeply nested bodies", "jobs", 32, b"", NESTED, 20),
    ("connections without a request", "jobs", 600, b"", b"", 0),
    ("header lines that stop", "jobs", 600, POST, b"X-H: 0\r\n", 1),
]


class Site(entry_site.Site):
    """One entry VM with little memory and few descriptors, and the stand-in."""

    def __init__(self, folder, build, entry_build):
        super().__init__(folder, build, entry_build, 0, 2, 2)
        ports = entry_site.free_ports(4)
        self.vms.append(entry_site.Vm(
            entry_build, folder, "e0", ports, self.store,
            f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS}\n"))
        self.vm = self.vms[0]
        self.processes.append(self.vm.process)
        policy = {**entry_site.POLICY, "limits": {"max_body_bytes": BODY_BYTES}}
        call(self.store, "POST", "/put", {"key": "op/config", "value": entry_site.json.dumps(policy)})
        self.wait_until_ready()


class Usage(threading.Thread):
    """Follows the most memory and descriptors that a process has held."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.process, self.over = process, threading.Event()
        self.memory_kb, self.descriptors = 0, 0

    def read(self):
        with contextlib.suppress(OSError):
            folder = f"/proc/{self.process.pid}"
            self.descriptors = max(self.descriptors, len(os.listdir(f"{folder}/fd")))
            with open(f"{folder}/status", encoding="utf-8") as text:
                peak = [int(line.split()[1]) for line in text if line.startswith("VmHWM:")]
            self.memory_kb = max([self.memory_kb] + peak)

    def run(self):
        while not self.over.wait(0.02):
            self.read()


def send(connection, beginning, piece, repetitions):
    """Sends until all is sent or the server has closed the connection or stopped reading."""
    with contextlib.suppress(OSError):
        connection.settimeout(10)
        connection.sendall(beginning)
        for _ in range(repetitions):
            connection.sendall(piece)


def play(site, attack, crowd):
    _, listener, clients, *sent = attack
    threads = []
    for _ in range(clients):
        try:
            crowd.append(socket.create_connection(("127.0.0.1", getattr(site.vm, listener)), 10))
        except OSError:
            continue  # Refused, which is allowed.
        threads.append(threading.Thread(target=send, args=(crowd[-1], *sent)))
        threads[-1].start()
    for each in threads:
        each.join()


def submission_is_answered(site):
    """One ordinary submission, sent again as a caller does after a refusal."""
    end = time.monotonic() + entry_site.WAIT_S
    answer = 0
    while time.monotonic() < end and answer != 200 and site.vm.process.poll() is None:
        answer = call(site.vm.jobs, "POST", "/q/00000000000000aa", JOB)[0]
    return answer


def check(attack, build, entry_build):
    crowd = []
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, build, entry_build)
        usage = Usage(site.vm.process)
        try:
            usage.start()
            play(site, attack, crowd)
            answer = submission_is_answered(site)
            usage.over.set()
            usage.join()
            usage.read()
            expect("the process lives", site.vm.process.poll() is None)
            expect("an ordinary submission is answered", answer == 200, answer)
            expect(f"memory stays within {MEMORY_MB} MB", usage.memory_kb <= MEMORY_MB * 1024,
                   f"{usage.memory_kb / 1024:.1f} MB")
            expect(f"descriptors stay within {DESCRIPTORS}",
                   usage.descriptors <= DESCRIPTORS, usage.descriptors)
        finally:
            for each in crowd:
                each.close()
            entry_site.end_all(site.processes)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("entry_build", nargs="?")
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    for attack in ATTACKS:
        if arguments.only in attack[0]:
            print(f"{attack[0]}: {attack[2]} clients", flush=True)
            check(attack, arguments.build, arguments.entry_build or arguments.build)
    print(f"{checks['failed']} expectations failed")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
