"""How long accepted jobs had nothing running in calm beside free workers."""

# From the end of a disruption until such times count, and how long one may be.
CALM_S = 4.0
IDLE_BOUND_S = 3.0


class Idle:
    """The longest such time in s, and those over the bound as (seconds, job, begin)."""

    def __init__(self, jobs, rows, calm, workers, read_at):
        """Takes the stretches of calm that have lasted for CALM_S as they begin, and the
        workers that were there all the time. A job is due from the first answer of 200
        until its cancellation is sent or its last task is done. A gang is due if there
        are two free workers for each member."""
        self.longest, self.late = 0.0, []
        runs, workers = {}, set(workers)
        for row in rows:
            runs.setdefault(row["task"].split(".")[0], []).append(row)
        changes = sorted([(row["began"] / 1000, row["worker"], 1) for row in rows] +
                         [(row["ended"] / 1000, row["worker"], -1) for row in rows if row["end"]])
        free = list(self.free_workers(changes, workers))
        for job in jobs:
            accepted = min((each[2] for each in job.submitted if each[1] == 200), default=None)
            if accepted is None:
                continue
            mine = runs.get(job.id, [])
            until = min([each[0] for each in job.cancelled] + [self.done_at(job, mine, read_at)])
            needed = max([len(workers) / 2] + [2 * step["count"] for step in job.body["steps"]
                                               if step.get("gang")])
            for begin, end in calm:
                self.look(job, mine, free, needed, max(begin, accepted), min(end, until))

    @staticmethod
    def free_workers(changes, workers):
        """Yields (time, number of workers without a run from then on)."""
        busy = dict.fromkeys(workers, 0)
        count = len(workers)
        yield 0.0, count
        for at, worker, change in changes:
            if worker in busy:
                was_free = busy[worker] == 0
                busy[worker] += change
                count += (busy[worker] == 0) - was_free
                yield at, count

    @staticmethod
    def done_at(job, rows, read_at):
        """Returns when the last task was done, or read_at. One end is all of a gang's."""
        done = {}
        for row in rows:
            if row["end"] == "done":
                _, _, step, index = row["task"].split(".")
                is_gang = job.body["steps"][int(step)].get("gang")
                key = (step, "" if is_gang else index)
                done[key] = min(row["ended"] / 1000, done.get(key, read_at))
        tasks = sum(1 if step.get("gang") else step["count"] for step in job.body["steps"])
        return max(done.values()) if len(done) == tasks else read_at

    def look(self, job, rows, free, needed, begin, end):
        """Adds the job's idle times from begin to end."""
        if begin >= end:
            return
        edges = sorted({begin, end} | {at for at, _ in free if begin < at < end} |
                       {at for row in rows for at in (row["began"] / 1000, row["ended"] / 1000)
                        if begin < at < end})
        since, at_free = None, 0
        for first, last in zip(edges, edges[1:]):
            while at_free + 1 < len(free) and free[at_free + 1][0] <= first:
                at_free += 1
            runs = any(row["began"] / 1000 <= first and
                       (not row["end"] or row["ended"] / 1000 > first) for row in rows)
            if runs or free[at_free][1] < needed:
                since = None
                continue
            is_known = since is not None and last - since > IDLE_BOUND_S and \
                self.late and self.late[-1][1:] == (job, since)
            since = first if since is None else since
            self.longest = max(self.longest, last - since)
            if last - since > IDLE_BOUND_S:
                if is_known:
                    self.late.pop()
                self.late.append((last - since, job, since))
