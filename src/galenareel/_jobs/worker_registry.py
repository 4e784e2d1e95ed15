"""Admits workers by their heartbeats and removes those that depart."""

from __future__ import annotations

from collections.abc import Callable
from weakref import WeakValueDictionary

from gevent.lock import BoundedSemaphore
import msgspec

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.engine import Engine
from galenareel._jobs.leader import Leader
from galenareel._jobs.model import Heartbeat
from galenareel._jobs.model import Resources
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import JobState
from galenareel._scheduling.tables import Worker

# A worker sends its next heartbeat if this one has no answer for a second.
MAX_WAIT_S = 1.0


class WorkerRegistry:
    """Workers' side of the service, called on the leader only.

    :param propose: commits a command and logs a proposal that failed.
    :param sequences: by worker name, start of its incarnation and number of
        its latest heartbeat; it is updated here.
    """

    def __init__(
        self,
        *,
        state: JobState,
        leader: Leader,
        propose: Callable[[AnyCommand], object],
        sequences: dict[str, tuple[int, int]],
        clock: Clock,
        log: Log,
    ) -> None:
        self._state = state
        self._leader = leader
        self._propose = propose
        self._sequences = sequences
        self._clock = clock
        self._log = log
        self._locks: WeakValueDictionary[str, BoundedSemaphore] = (
            WeakValueDictionary()
        )

    def accept_heartbeat(
        self, engine: Engine, heartbeat: Heartbeat
    ) -> bool | NoResult:
        """Handle a heartbeat.

        The heartbeats of one worker are handled one after the other, as an
        earlier one could be committed last otherwise.

        :returns: true once its content is committed, or if it is out of date.
        """
        name = heartbeat.worker.name
        lock = self._locks.setdefault(name, BoundedSemaphore(1))
        if not lock.acquire(timeout=MAX_WAIT_S):
            return Unreachable(
                reason='busy', detail=f'heartbeats of {name} wait for the log'
            )
        try:
            if self._leader.engine is not engine:
                return NotLeader(reason='not_leader', leader=None)
            return self._handle_heartbeat(engine, heartbeat)
        finally:
            lock.release()

    def _handle_heartbeat(
        self, engine: Engine, heartbeat: Heartbeat
    ) -> bool | NoResult:
        record = heartbeat.worker
        known = self._state.workers.get(record.name)
        if known is not None and known.born > record.born:
            return True  # late, from an earlier incarnation
        if _reverts_drain(known, record):
            return True  # late, from before the drain began
        key = (record.born, heartbeat.sequence)
        if self._sequences.get(record.name, (0, -1)) >= key:
            return True
        self._leader.record_heartbeat(record.name)
        worker = engine.workers.get(record.name)
        is_latest = _is_latest(known, worker, heartbeat)
        if known is not None and not is_latest:
            record = msgspec.structs.replace(
                record, resources=_get_lower(known, record)
            )
        if known != record:
            result = self._propose(AdmitWorker(worker=record))
            if isinstance(result, NoResult):
                return result
            self._log.info(
                'worker_admitted',
                worker=record.name,
                pool=record.pool,
                zone=record.zone,
                address=record.address,
                draining=record.draining,
            )
        self._sequences[record.name] = key
        self._update_worker(engine, heartbeat, is_latest=is_latest)
        return True

    def _update_worker(
        self, engine: Engine, heartbeat: Heartbeat, *, is_latest: bool
    ) -> None:
        worker = engine.workers.get(heartbeat.worker.name)
        if worker is None:
            return
        if is_latest and worker.record.born == heartbeat.worker.born:
            worker.follows_reports = True
        engine.note_report(worker, heartbeat.clock_ms)
        now = self._clock.monotonic()
        worker.cold_until = now + max(heartbeat.cold_remaining_s, 0.0)
        if heartbeat.min_stay_s is not None:
            worker.leaves_at = now + heartbeat.min_stay_s

    def retire_worker(self, name: str, born: int) -> bool:
        """Remove a worker that departs once its runs are over.

        The worker may not get the answer and go on for seconds, so neither
        this notice nor the answer proves that its runs are over.

        :param born: start of the incarnation that departs, or 0 if the notice
            does not have it.
        """
        known = self._state.workers.get(name)
        if known is None:
            return True
        if not known.draining or (born and born < known.born):
            # A worker reports that it drains before it leaves, so this is a
            # late message of an earlier incarnation with the same name.
            self._log.warning('departure_ignored', worker=name)
            return True
        self._log.info('worker_left', worker=name)
        self._leader.end_worker(name, known.born)
        return True


def _reverts_drain(known: WorkerRecord | None, record: WorkerRecord) -> bool:
    """Return whether a record reports the end of a drain.

    Such a record is out of date: a worker drains until it stops.
    """
    if known is None or known.born != record.born:
        return False
    return known.draining and not record.draining


def _is_latest(
    known: WorkerRecord | None, worker: Worker | None, heartbeat: Heartbeat
) -> bool:
    """Return whether no leader has had a later report of a worker.

    Sequence numbers tell only for the leader that has had the later one. A
    new leader knows it by the worker's clock: what was sent after its own
    first call is later than all that earlier leaders have had. A worker that
    sends no clock is believed.

    :param heartbeat: later than the others that this leader has had.
    """
    if known is None or known.born < heartbeat.worker.born:
        return True
    if worker is None:
        return False
    if worker.follows_reports or not heartbeat.clock_ms:
        return True
    return 0 < worker.first_clock_ms < heartbeat.clock_ms


def _get_lower(known: WorkerRecord, record: WorkerRecord) -> Resources:
    """Return the lower of two capacities, for each resource."""
    first, second = known.resources, record.resources
    return Resources(
        min(first.cpu, second.cpu),
        min(first.memory_mb, second.memory_mb),
        min(first.gpus, second.gpus),
    )
