"""Tell which workers are closed to other starts by trials of suspects."""

from __future__ import annotations

from galenareel._scheduling.tables import TrialHold
from galenareel._scheduling.tables import Worker

# A trial closes its worker for this time at most. An unanswered start is sent
# again for a shorter time.
MAX_TRIAL_S = 5.0


def is_on_trial(worker: Worker, now: float) -> bool:
    """Return whether a run on trial closes a worker to other starts."""
    run = worker.trial
    return run is not None and now - run.ordered_at < MAX_TRIAL_S


def get_hold(worker: Worker, now: float) -> TrialHold | None:
    """Return the suspect for which a worker is kept free, if any."""
    hold = worker.trial_hold
    if hold is None or now >= hold.until:
        return None
    is_wanted = hold.index in hold.step.waiting
    return hold if is_wanted and not hold.step.job.has_failed else None


def clear_overdue(worker: Worker, now: float) -> None:
    """Forget a trial or hold that no longer closes a worker."""
    if worker.trial is not None and not is_on_trial(worker, now):
        worker.trial = None
    if worker.trial_hold is not None and get_hold(worker, now) is None:
        worker.trial_hold = None


def is_closed_by_trial(worker: Worker, now: float) -> bool:
    """Return whether nothing but a certain suspect may start on a worker."""
    return is_on_trial(worker, now) or get_hold(worker, now) is not None
