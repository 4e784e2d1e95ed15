"""Decides when the replicated state may forget a job that is over."""

from __future__ import annotations

from galenareel._jobs.state import JobState

FORGET_AFTER_S = 180.0  # callers ask for a job for two minutes after its end
FORGET_EVERY_S = 10.0


class EndedJobs:
    """Knows how long jobs have been over.

    The time since their end is measured on the monotonic clock of this term,
    as the wall clock may jump and differs between members.
    """

    def __init__(self, state: JobState) -> None:
        self._state = state
        self._search_due = 0.0
        self._over_since: dict[str, float] = {}

    def find_expired(self, now: float) -> tuple[str, ...]:
        """Return jobs that have been over for ``FORGET_AFTER_S``.

        They are looked for every ``FORGET_EVERY_S``, and none are returned
        in between.
        """
        if now < self._search_due:
            return ()
        self._search_due = now + FORGET_EVERY_S
        self._over_since = {
            job.name: self._over_since.get(job.name, now)
            for job in self._state.jobs.values()
            if job.has_ended
        }
        return tuple(
            name
            for name, since in self._over_since.items()
            if now - since >= FORGET_AFTER_S
        )
