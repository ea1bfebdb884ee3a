"""Checks that the judge of EVAC finds each late start, and nothing that is allowed.

Usage: check_evacuation_judge.py. Needs no processes.
"""

import sys

from entry_site import checks, expect
from soak_evacuations import BOUND_S, judge_starts

ZONES = {"i-1": "z0", "i-2": "z1"}
# What the requests show, the requests (data centre, acknowledged, removal sent), the worker and
# the begin of a run in s, and whether the start is late.
STARTS = (
    ("no request", [], "i-1", 20, False),
    ("a start before the request", [("z0", 10, None)], "i-1", 9, False),
    ("a start at the bound", [("z0", 10, None)], "i-1", 10 + BOUND_S, False),
    ("a start past the bound", [("z0", 10, None)], "i-1", 10.001 + BOUND_S, True),
    ("a start in another data centre", [("z0", 10, None)], "i-2", 20, False),
    ("a start before the removal", [("z0", 10, 20)], "i-1", 19.999, True),
    ("a start as the removal is sent", [("z0", 10, 20)], "i-1", 20, False),
    ("a start soon after a second request", [("z0", 1, 9), ("z0", 10, None)], "i-1", 14, False),
    ("a start long after a second request", [("z0", 1, 9), ("z0", 10, None)], "i-1", 16, True),
)


def main():
    for what, requests, worker, began, is_late in STARTS:
        found = judge_starts([{"worker": worker, "began": 1000 * began}], ZONES, requests)
        expect(what, bool(found) == is_late, found)
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
