"""Checks the end of a day: a data centre is cut off, then calm, then all VMs are killed.

Usage: check_end_of_day.py BUILD [--parts TEXT] [--seeds N] [--first-seed N] [--at-once N]
[--acknowledged-inside no-successor|all] [--logs FOLDER] [ENTRY_BUILD]. ENTRY_BUILD, if given,
has the anvildoor-entry to be checked; FOLDER, if given, keeps the VMs' logs and what became of
the jobs. VMs reach other data centres and the store by data_centre_links.py. Jobs on workers of
the data centre that is cut off are cancelled, in each part by other VMs, and two just before
the kill. Fails if a cancelled job's run goes on for longer than the platform allows after its
acknowledgement and the end of the cut; the kill is no excuse. Prints the time after the
acknowledgement, too, for jobs whose starter, acknowledging VM and workers stand in the data
centre that was cut off; with --acknowledged-inside, fails if that is longer, though the cut
lasts, for all of them or those whose starter had no successor that reached the workers.
"""

import argparse
import base64
import concurrent.futures
import copy
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

import entry_site
from entry_site import Vm, call, expect, wait_until
from soak_cancellations import ports_for_servers

DATA_CENTRES = 3
VMS = 7
LEASE_MS = 10000
HEARTBEAT_MS = 1500
DOWN_S = 0.65
SETTLED_S = 4  # After the start of all VMs.
# From the acknowledgement to the end of the last run: cancel_ms + stop_timeout_ms.
BOUND_S = 3.4
GANGS, SINGLES, GANG_SIZE = 4, 6, 5
CUT_AT_S = 3.0
STORE = -1  # In none of the data centres.
PARTS = {
    "a": "the scheduler's data centre is cut off, it has acknowledged",
    "b": "the scheduler gets SIGTERM, acknowledges, and its data centre is cut off",
    "c": "the scheduler's data centre is cut off, another VM of it has acknowledged",
    "d": "a data centre is cut off, VMs outside acknowledge during the cut",
}

ports_lock = threading.Lock()


def now_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Site(entry_site.Site):
    """Entry VMs and workers in three data centres whose links can be cut."""

    def __init__(self, folder, build, entry_build, workers, delay_s, picker):
        own = VMS + workers
        ports = ports_for_servers(own + 4 * VMS, picker)
        self.stores, self.store = ports[:VMS], ports[0]
        self.worker_ports = ports[VMS:own]
        self.vm_ports = [ports[own + 4 * number:own + 4 * number + 4] for number in range(VMS)]
        self.processes = [entry_site.start_standin(
            build, f"4,{LEASE_MS},{DATA_CENTRES}", ports[:own], VMS)]
        servers = [(port, STORE) for port in self.stores]
        servers += [(port, self.worker_data_centre(number))
                    for number, port in enumerate(self.worker_ports)]
        servers += [(each[2], self.vm_data_centre(number))
                    for number, each in enumerate(self.vm_ports)]
        readers = {f"127.0.0.{11 + number}": number for number in range(DATA_CENTRES)}
        self.links = subprocess.Popen(
            [sys.executable, os.path.join(os.path.dirname(__file__), "data_centre_links.py"),
             json.dumps({"readers": readers, "servers": servers, "delay_s": delay_s})],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.processes.append(self.links)
        expect_line(self.links, "ready")
        self.vms = []
        for number, each in enumerate(self.vm_ports):
            data_centre = self.vm_data_centre(number)
            direct = "".join(f"{port}," for port, place in servers if place == data_centre)
            self.vms.append(Vm(
                entry_build, folder, f"e{number}", each, self.stores[number],
                f"[bounds]\nlease_max_ms = {LEASE_MS}\nworker_beat_ms = {HEARTBEAT_MS}\n",
                f"z{data_centre}",
                {"LD_PRELOAD": os.path.abspath(f"{build}/tests/connect-via.so"),
                 "ANVILDOOR_TEST_VIA": f"127.0.0.{11 + data_centre}/{direct}"}))
            self.vms[-1].data_centre = data_centre
        policy = copy.deepcopy(entry_site.POLICY)
        policy["routes"] = [dict(policy["routes"][0], name=f"q{number}", prefix=f"/q{number}/",
                                 service=f"pool{number}") for number in range(DATA_CENTRES)]
        policy["services"] = [{"name": f"pool{number}", "admission_check": False}
                              for number in range(DATA_CENTRES)]
        call(self.store, "POST", "/put", {"key": "op/config", "value": json.dumps(policy)})
        call(self.store, "POST", "/worker-fault",
             {"kind": "heartbeats", "period_ms": HEARTBEAT_MS})

    @staticmethod
    def vm_data_centre(number):
        return number % DATA_CENTRES

    def worker_data_centre(self, number):
        return number * DATA_CENTRES // len(self.worker_ports)

    def worker_names(self, data_centre):
        first = 3  # The stand-in's first argument that is a worker's port.
        return [f"i-{first + number}" for number in range(len(self.worker_ports))
                if self.worker_data_centre(number) == data_centre]

    def command_links(self, command):
        self.links.stdin.write(command + "\n")
        self.links.stdin.flush()
        expect_line(self.links, "ok")

    def key_holder(self):
        """Returns the VM that the scheduler's key names, if there is one."""
        status, item = call(self.store, "GET", "/kv-key?key=anvildoor/scheduler")
        if status != 200:
            return None
        name = json.loads(base64.b64decode(item["value"]))["vm"]
        return next(vm for vm in self.vms if vm.name == name)

    def end(self):
        entry_site.end_all(self.processes + [vm.process for vm in self.vms])
        for vm in self.vms:
            vm.log.close()


def expect_line(process, text):
    if process.stdout.readline().strip() != text:
        raise RuntimeError("the links between the data centres failed")


class Job:
    """A job that runs in the data centre that is cut off, and its cancellation."""

    def __init__(self, number, is_gang):
        self.id = f"{(0xb0 if is_gang else 0xa0) + number:016x}"
        self.number, self.is_gang = number, is_gang
        self.acknowledged, self.vm = None, None

    def body(self):
        step = {"count": 1, "cpu": 4000, "gpu": 1, "estimate_ms": 60000}
        if self.is_gang:
            step.update(count=GANG_SIZE, gang=True, max_per_server=2)
        return {"spec": "60000", "steps": [step]}

    def cancel(self, at_s, queue, first, others):
        """Cancels at a VM, then at others until one has acknowledged; consumers retry, too."""
        time.sleep(max(0, at_s - now_s()))
        vm, attempt = first, 0
        while self.acknowledged is None and now_s() < at_s + 15:
            if call(vm.jobs, "DELETE", f"/{queue}/{self.id}", timeout=1.5)[0] == 200:
                self.acknowledged, self.vm = now_s(), vm
                return
            time.sleep(0.1)
            vm, attempt = others[attempt % len(others)], attempt + 1


class Play:
    """One end of a day."""

    def __init__(self, part, seed):
        self.part, self.seed = part, seed
        dice = self.dice = random.Random(f"{part} {seed}")
        self.workers = dice.choice((12, 24))
        self.cut_s = dice.choice((5.3, 6.3))
        self.calm_s = dice.uniform(0.8, 2.4)
        self.delay_s = dice.choice((0.0014, 0.012))
        self.connects, self.open = dice.choice(("hang", "refuse")), dice.choice(("dead", "resume"))
        self.expires = dice.random() < 0.5
        self.has_scheduler = part != "d" or dice.random() < 0.5
        self.jobs = [Job(number, is_gang) for is_gang, count in ((True, GANGS), (False, SINGLES))
                     for number in range(count)]
        self.figures = {}

    def title(self):
        connects = "hang" if self.connects == "hang" else "are refused"
        return (f"part {self.part}, seed {self.seed}: {self.workers} workers, one way "
                f"{1000 * self.delay_s:.1f} ms, cut {self.cut_s} s, calm {self.calm_s:.2f} s, "
                f"new connects {connects}, open ones "
                f"{'stay dead' if self.open == 'dead' else 'go on'}"
                f"{', entries expire' if self.expires else ''}"
                f"{'' if self.has_scheduler else ', scheduler outside'}")

    def run(self, build, entry_build, logs):
        with tempfile.TemporaryDirectory() as folder:
            if logs:
                folder = os.path.join(logs, f"{self.part}-{self.seed}")
                os.makedirs(folder, exist_ok=True)
            with ports_lock:
                site = Site(folder, build, entry_build, self.workers, self.delay_s,
                            random.Random(os.urandom(8)))
                site.wait_until_ready()
            self.ends = False
            callers = [threading.Thread(target=self.submit_short_jobs, args=(site, number))
                       for number in range(2)]
            try:
                self.play(site, callers)
                self.judge(site, folder)
            finally:
                self.ends = True
                for each in callers:
                    if each.ident:
                        each.join()
                site.end()
        return self

    def submit_short_jobs(self, site, number):
        dice = random.Random(f"{self.part} {self.seed} {number}")
        sent = 0
        while not self.ends:
            sent += 1
            vm = dice.choice(site.vms)
            run_ms = dice.randrange(100, 900)
            call(vm.jobs, "POST", f"/q{dice.randrange(DATA_CENTRES)}/{number + 1:08x}{sent:08x}",
                 {"spec": str(run_ms), "steps": [{"count": dice.randrange(1, 4), "cpu": 1000,
                                                  "gpu": 1, "estimate_ms": run_ms}]}, timeout=1)
            time.sleep(dice.uniform(0.1, 0.4))

    def play(self, site, callers):
        dice = self.dice
        scheduler = site.scheduler()
        self.place = scheduler.data_centre if self.has_scheduler else \
            (scheduler.data_centre + 1) % DATA_CENTRES
        inside = [vm for vm in site.vms if vm.data_centre == self.place]
        outside = [vm for vm in site.vms if vm.data_centre != self.place]
        queue = f"q{self.place}"
        for job in self.jobs:
            if call(scheduler.jobs, "POST", f"/{queue}/{job.id}", job.body())[0] != 200:
                expect(f"job {job.id} is accepted", False)
        runs = GANGS * GANG_SIZE + SINGLES
        wait_until(lambda: len(site.traces("00000000000000")) == runs, "the jobs are running")
        for each in callers:
            each.start()
        starter = site.key_holder()
        self.starter = starter
        self.cut_at = now_s() + CUT_AT_S
        self.cut_until = self.cut_at + self.cut_s
        self.term_at = self.cut_at - dice.choice((dice.uniform(0, 0.05), dice.uniform(0, 0.3)))
        threads = []
        for job in self.jobs:
            if job.number == 0:  # About the time of the kill.
                at_s = self.cut_until + self.calm_s - dice.uniform(0, 0.06)
                first = dice.choice(site.vms)
            elif self.part == "d":
                at_s, first = dice.uniform(self.cut_at + 0.3, self.cut_until), dice.choice(outside)
            else:
                since = self.term_at if self.part == "b" else self.cut_at - 0.3
                if dice.random() < 0.7:  # About the time of the stop's way.
                    since = max(since, self.cut_at - 4 * self.delay_s - 0.01)
                at_s = dice.uniform(since, self.cut_at)
                first = starter if self.part in "ab" else \
                    dice.choice([vm for vm in inside if vm is not starter])
            threads.append(threading.Thread(
                target=job.cancel, args=(at_s, queue, first, dice.sample(outside, len(outside)))))
            threads[-1].start()
        if self.part == "b":
            time.sleep(max(0, self.term_at - now_s()))
            starter.process.send_signal(signal.SIGTERM)
        time.sleep(max(0, self.cut_at - now_s()))
        site.command_links(f"cut {self.place} {self.connects}")
        if self.expires:
            silent_ms = 3 * HEARTBEAT_MS
            for worker in site.worker_names(self.place):
                call(site.store, "POST", "/worker-fault",
                     {"kind": "entry", "worker": worker, "silent_ms": silent_ms,
                      "for_ms": int(1000 * self.cut_s - silent_ms +
                                    dice.uniform(0, HEARTBEAT_MS))})
        time.sleep(max(0, self.cut_until - now_s()))
        site.command_links(f"join {self.place} {self.open}")
        self.cut_until = now_s()
        time.sleep(self.calm_s)
        self.killed_at = now_s()
        for vm in site.vms:
            vm.process.kill()
        for vm in site.vms:
            vm.process.wait()
        time.sleep(max(0, self.killed_at + DOWN_S - now_s()))
        for vm in site.vms:
            vm.start()
        for thread in threads:
            thread.join()
        time.sleep(SETTLED_S)
        until = now_s() + 12
        while now_s() < until and not all(
                row["end"] for row in site.traces("00000000000000")):
            time.sleep(0.1)

    def read_logs(self, site):
        """Returns the events of all VMs: time, VM and fields."""
        offset = time.time() - now_s()
        events = []
        for vm in site.vms:
            vm.log.flush()
            with open(vm.log.name, encoding="utf-8") as log:
                for line in log:
                    fields = dict(re.findall(r"(\w+)=(\"[^\"]*\"|\S+)", line))
                    if "unix_ms" in fields and "event" in fields:
                        events.append((int(fields["unix_ms"]) / 1000 - offset, vm.name, fields))
        return sorted(events, key=lambda each: each[0])

    def judge(self, site, folder):
        rows, events = site.traces("00000000000000"), self.read_logs(site)
        read_at = now_s()

        def first(name, since, until=float("inf"), **wanted):
            return next((at for at, _, fields in events if since <= at < until and
                         fields["event"] == name and
                         all(fields.get(key) == value for key, value in wanted.items())), None)

        taken_over = first("takeover", self.term_at, self.killed_at)
        # Whether a successor has called the workers before the cut.
        is_succeeded = taken_over is not None and taken_over + self.delay_s < self.cut_at
        self.results = []
        for job in self.jobs:
            if job.acknowledged is None:
                self.results.append((job, None))
                continue
            runs = [row for row in rows if row["task"].startswith(job.id)]
            last = max(runs, key=lambda row: row["ended"] or 10 ** 15)
            ended = last["ended"] / 1000 if last["ended"] else read_at
            is_inside = (self.starter.data_centre == self.place == job.vm.data_centre)
            stops = [at for at, _, fields in events
                     if fields["event"] in ("run_stop", "run_stop_retried") and
                     fields.get("job") == job.id and fields.get("sent") == "1"
                     and at >= job.acknowledged - 0.05]
            self.results.append((job, {
                "acknowledged": job.acknowledged - self.cut_at, "by": job.vm.name,
                "ended": ended - self.cut_at, "ends": sorted({row["end"] or "runs on"
                                                              for row in runs}),
                "stop_sent": [round(at - self.cut_at, 2) for at in stops],
                "stop_failed": [(round(at - self.cut_at, 2), fields.get("answer"))
                                for at, _, fields in events
                                if fields["event"] == "run_stop_failed" and
                                fields.get("job") == job.id],
                "workers": sorted({row["worker"] for row in runs}),
                "is_inside": is_inside, "is_succeeded": is_succeeded,
                "after_cut": ended - max(job.acknowledged, self.cut_until),
                "after_acknowledgement": ended - job.acknowledged}))
        holding = {row["worker"] for row in rows
                   if not row["ended"] or row["ended"] / 1000 > self.cut_until}
        regained = {}
        for worker in holding:
            regained[worker] = first("worker_regained", self.cut_until - 0.05,
                                     self.killed_at, worker=worker)
        seen = [at - self.cut_until for at in regained.values() if at]
        acknowledged = {job.id: job.acknowledged for job in self.jobs if job.acknowledged}
        stopped = [row["ended"] / 1000 - regained[row["worker"]] for row in rows
                   if regained.get(row["worker"]) and row["end"] == "stopped" and
                   acknowledged.get(row["task"][:16], read_at) < regained[row["worker"]] and
                   regained[row["worker"]] < row["ended"] / 1000 < self.killed_at]
        boot = first("start", self.killed_at)
        won = first("scheduler_won", self.killed_at)
        takeover = first("takeover", self.killed_at)
        stop_after = first("run_stop", self.killed_at)
        since_kill = [at and at - self.killed_at for at in (boot, won, takeover, stop_after)]
        self.figures = {
            "cut end to last regained": max(seen, default=None),
            "workers not regained": sum(at is None for at in regained.values()),
            "regained to stopped": max(stopped, default=None),
            "kill to boot": since_kill[0], "kill to won": since_kill[1],
            "kill to takeover": since_kill[2], "kill to first stop": since_kill[3],
            "ended after the kill": sum(bool(row["ended"]) and
                                        row["ended"] / 1000 > self.killed_at for row in rows)}
        judged = [result for _, result in self.results if result]
        self.figures["end after cut and acknowledgement"] = max(
            (each["after_cut"] for each in judged), default=None)
        self.figures["end after the acknowledgement, all inside"] = max(
            (each["after_acknowledgement"] for each in judged if each["is_inside"]),
            default=None)
        late = [each for each in judged
                if each["is_inside"] and each["after_acknowledgement"] > BOUND_S]
        self.figures["of it past the bound, no successor before the cut"] = sum(
            not each["is_succeeded"] for each in late)
        self.figures["of it past the bound, with a successor before the cut"] = sum(
            each["is_succeeded"] for each in late)
        with open(os.path.join(folder, "times.json"), "w", encoding="utf-8") as text:
            json.dump({"title": self.title(), "starter": self.starter.name,
                       "place": self.place, "cut_at": self.cut_at,
                       "cut_until": self.cut_until - self.cut_at,
                       "killed_at": self.killed_at - self.cut_at,
                       "unix_offset": time.time() - now_s(),
                       "figures": self.figures, "traces": rows,
                       "results": {job.id: result for job, result in self.results}},
                      text, indent=1)

    def report(self, judges_inside):
        print(self.title())
        print("  " + ", ".join(f"{name} {format_figure(value)}"
                               for name, value in self.figures.items()))
        for job, result in self.results:
            what = f"{'gang' if job.is_gang else 'single'} {job.id[-2:]} ends in time"
            if result is None:
                expect(what, False, "not acknowledged")
                continue
            expect(what, result["after_cut"] <= BOUND_S,
                   f"times after the cut's begin: acknowledged {result['acknowledged']:.2f} by "
                   f"{result['by']}, stops sent {result['stop_sent']}, failed "
                   f"{result['stop_failed']}, ended {result['ended']:.2f} as "
                   f"{', '.join(result['ends'])}; {result['after_cut']:.2f} s after the "
                   f"acknowledgement and the cut")
            if result["is_inside"] and (
                    judges_inside == "all" or
                    judges_inside == "no-successor" and not result["is_succeeded"]):
                expect(f"{what}, acknowledged inside",
                       result["after_acknowledgement"] <= BOUND_S,
                       f"{result['after_acknowledgement']:.2f} s after the acknowledgement")


def format_figure(value):
    return "-" if value is None else f"{value:.2f}" if isinstance(value, float) else str(value)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("entry_build", nargs="?")
    parser.add_argument("--parts", default="".join(PARTS))
    parser.add_argument("--acknowledged-inside", choices=("no-successor", "all"))
    parser.add_argument("--logs")
    for name, value in (("seeds", 1), ("first-seed", 1), ("at-once", 2)):
        parser.add_argument(f"--{name}", type=int, default=value)
    options = parser.parse_intermixed_args()
    plays = [Play(part, options.first_seed + number) for part in options.parts
             for number in range(options.seeds)]
    with concurrent.futures.ThreadPoolExecutor(options.at_once) as pool:
        for play in pool.map(lambda each: each.run(options.build,
                                                   options.entry_build or options.build,
                                                   options.logs), plays):
            play.report(options.acknowledged_inside)
            sys.stdout.flush()
    for part in options.parts:
        played = [each for each in plays if each.part == part]
        print(f"worst of {len(played)} plays, {PARTS[part]}")
        for name in played[0].figures:
            values = [each.figures[name] for each in played if each.figures[name] is not None]
            print(f"  {name}: {format_figure(max(values, default=None))}")
    failed = entry_site.checks["failed"]
    print(f"{failed} expectations failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
