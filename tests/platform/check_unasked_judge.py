"""Checks that the judge of UNASKED finds a break of each clause, and nothing that is allowed.

Usage: check_unasked_judge.py. Needs no processes.
"""

import sys

import unasked_judge
from entry_site import checks, expect
from unasked_judge import MIXED_GANG, OTHER_CHECKPOINT, OTHER_SPEC, UNKNOWN_TASK

STEPS, GANG, REPEATS, FOREIGN = "000a", "000b", "000c", "000f"
HAND_INS = {
    STEPS: [{"spec": "s1", "steps": [{"count": 2}, {"after": [0]}]}],
    GANG: [{"spec": "s2", "steps": [{"count": 2, "gang": True},
                                    {"count": 2, "gang": True, "after": [0]}]}],
    REPEATS: [{"spec": "s3", "repeats": 2, "steps": [{"count": 1}]}],
}
SPECS = {job: bodies[0]["spec"] for job, bodies in HAND_INS.items()}


def run(task, number=1, began=1000, ended=2000, end="done", spec=None, checkpoint="",
        handed_out=()):
    return {"task": task, "run": number, "began": began, "ended": ended, "end": end,
            "spec": SPECS.get(task.split(".")[0], "") if spec is None else spec,
            "checkpoint": checkpoint, "handed_out": list(handed_out)}


def given(task, value, at=1500, **more):
    """A run that handed out a checkpoint and was stopped."""
    return run(task, end="stopped", handed_out=[(at, value)], **more)


def resumed(task, value, number=2, began=3000, **more):
    return run(task, number, began=began, ended=4000, checkpoint=value, **more)


# What the traces show, the traces, and what is wrong with each row that is reported.
STARTS = (
    ("all tasks of a job", [run(f"{STEPS}.0.0.0"), run(f"{STEPS}.0.0.1"), run(f"{STEPS}.0.1.0")],
     []),
    ("a job that nobody sent", [run(f"{FOREIGN}.0.0.0")], [UNKNOWN_TASK]),
    ("a name that is none", [run(f"{STEPS}.0.0")], [UNKNOWN_TASK]),
    ("an index below 0", [run(f"{STEPS}.0.0.-1")], [UNKNOWN_TASK]),
    ("an index out of range", [run(f"{STEPS}.0.0.2")], [UNKNOWN_TASK]),
    ("an index of the other step", [run(f"{STEPS}.0.1.1")], [UNKNOWN_TASK]),
    ("a step out of range", [run(f"{STEPS}.0.2.0")], [UNKNOWN_TASK]),
    ("an occurrence of a job without", [run(f"{STEPS}.1.0.0")], [UNKNOWN_TASK]),
    ("the last occurrence", [run(f"{REPEATS}.1.0.0")], []),
    ("an occurrence out of range", [run(f"{REPEATS}.2.0.0")], [UNKNOWN_TASK]),
    ("the spec of another job", [run(f"{STEPS}.0.0.0", spec="s2")], [OTHER_SPEC]),
    ("no spec", [run(f"{STEPS}.0.0.0", spec="")], [OTHER_SPEC]),
    ("a spec with a blank more", [run(f"{STEPS}.0.0.0", spec="s1 ")], [OTHER_SPEC]),
    ("a checkpoint of the task", [given(f"{STEPS}.0.0.0", "c"), resumed(f"{STEPS}.0.0.0", "c")],
     []),
    ("one that was handed out in the ms of the start",
     [given(f"{STEPS}.0.0.0", "c"), resumed(f"{STEPS}.0.0.0", "c", began=1500)], []),
    ("one that was handed out after the start only",
     [given(f"{STEPS}.0.0.0", "c"), resumed(f"{STEPS}.0.0.0", "c", began=1499)],
     [OTHER_CHECKPOINT]),
    ("an older one of the task",
     [run(f"{STEPS}.0.0.0", end="lost", handed_out=[(1200, "c"), (1500, "d")]),
      resumed(f"{STEPS}.0.0.0", "c")], []),
    ("one of two runs before, and a run from scratch since",
     [given(f"{STEPS}.0.0.0", "c"), run(f"{STEPS}.0.0.0", 2), resumed(f"{STEPS}.0.0.0", "c", 3)],
     []),
    ("a run from scratch although there is one",
     [given(f"{STEPS}.0.0.0", "c"), resumed(f"{STEPS}.0.0.0", "")], []),
    ("one that nobody handed out", [resumed(f"{STEPS}.0.0.0", "c")], [OTHER_CHECKPOINT]),
    ("one of the neighbour's",
     [given(f"{STEPS}.0.0.1", "c"), resumed(f"{STEPS}.0.0.0", "c")], [OTHER_CHECKPOINT]),
    ("one of the step before",
     [given(f"{STEPS}.0.0.0", "c"), resumed(f"{STEPS}.0.1.0", "c")], [OTHER_CHECKPOINT]),
    ("one of another occurrence",
     [given(f"{REPEATS}.0.0.0", "c"), resumed(f"{REPEATS}.1.0.0", "c")], [OTHER_CHECKPOINT]),
    ("one of another job",
     [given(f"{STEPS}.0.0.0", "c"), resumed(f"{REPEATS}.0.0.0", "c")], [OTHER_CHECKPOINT]),
    ("a gang's, of any member",
     [given(f"{GANG}.0.0.1", "c"), resumed(f"{GANG}.0.0.0", "c"), resumed(f"{GANG}.0.0.1", "c")],
     []),
    ("a gang's, of the other step",
     [given(f"{GANG}.0.0.1", "c"), resumed(f"{GANG}.0.1.0", "c")], [OTHER_CHECKPOINT]),
    ("two of a gang's own in one run",
     [given(f"{GANG}.0.0.0", "c"), given(f"{GANG}.0.0.1", "d"), resumed(f"{GANG}.0.0.0", "c"),
      resumed(f"{GANG}.0.0.1", "d")], [MIXED_GANG]),
    ("a member from scratch beside one that resumes",
     [given(f"{GANG}.0.0.0", "c"), resumed(f"{GANG}.0.0.0", "c"), resumed(f"{GANG}.0.0.1", "")],
     [MIXED_GANG]),
    ("two of a gang's own in two runs",
     [given(f"{GANG}.0.0.0", "c"), given(f"{GANG}.0.0.1", "d"), resumed(f"{GANG}.0.0.0", "c"),
      resumed(f"{GANG}.0.0.1", "d", 3)], []),
    ("different ones in a step that is no gang",
     [given(f"{STEPS}.0.0.0", "c"), given(f"{STEPS}.0.0.1", "d"), resumed(f"{STEPS}.0.0.0", "c"),
      resumed(f"{STEPS}.0.0.1", "d")], []),
)

# The cancellation is answered at 10 s, and all is read at 30 s. What the trace shows, when
# the run began and ended in ms (0: it runs on), the stretches of calm, and what is wrong.
ALWAYS = ((0, 30),)
TIMES = (
    ("a start at the bound", 13000, 13100, ALWAYS, []),
    ("a start past the bound", 13001, 13100, ALWAYS, ["late start"]),
    ("a start past the bound, and long before calm", 13001, 13100, ((0, 9), (20, 30)), []),
    ("a start at the bound after calm began", 23000, 23100, ((0, 9), (20, 30)), []),
    ("a start past the bound after calm began", 23001, 23100, ((0, 9), (20, 30)),
     ["late start"]),
    ("an end just inside the bound", 5000, 13399, ALWAYS, []),
    ("an end past the bound", 5000, 13401, ALWAYS, ["late end"]),
    ("an end past the bound of a run that began since", 12999, 13401, ALWAYS, ["late end"]),
    ("an end before the answer", 5000, 9000, ALWAYS, []),
    ("an end past the bound beside a disruption", 5000, 18000, ((0, 13), (16, 30)), []),
    ("an end past the bound after calm began", 5000, 19401, ((0, 9), (16, 30)), ["late end"]),
    ("no end within a short calm", 5000, 0, ((0, 9), (28, 30)), []),
    ("no end", 5000, 0, ((0, 9), (26, 30)), ["no end", "late end"]),
)


def main():
    for what, rows, wrong in STARTS:
        found = [each for _, each in unasked_judge.judge_starts(rows, HAND_INS)]
        expect(what, found == wrong, found)
    for what, began, ended, calm, wrong in TIMES:
        row = run(f"{STEPS}.0.0.0", began=began, ended=ended, end="done" if ended else "")
        found = [each for each, _ in unasked_judge.judge_times(row, 10.0, calm, 30.0)[1]]
        expect(what, found == wrong, found)
    return 1 if checks["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
