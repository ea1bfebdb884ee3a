"""Judges the rule UNASKED on the stand-in's runs: what was started, and how late.

A run is a row of the stand-in: `task`, `run`, `worker`, `spec`, `checkpoint`, `handed_out`
(rows of a time and a checkpoint), `began` and `ended` in ms, and `end` (empty: runs on). The
judge knows what callers sent and what workers handed out, and nothing of the scheduler.
"""

# From the answer of a cancellation to the last start, and to the end of the last run.
START_BOUND_S = 3.0
END_BOUND_S = 3.4

UNKNOWN_TASK = "a task that no caller sent"
OTHER_SPEC = "another spec"
OTHER_CHECKPOINT = "a checkpoint that isn't the task's"
MIXED_GANG = "other checkpoints in one gang run"


def parse_task(name):
    """Returns (job, occurrence, step, index); None if it isn't a task's name."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return (parts[0], *(int(part) for part in parts[1:]))


def step_of(task, hand_ins):
    """Returns the step of a parsed task in what its callers sent, or None."""
    job, occurrence, step, index = task
    for body in hand_ins.get(job, ()):
        if occurrence < max(1, body.get("repeats", 0)) and step < len(body["steps"]) and \
                index < body["steps"][step].get("count", 1):
            return body["steps"][step]
    return None


def judge_starts(rows, hand_ins):
    """Returns [(row, what is wrong)] of starts that no caller sent so.

    hand_ins has the bodies that callers sent for each job id, whatever the answers."""
    # What a checkpoint is valid for is the task, or the step's occurrence for a gang.
    handed_out, gang_runs, broken = {}, {}, []
    for row in rows:
        task = parse_task(row["task"])
        if task:
            for at, checkpoint in row["handed_out"]:
                key = (owner_of(task, hand_ins), checkpoint)
                handed_out[key] = min(at, handed_out.get(key, at))
    for row in rows:
        task = parse_task(row["task"])
        step = task and step_of(task, hand_ins)
        if not step:
            broken.append((row, UNKNOWN_TASK))
            continue
        if all(row["spec"] != body["spec"] for body in hand_ins[task[0]]):
            broken.append((row, OTHER_SPEC))
        if row["checkpoint"]:
            first = handed_out.get((owner_of(task, hand_ins), row["checkpoint"]))
            if first is None or first > row["began"]:
                broken.append((row, OTHER_CHECKPOINT))
        if step.get("gang"):
            members = gang_runs.setdefault((*task[:3], row["run"]), [])
            if members and members[0] != row["checkpoint"]:
                broken.append((row, MIXED_GANG))
            members.append(row["checkpoint"])
    return broken


def owner_of(task, hand_ins):
    step = step_of(task, hand_ins)
    return task[:3] if step and step.get("gang") else task


def judge_times(row, answered, calm, read_at):
    """Judges a run of a job whose cancellation was answered.

    Returns the time in s that it went on after the answer, or after the begin of calm, in
    each stretch of calm in which it did so, and [(what is wrong, seconds)]."""
    began = row["began"] / 1000
    ended = row["ended"] / 1000 if row["end"] else read_at
    went_on, broken = [], []
    if not row["end"] and read_at - max(answered, calm[-1][0]) > END_BOUND_S:
        broken.append(("no end", ended - answered))
    for begin, end in calm:
        since = max(answered, begin)
        if since >= end or ended <= since:
            continue
        seconds = min(ended, end) - since
        went_on.append(seconds)
        if since + START_BOUND_S < began < end:
            broken.append(("late start", began - since))
        elif began < end and seconds > END_BOUND_S:
            broken.append(("late end", seconds))
    return went_on, broken
