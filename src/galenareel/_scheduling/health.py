"""Which workers fail or stall what they are given.

A worker that fails everything ends its tasks quickly and looks idle, so the
emptiest one would be fed with all the work. Load pattern: a few workers of a
pool fail or stall every task while their heartbeats are good.
"""

from __future__ import annotations

from galenareel._scheduling.tables import Health
from galenareel._scheduling.tables import Worker

HALF_LIFE_S = 6.0  # how fast results are forgotten
FAILED_IN_ROW = 2  # failures without a success that make a worker suspect
FAILED_SHARE = 0.4  # failures among recent results that do the same
MIN_RESULTS = 3.0  # recent results that the share must rest on
SUSPECT_S = 4.0  # how long a suspect worker gets only a trial task
SLOW_WEIGHT = 0.3  # of the newest run time in the mean
SLOW_FACTOR = 2.5  # a run this much over its expected time is stalled


def record_run_end(worker: Worker, *, failed: bool, now: float) -> None:
    """Count the end of a run by its own fault or the worker's."""
    health = worker.health
    _decay(health, now)
    health.ended += 1.0
    if failed:
        health.failed += 1.0
        health.failed_in_row += 1
    else:
        health.failed_in_row = 0
    share = health.failed / health.ended
    many = health.ended >= MIN_RESULTS and share >= FAILED_SHARE
    if failed and (health.failed_in_row >= FAILED_IN_ROW or many):
        health.suspect_until = now + SUSPECT_S


def record_run_time(worker: Worker, ratio: float) -> None:
    """Learn from the run time of a task over its expected time."""
    health = worker.health
    ratio = min(max(ratio, 0.2), 10.0)
    health.slowness += SLOW_WEIGHT * (ratio - health.slowness)


def is_suspect(worker: Worker, now: float) -> bool:
    return now < worker.health.suspect_until


def needs_trial(worker: Worker, now: float) -> bool:
    """Whether a formerly suspect worker gets one task at a time."""
    failed = worker.health.failed_in_row >= FAILED_IN_ROW
    return failed and not is_suspect(worker, now)


def _decay(health: Health, now: float) -> None:
    if health.seen_at:
        factor = 0.5 ** (max(now - health.seen_at, 0.0) / HALF_LIFE_S)
        health.ended *= factor
        health.failed *= factor
    health.seen_at = now
