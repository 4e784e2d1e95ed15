"""How long each worker's runs may go on, and when they are surely over."""

from __future__ import annotations

from galenareel._jobs.tables import CLOCK_RATE
from galenareel._jobs.tables import EngineTables
from galenareel._jobs.tables import LEASE_S
from galenareel._scheduling.tables import Worker

LONGEST_LEASE_MS = 10_000  # that a worker gives
# Answers may wait this long on their way; a larger step is another clock.
CLOCK_JUMP_MS = 3_000
LEASE_SLACK_S = 0.2  # for the moment at which a clock was read
ANSWER_GRACE_S = 0.4  # after the latest time at which an answer was due


class Leases(EngineTables):
    """Leases of workers, by their own clocks."""

    def grant(self, worker: Worker, now: float) -> int | None:
        """Time on the worker's clock up to which to extend its lease.

        ``None`` for a worker whose clock is not known, and for a silent one:
        each call might still arrive and keep its runs alive.
        """
        if not worker.clock_ms or worker.silent_since is not None:
            return None
        elapsed_ms = (now - worker.clock_at) * 1000
        until = int(worker.clock_ms + elapsed_ms + LEASE_S * 1000)
        worker.lease_until_ms = max(worker.lease_until_ms, until)
        self._set_over(worker)
        return until

    def _set_over(self, worker: Worker) -> None:
        left_s = (worker.lease_until_ms - worker.clock_ms) / 1000
        over_at = worker.clock_at + left_s / CLOCK_RATE + LEASE_SLACK_S
        worker.lease_expires_at = (
            max(worker.lease_expires_at, over_at)
            if (worker.name in self._unread)
            else over_at
        )

    def asked(self, worker: Worker, now: float, wait_s: float) -> None:
        """A look was sent that is answered within a time.

        The first look without an answer decides when the worker is silent.
        """
        if not worker.awaits_answer:
            worker.awaits_answer = True
            worker.answer_due = now + wait_s

    def _record_answer(
        self, worker: Worker, clock_ms: int | None, now: float
    ) -> None:
        worker.heard_at = now
        worker.awaits_answer = False
        if worker.silent_since is not None:
            self._log.info(
                'worker_regained',
                worker=worker.name,
                silent_s=round(now - worker.silent_since, 2),
            )
            worker.silent_since = None
            self.wake_pool(worker.pool)
        if clock_ms:
            if self._is_other_clock(worker, clock_ms, now):
                # What was granted on the former clock may last as long as
                # the worker allows on this one.
                worker.lease_until_ms = clock_ms + LONGEST_LEASE_MS
            worker.clock_ms = clock_ms
            worker.clock_at = now
            if worker.lease_until_ms:
                self._set_over(worker)

    def _is_other_clock(
        self, worker: Worker, clock_ms: int, now: float
    ) -> bool:
        """Whether another life answers, whose clock starts anew."""
        if not worker.clock_ms:
            return bool(worker.runs)
        elapsed_ms = (now - worker.clock_at) * 1000
        off_ms = abs(clock_ms - worker.clock_ms - elapsed_ms)
        return off_ms > CLOCK_JUMP_MS + elapsed_ms * (1 - CLOCK_RATE)

    def _watch_silence(self, now: float) -> None:
        for worker in self.workers.values():
            late = now > worker.answer_due + ANSWER_GRACE_S
            silent = worker.awaits_answer and late
            if silent and worker.silent_since is None:
                worker.silent_since = worker.heard_at
                self._log.warning(
                    'worker_lost',
                    worker=worker.name,
                    runs=len(worker.runs),
                    lease_left_s=round(worker.lease_expires_at - now, 2),
                )
            if (
                worker.silent_since is not None
                and now >= worker.lease_expires_at
            ):
                self._lapse(worker, now)

    def _lapse(self, worker: Worker, now: float) -> None:
        """The lease of a silent worker has surely run out."""
        self._resolve(worker.name)
        if worker.lease_expired:
            return
        worker.lease_expired = True
        worker.has_listed = False
        self._log.warning(
            'lease_over', worker=worker.name, runs=len(worker.runs)
        )
        for run in list(worker.runs.values()):
            self._release_run(run, now, 'lease_over')
