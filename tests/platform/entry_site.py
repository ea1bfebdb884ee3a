"""Entry VMs as processes on a stand-in for the users' platform, for the checks beside."""

import json
import os
import socket
import statistics
import subprocess
import time
import urllib.error
import urllib.request

WAIT_S = 30
# From the end of a run in calm until a hold acknowledges it. A change of the scheduler has to
# be over within the time in which a cancelled run has to end, cancel_ms + stop_timeout_ms;
# ack_timeout_ms, after which a fifth of the ends may still wait, is longer.
NOTE_BOUND_S = 3.4

checks = {"failed": 0}


def expect(what, holds, seen=""):
    checks["failed"] += 0 if holds else 1
    print(f"  {'ok  ' if holds else 'FAIL'} {what}" + (f": {seen}" if seen != "" else ""))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def call(port, method, path, body=None, key="key", host="jobs.example", timeout=5):
    data = body.encode() if isinstance(body, str) else body and json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, method=method)
    request.add_header("Host", host)
    request.add_header("X-Api-Key", key)
    request.add_header("X-Timeout-Ms", str(int(timeout * 1000)))
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or "{}")
    except urllib.error.HTTPError as refused:
        return refused.code, {}
    except (OSError, ValueError):
        return 0, {}


def wait_until(condition, what):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    expect(what, False, f"not met within {WAIT_S} s")
    return False


class Vm:
    """An entry process."""

    def __init__(self, build, folder, name, ports, store, settings="", data_centre="z",
                 environment=None):
        self.build, self.environment = build, environment
        self.name, self.jobs, self.ready = name, ports[0], ports[1]
        self.file = os.path.join(folder, f"{name}.ini")
        with open(self.file, "w", encoding="utf-8") as text:
            text.write(f"[vm]\nname = {name}\ndata_centre = {data_centre}\n[listen]\n"
                       f"jobs = 127.0.0.1:{ports[0]}\nreadiness = 127.0.0.1:{ports[1]}\n"
                       f"peers = 127.0.0.1:{ports[2]}\nmetrics = 127.0.0.1:{ports[3]}\n"
                       f"[store]\naddress = 127.0.0.1:{store}\n{settings}")
        self.metrics = ports[3]
        self.log = open(os.path.join(folder, f"{name}.log"), "w", encoding="utf-8")
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [f"{self.build}/anvildoor-entry", "--config", self.file], stdout=self.log,
            env={**os.environ, **(self.environment or {})})

    def is_ready(self):
        return call(self.ready, "GET", "/ready")[0] == 200

    def schedules(self):
        url = f"http://127.0.0.1:{self.metrics}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=5) as answer:
                return "anvildoor_schedules 1" in answer.read().decode()
        except OSError:
            return False


POLICY = {
    "version": 7,
    "routes": [{"name": "q", "host": "jobs.example", "prefix": "/q/", "service": "pool",
                "priority": 1, "max_attempts": 3, "stretch": 3.0, "slo_ms": 1000}],
    "services": [{"name": "pool", "admission_check": False}],
    "limits": {"max_body_bytes": 20000},
    "tenants": [{"name": "t", "api_keys": ["key"], "guaranteed": {"gpu": 8}}],
}


def start_standin(build, workers_per_rack, ports, stores=1):
    """Starts the stand-in; the first ports are the store's, the others are the workers'."""
    standin = subprocess.Popen([f"{build}/tests/platform-standin", str(workers_per_rack),
                                ",".join(str(port) for port in ports[:stores])] +
                               [str(port) for port in ports[stores:]])
    wait_until(lambda: call(ports[0], "GET", "/traces")[0] == 200,
               "the stand-in accepts requests")
    return standin


def put_policy(store):
    """Sets the desired state."""
    call(store, "POST", "/put", {"key": "op/config", "value": json.dumps(POLICY)})


class Site:
    """Entry VMs on one stand-in. With several stores, each VM has a port of its own."""

    def __init__(self, folder, build, entry_build, vms, workers, workers_per_rack, stores=1,
                 lease_ms=6000):
        own = stores + workers  # Ports of the stand-in.
        ports = free_ports(own + 4 * vms)
        self.stores, self.store = ports[:stores], ports[0]
        self.worker_ports = ports[stores:own]
        self.processes = [
            start_standin(build, f"{workers_per_rack},{lease_ms}", ports[:own], stores)]
        self.vms = []
        for number in range(vms):
            first = own + 4 * number
            self.vms.append(Vm(entry_build, folder, f"e{number}", ports[first:first + 4],
                               self.stores[number % stores],
                               f"[bounds]\nlease_max_ms = {lease_ms}\n"))
            self.processes.append(self.vms[-1].process)
        put_policy(self.store)

    def wait_until_ready(self):
        wait_until(lambda: all(vm.is_ready() for vm in self.vms), "all VMs are ready")
        wait_until(lambda: self.scheduler() is not None, "one VM is the scheduler")

    def scheduler(self):
        """Returns the VM that schedules, if there is one."""
        return next((vm for vm in self.vms
                     if vm.process.poll() is None and vm.schedules()), None)

    def kill_connections(self, ports):
        """Has the connections to these ports of the stand-in stay silent for good."""
        call(self.store, "POST", "/kill-connections", {"ports": [str(port) for port in ports]})

    def traces(self, job=""):
        """Returns all runs so far of jobs whose id begins with job."""
        rows = call(self.store, "GET", "/traces")[1]
        return [row for row in rows if row["task"].startswith(job)]


class Waits:
    """How long the ends of runs waited until a hold that acknowledged them arrived."""

    def __init__(self, rows, calm, read_at):
        """Takes the stand-in's rows as of read_at, and stretches without disruption.

        An end in calm counts until it is noted, the stretch is over or its worker is."""
        self.all, self.listed, self.calm, self.late = [], [], [], []
        self.longest, self.longest_row = 0.0, None
        for row in rows:
            if not row["end"] or row["end"] == "lost":  # Lost with its worker: no list has it.
                continue
            ended, noted = row["ended"] / 1000, row["noted"] / 1000
            if noted:
                self.all.append(noted - ended)
                self.listed.append(noted - (row["listed"] or row["noted"]) / 1000)
            until = noted or row["forgotten"] / 1000 or read_at
            for begin, end in calm:
                if not begin <= ended < end:
                    continue
                seconds = min(until, end) - ended
                if noted and noted <= end:
                    self.calm.append(seconds)
                if seconds > self.longest:
                    self.longest, self.longest_row = seconds, row
                if seconds > NOTE_BOUND_S:
                    self.late.append((row, seconds))

    @staticmethod
    def figures(name, values):
        return {f"{name}s": len(values), f"{name}_median": round(statistics.median(values), 3),
                f"{name}_longest": round(max(values), 2)} if values else {f"{name}s": 0}


def end_all(processes):
    """Ends the processes that still run."""
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()
