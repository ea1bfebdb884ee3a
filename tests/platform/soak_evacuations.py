"""Evacuations of data centres and uneven workers in a soak, and the judge of rule EVAC.

The judge knows what the operator wrote and which runs the workers saw, and nothing of the
scheduler.
"""

import base64
import json
import random
import time

from entry_site import call
from soak_removals import CONTACT_S, now

BOUND_S = 5.0
PREFIX = "op/evacuate/"
DATA_CENTRES = 3
PACES = (0.6, 1.0, 1.0, 1.6)


def judge_starts(rows, zones, requests):
    """Returns [(row, seconds after the acknowledgement)] of the starts that broke a request.

    zones has the data centre of each worker. A request is its data centre and the times at
    which its key was acknowledged and its removal was sent (None: not yet). Disruptions excuse
    nothing: a scheduler that can't read the requests has to start nothing."""
    late = []
    for row in rows:
        began = row["began"] / 1000
        for zone, acknowledged, taken_back in requests:
            if zones[row["worker"]] == zone and acknowledged + BOUND_S < began and \
                    (taken_back is None or began < taken_back):
                late.append((row, began - acknowledged))
    return late


class Evacuations:
    """Writes and removes the requests, and changes the workers' paces."""

    def __init__(self, soak):
        self.soak, self.picker = soak, random.Random(soak.seed * 6700417 + 1)
        self.zones, self.paces = {}, random.Random(soak.seed * 86028121 + 1)
        self.requests = []  # [data centre, sent, acknowledged, removal sent, removed]

    def begin(self):
        for worker in self.soak.workers:
            item = call(self.soak.store, "GET", f"/kv-key?key=servers/{worker}")[1]
            self.zones[worker] = json.loads(base64.b64decode(item["value"]))["zone"]
            self.set_pace(worker)

    def set_pace(self, worker):
        call(self.soak.store, "POST", "/worker-fault",
             {"worker": worker, "kind": "pace", "pace": self.paces.choice(PACES)})

    def run(self):
        picker, zones = self.picker, sorted(set(self.zones.values()))
        while not self.soak.ends:
            self.wait(picker.uniform(0, 4))
            # Seldom there is none left in which to start.
            chosen = picker.sample(zones, picker.choice((1, 1, 1, 1, 1, 2, 2, len(zones))))
            requests = [self.evacuate(zone) for zone in chosen]
            self.wait(picker.choice((0, BOUND_S, BOUND_S)) + picker.uniform(0.5, 1.5 * BOUND_S))
            for request in requests:
                request[3] = now()
                call(self.soak.store, "POST", "/remove", {"key": PREFIX + request[0]})
                request[4] = now()
            self.set_pace(self.paces.choice(self.soak.workers))

    def evacuate(self, zone):
        sent = now()
        call(self.soak.store, "POST", "/put", {"key": PREFIX + zone, "value": "{}"})
        self.requests.append([zone, sent, now(), None, None])
        return self.requests[-1]

    def wait(self, seconds):
        until = now() + seconds
        while now() < until and not self.soak.ends:
            time.sleep(0.05)

    def judge(self, rows, counts):
        """Returns the rows of starts that broke a request, with their times."""
        requests = [(each[0], each[2], each[3]) for each in self.requests]
        judged = [each for each in requests if (each[2] or now()) > each[1] + BOUND_S]
        inside = [row["began"] / 1000 - acknowledged for row in rows
                  for zone, acknowledged, taken_back in requests
                  if self.zones[row["worker"]] == zone and
                  acknowledged < row["began"] / 1000 < (taken_back or now())]
        counts.update(evacuations=len(requests), evacuations_judged=len(judged),
                      started_inside=len(inside), last_inside=round(max(inside, default=0.0), 2))
        return judge_starts(rows, self.zones, requests)

    def busy(self, read_at):
        """Returns rows that show the evacuated workers as busy, for the judge of idle jobs."""
        return [{"task": "", "worker": worker, "end": "removed", "began": 1000 * sent,
                 "ended": 1000 * ((removed or read_at) + CONTACT_S)}
                for zone, sent, _, _, removed in self.requests
                for worker, its in self.zones.items() if its == zone]
