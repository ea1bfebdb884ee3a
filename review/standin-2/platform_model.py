"""Stand-ins for the users' platform, for the cases of the second review.

One process holds the metadata store, the executors and the consumers. The entry VMs are
the project's own program, started with the command and the settings template of
deploy/system.toml. All addresses are loopback addresses; time is the real clock.

What is not said on the users' pages behaves like a sound server: calls are carried out
at once and answered, and each executor writes its entry when it starts and then once in
each heartbeat period.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begun = time.monotonic()

    def seconds(self):
        return time.monotonic() - self._begun

    def write(self, *words):
        self._file.write(f"{self.seconds():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self._file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1 with JSON bodies at one address."""

    def __init__(self, ip, port, handle):
        self.ip = ip
        self.port = port
        self._handle = handle
        self._server = None
        self._connections = set()

    async def begin(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=8_000_000, reuse_address=True)

    def abort(self):
        """Ends as a killed process does: the port is closed and connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._connections):
            writer.transport.abort()
        self._connections.clear()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self._handle(method, target, headers, body)
                if answer is None or writer not in self._connections:
                    return
                status, value = answer
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()


async def call(address, method, target, headers=None, value=None, timeout_s=3.0):
    """Returns status and decoded body; (None, None) without a complete answer."""
    ip, port = address.rsplit(":", 1)
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {target} HTTP/1.1"]
    fields = {"Host": address, "Content-Length": str(len(body)), "Connection": "close"}
    fields.update(headers or {})
    lines += [f"{name}: {text}" for name, text in fields.items()]

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        message = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        message = None
    if message is None:
        return None, None
    first, _, text = message
    try:
        return int(first.split(" ")[1]), json.loads(text) if text else None
    except (ValueError, IndexError):
        return None, None


class Store:
    """The platform's metadata store."""

    def __init__(self, ip="127.0.0.1"):
        self.server = HttpServer(ip, free_port(ip), self._handle)
        self.revision = 1
        self.items = {}  # key: {"value": bytes, "revision", "created", "lease"}
        self.events = []  # (revision, key, removed, item)
        self.leases = {}  # id: [ttl in ms, end in ms]
        self._next_lease = 1
        self._changed = asyncio.Event()

    @property
    def address(self):
        return f"{self.server.ip}:{self.server.port}"

    async def begin(self):
        await self.server.begin()
        self._expiry = asyncio.create_task(self._expire())

    def _announce(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease=0):
        """Writes as the operator or an executor does."""
        self.revision += 1
        self._put(key, value, lease)
        self._announce()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._announce()

    def _put(self, key, value, lease):
        former = self.items.get(key)
        created = former["created"] if former else self.revision
        item = {"value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append((self.revision, key, False, item))

    def _remove(self, key):
        self.items.pop(key, None)
        self.events.append((self.revision, key, True, None))

    async def _expire(self):
        while True:
            await asyncio.sleep(0.01)
            for lease in [each for each, (_, end) in self.leases.items() if end <= now_ms()]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._announce()

    @staticmethod
    def _show(key, item):
        return {"key": key, "value": base64.b64encode(item["value"]).decode(),
                "revision": item["revision"], "created": item["created"],
                "lease": item["lease"]}

    async def _handle(self, method, target, _headers, body):
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(text).items()}
        value = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, dict(self._show(query["key"], item), current_rev=self.revision)
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self._show(key, self.items[key]) for key in keys[:500]],
                         "more_pages": len(keys) > 500, "current_rev": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(value)
        if path == "/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = [value["ttl_ms"], now_ms() + value["ttl_ms"]]
            return 200, {"lease": lease, "ttl_ms": value["ttl_ms"]}
        name = path.rsplit("/", 1)[1]
        lease = int(name) if name.isdecimal() else 0
        if lease not in self.leases:
            return 404, None
        if path.startswith("/kv-keep/"):
            self.leases[lease][1] = now_ms() + self.leases[lease][0]
            return 200, {"ttl_ms": self.leases[lease][0]}
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        return 400, None

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = []
            for revision, key, removed, item in reversed(self.events):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    events.append({"key": key, "revision": revision, "removed": True}
                                  if removed else self._show(key, item))
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, value):
        conditions = value.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in conditions}
        for row in conditions:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self._show(key, each)
                                       for key, each in current.items() if each]}
        puts = value.get("puts", [])
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, None
        keys = [row["key"] for row in puts] + value.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        self.revision += 1
        for row in puts:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in value.get("remove", []):
            if key in self.items:
                self._remove(key)
        self._announce()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, spec, work_ms, begun_ms, resources):
        self.spec = spec
        self.work_ms = work_ms
        self.begun_ms = begun_ms
        self.resources = resources


class Executor:
    """One executor, over all its lives. Instructed by rpc; has no admission check.

    resources_of(task, spec) returns cpu, mem_mb and gpu of a task; work_ms_of(task, spec)
    the time that it takes. on_start(executor, task, run, spec) is called for each task
    that it has begun, after that is part of `running`; on_end(executor, task, run, how)
    for each end.
    """

    def __init__(self, site, identity, ip, kind, rack, capacity):
        self.site = site
        self.id = identity
        self.kind = kind
        self.rack = rack
        self.capacity = capacity
        self.server = HttpServer(ip, free_port(ip), self._handle)
        self.draining = False
        self.is_up = False
        self.reachable = True
        self._tasks = []

    @property
    def address(self):
        return f"{self.server.ip}:{self.server.port}"

    async def begin(self):
        """Begins a life, which knows nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        self._clock_begun = now_ms() - 1000
        self.fence = 0
        self.lease_end = 0
        self.running = {}  # (task, run): Run
        self.finished = []  # [N, task, run, how, saved]
        self.refused_up_to = {}  # task: run
        self.seq = 0
        self._next_end = 1
        self._ended = asyncio.Event()
        self.is_up = True
        await self.server.begin()
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]
        self.site.record.write("executor", self.id, "begins", "born", self.born, "kind", self.kind,
                               "capacity", json.dumps(self.capacity))

    def crash(self):
        """Ends as a crashed process does; says nothing to anyone."""
        self.end()
        self.site.record.write("executor", self.id, "crashes")

    def end(self):
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self.server.abort()
        self.running = {}

    def clock_ms(self):
        return now_ms() - self._clock_begun

    def entry(self):
        return {"service": self.site.service, "address": self.address, "zone": self.site.zone,
                "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0, "capacity": self.capacity,
                "labels": [self.kind, self.rack], "clock_ms": self.clock_ms(),
                "seq": self.seq, "born": self.born}

    def write_entry(self):
        self.seq += 1
        self.site.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())
        self.site.entry_written[self.id] = now_ms()

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.site.heartbeat_ms / 1000)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock_ms()
            for (task, number), run in list(self.running.items()):
                if clock > self.lease_end:
                    self._end(task, number, "lapsed")
                elif clock - run.begun_ms >= run.work_ms:
                    self._end(task, number, "failed" if self.site.lasts(task) else "done")

    def fail(self, task, number):
        """Ends a run through its own fault."""
        self._end(task, number, "failed")

    def _end(self, task, number, how):
        if self.running.pop((task, number), None) is None:
            return
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), number)
        self.finished.append([self._next_end, task, number, how, ""])
        self._next_end += 1
        self.site.record.write("ended", task, "run", number, how, "on", self.id)
        self.site.on_end(self, task, number, how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    async def _handle(self, _method, target, headers, body):
        if not self.reachable:
            await asyncio.sleep(3600)
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        value = json.loads(body) if body else {}
        fence = value.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if target == "/run-start":
            return self._start(value)
        if target == "/run-stop":
            task, number = value["task"], value["run"]
            self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), number)
            asyncio.get_running_loop().call_later(0.05, self._stop, task, number, self.born)
            return 200, {"clock_ms": self.clock_ms()}
        if target == "/hold":
            return await self._hold(value)
        return 404, None

    def _stop(self, task, number, born):
        for each, run in list(self.running):
            if born == self.born and each == task and run <= number:
                self._end(each, run, "stopped")

    def _extend(self, deadline_ms):
        latest = self.clock_ms() + self.site.hold_max_ms
        self.lease_end = max(self.lease_end, min(deadline_ms, latest))

    def _start(self, value):
        task, number = value["task"], value["run"]
        clock = self.clock_ms()
        if (task, number) in self.running:
            return 200, {"clock_ms": clock}
        if clock > value["deadline_ms"]:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(value["deadline_ms"])
        if number <= self.refused_up_to.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        spec = value["spec"]
        self.running[(task, number)] = Run(
            spec, self.site.work_ms_of(task, spec), clock, self.site.resources_of(task, spec))
        self.site.record.write("started", task, "run", number, "on", self.id, "born", self.born,
                               "kind", self.kind, "fence", self.fence)
        self.site.on_start(self, task, number, spec)
        return 200, {"clock_ms": clock}

    async def _hold(self, value):
        if "deadline_ms" in value:
            self._extend(value["deadline_ms"])
        acknowledged = value.get("acked_seq", 0)
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        end = time.monotonic() + value.get("wait_ms", 0) / 1000
        while not self.finished and end > time.monotonic():
            try:
                await asyncio.wait_for(self._ended.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        clock = self.clock_ms()
        running = [[task, number, "", self._percent(task, run, clock), 0]
                   for (task, number), run in self.running.items()]
        return 200, {"clock_ms": clock, "born": self.born, "running": running,
                     "finished": self.finished[:500]}

    def _percent(self, task, run, clock):
        if self.site.lasts(task):
            return 100  # It is at work at once.
        return min(99, int(100 * (clock - run.begun_ms) / run.work_ms))

    def used(self, name):
        return sum(run.resources[name] for run in self.running.values())


class EntryVm:
    """One process of the role that the deploy file names."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"edge-{site.zone}-{number}"
        self.ip = f"127.0.1.{number}"
        ports = [free_port(self.ip) for _ in range(4)]
        self.frontend = f"{self.ip}:{ports[0]}"
        self.readiness = f"{self.ip}:{ports[1]}"
        self._internal = ports[2:]
        self.process = None

    def settings(self):
        return {
            "node": self.name, "ip": self.ip, "zone": self.site.zone,
            "internal_port_range": self._internal, "heartbeat_ms": self.site.heartbeat_ms,
            "listen_addrs": {"frontend": self.frontend, "readiness": self.readiness},
            "limits": {"cpu_fraction": 0.25, "link_mbps": 1000.0, "memory_mb": 260,
                       "max_fds": 4100},
            "bounds": {"hold_max_ms": self.site.hold_max_ms, "status_s": 120, "grace_s": 6},
            "platform": {"address": self.site.store.address, "ttl_min_ms": 1000},
        }

    def begin(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            template = file.read()
        fields = self.settings()

        def fill(match):
            value = fields
            for part in match[1].split("."):
                value = value[int(part)] if isinstance(value, list) else value.get(part, "")
            return str(value)

        path = os.path.join(self.site.folder, f"{self.name}.settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([a-z_.0-9]+)\}\}", fill, template))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["ANVILDOOR_BOOT"] = path
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(role["run"].split(), cwd=REPOSITORY, env=environment,
                                        stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Site:
    """A small deployment: a store, executors and entry VMs, with one queue and tenant."""

    service = "svc-a"
    zone = "zone-a"
    host = "queue.example"
    prefix = "/jobs/"
    key = "key-a"
    heartbeat_ms = 1500
    hold_max_ms = 6000

    def __init__(self, record_path, vms=3):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # end() still runs.
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store()
        self.entry_written = {}
        self.executors = []
        self.vms = [EntryVm(self, number) for number in range(1, vms + 1)]
        self.on_start = lambda *_: None
        self.on_end = lambda *_: None
        self.resources_of = lambda *_: {"cpu": 0, "mem_mb": 0, "gpu": 0}
        self.work_ms_of = lambda *_: 1000
        self.lasts = lambda task: False  # Whether a task runs until it fails or is stopped.
        self.calls = {}

    def desired_state(self, version=7):
        return {
            "version": version,
            "routes": [{"name": "r-a", "host": self.host, "prefix": self.prefix,
                        "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 3000,
                        "priority": 1, "service": self.service, "max_attempts": 3,
                        "stretch": 3.0, "public": False}],
            "services": [{"name": self.service, "health_path": "/health", "max_conns": 64,
                          "protocol": "h1", "tls": False, "admission_check": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-a", "api_keys": [self.key], "priority": 1,
                         "guaranteed": {"gpu": 0}}],
        }

    def add_executor(self, kind, rack, capacity):
        number = len(self.executors) + 1
        executor = Executor(self, f"i-{number:04x}", f"127.0.2.{number}", kind, rack, capacity)
        self.executors.append(executor)
        return executor

    async def begin(self):
        await self.store.begin()
        self.store.put("op/config", json.dumps(self.desired_state()).encode())
        for executor in self.executors:
            await executor.begin()
        self._expiry = asyncio.create_task(self._expire_entries())
        for vm in self.vms:
            vm.begin()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([(await call(vm.readiness, "GET", "/ready"))[0] == 200 for vm in self.vms]):
                return
        raise RuntimeError("the entry VMs are not ready")

    async def _expire_entries(self):
        """Removes entries after three heartbeat periods of silence."""
        while True:
            await asyncio.sleep(0.05)
            for identity, written in list(self.entry_written.items()):
                if now_ms() - written > 3 * self.heartbeat_ms:
                    del self.entry_written[identity]
                    self.store.remove(f"servers/{identity}")
                    self.record.write("entry of", identity, "expires")

    async def consumer_call(self, vm, method, job, value=None):
        headers = {"Host": self.host, "X-Api-Key": self.key, "X-Timeout-Ms": "3000",
                   "Content-Type": "application/json"}
        status, answer = await call(vm.frontend, method, self.prefix + job, headers, value)
        self.record.write("call", method, job, "at", vm.name, "answered", status,
                          json.dumps(answer))
        return status, answer

    def end(self):
        for vm in self.vms:
            vm.end()
        for executor in self.executors:
            if executor.is_up:
                executor.end()
        self.store.server.abort()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
