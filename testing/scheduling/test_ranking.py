"""Which waiting work gets room first at a peak."""

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


def work(name: str, *, at: float, core_s: float, chain_s: float) -> JobWork:
    return JobWork(
        name=name,
        queue=QUEUE,
        accepted_at=at,
        objective_s=1.6 * chain_s + 0.6,
        work_core_s=core_s,
        remaining_core_s=core_s,
        critical_path_s=chain_s,
    )


def test_standing_follows_the_time_that_is_left() -> None:
    job = work('j', at=0.0, core_s=8, chain_s=1.0)  # objective 2.2 s
    assert classify_timeliness(job, 1.1) == ON_TIME
    assert classify_timeliness(job, 1.3) == LATE
    assert classify_timeliness(job, 5.5) == LATE
    assert classify_timeliness(job, 5.7) == OVERDUE


def test_lasting_work_comes_first() -> None:
    lasting = work('l', at=5.0, core_s=0, chain_s=0.0)
    lasting.lasting = True
    other = work('j', at=0.0, core_s=1, chain_s=0.1)
    assert placement_key(lasting, 5.0) < placement_key(other, 5.0)


@dataclass
class Replay:
    """One pool as a single server that works job after job."""

    jobs: list[JobWork]
    cores: float

    def on_time(self, *, by_urgency: bool) -> int:
        now, served = 0.0, 0
        waiting = list(self.jobs)
        while waiting:
            arrived = [one for one in waiting if one.accepted_at <= now]
            if not arrived:
                now = min(one.accepted_at for one in waiting)
                continue
            if by_urgency:
                job = min(arrived, key=lambda one: _latest_start(one, now))
            else:
                job = min(arrived, key=lambda one: placement_key(one, now))
            waiting.remove(job)
            now += job.work_core_s / self.cores
            served += now - job.accepted_at <= job.objective_s
        return served


def _latest_start(job: JobWork, now: float) -> tuple[int, float]:
    """The rule that was replaced: the most urgent job first."""
    kind = classify_timeliness(job, now)
    factor = 1.0 if kind == ON_TIME else LATE_LIMIT_FACTOR
    return (
        kind,
        job.accepted_at + job.objective_s * factor - job.critical_path_s,
    )


def test_more_jobs_end_on_time_at_a_peak_of_twice_the_room() -> None:
    # Ninety jobs in three seconds ask for twice what the pool can do.
    sizes = [2.0, 5.0, 14.0]
    jobs = [
        work(f'j{n}', at=n / 30, core_s=sizes[n % 3], chain_s=0.6)
        for n in range(90)
    ]
    replay = Replay(jobs, cores=105.0)
    assert replay.on_time(by_urgency=False) > 1.2 * replay.on_time(
        by_urgency=True
    )
