"""Runs three entry VMs as processes against a stand-in for the users' platform.

A job of two steps, the second a gang, must complete although the scheduler is killed
during the first. Fails if a task runs more than once, if a response is wrong, or if a
process exits with the wrong status.
"""

import os
import signal
import subprocess
import sys
import tempfile

import entry_site
from entry_site import WAIT_S, Vm, call, checks, expect, free_ports, wait_until

BUILD = sys.argv[1]
WORKERS = 4
VMS = 3


def main():
    started = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return run(folder, started)
        finally:
            entry_site.end_all(started)


def run(folder, started):
    ports = free_ports(1 + WORKERS + 4 * VMS)
    store = ports[0]
    standin = entry_site.start_standin(BUILD, WORKERS, ports[:1 + WORKERS])
    started.append(standin)

    print("1. Entry VMs on the stand-in")
    vms = []
    for number in range(VMS):
        first_port = 1 + WORKERS + 4 * number
        vms.append(Vm(BUILD, folder, f"e{number}", ports[first_port:first_port + 4], store))
        started.append(vms[-1].process)
    wait_until(lambda: all(call(vm.jobs, "GET", "/q/")[0] == 503 for vm in vms),
               "503 before the desired state is set")
    expect("503 before the desired state is set", True)
    entry_site.put_policy(store)
    wait_until(lambda: all(vm.is_ready() for vm in vms), "all VMs are ready")
    wait_until(lambda: sum(vm.schedules() for vm in vms) == 1, "one VM is the scheduler")
    scheduler = next(vm for vm in vms if vm.schedules())
    fronts = [vm for vm in vms if vm is not scheduler]
    expect("one VM is the scheduler", True, scheduler.name)

    print("2. Invalid requests")
    valid_body = {"spec": "300", "steps": [{"count": 1, "cpu": 1000}]}
    name = "00000000000000a0"
    for what, status, arguments in (
        ("a body that is not JSON", 400, ("POST", f"/q/{name}", "no json")),
        ("a malformed job id", 400, ("POST", "/q/xyz", valid_body)),
        ("a step that depends on itself", 400,
         ("POST", f"/q/{name}", {"spec": "", "steps": [{"count": 1, "after": [0]}]})),
        ("a body over the size limit", 413, ("POST", f"/q/{name}", "x" * 30000)),
        ("an unknown queue", 404, ("POST", f"/r/{name}", valid_body)),
        ("an unknown key", 401, ("POST", f"/q/{name}", valid_body, "other")),
        ("an unknown job", 410, ("GET", f"/q/{name}")),
        ("cancelling an unknown job", 410, ("DELETE", f"/q/{name}")),
    ):
        seen = call(fronts[0].jobs, *arguments)[0]
        expect(f"{what} gets {status}", seen == status, seen)

    print("3. A job of two steps with a gang; the scheduler is killed during the first")
    job = "00000000000000a1"
    steps = [{"count": 3, "cpu": 4000, "gpu": 1, "estimate_ms": 700},
             {"count": 4, "cpu": 4000, "gpu": 1, "estimate_ms": 700, "after": [0],
              "gang": True, "same_rack": True}]
    body = {"spec": "700", "steps": steps}
    expect("the job is accepted", call(fronts[0].jobs, "POST", f"/q/{job}", body)[0] == 200)
    expect("a repeated submit at another VM is accepted",
           call(fronts[1].jobs, "POST", f"/q/{job}", body)[0] == 200)
    wait_until(lambda: len(call(store, "GET", "/traces")[1]) >= 3, "the first step is running")
    scheduler.process.send_signal(signal.SIGKILL)
    wait_until(lambda: call(fronts[0].jobs, "GET", f"/q/{job}")[1].get("state") == "done",
               "the job is done")
    traces = call(store, "GET", "/traces")[1]
    tasks = [row["task"] for row in traces if row["end"] == "done"]
    expect("every task ran once", len(traces) == 7 and len(set(tasks)) == 7, len(traces))
    wait_until(lambda: call(fronts[1].jobs, "GET", f"/q/{job}")[1].get("state") == "done",
               "the other VM shows the job as done")
    expect("another VM is the scheduler", any(vm.schedules() for vm in fronts))

    print("4. Cancelling a job")
    long_job = "00000000000000a2"
    call(fronts[0].jobs, "POST", f"/q/{long_job}",
         {"spec": "60000", "steps": [{"count": 2, "cpu": 1000}]})
    wait_until(lambda: call(fronts[0].jobs, "GET", f"/q/{long_job}")[1].get("state") == "running",
               "the job is running")
    expect("the cancel is acknowledged", call(fronts[1].jobs, "DELETE", f"/q/{long_job}")[0] == 200)
    wait_until(lambda: all(row["end"] for row in call(store, "GET", "/traces")[1]), "its runs end")
    wait_until(lambda: call(fronts[0].jobs, "GET", f"/q/{long_job}")[1].get("state") == "cancelled",
               "the job is shown as cancelled")
    expect("the runs of the job have ended, and it is shown as cancelled", True)
    expect("no job is pending", call(fronts[0].jobs, "GET", "/q/")[1].get("pending") == 0)

    print("5. Changed settings and shutdown")
    with open(fronts[0].file, "a", encoding="utf-8") as text:
        text.write("[new]\nkey = 1\n")
    fronts[0].process.send_signal(signal.SIGHUP)
    fronts[1].process.send_signal(signal.SIGTERM)
    wait_until(lambda: not fronts[1].is_ready(), "not ready after SIGTERM")
    expect("the VM exits with status 0 after SIGTERM", fronts[1].process.wait(WAIT_S) == 0)
    fronts[0].process.send_signal(signal.SIGTERM)
    expect("the other VM exits with status 0 after SIGTERM", fronts[0].process.wait(WAIT_S) == 0)
    with open(os.path.join(folder, f"{fronts[0].name}.log"), encoding="utf-8") as log:
        text = log.read()
    expect("the changed settings are logged as reloaded", "event=settings_reloaded" in text)
    bad = os.path.join(folder, "bad.ini")
    with open(bad, "w", encoding="utf-8") as text:
        text.write("[vm]\nname =\n")
    ended = subprocess.run([f"{BUILD}/anvildoor-entry", "--config", bad],
                           stderr=subprocess.PIPE, check=False)
    expect("invalid settings exit with status 2 and name the key",
           ended.returncode == 2 and b"[vm] name" in ended.stderr, ended.stderr.decode().strip())
    standin.terminate()
    print(f"{checks['failed']} expectations failed")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
