"""Checks that the judge of idle jobs finds times in calm beside free workers, and no others.

Usage: check_idle_judge.py. Needs no processes.
"""

import sys
from types import SimpleNamespace

from entry_site import checks, expect
from idle_judge import Idle

WORKERS = ("w0", "w1", "w2", "w3")
CALM = ((10, 30),)


def job(steps, cancelled_at=None, accepted_at=5.0, status=200):
    return SimpleNamespace(id="a", body={"steps": steps},
                           submitted=[(accepted_at, status, accepted_at)],
                           cancelled=[(cancelled_at, 200, cancelled_at)] if cancelled_at else [])


def run(task, began, ended, worker="w0", end="done"):
    return {"task": task, "worker": worker, "began": 1000 * began, "ended": 1000 * ended,
            "end": end}


def others(count, until=29):
    return [run(f"b.0.0.{number}", 1, until, worker=f"w{number}") for number in range(count)]


ONE, TWO = [{"count": 1}], [{"count": 2}]
GANG, NEXT = [{"count": 2, "gang": True}], [{"count": 1}, {"count": 1, "after": [0]}]

# What happens, the job, the runs, the stretches of calm, the longest time, how many are late.
ROWS = (
    ("never started", job(ONE), [], CALM, 20, 1),
    ("never accepted", job(ONE, status=503), [], CALM, 0, 0),
    ("started at the bound", job(ONE), [run("a.0.0.0", 13, 20)], CALM, 3, 0),
    ("started past the bound", job(ONE), [run("a.0.0.0", 13.5, 20)], CALM, 3.5, 1),
    ("accepted in calm", job(ONE, accepted_at=12), [run("a.0.0.0", 14, 20)], CALM, 2, 0),
    ("cancelled in time", job(ONE, cancelled_at=12), [], CALM, 2, 0),
    ("idle outside of calm", job(ONE), [run("a.0.0.0", 14, 20)], ((13, 30),), 1, 0),
    ("one of two tasks runs", job(TWO), [run("a.0.0.0", 10, 30)], CALM, 0, 0),
    ("one of two tasks is done", job(TWO), [run("a.0.0.0", 6, 10)], CALM, 20, 1),
    ("all are done", job(TWO), [run("a.0.0.0", 6, 10), run("a.0.0.1", 6, 9)], CALM, 0, 0),
    ("a lost run is none", job(ONE), [run("a.0.0.0", 6, 10, end="lost")], CALM, 20, 1),
    ("between steps", job(NEXT), [run("a.0.0.0", 6, 12), run("a.0.1.0", 17, 20)], CALM, 5, 1),
    ("one end of a gang is all of its ends", job(GANG), [run("a.0.0.1", 6, 10)], CALM, 0, 0),
    ("half of the workers are free", job(ONE), others(2), CALM, 20, 1),
    ("less than half are free", job(ONE), others(3), CALM, 1, 0),
    ("less than half are free for a time", job(ONE), others(3, 26), CALM, 4, 1),
    ("too few for a gang are free", job(GANG), others(1), CALM, 1, 0),
    ("a gang, and all are free", job(GANG), [], CALM, 20, 1),
)


def main():
    for what, subject, rows, calm, longest, late in ROWS:
        idle = Idle([subject], rows, calm, WORKERS, 30)
        expect(what, abs(idle.longest - longest) < 0.001 and len(idle.late) == late,
               f"{idle.longest} s, {len(idle.late)} late")
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
