"""Soak with real processes: cancelled jobs stop in time while the scheduler changes.

Usage: soak_cancellations.py BUILD [--seed N] [--seconds S] [--vms V] [--workers W]
[--removals] [--logs FOLDER] [ENTRY_BUILD]. ENTRY_BUILD, if given, has the anvildoor-entry
to be checked; FOLDER, if given, keeps the VMs' logs. Callers submit jobs and cancel them at
other VMs while VMs are killed, stopped, frozen and started again and the store is busy. With
--removals, VMs are also removed for good and replaced, or stopped in turn, single calls to
the store fail, and workers leave. Fails if a run goes on, or a run starts, too long after
its job's cancellation was answered; such a time counts only in stretches without
disruption. The end of a run counts also beside a SIGTERM, if that ended its starter. Fails also
if a run starts that no caller asked for, or with another spec or checkpoint; if an end in calm
waits too long until a hold acknowledges it, beside a SIGTERM or not; if an accepted job has
nothing running for too long in calm beside free workers; and if a run starts in a data centre
too long after its evacuation was requested. Workers have uneven paces.
"""

import argparse
import base64
import bisect
import heapq
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import entry_site
import unasked_judge
from entry_site import Vm, call, wait_until
from idle_judge import CALM_S, Idle
from soak_evacuations import BOUND_S, DATA_CENTRES, Evacuations
from soak_removals import CONTACT_S, SCHEDULER_KEY, Removals, now
from unasked_judge import END_BOUND_S

# A longer time is noted beside the logs.
NOTED_S = 1.0
CALLERS = 16
JOBS_PER_S = 6
MIN_CANCELLATIONS = 20
PATIENT_TIMEOUT_S = 15
TIMEOUT_S = 3
GIVE_UP_S = 0.5
GRACE_S = 6


def ports_for_servers(count, picker):
    """Free ports that no outgoing connection takes while a VM is down."""
    ports = []
    while len(ports) < count:
        port = picker.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Job:
    """A job of the soak and what its caller has seen."""

    KINDS = ("single", "single", "gang", "steps", "long", "long gang")

    def __init__(self, seed, number, kinds=KINDS):
        plan = random.Random(seed * 1000003 + number)
        self.id = f"{seed % 65536:04x}{number:012x}"
        self.kind = plan.choice(kinds)
        run_ms = plan.randrange(20000, 60000) if "long" in self.kind else \
            plan.randrange(100, 4000)
        task = {"cpu": 1000, "mem_mb": 256, "estimate_ms": run_ms}
        if "gang" in self.kind:
            steps = [dict(task, count=plan.randrange(2, 7), gpu=plan.choice((1, 2, 8)),
                          gang=True, same_rack=True)]
        elif self.kind == "steps":
            steps = [dict(task, count=plan.randrange(1, 5), gpu=1),
                     dict(task, count=plan.randrange(1, 5), gpu=1, after=[0],
                          gang=plan.random() < 0.5)]
        else:
            steps = [dict(task, count=plan.randrange(1, 6), gpu=1)]
        # Each job has a spec of its own, which also tells the stand-in its checkpoints.
        words = [str(run_ms), self.id]
        for number, step in enumerate(steps):
            if plan.random() < 0.6:
                step["checkpointing"] = True
                words.append(f"{number}:{plan.randrange(50, 700)}")
        self.body = {"spec": " ".join(words), "steps": steps}
        self.is_cancelled = plan.random() < 0.75
        self.cancel_after_s = 0.0 if plan.random() < 0.1 else \
            plan.choice((0.05, plan.uniform(0.1, 2), plan.uniform(1, 9), plan.uniform(1, 9)))
        self.is_patient = plan.random() < 0.4
        # Cancels as soon as the submission is not answered in time.
        self.gives_up = plan.random() < 0.3
        self.submits_again = plan.random() < 0.2
        self.cancels_twice = plan.random() < 0.2
        self.repeats_after_s = plan.uniform(0, 3) if plan.random() < 0.2 else None
        self.is_cancel_sent = False
        self.vm = None  # The VM that got the first submission.
        self.submitted = []  # (sent, status, answered); status 0: no answer.
        self.cancelled = []  # (sent, status, answered, VM).

    def acknowledgement(self):
        """Returns the first answer to a cancellation that binds, or None."""
        answers = [each for each in self.cancelled if each[1] // 100 == 2 or each[1] == 410]
        first = min(answers, key=lambda each: each[2], default=None)
        if first and first[1] == 410 and any(sent > first[0] for sent, _, _ in self.submitted):
            return None  # The caller asked for the job again.
        return first


class SoakVm(Vm):
    """An entry VM that starts again on the same settings."""

    def __init__(self, build, folder, name, ports, store):
        self.is_disturbed, self.is_removed = False, False
        self.is_scheduler, self.in_rotation = False, False
        super().__init__(build, folder, name, ports, store,
                         f"[bounds]\nevacuation_ms = {int(1000 * BOUND_S)}\n")

    def is_alive(self):
        return self.process.poll() is None

    def gauges(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.metrics, timeout=0.5)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return ""
        finally:
            connection.close()


class Soak:
    """One run of the soak."""

    def __init__(self, options, folder):
        self.seed, self.seconds, self.folder = options.seed, options.seconds, folder
        # With removals, each VM has a port of the store of its own, and this process, too.
        stores = 1 + options.vms if options.removals else 1
        self.port_picker = random.Random(os.getpid())
        ports = ports_for_servers(stores + options.workers + 4 * options.vms, self.port_picker)
        self.store, self.stores = ports[0], ports[1:stores] or ports[:1]
        first = stores + options.workers
        self.processes = [entry_site.start_standin(
            options.build, f"6,6000,0,{DATA_CENTRES}", ports[:first], stores)]
        self.entry_build = options.entry_build
        self.vms = []
        for at in range(first, len(ports), 4):
            self.add_vm(ports[at:at + 4])
        self.workers = [f"i-{number}" for number in range(3, 3 + options.workers)]
        self.removals = options.removals and Removals(self)
        self.evacuations = Evacuations(self)
        self.kinds = Removals.KINDS if options.removals else Job.KINDS
        self.slowest = (0.0, None, None)  # The time, job and row of the longest in calm.
        self.slowest_note = (0.0, None, None)  # The same for the note of an end.
        self.trouble = random.Random(self.seed * 7919 + 1)
        self.restarts = random.Random(self.seed * 5381 + 1)
        self.jobs, self.actions, self.lock = [], [], threading.Lock()
        self.repeated = 0  # Hand-ins that were accepted once more.
        self.order = 0  # Of actions that are due at the same time.
        self.disruptions = []  # [begin, end, what, whether it is a planned SIGTERM]
        self.removed = []  # (when it got the SIGTERM, name)
        self.key_reads = []  # (sent, the live VM that held the scheduler's key, or "").
        self.began, self.ends = 0.0, False
        self.acknowledged = threading.Event()  # A cancellation has just been answered.
        self.version = entry_site.POLICY["version"]

    def add_vm(self, ports):
        number = len(self.vms)
        vm = SoakVm(self.entry_build, self.folder, f"e{number}", ports,
                    self.stores[number % len(self.stores)])
        self.vms.append(vm)
        return vm

    # Callers

    def schedule(self, at, what, job):
        with self.lock:
            self.order += 1
            heapq.heappush(self.actions, (at, self.order, what, job))

    def next_action(self, vm):
        """Takes an action that is due; cancellations and repeats go to a VM other than the
        first."""
        with self.lock:
            due = [each for each in self.actions if each[0] <= now()]
            for each in sorted(due):
                late = now() - each[0] > 2
                if each[2] in ("cancel", "repeat") and each[3].vm is vm and not late:
                    continue
                self.actions.remove(each)
                heapq.heapify(self.actions)
                return each
        return None

    def choose_vm(self, picker):
        alive = [vm for vm in self.vms if vm.is_alive()]
        ready = [vm for vm in alive if vm.in_rotation]
        return picker.choice(ready if ready and picker.random() < 0.9 else alive or self.vms)

    def run_caller(self, number):
        picker = random.Random(self.seed * 31 + number)
        vm, connection = None, None
        while not self.ends:
            if connection is None or connection.sock is None or picker.random() < 0.01:
                if connection:
                    connection.close()
                vm = self.choose_vm(picker)
                connection = http.client.HTTPConnection("127.0.0.1", vm.jobs, timeout=TIMEOUT_S)
                try:
                    connection.connect()
                except OSError:
                    connection = None
                    time.sleep(0.05)
                    continue
            action = self.next_action(vm)
            if not action:
                time.sleep(0.01)
                continue
            _, _, what, job = action
            if what == "repeat" and job.is_cancel_sent:
                continue
            job.is_cancel_sent = job.is_cancel_sent or what == "cancel"
            timeout = PATIENT_TIMEOUT_S if job.is_patient else TIMEOUT_S
            if what == "submit" and job.gives_up:
                timeout = GIVE_UP_S
            connection.sock.settimeout(timeout)
            method = "DELETE" if what == "cancel" else "POST"
            if what == "submit":
                job.vm = job.vm or vm
                if not job.submitted and job.is_cancelled:
                    self.schedule(now() + job.cancel_after_s, "cancel", job)
            sent = now()
            status = self.request(connection, method, job, timeout)
            if what == "cancel":
                job.cancelled.append((sent, status, now(), vm))
                self.after_cancel(job, status)
            else:
                job.submitted.append((sent, status, now()))
                if status == 200 and job.repeats_after_s is not None:
                    self.schedule(now() + job.repeats_after_s, "repeat", job)
                    job.repeats_after_s = None
                if what == "repeat":
                    self.repeated += status == 200
                elif status == 0 and job.gives_up:
                    self.schedule(now(), "cancel", job)
                elif status != 200 and not job.cancelled and job.cancel_after_s > 1:
                    self.schedule(now() + 0.2, "submit", job)

    @staticmethod
    def request(connection, method, job, timeout):
        """Returns the status; 0 if there was no answer, and the connection is closed then."""
        headers = {"Host": "jobs.example", "X-Api-Key": "key",
                   "X-Timeout-Ms": str(int(1000 * timeout))}
        body = json.dumps(job.body) if method == "POST" else None
        try:
            connection.request(method, f"/q/{job.id}", body, headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0

    def after_cancel(self, job, status):
        if status // 100 != 2 and status != 410:
            self.schedule(now() + 0.2, "cancel", job)
            return
        self.acknowledged.set()
        if status // 100 == 2 and job.submits_again:
            job.submits_again = False
            self.schedule(now() + 0.3, "submit again", job)
        if job.cancels_twice:
            job.cancels_twice = False
            self.schedule(now() + 0.1, "cancel", job)

    def submit_jobs(self, until):
        pace = random.Random(self.seed)
        while now() < until:
            job = Job(self.seed, len(self.jobs), self.kinds)
            self.jobs.append(job)
            self.schedule(now(), "submit", job)
            time.sleep(pace.expovariate(JOBS_PER_S))

    def cancel_soon(self, share):
        """Has cancellations that would come later come now."""
        with self.lock:
            self.actions = [(now() + self.trouble.uniform(0, 1), order, what, job)
                            if what == "cancel" and self.trouble.random() < share
                            else (at, order, what, job)
                            for at, order, what, job in self.actions]
            heapq.heapify(self.actions)

    # Disruptions

    def poll(self, vm):
        while not self.ends and not vm.is_removed:
            gauges = vm.gauges()
            vm.is_scheduler = "anvildoor_schedules 1" in gauges
            vm.in_rotation = "anvildoor_ready 1" in gauges
            time.sleep(0.1)
        vm.is_scheduler = vm.in_rotation = False

    def poll_key(self):
        while not self.ends:
            sent = now()
            status, item = call(self.store, "GET", f"/kv-key?key={SCHEDULER_KEY}")
            if status in (200, 404):
                self.key_reads.append((sent, self.live_holder(item) if item else ""))
            time.sleep(0.05)

    def live_holder(self, item):
        """Returns the VM that the scheduler's key names; an empty name if it has ended."""
        name = json.loads(base64.b64decode(item["value"]))["vm"]
        return name if any(vm.name == name and vm.is_alive() for vm in self.vms) else ""

    def disrupt(self, what, begin, end=None, is_planned=False):
        self.disruptions.append([begin, end or now(), what, is_planned])

    def target(self):
        """Returns the scheduler's VM, seldom another; None if too few would be left."""
        sound = [vm for vm in self.vms if vm.is_alive() and not vm.is_disturbed]
        if len(sound) < 3:
            return None
        schedulers = [vm for vm in sound if vm.is_scheduler]
        return self.trouble.choice(schedulers if schedulers and self.trouble.random() < 0.85
                                   else sound)

    def kill(self, vm, picker):
        begin = now()
        vm.process.kill()
        vm.process.wait()
        self.disrupt(f"SIGKILL {vm.name}", begin)
        time.sleep(picker.uniform(0.1, 4))
        self.start_again(vm)

    def terminate(self, vm, picker):
        self.end_in_order(vm)
        time.sleep(picker.uniform(0.1, 2))
        self.start_again(vm, True)

    def end_in_order(self, vm):
        begin, is_late = now(), False
        self.removed.append((begin, vm.name))
        vm.process.terminate()
        try:
            vm.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            is_late = True
            vm.process.kill()
            vm.process.wait()
        self.disrupt(f"SIGTERM {vm.name}", begin, is_planned=not is_late)

    def start_again(self, vm, is_planned=False):
        begin = now()
        vm.start()
        self.disrupt(f"start {vm.name}", begin, is_planned=is_planned)

    def replace(self, vm, picker):
        """Ends the VM for good; one with another name and other ports takes its place."""
        is_first = picker.random() < 0.5
        if is_first:
            self.start_new()
        self.end_in_order(vm)
        vm.is_removed = True
        if not is_first:
            time.sleep(picker.uniform(0, 3))
            self.start_new()

    def start_new(self):
        with self.lock:
            begin = now()
            vm = self.add_vm(ports_for_servers(4, self.port_picker))
        self.disrupt(f"start {vm.name}", begin, is_planned=True)
        threading.Thread(target=self.poll, args=(vm,)).start()

    def freeze(self, vm, picker):
        begin = now()
        vm.process.send_signal(signal.SIGSTOP)
        time.sleep(picker.choice((0.9, 0.9, 2, 3.5, 6)) * picker.uniform(0.7, 1.3))
        vm.process.send_signal(signal.SIGCONT)
        self.disrupt(f"SIGSTOP {vm.name}", begin)

    def ambush(self, vm, picker):
        """Kills or freezes the VM right after the next answer to a cancellation."""
        self.acknowledged.clear()
        self.acknowledged.wait(3)
        time.sleep(picker.choice((0, 0.001, 0.003, 0.02)))
        picker.choice((self.kill, self.kill, self.freeze))(vm, picker)

    def keep_store_busy(self, picker):
        begin, spell_s = now(), picker.choice((0.3, 1.5, 3, 6))
        call(self.store, "POST", "/busy", {"for_ms": int(1000 * spell_s)})
        time.sleep(spell_s)
        self.disrupt("store busy", begin)

    def change_policy(self):
        self.version += 1
        policy = dict(entry_site.POLICY, version=self.version)
        policy["routes"] = [dict(policy["routes"][0], slo_ms=1000 + self.version)]
        call(self.store, "POST", "/put", {"key": "op/config", "value": json.dumps(policy)})

    def start_disruption(self):
        """Starts a disruption and returns its thread; None if there is nothing to wait for."""
        what = self.trouble.choice((self.kill, self.kill, self.ambush, self.ambush,
                                    self.terminate, self.freeze, self.freeze,
                                    self.keep_store_busy, self.change_policy))
        picker = random.Random(self.trouble.random())
        vm = self.target()
        if what == self.change_policy:
            self.change_policy()
            return None
        if what == self.keep_store_busy:
            thread = threading.Thread(target=what, args=(picker,))
        elif vm:
            vm.is_disturbed = True
            thread = threading.Thread(target=self.disturb, args=(what, vm, picker))
        else:
            return None
        thread.start()
        return thread

    @staticmethod
    def disturb(how, vm, picker):
        how(vm, picker)
        vm.is_disturbed = False

    def restart_workers(self):
        """Has workers begin a new life, so that what they ran is resumed elsewhere."""
        time.sleep(self.restarts.uniform(0.5, 1.5))  # Some tasks have checkpoints by then.
        saved = {row["worker"] for row in call(self.store, "GET", "/traces")[1]
                 if row["handed_out"] and not row["end"]}
        for worker in self.restarts.sample(sorted(saved), min(len(saved),
                                                              self.restarts.choice((4, 6, 8)))):
            begin = now()
            call(self.store, "POST", "/worker-fault", {"worker": worker, "kind": "restart"})
            self.disrupt(f"restart of worker {worker}", begin)

    def make_trouble(self, until):
        while now() < until:
            if self.removals and self.trouble.random() < 0.8:
                self.removals.play()
                continue
            self.cancel_soon(self.trouble.choice((0, 0.5, 0.9)))
            started = []
            for _ in range(self.trouble.choice((1, 1, 2, 3, 4))):
                started.append(self.start_disruption())
                time.sleep(self.trouble.choice((0.05, 0.6, 1.6)))
            self.restart_workers()
            for each in started:
                if each:
                    each.join()
            time.sleep(CONTACT_S + self.trouble.uniform(1, 7))

    # Judging

    def calm(self, until, with_planned=False):
        """Returns the stretches without disruption, or with planned SIGTERMs at most."""
        stretches, begin = [], 0.0
        for start, end, _, is_planned in sorted(self.disruptions):
            if with_planned and is_planned:
                continue
            if start > begin:
                stretches.append((begin, start))
            begin = max(begin, end + CONTACT_S)
        return stretches + ([(begin, until)] if begin < until else [])

    def judge(self):
        """Returns the violations and the figures of the run.

        A violation is a job, the stand-in's row of the run, what is wrong and a time in s."""
        read_at = now()
        rows = call(self.store, "GET", "/traces")[1]
        calm = self.calm(read_at)
        runs = {}
        for row in rows:
            runs.setdefault(row["task"].split(".")[0], []).append(row)
        violations = []
        counts = {"2xx": 0, "410, submission awaited": 0, "410, submission lost": 0, "none": 0,
                  "lost, yet started": 0, "runs": 0, "judged": 0}
        # Times after the answers of 2xx: in calm, and with the disruptions.
        longest, raw = 0.0, 0.0
        for job in self.jobs:
            acknowledged = job.acknowledgement()
            if not job.cancelled:
                continue
            if not acknowledged:
                counts["none"] += 1
                continue
            _, status, answered, _ = acknowledged
            accepted = [each for each in job.submitted if each[1] == 200]
            kind = "2xx" if status != 410 else \
                "410, submission awaited" if accepted else "410, submission lost"
            counts[kind] += 1
            if status == 410 and any(each[2] < acknowledged[0] for each in accepted):
                violations.append((job, None, "410 for an accepted job", 0))
            if kind == "410, submission lost" and job.id in runs:
                counts["lost, yet started"] += 1
            for row in runs.get(job.id, ()):
                counts["runs"] += 1
                if kind == "2xx":
                    raw = max(raw, (row["ended"] / 1000 if row["end"] else read_at) - answered)
                went_on, broken = unasked_judge.judge_times(row, answered, calm, read_at)
                counts["judged"] += len(went_on)
                for seconds in went_on if kind == "2xx" else ():
                    self.note_slow(seconds, job, row)
                    longest = max(longest, seconds)
                violations += [(job, row, f"{what} after {kind}", seconds)
                               for what, seconds in broken]
        violations += self.judge_starts(rows, counts)
        violations += self.judge_idle(rows, read_at, counts)
        violations += [(self.job_of(row), row, "start in an evacuated data centre", seconds)
                       for row, seconds in self.evacuations.judge(rows, counts)]
        late, after_removal = self.judge_removals(runs, read_at, counts)
        calm_or_planned = self.calm(read_at, True)
        if self.removals:  # All VMs were ready when the soak began.
            calm, calm_or_planned = ([(max(begin, self.began), end) for begin, end in each
                                      if end > self.began]
                                     for each in (calm, calm_or_planned))
        late += self.judge_notes(rows, calm, calm_or_planned, read_at, counts)
        names = [name for _, name in self.key_reads if name]
        counts.update(schedulers=sum(a != b for a, b in zip(names, names[1:])),
                      removed=len(self.removed),
                      killed_after_grace=sum(what.startswith("SIGTERM") and not is_planned
                                             for _, _, what, is_planned in self.disruptions),
                      jobs=len(self.jobs), traces=len(rows),
                      longest=round(longest, 2), longest_with_disruptions=round(raw, 2),
                      longest_after_removal=round(after_removal, 2),
                      no_scheduler=round(self.longest_without_scheduler(calm), 2),
                      no_scheduler_with_removals=round(
                          self.longest_without_scheduler(calm_or_planned), 2),
                      calm=round(sum(end - begin for begin, end in calm if begin > 0), 1),
                      calm_with_removals=round(
                          sum(end - begin for begin, end in calm_or_planned if begin > 0), 1),
                      disruptions=len(self.disruptions))
        return violations + late, counts

    def judge_starts(self, rows, counts):
        """Returns violations by starts that no caller sent so."""
        jobs = {job.id: job for job in self.jobs}
        steps = [self.step_of(row, jobs) for row in rows]
        resumed = [(row, step) for row, step in zip(rows, steps) if row["checkpoint"]]
        counts.update(repeated=self.repeated,
                      checkpoints=sum(len(row["handed_out"]) for row in rows),
                      resumed=len(resumed),
                      resumed_in_gangs=sum("gang" in step for _, step in resumed))
        return [(self.job_of(row), row, what, 0)
                for row, what in unasked_judge.judge_starts(
                    rows, {job.id: [job.body] for job in self.jobs if job.submitted})]

    def job_of(self, row):
        # A job that nobody sent has no callers to report on; the row tells all.
        return next((job for job in self.jobs if job.id == row["task"].split(".")[0]),
                    None) or Job(self.seed, 0)

    @staticmethod
    def step_of(row, jobs):
        task = unasked_judge.parse_task(row["task"])
        bodies = {task[0]: [jobs[task[0]].body]} if task and task[0] in jobs else {}
        return bodies and unasked_judge.step_of(task, bodies) or {}

    def judge_idle(self, rows, read_at, counts):
        """Returns violations by jobs that had nothing running."""
        calm = [(max(begin + CALM_S - CONTACT_S, self.began), end)
                for begin, end in self.calm(read_at)]
        workers = self.removals.workers if self.removals else self.workers
        idle = Idle(self.jobs, rows + self.evacuations.busy(read_at),
                    [each for each in calm if each[0] < each[1]],
                    workers, read_at)
        counts["longest_idle"] = round(idle.longest, 2)
        counts["jobs_idle"] = self.idle_causes()
        return [(job, None, f"idle from {begin:.3f}", seconds)
                for seconds, job, begin in idle.late]

    def idle_causes(self):
        """Returns the number of log lines on idle jobs by the cause of the longest."""
        causes = {}
        for vm in self.vms:
            with open(os.path.join(self.folder, f"{vm.name}.log"), encoding="utf-8") as log:
                for line in log:
                    cause = "event=jobs_idle " in line and re.search(r"\bcause=(\S+)", line)
                    if cause:
                        causes[cause.group(1)] = causes.get(cause.group(1), 0) + 1
        return causes

    def judge_notes(self, rows, calm, calm_or_planned, read_at, counts):
        """Returns violations by ends that waited too long for their acknowledgement."""
        waits = entry_site.Waits(rows, calm, read_at)
        with_planned = entry_site.Waits(rows, calm_or_planned, read_at)
        for name, values in (("calm_note", waits.calm), ("planned_note", with_planned.calm),
                             ("note", waits.all), ("listed_to_note", waits.listed)):
            counts.update(entry_site.Waits.figures(name, values))
        jobs = {job.id: job for job in self.jobs}
        if with_planned.longest_row:
            row = with_planned.longest_row
            self.slowest_note = (with_planned.longest, jobs[row["task"].split(".")[0]], row)
        return [(jobs[row["task"].split(".")[0]], row, "late note", seconds)
                for row, seconds in with_planned.late]

    def note_slow(self, seconds, job, row):
        if seconds > self.slowest[0]:
            self.slowest = (seconds, job, row)

    def longest_without_scheduler(self, calm):
        gap, free_since = 0.0, None
        for at, name in self.key_reads:
            is_calm = any(0 < begin <= at < end for begin, end in calm)
            free_since = (free_since or at) if is_calm and not name else None
            gap = max(gap, at - (free_since or at))
        return gap

    def judge_removals(self, runs, read_at, counts):
        """Returns violations by runs whose starters got a SIGTERM, and the longest time.

        Unlike for others, a planned SIGTERM is no disruption for these runs."""
        calm, violations, longest = self.calm(read_at, True), [], 0.0
        counts["judged_removed"] = counts["broken_removed"] = 0
        for job in self.jobs:
            acknowledged = job.acknowledgement()
            if not acknowledged:
                continue
            for row in runs.get(job.id, ()):
                began = row["began"] / 1000
                ended = row["ended"] / 1000 if row["end"] else read_at
                starter = self.holder_at(began)
                if not any(name == starter and began - GRACE_S < at < ended
                           for at, name in self.removed):
                    continue
                for begin, end in calm:
                    since = max(acknowledged[2], begin)
                    if since >= end or ended <= since:
                        continue
                    counts["judged_removed"] += 1
                    counts["broken_removed"] += row["end"] == "broken"
                    seconds = min(ended, end) - since
                    self.note_slow(seconds, job, row)
                    longest = max(longest, seconds)
                    if seconds > END_BOUND_S:
                        violations.append((job, row, "late end after a removal", seconds))
        return violations, longest

    def holder_at(self, at):
        """Returns the VM that scheduled last up to this time, or an empty name."""
        number = bisect.bisect(self.key_reads, (at, "~"))
        return next((name for _, name in reversed(self.key_reads[:number]) if name), "")

    def report(self, violation, title="VIOLATION"):
        job, row, kind, seconds = violation
        acknowledged = job.acknowledgement()
        submitted = [each[2] for each in job.submitted]
        origin = acknowledged[2] if acknowledged else \
            row["ended"] / 1000 if row and row["end"] else (submitted or [now()])[0]
        unix_origin = origin + time.time() - now()
        print(f"{title} {kind} {seconds:.2f} s: job {job.id} ({job.kind}); times in s after "
              f"the {'answer' if acknowledged else 'end, or the first hand-in'}")
        if row:
            ended = f"{row['ended'] / 1000 - origin:.2f}" if row["end"] else "none"
            print(f"  task {row['task']} run {row['run']} worker {row['worker']} began "
                  f"{row['began'] / 1000 - origin:.2f} ended {ended} as {row['end'] or '-'}")
            print(f"  spec '{row['spec']}' checkpoint '{row['checkpoint']}'; sent spec "
                  f"'{job.body['spec']}'")
            for what in ("listed", "noted", "forgotten"):
                if row[what]:
                    print(f"  {what} {row[what] / 1000 - origin:.2f}")
        for sent, status, answered in job.submitted:
            print(f"  submitted {sent - origin:.2f} answer {status} at {answered - origin:.2f}")
        for sent, status, answered, vm in job.cancelled:
            print(f"  cancelled {sent - origin:.2f} answer {status} at {answered - origin:.2f} "
                  f"by {vm.name}")
        for begin, end, what, _ in sorted(self.disruptions):
            if end > origin - 12 and begin < origin + 25:
                print(f"  {what} {begin - origin:.2f} to {end - origin:.2f}")
        lines = []
        for vm in self.vms:
            with open(os.path.join(self.folder, f"{vm.name}.log"), encoding="utf-8") as log:
                for line in log:
                    found = re.match(r"unix_ms=(\d+) (.*)", line)
                    if not found:
                        continue
                    at = int(found.group(1)) / 1000 - unix_origin
                    is_term = re.search(r"event=(scheduler_won|scheduler_lost|takeover|start)\b",
                                        line) and -12 < at < 25
                    if is_term or job.id in line:
                        lines.append((at, vm.name, found.group(2)))
        for at, name, text in sorted(lines):
            print(f"  {at:8.3f} {name} {text}")

    def run(self):
        entry_site.put_policy(self.store)
        wait_until(lambda: all(vm.is_ready() for vm in self.vms), "all VMs are ready")
        wait_until(lambda: any(vm.schedules() for vm in self.vms), "one VM is the scheduler")
        self.evacuations.begin()
        self.began = now()
        if self.removals:
            self.removals.begin()
        until = now() + self.seconds
        threads = [threading.Thread(target=self.poll, args=(vm,)) for vm in self.vms]
        threads += [threading.Thread(target=self.run_caller, args=(number,))
                    for number in range(CALLERS)]
        threads += [threading.Thread(target=self.poll_key),
                    threading.Thread(target=self.evacuations.run),
                    threading.Thread(target=self.submit_jobs, args=(until,))]
        for each in threads:
            each.start()
        try:
            self.make_trouble(until)
            time.sleep(END_BOUND_S + 1)
            return self.judge()
        finally:
            self.ends = True
            for each in threads:
                each.join()

    def end(self):
        entry_site.end_all(self.processes + [vm.process for vm in self.vms])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("entry_build", nargs="?")
    for name, value in (("seed", 1), ("seconds", 40), ("vms", 5), ("workers", 24)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--removals", action="store_true")
    parser.add_argument("--logs")
    options = parser.parse_args()
    options.entry_build = options.entry_build or options.build
    # Every third seed has a loaded machine.
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(4 if options.seed % 3 == 0 else 0)]
    try:
        with tempfile.TemporaryDirectory() as folder:
            if options.logs:
                folder = os.path.join(options.logs, f"seed-{options.seed}")
                os.makedirs(folder, exist_ok=True)
            soak = Soak(options, folder)
            try:
                violations, counts = soak.run()
                reported = set()
                for each in violations:
                    if (each[0].id, each[2]) not in reported:
                        reported.add((each[0].id, each[2]))
                        soak.report(each)
                seconds, job, row = soak.slowest
                if options.logs and seconds > NOTED_S:
                    soak.report((job, row, "end", seconds), "SLOWEST")
                seconds, job, row = soak.slowest_note
                if options.logs and seconds > NOTED_S:
                    soak.report((job, row, "note", seconds), "SLOWEST")
            finally:
                soak.end()
    finally:
        entry_site.end_all(busy)
    kinds = [kind for _, _, kind, _ in violations]
    print(f"seed {options.seed}: {len(violations)} violations "
          f"{({kind: kinds.count(kind) for kind in sorted(set(kinds))})}; " +
          ", ".join(f"{name} {value}" for name, value in counts.items()))
    entry_site.expect("enough cancellations are judged", counts["2xx"] >= MIN_CANCELLATIONS,
                      counts["2xx"])
    entry_site.expect("evacuations are judged", counts["evacuations_judged"] > 0,
                      counts["evacuations_judged"])
    return 1 if violations or entry_site.checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
