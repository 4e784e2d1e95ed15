"""Detect runs that make no progress or run much slower than expected.

Load pattern: the tasks on some workers make no progress while their
heartbeats continue, or a worker becomes several times slower. Such a worker
looks busy, and jobs wait for their last task.
"""

from __future__ import annotations

from galenareel._scheduling.health import SUSPECT_S
from galenareel._scheduling.tables import Run

MIN_AGE_S = 0.6  # progress of a younger run is too small to judge its speed
STALLED_SPEED_SHARE = 0.3  # share of the expected speed; slower is stalled
RESTART_S = 0.6  # time to stop a run and start it on another worker


def is_stalled(run: Run, expected_s: float, now: float) -> bool:
    """Return whether a slow run would end sooner if restarted elsewhere.

    Tasks of lasting steps and of gangs are never counted as stalled, nor are
    runs that their worker has not listed. A worker that was silent may have
    been paused, and its runs with it.

    :param expected_s: expected run time of its task on a healthy worker.
    """
    if run.step is None or run.step.step.lasting or run.step.step.gang:
        return False
    if run.confirmed_at is None:
        return False
    age_s = run.percent_at - run.confirmed_at - run.silent_s
    if age_s < max(MIN_AGE_S, STALLED_SPEED_SHARE * expected_s):
        return False
    done = run.percent / 100
    if done >= STALLED_SPEED_SHARE * age_s / expected_s:
        return False
    remaining_s = (1 - done) * age_s / done if done > 0 else float('inf')
    return remaining_s - (now - run.percent_at) > expected_s + RESTART_S


def mark_worker_suspect(run: Run, now: float) -> None:
    """Keep other tasks off the worker of a stalled run for a while."""
    health = run.worker.health
    health.suspect_until = max(health.suspect_until, now + SUSPECT_S)
