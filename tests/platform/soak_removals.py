"""Removals of VMs and workers in a soak of cancellations, and faults that reach into them."""

import random
import threading
import time

from entry_site import call

# A disruption counts for this long after its end.
CONTACT_S = 3.0
# Between two VMs that are stopped in turn.
ROLL_S = 1.3
SCHEDULER_KEY = "anvildoor/scheduler"


def now():
    """The clock of the stand-in's traces in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Removals:
    """Removals of VMs in calm and after faults that reach into it, and workers that leave."""

    KINDS = ("single", "gang", "steps", "long", "long gang", "long gang", "long gang")
    CALLS = ("watch", "list", "get", "txn", "grant", "renew", "any")
    PREFIXES = ("", "", SCHEDULER_KEY, "anvildoor/in/", "anvildoor/progress/", "op/", "servers/")
    EFFECTS = ("silent", "silent", "answer-lost", "503", "429", "410", "late", "slow")

    def __init__(self, soak):
        self.soak, self.picker = soak, random.Random(soak.seed * 104729 + 1)
        self.workers = list(soak.workers)

    def begin(self):
        if self.picker.random() < 0.5:
            # Cheap reads may be this old at any time.
            call(self.soak.store, "POST", "/store-fault",
                 {"call": "list", "effect": "stale", "delay_ms": 5000})

    def play(self):
        """Plays one episode and waits until it is over."""
        picker, soak = self.picker, self.soak
        threads = []
        if picker.random() < 0.4:
            self.fail_store_calls()
            # What was lost may still be awaited once times count again.
            time.sleep(CONTACT_S + picker.uniform(0, 1))
        soak.cancel_soon(picker.choice((0.2, 0.5, 0.9)))
        for _ in range(picker.choice((0, 0, 1, 3))):
            self.end_worker()
        if picker.random() < 0.3:
            time.sleep(picker.uniform(0, 2))
        for _ in range(picker.choice((1, 1, 2, 4, 8))):
            vm = self.next_vm()
            if not vm:
                break
            vm.is_disturbed = True
            how = picker.choice((soak.replace, soak.replace, soak.terminate))
            threads.append(threading.Thread(
                target=soak.disturb, args=(how, vm, random.Random(picker.random()))))
            threads[-1].start()
            time.sleep(ROLL_S)
            soak.cancel_soon(picker.choice((0, 0.3, 0.6)))
        for each in threads:
            each.join()
        time.sleep(picker.choice((0.5, 4, 7)))

    def next_vm(self):
        """Returns the scheduler's VM, also one that has just begun, or seldom another."""
        sound = [vm for vm in self.soak.vms if vm.is_alive() and not vm.is_disturbed]
        if len(sound) < 3:
            return None
        name = self.soak.key_reads[-1][1] if self.soak.key_reads else ""
        schedulers = [vm for vm in sound if vm.name == name]
        return self.picker.choice(schedulers if schedulers and self.picker.random() < 0.8
                                  else sound)

    def fail_store_calls(self):
        """Has single calls fail at one VM, often the scheduler's, or at all of them."""
        picker, soak = self.picker, self.soak
        vm = picker.choice((self.next_vm(), picker.choice(soak.vms), None))
        port = str(soak.stores[soak.vms.index(vm) % len(soak.stores)]) if vm else ""
        begin, spell_s = now(), picker.choice((0.5, 2, 6))
        is_deaf = picker.random() < 0.3  # No VM is told of the end of a term.
        if is_deaf:
            vm, port = None, ""
        for _ in range(picker.choice((1, 1, 2))):
            effect, kind = picker.choice(self.EFFECTS), picker.choice(self.CALLS)
            body = {"call": kind, "prefix": picker.choice(self.PREFIXES), "effect": effect,
                    "for_ms": int(1000 * spell_s), "delay_ms": picker.choice((200, 1000, 2000)),
                    "calls": picker.choice((1, 2, 5, -1)), "percent": picker.choice((100, 60))}
            if is_deaf:
                body.update(call="watch", prefix=SCHEDULER_KEY, effect="silent", calls=-1)
            elif kind in ("grant", "renew", "any"):
                body["prefix"] = ""  # They name no key.
            for each in [port] if port else [str(each) for each in soak.stores]:
                call(soak.store, "POST", "/store-fault", dict(body, port=each))
            time.sleep(0.01)
            what = f"{body['effect']} {body['call']} {body['prefix']}"
            soak.disrupt(f"store: {what} at {vm.name if vm else 'all VMs'}", begin,
                         begin + spell_s + (2 if body["effect"] in ("late", "slow") else 0))
        time.sleep(max(0, begin + spell_s - now()))

    def end_worker(self):
        """Has a worker drain and leave, or leave at once; half of them stay."""
        if len(self.workers) <= len(self.soak.workers) // 2:
            return
        worker = self.picker.choice(self.workers)
        self.workers.remove(worker)
        if self.picker.random() < 0.2:
            call(self.soak.store, "POST", "/leave", {"worker": worker})
            return
        call(self.soak.store, "POST", "/worker-fault",
             {"worker": worker, "kind": "drain", "stays_ms": 0,
              "remaining_ms": self.picker.choice((0, 3000, 8000)),
              "entry_ms": self.picker.choice((300, 2000, 5000, 8000))})
