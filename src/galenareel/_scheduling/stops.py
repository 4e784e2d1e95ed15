"""Decide whether a stop that is not answered yet is still to be sent.

Load pattern: answers get lost while workers restart. A stop that is repeated
for seconds reaches its worker when the run has begun to work, or when other
tasks of its step have ended.
"""

from __future__ import annotations

from galenareel._scheduling.availability import may_stop
from galenareel._scheduling.stalls import is_stalled
from galenareel._scheduling.tables import Run

# Reasons to stop a run whose job goes on and whose task has no other run.
UNANSWERED_START = 'unanswered_start'
WORKER_CLOSES = 'worker_closes'
WORKER_DRAINS = 'worker_drains'
STALLED = 'stalled'
VOLUNTARY_REASONS = frozenset(
    (UNANSWERED_START, WORKER_CLOSES, WORKER_DRAINS, STALLED)
)

STOP_RESEND_S = 1.0  # a stop that got no answer is sent again after this time


def is_stop_wanted(run: Run, expected_s: float, now: float) -> bool:
    """Return whether the reason for which a run was to be stopped still holds.

    :param expected_s: expected run time of its task on a healthy worker.
    """
    if run.step is None:
        return True
    worker = run.worker
    if run.stop_reason == UNANSWERED_START:
        is_unknown = run.confirmed_at is None
        return is_unknown and (worker.draining or may_stop(run))
    if run.stop_reason == WORKER_CLOSES:
        return worker.closing_for != '' and may_stop(run)
    if run.stop_reason == WORKER_DRAINS:
        return worker.draining
    if run.stop_reason == STALLED:
        return is_stalled(run, expected_s, now)
    return True
