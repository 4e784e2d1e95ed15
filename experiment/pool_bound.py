"""Compute how many instances in pools a load can't do without.

A lower bound for an operator that knows the future, in seconds of one
instance in a pool. No schedule need reach it. It is the sum of parts that
don't overlap:

- Lasting work holds its instances all the time.
- Within a wave, the budget of lasting work may let some of its instances be
  maintained one after another until the deadline; each further one needs
  another instance in its place for the time of its maintenance.
- The work of the jobs, each at full use of an instance.
- Each instance that a peak needs either waits in the pool since the peak
  before, or is moved there, which costs the move and the time that it takes.

An instance that is moved counts in the pool that it goes to.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations

from experiment.pool_trace import FIRST_SIZE
from experiment.pool_trace import JOB_OBJECTIVE_S
from experiment.pool_trace import JOB_WORK_S
from experiment.pool_trace import Lasting
from experiment.pool_trace import PoolTrace
from experiment.pool_trace import QUIET_FACTOR
from experiment.pool_trace import TURN_S
from experiment.pool_trace import Wave

MOVE_S = 1.5
MOVE_COST_S = 1.1  # cost of a move, as time of one instance in a pool
WINDOWS = 9  # parts of a peak whose work is compared with the time for it


@dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """Parts of the bound in seconds of one instance.

    :param needs: sum over the peaks of the instances that each needs.
    """

    lasting: float
    waves: float
    work: float
    moves: float
    needs: float

    @property
    def total(self) -> float:
        return self.lasting + self.waves + self.work + self.moves


def compute_bound(trace: PoolTrace) -> Bound:
    """Return the bound of a trace."""
    needs = [count_needed(trace, pool, start) for pool, start in trace.peaks]
    return Bound(
        lasting=trace.seconds * sum(work.instances for work in trace.lasting),
        waves=sum(
            _compute_wave(work, trace.wave)
            for work in trace.lasting
            if trace.wave is not None
        ),
        work=JOB_WORK_S * len(trace.jobs),
        moves=_compute_moves(trace, needs),
        needs=sum(needs),
    )


def count_needed(trace: PoolTrace, pool: str, start: float) -> float:
    """Return how many instances a peak needs at some moment.

    What arrives from a to b is done by b and the objective, so that at some
    moment at least the mean over this time is in use.
    """
    marks = [
        start + number * TURN_S / WINDOWS for number in range(WINDOWS + 1)
    ]
    arrivals = [job.at for job in trace.jobs if job.pool == pool]
    return max(
        JOB_WORK_S
        * sum(begin <= at < end for at in arrivals)
        / (end - begin + JOB_OBJECTIVE_S)
        for begin, end in combinations(marks, 2)
    )


def _compute_wave(work: Lasting, wave: Wave) -> float:
    """Return the time of instances that stand in for maintained ones."""
    at_once = work.may_miss // work.tasks
    in_turn = at_once * int(wave.duration_s / wave.maintenance_s)
    instances = work.instances // 2  # of a wave over half of the instances
    return max(instances - in_turn, 0) * wave.maintenance_s


def _compute_moves(trace: PoolTrace, needs: list[float]) -> float:
    """Return the cost of having the instances of each peak in time.

    Instances that the load between the peaks needs are there already.
    """
    quiet = trace.mean_jobs_s * QUIET_FACTOR * JOB_WORK_S
    free_at: dict[str, float] = {}
    total = 0.0
    for (pool, start), need in zip(trace.peaks, needs):
        known = free_at.get(pool)
        gap_s = max(start - (known or 0.0), 0.0)
        present = need if known is not None else min(need, FIRST_SIZE)
        kept = max(present - quiet, 0.0)
        move_s = MOVE_S + MOVE_COST_S
        total += kept * min(gap_s, move_s) + (need - present) * move_s
        free_at[pool] = start + TURN_S + JOB_OBJECTIVE_S
    return total
