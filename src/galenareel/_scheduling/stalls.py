"""Runs that stand still, or go much slower than they should.

Load pattern: tasks on some workers stand still while their heartbeats go on,
or a worker turns several times slower. Such a worker looks busy, and a job
waits for its last task.
"""

from __future__ import annotations

from galenareel._scheduling.health import SUSPECT_S
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState

MIN_AGE_S = 0.6  # a younger run says nothing yet
SLOW_SHARE = 0.3  # of the expected speed; below it a run counts as stalled
RESTART_S = 0.6  # stopping a run and starting it elsewhere


def is_stalled(run: Run, expected_s: float, now: float) -> bool:
    """Whether a run would end sooner if it was started elsewhere.

    :param expected_s: expected run time of its task on a sound worker.
    """
    if run.step is None or run.step.step.lasting or run.step.step.gang:
        return False
    if run.state is not RunState.RUNNING or run.confirmed_at is None:
        return False
    age = run.percent_at - run.confirmed_at
    if age < max(MIN_AGE_S, SLOW_SHARE * expected_s):
        return False
    done = run.percent / 100
    if done >= SLOW_SHARE * age / expected_s:
        return False
    left = (1 - done) * age / done if done > 0 else float('inf')
    return left - (now - run.percent_at) > expected_s + RESTART_S


def mark_worker_suspect(run: Run, now: float) -> None:
    """Keep other tasks off the worker of a stalled run for a while."""
    health = run.worker.health
    health.suspect_until = max(health.suspect_until, now + SUSPECT_S)
