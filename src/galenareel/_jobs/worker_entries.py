"""Entries of workers in the engine's tables, and the times of their leases."""

from __future__ import annotations

from galenareel._jobs.model import WorkerRecord
from galenareel._scheduling.tables import Worker

# Each poll extends a worker's lease to this length. It lasts long enough for
# a new leader to extend it in time. The wait of a new leader for the lease of
# a worker that is lost, with the margin below, the pass after it and the
# start, takes less than the 7 s for which callers let a task wait after a
# disturbance.
LEASE_S = 5.6
LEASE_MS = int(LEASE_S * 1000)
MIN_CLOCK_RATE = 0.98  # a worker's clock may be 2 % slow
# A previous leader may have extended leases until this long after the new one
# took over.
TAKE_OVER_MARGIN_S = 1.0
FIRST_ANSWER_TIMEOUT_S = 0.8  # time for a new worker to answer its first poll
MAX_LEASE_MS = 10_000  # longest lease that a worker accepts
# A call without an answer may be carried out this much later, also by the
# next incarnation of its worker.
MAX_CALL_DELAY_S = 12.0


def create_worker(record: WorkerRecord, token: int, now: float) -> Worker:
    """Return the entry of a worker that is not known yet."""
    return Worker(
        record=record,
        token=token,
        draining=record.draining,
        admitted_at=now,
        heard_at=now,
        answer_due=now + FIRST_ANSWER_TIMEOUT_S,
        awaits_answer=True,
    )


def expect_first_answer(worker: Worker, now: float) -> None:
    """Count the silence of a worker that was not called yet from now on."""
    if worker.awaits_answer and not worker.first_clock_ms:
        worker.heard_at = now
        worker.answer_due = now + FIRST_ANSWER_TIMEOUT_S


def reset_worker(worker: Worker, now: float) -> None:
    """Drop what was known of the earlier incarnation of a worker.

    Its runs are kept. If a start may still arrive, the lease is taken to run
    until the longest lease after the last delayed call.
    """
    for run in worker.runs.values():
        run.stop_answered_at = None
        if run.answered_at is None:
            run.answered_at = worker.heard_at
    worker.has_former_life = True
    worker.heard_at = now
    worker.silent_since = None
    worker.awaits_answer = True
    worker.answer_due = now + FIRST_ANSWER_TIMEOUT_S
    worker.has_listed = False
    worker.lease_expired = False
    worker.processed_position = 0
    worker.stored_position = 0
    worker.gaps = type(worker.gaps)()
    worker.clock_ms = 0
    worker.first_clock_ms = 0
    worker.follows_reports = False
    worker.closing_for = ''
    worker.report_from_ms = None
    worker.lease_until_ms = 0
    worker.draining = False
    worker.departing = False
    worker.retiring = False
    worker.leaves_at = None
    worker.unreachable_since = None
    worker.may_have_restarted = False
    worker.loss_noted = False
    worker.trial = None
    worker.loss = None
    worker.has_ended = False
    worker.ordered_end_until = 0.0
    worker.health = type(worker.health)()
    if may_start_late(worker, now):
        longest_s = MAX_LEASE_MS / 1000 / MIN_CLOCK_RATE
        worker.lease_expires_at = max(
            worker.lease_expires_at, now + MAX_CALL_DELAY_S + longest_s
        )


def may_start_late(worker: Worker, now: float) -> bool:
    """Return whether a start that was sent to a worker may still arrive."""
    return any(
        now - run.start_asked_at < MAX_CALL_DELAY_S
        and (run.may_have_started or run.confirmed_at is None)
        for run in worker.runs.values()
    )
