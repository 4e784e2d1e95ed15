"""Detect workers that fail or stall the tasks that they are given.

A worker that fails every task ends it quickly and looks idle, so placement by
free capacity would send it all the work. Load pattern: a few workers of a
pool fail or stall every task while their heartbeats continue.
"""

from __future__ import annotations

from galenareel._scheduling.tables import Health
from galenareel._scheduling.tables import Worker

RESULT_HALF_LIFE_S = 6.0  # time after which a result counts half
# A worker becomes suspect after this many failures without a success.
SUSPECT_CONSECUTIVE_FAILURES = 2
SUSPECT_FAILURE_SHARE = 0.4  # share of failed runs that makes it suspect too
MIN_RECENT_RESULTS = 3.0  # with fewer results the share says too little
# A suspect worker gets no tasks for this time, unless every worker is suspect.
SUSPECT_S = 4.0
SLOWNESS_WEIGHT = 0.3  # weight of the newest run time in the moving mean
# A run that takes this many times its expected time counts as stalled.
SLOW_FACTOR = 2.5


def record_run_end(worker: Worker, *, failed: bool, now: float) -> None:
    """Count the end of a run, or a start that the worker refused."""
    health = worker.health
    _decay_results(health, now)
    health.recent_ends += 1.0
    if failed:
        health.recent_failures += 1.0
        health.consecutive_failures += 1
    else:
        health.consecutive_failures = 0
    share = health.recent_failures / health.recent_ends
    is_share_high = (
        health.recent_ends >= MIN_RECENT_RESULTS
        and share >= SUSPECT_FAILURE_SHARE
    )
    if failed and (
        health.consecutive_failures >= SUSPECT_CONSECUTIVE_FAILURES
        or is_share_high
    ):
        health.suspect_until = now + SUSPECT_S


def record_run_time(worker: Worker, ratio: float) -> None:
    """Add the run time of a done task to the worker's mean slowness.

    :param ratio: run time divided by the expected run time.
    """
    health = worker.health
    ratio = min(max(ratio, 0.2), 10.0)
    health.slowness += SLOWNESS_WEIGHT * (ratio - health.slowness)


def is_suspect(worker: Worker, now: float) -> bool:
    return now < worker.health.suspect_until


def needs_trial(worker: Worker, now: float) -> bool:
    """Return whether a formerly suspect worker gets one task at a time."""
    has_failed = (
        worker.health.consecutive_failures >= SUSPECT_CONSECUTIVE_FAILURES
    )
    return has_failed and not is_suspect(worker, now)


def _decay_results(health: Health, now: float) -> None:
    if health.decayed_at:
        factor = 0.5 ** (
            max(now - health.decayed_at, 0.0) / RESULT_HALF_LIFE_S
        )
        health.recent_ends *= factor
        health.recent_failures *= factor
    health.decayed_at = now
