"""A small deployment for the scripts of this review: the entry VMs are the project's own
processes, the platform's store, the workers and the clients are stand-ins on loopback.

The store and the workers do what PROTOCOL.md says of them and nothing else. One event loop
serves all of them on the real clock.
"""

import asyncio
import base64
import bisect
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLD_MAX_MS = 6000
HEARTBEAT_MS = 1500
STOP_S = 0.05  # How long a stop takes; the platform allows 0.4 s.
STARTUP_S = 0.5  # Of a task that lasts.
HOST, PREFIX, KEY = "jobs.example", "/q/", "key-of-t"
SCENARIO_S = 95.0  # A case takes no longer than this after its start-up.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run."""


def now():
    return time.monotonic()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


# HTTP/1.1 with bodies in JSON.

async def read_message(reader):
    """Returns the first line, the headers and the body of a message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return lines[0], headers, body


class Server:
    """Serves requests; an answer of None is never sent."""

    def __init__(self, port, handler):
        self.port, self.handler, self.server, self.tasks = port, handler, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                 limit=1 << 23)

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handler(method, path, dict(urllib.parse.parse_qsl(query)),
                                            json.loads(body) if body else {}, headers)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = content if isinstance(content, bytes) else json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(asyncio.current_task())


async def call(port, method, path, body=None, key=KEY, timeout=3.0):
    """Returns the status and the content of the answer; 0 if there is none in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {key}\r\n"
                         f"X-Timeout-Ms: {int(timeout * 1000)}\r\n"
                         "Content-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            first, _, content = await read_message(reader)
            try:
                return int(first.split(" ")[1]), json.loads(content or b"{}")
            except ValueError:
                return int(first.split(" ")[1]), content.decode("latin-1")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision, self.items, self.leases = 1, {}, {}
        self.history, self.next_lease = [], 100
        self.keys = None  # In order; None: not known.
        self.changed = asyncio.Condition()

    def encode(self, key):
        return self.items[key][0]

    def write(self, key, value, lease=0):
        """value: in base64."""
        self.keys = self.keys if key in self.items else None
        created = self.items[key][2] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = (item, self.revision, created, lease, json.dumps(item))
        self.history.append((self.revision, key, self.encode(key)))
        del self.history[:-20_000]

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.keys = None
            self.history.append((self.revision, key, {"key": key, "revision": self.revision,
                                                      "removed": True}))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes a key as the operator and the workers do."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.write(key, base64.b64encode(data).decode())
        await self.notify()

    async def remove(self, key):
        self.revision += 1
        self.erase(key)
        await self.notify()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [each for each, (_, end) in self.leases.items() if now() >= end]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [each for each, item in self.items.items() if item[3] == lease]:
            self.revision += 1
            self.erase(key)
        await self.notify()
        return True

    async def serve(self, method, path, query, body, _headers):
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"current_rev": self.revision}
            return 200, {**self.encode(key), "current_rev": self.revision}
        if path == "/kv-range":
            return 200, self.page(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return await self.commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttl_ms"] / 1000,
                                            now() + body["ttl_ms"] / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1]) if re.search(r"/\d+$", path) else 0
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            return (200 if await self.end_lease(lease) else 404), {}
        return 400, {}

    def page(self, prefix, after):
        """Returns the body of a page: of about 500 items or 1 MB at most."""
        if self.keys is None:
            self.keys = sorted(self.items)
        texts, size = [], 0
        at = bisect.bisect_right(self.keys, after) if after else 0
        at = max(at, bisect.bisect_left(self.keys, prefix))
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            if len(texts) == 500 or size > 1_000_000:
                break
            texts.append(self.items[self.keys[at]][4])
            size += len(texts[-1])
            at += 1
        more = at < len(self.keys) and self.keys[at].startswith(prefix)
        return (f'{{"items": [{", ".join(texts)}], "more_pages": {json.dumps(more)}, '
                f'"current_rev": {self.revision}}}').encode()

    async def watch(self, prefix, after, wait_s):
        end = now() + wait_s
        while True:
            first = bisect.bisect_right(self.history, after, key=lambda each: each[0])
            events = [event for _, key, event in self.history[first:] if key.startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass

    async def commit(self, body):
        rows = body.get("precondition", [])
        for row in body.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        if any((self.items[row["key"]][1] if row["key"] in self.items else 0) !=
               row["revision"] for row in rows):
            return 412, {"items": [self.encode(row["key"]) for row in rows
                                   if row["key"] in self.items]}
        self.revision += 1
        for row in body.get("puts", []):
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.erase(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Run:
    """A run of a task on a worker."""

    def __init__(self, worker, task, run, spec, checkpoint):
        self.worker, self.task, self.run, self.spec = worker, task, run, spec
        self.checkpoint, self.began, self.ended, self.end = checkpoint, now(), None, ""
        self.stopped_at = None  # When the first order to stop it arrived.
        self.lasts, self.work_s, self.fails_at = False, 0.0, None

    def percent(self):
        whole = STARTUP_S if self.lasts else self.work_s
        return min(100, int(100 * (now() - self.began) / max(whole, 0.001)))


class Worker:
    """An executor. behave(run) sets how long a run works, and when it fails."""

    def __init__(self, deployment, number, port, rack):
        self.deployment, self.port, self.rack, self.kind = deployment, port, rack, "a"
        self.is_lost = False
        self.id, self.address = f"w{number}", f"127.0.0.1:{port}"
        self.born, self.clock_from = int(time.time() * 1000), now() - 1.0
        self.fence, self.deadline_ms, self.seq = 0, 0, 0
        self.runs, self.refused, self.finished, self.ends = {}, {}, [], 0
        self.capacity = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
        self.ended = asyncio.Condition()
        self.server = Server(port, self.serve)

    def clock_ms(self):
        return int((now() - self.clock_from) * 1000)

    def entry(self):
        self.seq += 1
        return {"service": "pool", "address": self.address, "zone": "z1", "version": "1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": self.seq,
                "born": self.born, "capacity": self.capacity, "labels": [self.kind, self.rack]}

    async def send_pings(self):
        while not self.is_lost:
            await self.deployment.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def be_lost(self):
        """Crashes for good; the entry goes after three ping intervals of silence."""
        self.is_lost = True
        self.deployment.record(f"{self.id} crashes and is lost for good")
        for run in self.runs.values():
            run.ended, run.end = now(), "lost"
        self.runs.clear()
        self.server.server.close()
        for task in list(self.server.tasks):
            task.cancel()
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        await self.deployment.store.remove(f"servers/{self.id}")

    async def finish(self, run, how):
        if self.runs.pop((run.task, run.run), None) is None:
            return
        run.ended, run.end = now(), how
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.run)
        self.ends += 1
        self.finished.append([self.ends, run.task, run.run, how, ""])
        self.deployment.record(f"{self.id} run {run.task}/{run.run} ended {how}")
        async with self.ended:
            self.ended.notify_all()

    async def work(self, run):
        ends_at = run.began + run.work_s if not run.lasts else float("inf")
        if run.fails_at is not None and run.fails_at <= ends_at:
            await asyncio.sleep(max(0.0, run.fails_at - now()))
            await self.finish(run, "failed")
        elif not run.lasts:
            await asyncio.sleep(max(0.0, ends_at - now()))
            await self.finish(run, "done")

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock_ms() > self.deadline_ms:
                for run in list(self.runs.values()):
                    await self.finish(run, "lapsed")

    def extend(self, body):
        if "deadline_ms" in body:
            self.deadline_ms = max(self.deadline_ms, min(body["deadline_ms"],
                                                         self.clock_ms() + HOLD_MAX_MS))

    async def serve(self, _method, path, _query, body, headers):
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            return self.stop_run(body)
        if path == "/hold":
            return await self.hold(body)
        return 400, {"clock_ms": self.clock_ms()}

    def start_run(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.refused.get(task, 0):
            self.extend(body)
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if body["deadline_ms"] < self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.extend(body)
        run = Run(self, task, number, body["spec"], body.get("checkpoint", ""))
        self.deployment.behave(run)
        self.runs[(task, number)] = run
        self.deployment.runs.append(run)
        self.deployment.record(f"{self.id} run {task}/{number} started")
        self.deployment.spawn(self.work(run))
        return 200, {"clock_ms": self.clock_ms()}

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        for run in list(self.runs.values()):
            if run.task == task and run.run <= number and run.stopped_at is None:
                run.stopped_at = now()
                self.deployment.record(f"{self.id} run {task}/{run.run} is told to stop")
                self.deployment.spawn(self.stop_later(run))
        return 200, {"clock_ms": self.clock_ms()}

    async def stop_later(self, run):
        await asyncio.sleep(STOP_S)
        await self.finish(run, "stopped")

    async def hold(self, body):
        self.extend(body)
        acked = body.get("acked_seq", 0)
        self.finished = [row for row in self.finished if row[0] > acked]
        if body.get("wait_ms", 0) and not self.finished:
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), body["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                     "running": [[run.task, run.run, "", run.percent(), 0]
                                 for run in self.runs.values()],
                     "finished": self.finished[:500]}


def render(template, fields):
    """Fills in the plain placeholders of a settings template, as DEPLOY.md tells."""
    def value(match):
        found = fields
        for name in match.group(1).split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name, "") if isinstance(found, dict) else ""
        return str(found)
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


class Vm:
    """An entry VM: the project's process, run by the command of the deploy file."""

    def __init__(self, deployment, folder, number):
        self.deployment, self.name = deployment, f"edge-z{number + 1}-1"
        self.jobs, self.ready, self.peers, self.metrics = free_ports(4)
        self.file = os.path.join(folder, f"{self.name}.ini")
        self.log = os.path.join(folder, f"{self.name}.log")
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as text:
            deploy = text.read()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split(" ")
        template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)
        fields = {
            "node": self.name, "zone": f"z{number + 1}", "ip": "127.0.0.1",
            "heartbeat_ms": HEARTBEAT_MS,
            "internal_port_range": [self.peers, self.metrics],
            "limits": {"cpu_fraction": 0.25, "link_mbps": 1000.0, "memory_mb": 260,
                       "max_fds": 4100},
            "listen_addrs": {"frontend": f"127.0.0.1:{self.jobs}",
                             "readiness": f"127.0.0.1:{self.ready}"},
            "platform": {"address": f"127.0.0.1:{deployment.store_port}",
                         "ttl_min_ms": 1000},
            "bounds": {"hold_max_ms": HOLD_MAX_MS, "status_s": 120, "grace_s": 6},
        }
        with open(os.path.join(ROOT, template), encoding="utf-8") as text:
            settings = render(text.read(), fields)
        with open(self.file, "w", encoding="utf-8") as text:
            text.write(settings)
        self.process = None

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log, env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                                 "ANVILDOOR_BOOT": self.file})

    async def is_ready(self):
        return (await call(self.ready, "GET", "/ready", timeout=1.0))[0] == 200


class Deployment:
    """Three entry VMs, the store and some workers. behave(run) decides what a run does."""

    def __init__(self, behave, racks, vms=3, config=None, kinds=None):
        self.behave, self.racks, self.vm_count = behave, racks, vms
        self.config, self.desired = config or {}, {}
        self.kinds = kinds or {}  # By worker; the others are of kind a.
        self.began = now()
        self.runs, self.lines, self.tasks = [], [], set()
        self.store, self.workers, self.vms, self.folder = None, [], [], None

    def record(self, text):
        self.lines.append(f"{now() - self.began:8.3f} {text}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        ports = free_ports(1 + len(self.racks))
        self.store_port = ports[0]
        self.store_server = Server(self.store_port, self.store.serve)
        await self.store_server.start()
        self.spawn(self.store.expire_leases())
        for number, rack in enumerate(self.racks):
            worker = Worker(self, number + 1, ports[1 + number], rack)
            worker.kind = self.kinds.get(worker.id, worker.kind)
            self.workers.append(worker)
            await worker.server.start()
            self.spawn(worker.send_pings())
            self.spawn(worker.expire())
        self.desired = {
            "version": 7,
            "routes": [{"name": f"q{priority}", "host": HOST, "prefix": f"/q{priority}/",
                        "service": "pool", "priority": priority, "max_attempts": 3,
                        "stretch": 3.0, "slo_ms": 1000} for priority in range(3)],
            "services": [{"name": "pool", "admission_check": False}],
            "limits": {"max_body_bytes": 262144},
            "tenants": [{"name": "t", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
            **self.config}
        await self.store.put("op/config", self.desired)
        self.vms = [Vm(self, self.folder.name, number) for number in range(self.vm_count)]
        for vm in self.vms:
            await vm.start()
        for _ in range(150):
            if all([await vm.is_ready() for vm in self.vms]):
                break
            await asyncio.sleep(0.1)
        else:
            raise NotRun("the VMs did not become ready")
        await asyncio.sleep(2.0)
        self.record("all VMs are ready")

    async def submit(self, job, steps, spec="", priority=1, key=KEY, extra=None):
        """Hands a job in as a client does, with retries; returns when it was accepted."""
        body = {"spec": spec, "steps": steps, **(extra or {})}
        for attempt in range(5):
            vm = self.vms[attempt % len(self.vms)]
            status, _ = await call(vm.jobs, "POST", f"/q{priority}/{job}", body, key=key)
            self.record(f"POST /q{priority}/{job} {json.dumps(steps)} at {vm.name}: {status}")
            if 200 <= status < 300:
                return now()
            await asyncio.sleep(0.2)
        raise NotRun(f"job {job} was not accepted")

    async def state(self, job, priority=1):
        for vm in self.vms:
            status, content = await call(vm.jobs, "GET", f"/q{priority}/{job}")
            self.record(f"GET /q{priority}/{job} at {vm.name}: {status} {json.dumps(content)}")
            if status in (200, 410):
                return content.get("state", "gone")
        return "no answer"

    def running(self, task):
        return [run for run in self.runs if run.task == task and run.ended is None]

    async def stop(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                try:
                    vm.process.send_signal(signal.SIGCONT)
                    vm.process.kill()
                except ProcessLookupError:
                    pass
                await vm.process.wait()
        for task in list(self.tasks):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):  # A folder for the VMs' logs.
            for vm in self.vms:
                shutil.copy(vm.log, os.environ["KEEP_LOGS"])
        if self.folder:
            self.folder.cleanup()


def main(case_file, behave, racks, scenario, **options):
    """Runs a case: scenario(deployment) returns what was broken, or an empty list."""
    async def play():
        deployment = Deployment(behave, racks, **options)
        code = EXIT_NOT_RUN
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            await deployment.start()
            broken = await asyncio.wait_for(scenario(deployment), SCENARIO_S)
            for line in broken or ["the rule held"]:
                deployment.record(("BROKEN " if broken else "") + line)
                print(line)
            code = EXIT_BROKEN if broken else EXIT_HELD
        except (NotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as failed:
            deployment.record(f"not run: {failed!r}")
            print(f"not run: {failed!r}")
        finally:
            await deployment.stop()
            folder = os.path.dirname(os.path.abspath(case_file))
            with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as text:
                text.write(f"TROUBLE={int(TROUBLE)}\n" + "\n".join(deployment.lines) + "\n")
        os._exit(code)  # Connections of ended processes need no farewell.
    asyncio.run(play())
    sys.exit(EXIT_NOT_RUN)
