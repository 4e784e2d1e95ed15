"""Record how long the leases of workers that do not answer may still run.

Load pattern: leaders follow each other every few seconds while a worker is cut
off. Without a record each of them would wait for a whole lease anew, and no
task that may run there would ever start elsewhere.

A leader extends no lease that is recorded, so a record stays true until the
worker answers and the end of the record is committed.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import math

from galenareel._jobs.model import SilentLease
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_entries import may_start_late
from galenareel._scheduling.tables import Worker

# Records are renewed when a lease has run on for this long.
RENEW_MS = 1000


class SilentLeases:
    """Records of leases that the leader of one epoch needs.

    :param workers: workers of the epoch, which may change later.
    """

    def __init__(
        self, state: JobState, workers: Mapping[str, Worker], now: float
    ) -> None:
        self._workers = workers
        # What is known to be stored by this leader; ``None`` if it is not.
        self._stored: dict[str, SilentLease] | None = None
        if not state.silent_leases:
            self._stored = {}
        for row in state.silent_leases.values():
            worker = workers.get(row.name)
            if worker is not None and worker.record.born == row.born:
                worker.lease_recorded = True
                worker.lease_expires_at = now + row.left_ms / 1000
                worker.report_from_ms = 0

    def mark_admitted(self, worker: Worker) -> None:
        """Note a new entry of a worker; its former one may be recorded."""
        worker.lease_recorded = (
            self._stored is None or worker.name in self._stored
        )

    def update(
        self, unread: Collection[str], now: float
    ) -> tuple[SilentLease, ...] | None:
        """Return the records that are to be stored, or ``None``.

        They are returned again until they are confirmed. Leases that are in
        them are not extended from now on.

        :param unread: workers whose runs this leader does not know.
        """
        rows = {
            worker.name: SilentLease(
                name=worker.name,
                born=worker.record.born,
                left_ms=math.ceil(
                    max(worker.lease_expires_at - now, 0.0) * 1000
                ),
            )
            for worker in self._workers.values()
            if _needs_record(worker, unread, now)
        }
        if self._stored is not None and not _has_changed(self._stored, rows):
            return None
        for name in rows:
            self._workers[name].lease_recorded = True
        self._stored = None
        return tuple(rows[name] for name in sorted(rows))

    def confirm(self, rows: tuple[SilentLease, ...]) -> list[Worker]:
        """Note that records are stored.

        :returns: workers whose leases may be extended again.
        """
        self._stored = {row.name: row for row in rows}
        released = [
            worker
            for worker in self._workers.values()
            if worker.lease_recorded and worker.name not in self._stored
        ]
        for worker in released:
            worker.lease_recorded = False
        return released


def _needs_record(worker: Worker, unread: Collection[str], now: float) -> bool:
    if worker.lease_recorded:
        return worker.silent_since is not None or worker.name in unread
    # A late start may reach the next incarnation, and give it a lease anew.
    return worker.silent_since is not None and not may_start_late(worker, now)


def _has_changed(
    stored: Mapping[str, SilentLease], rows: Mapping[str, SilentLease]
) -> bool:
    """Return whether records say too little of the present leases."""
    if stored.keys() != rows.keys():
        return True
    for name, row in rows.items():
        former = stored[name]
        shortened_ms = former.left_ms - row.left_ms
        is_over = shortened_ms > 0 and not row.left_ms
        if former.born != row.born or shortened_ms >= RENEW_MS or is_over:
            return True
        if shortened_ms < 0:
            return True
    return False
