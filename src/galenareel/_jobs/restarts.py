"""Leases of restarted workers, which may end by the clock of an earlier life.

Load pattern: a worker restarts, and a call that was sent to its earlier
incarnation reaches the next one. The lease in it ends by another clock, so
that the worker takes it for the longest one, ``MAX_LEASE_MS``. The leader
knows this from the restart; the next leader knows it from the state, until
this one has recorded that no such lease outlasts the wait of a new leader.
"""

from __future__ import annotations

from collections.abc import Mapping
import math

from galenareel._jobs.model import SilentLease
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MAX_LEASE_MS
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._jobs.worker_entries import TAKE_OVER_MARGIN_S
from galenareel._scheduling.crashes import Incarnation
from galenareel._scheduling.tables import Worker

# Longest time for which a lease can run that a worker has just accepted.
LONGEST_LEASE_S = MAX_LEASE_MS / 1000 / MIN_CLOCK_RATE
# A worker that has answered under its token refuses what was sent before. So
# much later, by its own clock, at most ``LEASE_S`` is left of such a lease. A
# new leader waits for that anyway, or extends the lease by as much.
SETTLED_AFTER_S = LONGEST_LEASE_S - LEASE_S / MIN_CLOCK_RATE
RENEW_MS = 1000  # records are renewed when a lease has run on for this long
# A retired name is known for longer than any call to it may be delayed.
KEEP_RETIRED_NAME_S = 60.0


class Restarts:
    """What the leader of one epoch knows of the recorded restarts.

    :param workers: workers of the epoch, which may change later.
    :param now: monotonic time in seconds.
    """

    def __init__(
        self, state: JobState, workers: Mapping[str, Worker], now: float
    ) -> None:
        self._state = state
        self._workers = workers
        # By incarnation and whether it is in use, the time from which its
        # record is not needed. Its retirement begins another wait.
        self._settled_at: dict[tuple[str, int, bool], float] = {}
        for name in state.restarts:
            worker = workers.get(name)
            if worker is None:
                continue
            worker.has_former_life = True
            left_s = TAKE_OVER_MARGIN_S + LONGEST_LEASE_S
            row = state.restart_leases.get(name)
            if row is not None and row.born == worker.record.born:
                left_s = row.left_ms / 1000
            worker.lease_expires_at = max(
                worker.lease_expires_at, now + left_s
            )

    def mark_admitted(self, worker: Worker) -> None:
        """Note a new entry of a worker; its name may have been retired."""
        if worker.name in self._state.restarts:
            worker.has_former_life = True

    def find_settled(self, now: float) -> tuple[Incarnation, ...]:
        """Return the incarnations whose records are not needed any more.

        They are returned again until the state lacks them. A leader that
        follows takes office after this call, as it reads the state without
        them.
        """
        settled_at = {}
        for name, born in self._state.restarts.items():
            key = (name, born, name in self._workers)
            wait_s = self._get_wait_s(name, born)
            if wait_s is not None:
                settled_at[key] = self._settled_at.get(key, now + wait_s)
        self._settled_at = settled_at
        return tuple(
            (name, born)
            for (name, born, _), due_at in settled_at.items()
            if now >= due_at
        )

    def find_leases(self, now: float) -> tuple[SilentLease, ...]:
        """Return what may be left of earlier leases, if that is to be stored.

        No leader extends such a lease once the worker has answered under its
        token, so that a record stays true. Call :meth:`find_settled` before.
        """
        rows = []
        for (name, born, is_used), due_at in self._settled_at.items():
            if not is_used:
                continue
            left_s = due_at - now + LONGEST_LEASE_S - SETTLED_AFTER_S
            left_ms = math.ceil(left_s * 1000)
            stored = self._state.restart_leases.get(name)
            if (
                stored is None
                or stored.born != born
                or stored.left_ms - left_ms >= RENEW_MS
            ):
                rows.append(SilentLease(name, born, left_ms))
        return tuple(rows)

    def _get_wait_s(self, name: str, born: int) -> float | None:
        """Return for how long a record is needed yet, if that is known."""
        worker = self._workers.get(name)
        if worker is None:
            return KEEP_RETIRED_NAME_S
        if worker.record.born != born or not worker.has_listed:
            return None
        return SETTLED_AFTER_S
