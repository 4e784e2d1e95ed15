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
    end = now + job.chain_s - job.accepted_at
    if end <= job.objective_s:
        return ON_TIME
    if end <= job.objective_s * LATE_FACTOR:
        return LATE
    return OVERDUE


def rank(job: JobWork, now: float) -> tuple[int, int, float, str]:
    """Sort key; the smallest gets room first.

    Among jobs of one standing the one that must start soonest goes first.
    """
    kind = standing(job, now)
    limit = job.objective_s * (1.0 if kind == ON_TIME else LATE_FACTOR)
    latest_start = job.accepted_at + limit - job.chain_s
    return kind, job.queue.priority, latest_start, job.name
