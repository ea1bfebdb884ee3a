"""Stand-ins for the users' platform, for the scripts under review/.

One asyncio process serves the metadata store and the executors over HTTP on loopback,
starts the entry programs with the command of deploy/system.toml, and calls them as a
client. Everything runs on the real clock. Standard library only.
"""

import asyncio
import base64
import functools
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
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Bounds and limits of the small sites, as the settings file names them.
BOUNDS = {
    "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_timeout_ms": 2000, "grace_s": 6,
    "config_apply_ms": 2000, "hold_max_ms": 6000, "stop_timeout_ms": 400,
    "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "status_s": 120, "lease_ttl_ms": 3000,
}
MEMORY_MB = 260
VALUE_BYTES = 1048576
PAGE_ITEMS = 500
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now() - self.began:9.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------- HTTP

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (start line, headers, body) or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves one address. The handler returns (status, object), or None for silence."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = ""
        self.tasks = set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=2 ** 24)
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                parts = urlsplit(target)
                query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
                answer = await self.handler(method, parts.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)  # Nothing more is returned here.
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                    .encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """Sends one request; returns (status, object), or (0, None) without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json", "Connection: close"]
            fields = {"Host": address, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            start, _, text = await read_message(reader)
            status = int(start.split(" ")[1])
            return status, json.loads(text) if text else {}
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer:
            writer.close()


# --------------------------------------------------------------------------- store

class Store:
    """The platform's metadata store, linearizable, in memory.

    Each machine has an address of its own for the store, so that the store can turn away
    one machine and serve the others. The hook `trouble(caller, method, path, body)` returns
    the seconds that the answer takes, "late N" (no answer; carried out after N seconds),
    "silent" or "busy" (503).
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.trouble = lambda caller, method, path, body: STORE_ANSWER_S
        self.on_txn = lambda caller, body, status: None
        self.servers = {}

    async def listen(self, callers):
        for caller in callers:
            self.servers[caller] = HttpServer(functools.partial(self.serve, caller))
            await self.servers[caller].listen()
        self.expiry = asyncio.create_task(self.expire_leases())

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a key as a change of its own, as the operator and executors do."""
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.history.append(dict(self.items[key]))
        self._notify()

    def remove(self, key):
        """Removes a key as a change of its own."""
        self.revision += 1 if key in self.items else 0
        self._remove(key)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self._notify()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.01)
            for lease, (_, until) in list(self.leases.items()):
                if now() > until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        self.revision += 1 if keys else 0
        for key in keys:
            self._remove(key)

    async def serve(self, caller, method, path, query, headers, body):
        trouble = self.trouble(caller, method, path, body)
        if trouble == "silent":
            return None
        if trouble == "busy":
            return 503, {}
        if isinstance(trouble, str) and trouble.startswith("late "):
            asyncio.create_task(self.execute_late(caller, method, path, query,
                                                  body, float(trouble.split()[1])))
            return None
        await asyncio.sleep(trouble)
        return await self.execute(caller, method, path, query, body)

    async def execute_late(self, caller, method, path, query, body, delay):
        await asyncio.sleep(delay)
        status, _ = await self.execute(caller, method, path, query, body)
        self.record.line(f"store: carried out late: {method} {path} -> {status}")

    async def execute(self, caller, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/kv-range":
            return self.range(query.get("prefix", ""), query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            parsed = json.loads(body)
            status, answer = self.txn(parsed)
            self.on_txn(caller, parsed, status)
            return status, answer
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(1000, int(json.loads(body)["ttl_ms"]))
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            known = lease in self.leases
            self.end_lease(lease)
            return (200 if known else 404), {}
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            if len(items) >= PAGE_ITEMS or size > VALUE_BYTES:
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"]) * 3 // 4
        return 200, {"items": items, "more_pages": len(items) < len(keys),
                     "current_rev": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = now() + min(30000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def txn(self, body):
        conditions, puts = body.get("precondition", []), body.get("puts", [])
        removals = body.get("remove", [])
        if len(conditions) + len(puts) + len(removals) > 32:
            return 400, {}
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in conditions
                                       if r["key"] in self.items]}
        for row in puts:
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
            if len(base64.b64decode(row["value"])) > VALUE_BYTES:
                return 400, {}
        self.revision += 1  # All changes of a transaction share one revision.
        for row in puts:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in removals:
            self._remove(key)
        return 200, {"revision": self.revision}


# ----------------------------------------------------------------------- executors

class Run:
    def __init__(self, task, number, work):
        self.task, self.number, self.work = task, number, work
        step = int(task.split(".")[2])
        self.work_ms = work["ms"][step] if isinstance(work["ms"], list) else work["ms"]
        self.began, self.stopping = now(), False
        self.working_since = None
        self.timer = None


class Executor:
    """One life of an executor. A task's `spec` is a JSON text that says what it does:
    ms (work; or a list, by step), gang (number of members), fail_on (executors on which it
    fails, and after how long).
    """

    def __init__(self, fleet, ident, service, rack, capacity):
        self.fleet, self.id, self.service = fleet, ident, service
        self.rack, self.capacity = rack, capacity
        self.born, self.birth = int(time.time() * 1000), now()
        self.fence, self.lease_end = 0, 0
        self.runs, self.refused_up_to = {}, {}
        self.ends, self.next_end, self.acked = [], 1, 0
        self.ended = asyncio.Event()
        self.seq, self.first_beat_after, self.last_beat = 0, 0.0, now()
        self.unhealthy = False
        self.server = HttpServer(self.serve)

    def clock(self):
        return int((now() - self.birth) * 1000) + 1

    async def start(self):
        await self.server.listen()
        self.beating = asyncio.create_task(self.beat())
        self.lapsing = asyncio.create_task(self.lapse())

    async def beat(self):
        while True:
            await asyncio.sleep(0 if self.seq else self.first_beat_after)
            self.seq += 1
            if not self.fleet.reaches_store(self):
                await asyncio.sleep(HEARTBEAT_S)
                continue
            self.last_beat = now()
            self.fleet.store.put(f"servers/{self.id}", json.dumps({
                "service": self.service, "address": self.server.address, "zone": "z1",
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": ["a", self.rack],
                "clock_ms": self.clock(), "born": self.born, "seq": self.seq}).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def lapse(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.lease_end:
                for run in list(self.runs.values()):
                    self.finish(run, "lapsed")

    def reply(self, status, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    async def serve(self, method, path, query, headers, body):
        if path == "/health":
            return (503 if self.unhealthy else 200), {}
        if headers.get("x-target-instance", self.id) != self.id:
            return self.reply(421)
        request = json.loads(body)
        token = request.get("fencing_token", 0)
        if token < self.fence:
            return self.reply(409, reason="fence")
        if path == "/run-start":
            if self.unhealthy:
                self.fleet.record.line(f"{self.id}: refuses {request['task']} run "
                                       f"{request['run']} with 503")
                return self.reply(503)
            self.fence = token
            return self.start_run(request)
        self.fence = token
        if path == "/run-stop":
            return self.stop_run(request)
        if path == "/hold":
            return await self.hold(request)
        return self.reply(400)

    def extend(self, deadline):
        longest = self.clock() + BOUNDS["hold_max_ms"]
        self.lease_end = max(self.lease_end, min(deadline, longest))

    def start_run(self, request):
        task, number = request["task"], request["run"]
        running = self.runs.get(task)
        if running and running.number == number:
            return self.reply(200)
        if request["deadline_ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend(request["deadline_ms"])
        if number <= self.refused_up_to.get(task, 0) or running:
            return self.reply(409, reason="old")
        run = Run(task, number, json.loads(request["spec"]))
        self.runs[task] = run
        self.fleet.started(self, run)
        return self.reply(200)

    def stop_run(self, request):
        task, number = request["task"], request["run"]
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.1, self.finish, run, "stopped")
        return self.reply(200)

    def begin_work(self, run):
        run.working_since = now()
        loop = asyncio.get_running_loop()
        fail_ms = run.work.get("fail_on", {}).get(self.id)
        if fail_ms is not None:
            run.timer = loop.call_later(fail_ms / 1000, self.finish, run, "failed")
        else:
            run.timer = loop.call_later(run.work_ms / 1000, self.finish, run, "done")

    def finish(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        if run.timer:
            run.timer.cancel()
        del self.runs[run.task]
        self.refused_up_to[run.task] = max(self.refused_up_to.get(run.task, 0), run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.fleet.ended(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def percent(self, run):
        if run.working_since is None:
            return 0
        return min(100, int((now() - run.working_since) * 100000 / max(1, run.work_ms)))

    async def hold(self, request):
        if "deadline_ms" in request:
            self.extend(request["deadline_ms"])
        acked = request.get("acked_seq", 0)
        for end in [e for e in self.ends if e[0] <= acked]:
            self.fleet.taken_note_of(self, end)
        self.ends = [e for e in self.ends if e[0] > acked]
        wait = request.get("wait_ms", 0)
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait / 1000)
            except TimeoutError:
                pass
        running = [[r.task, r.number, "", self.percent(r)] for r in self.runs.values()]
        return self.reply(200, running=running, finished=self.ends[:500])


class Fleet:
    """All executors, what ran on them, and the gangs that span several of them."""

    GANG_NOTICE_S = 0.2  # Until the other members hear that one has ended.

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.executors, self.gangs = {}, {}
        self.starts, self.ends, self.noted = [], [], []
        self.reaches_store = lambda executor: True

    async def add(self, ident, service="pool", rack="r1", capacity=None, first_beat_after=0.0):
        executor = Executor(self, ident, service, rack,
                            capacity or {"cpu": 32000, "mem_mb": 65536, "gpu": 8})
        executor.first_beat_after = first_beat_after
        self.executors[ident] = executor
        await executor.start()
        return executor

    def started(self, executor, run):
        self.record.line(f"{executor.id}: starts {run.task} run {run.number}")
        self.starts.append((now(), run.task, run.number, executor.id))
        size = run.work.get("gang", 0)
        if not size:
            executor.begin_work(run)
            return
        key = (run.task.rsplit(".", 1)[0], run.number)
        members = self.gangs.setdefault(key, [])
        members.append((executor, run))
        if len(members) == size:
            for each, member in members:
                each.begin_work(member)
        else:
            asyncio.get_running_loop().call_later(
                BOUNDS["gang_timeout_ms"] / 1000,
                lambda: run.working_since is None and executor.finish(run, "alone"))

    def ended(self, executor, run, how):
        self.record.line(f"{executor.id}: {run.task} run {run.number} ends {how}")
        self.ends.append((now(), run.task, run.number, executor.id, how))
        key = (run.task.rsplit(".", 1)[0], run.number)
        for each, member in self.gangs.get(key, []):
            if member is run:
                continue
            if how == "done":
                each.finish(member, "done")
            else:
                asyncio.get_running_loop().call_later(
                    self.GANG_NOTICE_S, each.finish, member, "broken")

    def taken_note_of(self, executor, end):
        self.record.line(f"{executor.id}: end {end[0]} ({end[1]} run {end[2]} {end[3]}) "
                         "is taken note of")
        self.noted.append((now(), end[1], end[2], executor.id, end[3]))


# ------------------------------------------------------------------------ programs

def render(template, fields):
    """Fills in the placeholders of the settings template."""
    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def vm_name(number):
    return f"edge-z1-{number}"


class Vm:
    """One machine with an entry process, which is restarted when it ends."""

    def __init__(self, site, number):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as text:
            deploy = tomllib.load(text)
        role = deploy["roles"]["entry"]
        self.site, self.name = site, vm_name(number)
        ip = f"127.0.0.{10 + number}"
        ports = [free_port(ip) for _ in range(4)]
        self.frontend, self.readiness = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        fields = {
            "node": self.name, "zone": "z1", "ip": ip,
            "internal_port_range": [ports[2], ports[3]], "heartbeat_ms": 1500,
            "limits": {"cpu_fraction": 0.25, "link_mbps": 1000.0, "memory_mb": MEMORY_MB},
            "listen_addrs": {"frontend": self.frontend, "readiness": self.readiness},
            "platform": {"address": site.store.servers[self.name].address, "ttl_min_ms": 1000},
            "bounds": site.bounds,
        }
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as text:
            settings = render(text.read(), fields)
        self.settings_file = os.path.join(site.folder, f"{self.name}.ini")
        with open(self.settings_file, "w", encoding="utf-8") as text:
            text.write(settings)
        self.command = [os.path.join(ROOT, role["run"].split()[0])] + role["run"].split()[1:]
        self.log = open(os.path.join(site.folder, f"{self.name}.log"), "ab")
        self.process, self.ends_by_itself, self.stopping = None, 0, False

    def start(self):
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, env={"PATH": os.environ.get("PATH", ""),
                                  "ANVILDOOR_BOOT": self.settings_file})
        self.site.record.line(f"{self.name}: process started")

    def kill(self, why, sig=signal.SIGKILL):
        self.site.record.line(f"{self.name}: {signal.Signals(sig).name} ({why})")
        self.process.send_signal(sig)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as text:
                for line in text:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def log_text(self):
        with open(self.log.name, encoding="utf-8", errors="replace") as text:
            return text.read()


class Site:
    """A small deployment: store, executors, entry machines, one tenant, some queues."""

    def __init__(self, folder, record, bounds=None):
        self.folder, self.record = folder, record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store(record)
        self.fleet = Fleet(self.store, record)
        self.vms = []
        self.killed_for_memory = 0
        self.down = set()

    async def start(self, vms, executors, routes):
        await self.store.listen([vm_name(number) for number in range(1, vms + 1)])
        self.store.put("op/config", json.dumps({
            "version": 3,
            "routes": [{"host": "jobs.example", "kind": "non_idempotent", "timeout_ms": 3000,
                        "slo_ms": 1000, "service": "pool", "stretch": 3.0, "public": False,
                        **route} for route in routes],
            "services": [{"name": "pool", "health_path": "/health", "max_conns": 64,
                          "protocol": "h1", "tls": False, "admission_check": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "t1", "api_keys": ["key-of-t1"], "priority": 1,
                         "guaranteed": {"gpu": 0}}]}).encode())
        for number in range(executors):
            await self.fleet.add(f"i-{number:02d}", rack=f"r1-{number // 8}",
                                 first_beat_after=number * HEARTBEAT_S / executors)
        self.vms = [Vm(self, number) for number in range(1, vms + 1)]
        for vm in self.vms:
            vm.start()
        self.keeper = asyncio.create_task(self.keep())
        for vm in self.vms:
            await self.until(lambda vm=vm: self.is_ready(vm), 15)

    async def is_ready(self, vm):
        return (await call(vm.readiness, "GET", "/ready", timeout=1.0))[0] == 200

    async def keep(self):
        """Restarts what ended; kills what exceeds its memory, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            for vm in self.vms:
                if vm in self.down:
                    continue
                if vm.process.poll() is not None:
                    if not vm.stopping:
                        self.record.line(f"{vm.name}: process is gone, exit status "
                                         f"{vm.process.returncode}")
                    self.down.add(vm)
                    asyncio.get_running_loop().call_later(RESTART_DELAY_S, self.restart, vm)
                elif vm.resident_mb() > MEMORY_MB:
                    self.killed_for_memory += 1
                    vm.kill(f"uses {vm.resident_mb():.0f} MB of {MEMORY_MB}")
                    vm.process.wait()

    def restart(self, vm):
        if not vm.stopping:
            vm.start()
            self.down.discard(vm)

    async def until(self, condition, seconds):
        end = now() + seconds
        while now() < end:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        raise CouldNotRun("a condition was not met in time")

    def leader(self):
        """The machine named by the key that the schedulers hold; None without one."""
        item = self.store.items.get("anvildoor/scheduler")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["vm"]
        return next(vm for vm in self.vms if vm.name == name)

    async def request(self, vm, method, path, body=None, timeout=3.0):
        status, answer = await call(vm.frontend, method, path, body, timeout=timeout, headers={
            "Host": "jobs.example", "X-Api-Key": "key-of-t1",
            "X-Timeout-Ms": str(int(timeout * 1000))})
        shown = json.dumps(answer) if answer and len(json.dumps(answer)) < 120 else ""
        self.record.line(f"client: {method} {path} at {vm.name} -> {status or 'no answer'} {shown}")
        return status, answer

    async def submit(self, path, job, timeout=3.0):
        """Hands a job in, with retries at other machines; returns the last status."""
        status = 0
        for attempt in range(5):
            vm = self.vms[attempt % len(self.vms)]
            status, _ = await self.request(vm, "POST", path, job, timeout)
            if status == 200:
                return status
            await asyncio.sleep(0.3)
        return status

    async def close(self):
        self.keeper.cancel()
        for vm in self.vms:
            vm.stopping = True
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            vm.process.wait()


class CouldNotRun(Exception):
    pass


def job(steps, spec):
    return {"spec": json.dumps(spec), "steps": steps}


def main(case, folder):
    """Runs `case(site factory, record, trouble)`, which returns HELD or BROKEN.

    run.sh says by an argument whether there is trouble.
    """
    if sys.argv[1:] not in (["--with-trouble"], ["--without-trouble"]):
        print("usage: case.py --with-trouble | --without-trouble; or use run.sh", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    trouble = sys.argv[1] == "--with-trouble"
    record = Record(os.path.join(folder, "record.txt"))
    scratch = tempfile.mkdtemp(prefix="anvildoor-review-")
    sites = []

    def make_site(**options):
        sites.append(Site(scratch, record, **options))
        return sites[-1]

    async def run():
        try:
            async with asyncio.timeout(110):
                return await case(make_site, record, trouble)
        finally:
            for site in sites:
                await site.close()

    try:
        record.line(f"trouble: {'yes' if trouble else 'no'}")
        result = asyncio.run(run())
    except (CouldNotRun, TimeoutError, OSError) as failed:
        record.line(f"the case could not run: {type(failed).__name__} {failed}")
        result = COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.line(["the rule held", "the rule was broken", "could not run"][result])
    print(["the rule held", "the rule was broken", "could not run"][result])
    sys.exit(result)
