"""In which order waiting work gets room.

Load pattern: a queue asks several times its mean for some seconds, more than
its pool holds. Work that can still meet its objective goes before work that
can't, since a late answer is worth little; what can no longer be even a late
answer goes last, but it still runs, because it was accepted.
"""

from __future__ import annotations

from galenareel._scheduling.tables import JobWork

LATE_FACTOR = 3.0  # of the objective; a later answer is worth nothing

LASTING = 0
ON_TIME = 1
LATE = 2
OVERDUE = 3


def standing(job: JobWork, now: float) -> int:
    """Whether a job that got room now would end on time."""
    if job.lasting:
        return LASTING
    end = now + job.critical_path_s - job.accepted_at
    if end <= job.objective_s:
        return ON_TIME
    if end <= job.objective_s * LATE_FACTOR:
        return LATE
    return OVERDUE


def placement_key(job: JobWork, now: float) -> tuple[int, int, float, str]:
    """Sort key; the smallest gets room first.

    Among jobs of one standing the one with the least work left goes first:
    at a peak more of them end on time than if the most urgent one did, and a
    job that has begun is finished before another is begun.
    """
    kind = standing(job, now)
    if kind == OVERDUE:
        return kind, job.queue.priority, job.accepted_at, job.name
    return kind, job.queue.priority, job.remaining_core_s, job.name
