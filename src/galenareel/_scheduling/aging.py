"""Bound how long an accepted job is passed over by smaller ones.

Load pattern: small jobs keep arriving, and each goes before the large ones
that wait, as the job with the least remaining work is placed first. A large
job goes before them as soon as it would be late otherwise, and a late one as
soon as its answer would be worthless otherwise, but only before jobs that can
still wait: no other job becomes late by it. At a peak that is
more than a pool can do, somebody has to be late, and fewer jobs are if these
are the largest.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from galenareel._scheduling.forecast import Estimator
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import LATE
from galenareel._scheduling.ranking import LATE_LIMIT_FACTOR
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.ranking import OVERDUE
from galenareel._scheduling.tables import JobWork

# Waiting work is tried again at the latest after this time.
MARGIN_S = 0.25
# A job that lets another one go first is placed at an end of a run, which is
# known at the next poll.
OTHERS_MARGIN_S = 0.1
# With more arriving work, the jobs that come next would be late instead, and
# they are more than the large ones.
MAX_LOAD = 2.0
MAX_MOVES = 16  # jobs that go forward in one pass; bounds its time


def get_job_group(job: JobWork) -> Hashable:
    """Return the group of a job; it goes only before jobs of its group."""
    return job.queue.priority


@dataclass(slots=True, eq=False)
class Turn:
    """A job in the order of placement.

    :param slack_s: time that it can wait and still be on time. For a late job
        the time until its answer would be worthless.
    :param delay_s: time in which as much room as it needs becomes free.
    :param start_s: expected time until the jobs before it have started.
    """

    job: JobWork
    timeliness: int
    slack_s: float
    group: Hashable
    delay_s: float
    start_s: float = 0.0

    @property
    def end_s(self) -> float:
        """Expected time until all of its tasks have started."""
        return self.start_s + self.delay_s

    def can_wait(self, delay_s: float) -> bool:
        """Return whether a further delay makes the job no later."""
        if self.timeliness == OVERDUE or self.end_s > self.slack_s:
            return True
        return self.end_s + delay_s + OTHERS_MARGIN_S <= self.slack_s


@dataclass(slots=True)
class Order:
    """Jobs in the order of placement.

    :param deferred: names of jobs that have to wait for others, so that no
        room is kept for them.
    """

    jobs: list[JobWork] = field(default_factory=list)
    deferred: set[str] = field(default_factory=set)


def limit_waiting(
    jobs: Sequence[JobWork],
    cores: float,
    estimate: Estimator,
    now: float,
    *,
    load: float = 0.0,
    get_group: Callable[[JobWork], Hashable] = get_job_group,
) -> Order:
    """Return the order of placement with a bound on the waits.

    The number of jobs that go forward is bounded. Above a load of ``MAX_LOAD``
    none does, and no room is kept for any.

    :param jobs: jobs by :func:`~galenareel._scheduling.ranking.placement_key`.
    :param cores: processor cores of the pool's workers.
    :param load: arriving work as a share of what the pool can do.
    :param get_group: returns a value; a job goes only before jobs that have
        the same one.
    """
    if load > MAX_LOAD:
        return Order(list(jobs), {job.name for job in jobs})
    needs = [_count_cores(job) for job in jobs]
    run_s = _get_mean_run_s(jobs, estimate)
    # A pool that is full frees its cores once in the time of a run.
    turns = [
        _make_turn(job, need * run_s / max(cores, 1.0), now, get_group)
        for job, need in zip(jobs, needs, strict=True)
    ]
    _update_starts(turns, 0)
    deferred: set[str] = set()
    passed_over = [turn for turn in turns if _is_passed_over(turn)]
    passed_over.sort(key=lambda turn: (turn.timeliness, -turn.slack_s))
    for number, turn in enumerate(passed_over):
        if number < MAX_MOVES:
            _move_forward(turns, turn)
        if turn.end_s > turn.slack_s:
            deferred.add(turn.job.name)
    return Order([turn.job for turn in turns], deferred)


def _count_cores(job: JobWork) -> float:
    """Return how many cores the waiting tasks of a job take."""
    return sum(
        len(step.waiting) * step.step.cpu / 1000
        for step in job.steps.values()
        if step.waiting and not step.step.lasting
    )


def _get_mean_run_s(jobs: Sequence[JobWork], estimate: Estimator) -> float:
    """Return the mean run time of the waiting tasks, by processor."""
    cpu = cpu_s = 0.0
    for job in jobs:
        for step in job.steps.values():
            if step.waiting and not step.step.lasting:
                step_cpu = len(step.waiting) * step.step.cpu
                cpu += step_cpu
                cpu_s += step_cpu * estimate(step).task_s
    return cpu_s / cpu if cpu > 0 else 0.0


def _make_turn(
    job: JobWork,
    delay_s: float,
    now: float,
    get_group: Callable[[JobWork], Hashable],
) -> Turn:
    timeliness = classify_timeliness(job, now)
    factor = 1.0 if timeliness <= ON_TIME else LATE_LIMIT_FACTOR
    due_at = job.accepted_at + job.objective_s * factor
    return Turn(
        job=job,
        timeliness=timeliness,
        slack_s=due_at - job.critical_path_s - now,
        group=get_group(job),
        delay_s=delay_s,
    )


def _update_starts(turns: list[Turn], first: int) -> None:
    """Compute the expected starts from a position on."""
    start_s = turns[first - 1].end_s if first > 0 else 0.0
    for turn in turns[first:]:
        turn.start_s = start_s
        start_s += turn.delay_s


def _is_passed_over(turn: Turn) -> bool:
    """Return whether a job is late, or worthless, if the order stays."""
    if turn.timeliness not in (ON_TIME, LATE):
        return False
    return turn.end_s + MARGIN_S > turn.slack_s


def _move_forward(turns: list[Turn], turn: Turn) -> None:
    """Let a job go before others that can still wait, as far as it needs."""
    position = index = turns.index(turn)
    wanted_s = max(turn.slack_s - turn.delay_s - MARGIN_S, 0.0)
    while position > 0 and turns[position].start_s > wanted_s:
        before = turns[position - 1]
        if before.group != turn.group or before.job.lasting:
            break
        if not before.can_wait(turn.delay_s):
            break
        position -= 1
    if position < index and turns[position].start_s <= wanted_s:
        turns.insert(position, turns.pop(index))
        _update_starts(turns, position)
