"""Order the waiting work for placement.

Load pattern: for some seconds a queue receives several times the work that
its pool can do. Work that can still meet its objective goes before work that
can't, since a late answer is worth little. Work whose answer would be
worthless goes last, but it still runs, because it was accepted.
"""

from __future__ import annotations

from galenareel._scheduling.tables import JobWork

# An answer later than this multiple of the objective is worthless.
LATE_LIMIT_FACTOR = 3.0

# Classes of timeliness, in the order of placement.
LASTING = 0
ON_TIME = 1
LATE = 2
OVERDUE = 3


def classify_timeliness(job: JobWork, now: float) -> int:
    """Return the class of a job, as if its remaining steps started now."""
    if job.lasting:
        return LASTING
    end_s = now + job.critical_path_s - job.accepted_at
    if end_s <= job.objective_s:
        return ON_TIME
    if end_s <= job.objective_s * LATE_LIMIT_FACTOR:
        return LATE
    return OVERDUE


def placement_key(job: JobWork, now: float) -> tuple[int, int, float, str]:
    """Return the sort key of a job; the smallest key is placed first.

    Within a class and priority the job with the least remaining work goes
    first: at a peak more jobs finish on time than if the most urgent one went
    first, and a started job is finished before another one is started.
    Overdue jobs go in the order in which they were accepted.
    """
    timeliness = classify_timeliness(job, now)
    if timeliness == OVERDUE:
        return timeliness, job.queue.priority, job.accepted_at, job.name
    return timeliness, job.queue.priority, job.remaining_core_s, job.name
