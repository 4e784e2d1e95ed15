"""Record for the next leader what this one has learned during its term."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from galenareel._common.log import Log
from galenareel._common.loops import spawn_part
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.engine import Engine
from galenareel._jobs.idle_jobs import IdleRecord
from galenareel._jobs.model import SilentLease
from galenareel._jobs.model import SilentWorker
from galenareel._jobs.state import JobState
from galenareel._scheduling.crashes import Incarnation

RECORD_LOADS_EVERY_S = 4.0


class LoadRecords:
    """Commits learned loads and factors, and what runs on silent workers.

    :param propose: commits a command and returns its result or error.
    :param fail: ends the term because of an unexpected error.
    :param wake: lets the term send the orders that a record has held back.
    :param read_clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        state: JobState,
        propose: Callable[[AnyCommand], Any],
        fail: Callable[[BaseException], None],
        wake: Callable[[], None],
        read_clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._engine = engine
        self._state = state
        self._propose = propose
        self._fail = fail
        self._wake = wake
        self._read_clock = read_clock
        self._log = log
        self._loads_due = 0.0
        self._silence_request: gevent.Greenlet | None = None
        self._idle_request: gevent.Greenlet | None = None

    def close(self) -> None:
        """End the greenlets that commit."""
        for request in (self._silence_request, self._idle_request):
            if request is not None:
                request.kill(block=False)

    def record_silence(self, now: float) -> None:
        """Commit what runs on silent workers, if that is to be recorded.

        The same command removes the records of restarts that are settled,
        and stores what may be left of the leases of the others, and that no
        longer leases of other builds run any more.
        """
        request = self._silence_request
        if request is not None and not request.dead:
            return
        rows = self._engine.update_silent_workers()
        leases = self._engine.update_silent_leases(now)
        settled = self._engine.find_settled_restarts(now)
        restarts = self._engine.find_restart_leases(now)
        longest_ms = self._engine.find_longest_lease(now)
        if (
            rows is not None
            or leases is not None
            or settled
            or restarts
            or longest_ms
        ):
            self._silence_request = spawn_part(
                self._fail,
                self._store_silence,
                rows,
                leases,
                settled,
                restarts,
                longest_ms,
                self._engine.latest_epoch,
            )

    def record_idle(self, now: float) -> None:
        """Commit which jobs have no run, if that has changed.

        Starts of jobs that are recorded as idle wait for this.
        """
        request = self._idle_request
        if request is not None and not request.dead:
            return
        record = self._engine.update_idle_jobs(now)
        if record is not None:
            self._idle_request = spawn_part(
                self._fail, self._store_idle, record, self._state.epoch
            )

    def _store_idle(self, record: IdleRecord, epoch: int) -> None:
        command = RecordLoads(
            pools={**self._state.loads, **self._engine.collect_loads()},
            factors=self._engine.estimates.get_factors(),
            idle=record.idle,
            active=record.active,
            idle_epoch=epoch,
        )
        if self._propose(command) is not True:
            return  # what is still to be stored is proposed again
        self._engine.confirm_idle_jobs(record, self._read_clock())
        self._wake()
        if record.idle:
            self._log.info('idle_jobs_recorded', jobs=len(record.idle))

    def record_loads(self, now: float) -> None:
        """Commit the learned loads and factors if they have changed."""
        if now < self._loads_due:
            return
        self._loads_due = now + RECORD_LOADS_EVERY_S
        pools = self._engine.collect_loads()
        factors = self._engine.estimates.get_factors()
        stored = (dict(self._state.loads), dict(self._state.factors))
        if (pools, factors) != stored and pools:
            command = RecordLoads(pools=pools, factors=factors)
            gevent.spawn(self._propose, command)

    def _store_silence(
        self,
        rows: tuple[SilentWorker, ...] | None,
        leases: tuple[SilentLease, ...] | None,
        settled: tuple[Incarnation, ...],
        restarts: tuple[SilentLease, ...],
        longest_ms: int,
        epoch: int,
    ) -> None:
        command = RecordLoads(
            pools={**self._state.loads, **self._engine.collect_loads()},
            factors=self._engine.estimates.get_factors(),
            silent=rows,
            leases=leases,
            settled=settled,
            restart_leases=restarts,
            longest_lease_ms=longest_ms,
            lease_epoch=epoch,
        )
        # Without a result the housekeeping proposes them again.
        if self._propose(command) is not True:
            return
        if leases is not None:
            self._engine.confirm_silent_leases(leases)
        if rows is not None:
            self._engine.confirm_silent_workers(rows)
            self._log.info(
                'silent_workers_recorded',
                workers=len(rows),
                runs=sum(use.runs for row in rows for use in row.usage),
            )
