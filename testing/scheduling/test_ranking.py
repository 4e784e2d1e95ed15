"""Tests of the order in which waiting work is placed at a peak.

They guard against an order that finishes fewer jobs on time when a queue
receives more work than its pool can do.
"""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._jobs.model import Queue
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import LATE
from galenareel._scheduling.ranking import LATE_LIMIT_FACTOR
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.ranking import OVERDUE
from galenareel._scheduling.ranking import placement_key
from galenareel._scheduling.tables import JobWork

QUEUE = Queue(name='view', host='h', prefix='/v/', pool='lots')


def make_job(name: str, *, at: float, core_s: float, path_s: float) -> JobWork:
    """Make a job that was accepted at a time.

    :param core_s: work of the job in core seconds.
    :param path_s: length of its critical path.
    """
    return JobWork(
        name=name,
        queue=QUEUE,
        accepted_at=at,
        objective_s=1.6 * path_s + 0.6,
        work_core_s=core_s,
        remaining_core_s=core_s,
        critical_path_s=path_s,
    )


def test_timeliness_follows_the_remaining_time() -> None:
    job = make_job('j', at=0.0, core_s=8, path_s=1.0)  # objective 2.2 s
    assert classify_timeliness(job, 1.1) == ON_TIME
    assert classify_timeliness(job, 1.3) == LATE
    assert classify_timeliness(job, 5.5) == LATE
    assert classify_timeliness(job, 5.7) == OVERDUE


def test_lasting_job_is_placed_first() -> None:
    lasting = make_job('l', at=5.0, core_s=0, path_s=0.0)
    lasting.lasting = True
    other = make_job('j', at=0.0, core_s=1, path_s=0.1)
    assert placement_key(lasting, 5.0) < placement_key(other, 5.0)


@dataclass
class Replay:
    """Replay of a peak in a pool that runs one job after the other."""

    jobs: list[JobWork]
    cores: float

    def count_on_time(self, *, by_urgency: bool) -> int:
        """Run all jobs and return how many end within their objective.

        :param by_urgency: run the most urgent job first, for comparison.
        """
        now, on_time = 0.0, 0
        waiting = list(self.jobs)
        while waiting:
            arrived = [job for job in waiting if job.accepted_at <= now]
            if not arrived:
                now = min(job.accepted_at for job in waiting)
                continue
            if by_urgency:
                job = min(arrived, key=lambda job: _urgency_key(job, now))
            else:
                job = min(arrived, key=lambda job: placement_key(job, now))
            waiting.remove(job)
            now += job.work_core_s / self.cores
            on_time += now - job.accepted_at <= job.objective_s
        return on_time


def _urgency_key(job: JobWork, now: float) -> tuple[int, float]:
    """Return the sort key that puts the most urgent job first."""
    timeliness = classify_timeliness(job, now)
    factor = 1.0 if timeliness == ON_TIME else LATE_LIMIT_FACTOR
    return (
        timeliness,
        job.accepted_at + job.objective_s * factor - job.critical_path_s,
    )


def test_least_remaining_work_first_ends_more_jobs_on_time() -> None:
    # Ninety jobs in three seconds need twice the capacity of the pool.
    sizes = [2.0, 5.0, 14.0]
    jobs = [
        make_job(f'j{n}', at=n / 30, core_s=sizes[n % 3], path_s=0.6)
        for n in range(90)
    ]
    replay = Replay(jobs, cores=105.0)
    assert replay.count_on_time(by_urgency=False) > 1.2 * replay.count_on_time(
        by_urgency=True
    )
