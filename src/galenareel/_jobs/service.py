"""What callers, workers and operators ask, answered by the leader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import JobCall
from galenareel._common.messages import Problem
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.engine import Engine
from galenareel._jobs.leader import Leader
from galenareel._jobs.model import check_job
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import JobPhase
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Queue
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState

RETRY_S = 0.5  # while the leader changes

_decode_request = msgspec.msgpack.Decoder(JobRequest).decode


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """What a worker says of itself.

    :param sequence: grows with each heartbeat of a life.
    :param cold_remaining_s: how much longer it is slow after its start.
    :param min_stay_s: time that a draining worker stays at least, if known.
    """

    worker: WorkerRecord
    sequence: int
    cold_remaining_s: float = 0.0
    min_stay_s: float | None = None


class JobService:
    """Operations on the replicated state; every answer is the leader's."""

    def __init__(
        self,
        *,
        state: JobState,
        leader: Leader,
        leader_address: Callable[[], str | None],
        clock: Clock,
        log: Log,
    ) -> None:
        self._state = state
        self._leader = leader
        self._leader_address = leader_address
        self._clock = clock
        self._log = log
        self._sequences: dict[str, tuple[int, int]] = {}
        self._routes: tuple[Configuration, _Routes] | None = None

    def is_leader(self) -> bool:
        return self._leader.engine is not None

    # --- callers ------------------------------------------------------------

    def answer_call(self, msg: JobCall) -> AnyMessage:
        """Answer a caller's request.

        :returns: a ``Problem`` if this member can't answer and did nothing.
        """
        engine = self._leader.engine
        if engine is None:
            return self._not_leader()
        config = self._state.config
        if config is None:
            return JobAnswer(outcome='not_ready', retry_after_s=RETRY_S)
        queue = self._find_queue(config, msg.host, msg.path)
        if queue is None:
            return JobAnswer(outcome='no_queue')
        name = msg.path.partition('?')[0].removeprefix(queue.prefix)
        if msg.operation == 'submit':
            return self._submit(engine, queue, name, msg)
        if msg.operation == 'status' and not name:
            return self._count(engine, queue)
        if msg.operation == 'status':
            return self._status(engine, queue, name)
        if msg.operation == 'cancel':
            return self._cancel(queue, name)
        return JobAnswer(outcome='invalid', detail='no such operation')

    def _find_queue(
        self, config: Configuration, host: str, path: str
    ) -> Queue | None:
        if self._routes is None or self._routes[0] is not config:
            self._routes = (config, _Routes(config.queues))
        return self._routes[1].find(host, path)

    def _submit(
        self, engine: Engine, queue: Queue, name: str, msg: JobCall
    ) -> AnyMessage:
        if name in self._state.jobs:
            return JobAnswer(outcome='accepted')
        try:
            req = _decode_request(msg.request)
        except msgspec.MsgspecError as exc:
            return JobAnswer(outcome='invalid', detail=str(exc))
        found = check_job(req)
        if not name:
            found.add(
                place='path', problem='no job is named', remedy='name one'
            )
        if found.items:
            detail = '; '.join(
                f'{one.place}: {one.problem}' for one in found.items
            )
            self._log.info('job_invalid', job=name, detail=detail)
            return JobAnswer(outcome='invalid', detail=detail)
        refusal = engine.check_admission(queue, req, self._clock.monotonic())
        if refusal is not None:
            self._log.info(
                'job_refused',
                job=name,
                queue=queue.name,
                why=refusal.reason,
                wait_s=round(refusal.wait_s, 2),
                retry_after_s=refusal.retry_after_s,
            )
            return JobAnswer(
                outcome='refused',
                detail=refusal.reason,
                retry_after_s=refusal.retry_after_s,
            )
        result = self._leader.propose(
            AcceptJob(
                name=name,
                queue=queue.name,
                request=req,
                now_ms=self._leader.wall_ms(),
            )
        )
        if isinstance(result, NoResult):
            return self._failed(result)
        self._log.info(
            'job_accepted',
            job=name,
            queue=queue.name,
            tasks=sum(one.count for one in req.steps),
            lasting=sum(one.count for one in req.steps if one.lasting),
            serving=sum(one.count for one in req.steps if one.target_ms),
            filling=sum(one.count for one in req.steps if one.fills),
            new=bool(result),
        )
        return JobAnswer(outcome='accepted')

    def _status(self, engine: Engine, queue: Queue, name: str) -> JobAnswer:
        job = self._state.jobs.get(name)
        if job is None or job.queue != queue.name:
            return JobAnswer(outcome='no_job')
        return JobAnswer(outcome='found', phase=get_job_phase(engine, job))

    def _cancel(self, queue: Queue, name: str) -> AnyMessage:
        job = self._state.jobs.get(name)
        if job is None or job.queue != queue.name:
            return JobAnswer(outcome='no_job')
        if job.has_ended:
            return JobAnswer(outcome='cancelled')
        result = self._leader.propose(
            CancelJob(name=name, now_ms=self._leader.wall_ms())
        )
        if isinstance(result, NoResult):
            return self._failed(result)
        self._log.info('job_cancelled', job=name, queue=queue.name)
        return JobAnswer(outcome='cancelled')

    def _count(self, engine: Engine, queue: Queue) -> JobAnswer:
        count = sum(
            1
            for one in engine.jobs.values()
            if one.queue.name == queue.name and not one.started
        )
        return JobAnswer(outcome='counted', count=count)

    def _failed(self, result: NoResult) -> AnyMessage:
        if isinstance(result, NotLeader):
            return self._not_leader()
        if isinstance(result, Refused):
            if result.reason == 'no_such_job':
                return JobAnswer(outcome='no_job')
            return JobAnswer(outcome='no_queue', detail=result.detail)
        return JobAnswer(outcome='unknown', detail=result.reason)

    def _not_leader(self) -> Problem:
        return Problem(
            reason='not_leader',
            leader=self._leader_address() or '',
            retry_after_s=RETRY_S,
        )

    # --- workers ------------------------------------------------------------

    def accept_heartbeat(self, beat: Heartbeat) -> bool | NoResult:
        """Take a heartbeat; true once what it says is known for good."""
        engine = self._leader.engine
        if engine is None:
            return self._absent()
        record = beat.worker
        known = self._state.workers.get(record.name)
        if known is not None and known.born > record.born:
            return True  # late, from a former life
        if _returns_from_drain(known, record):
            return True  # late, from before the drain
        key = (record.born, beat.sequence)
        if self._sequences.get(record.name, (0, -1)) >= key:
            return True
        self._leader.record_heartbeat(record.name)
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
        self._update_worker(engine, beat)
        return True

    def _update_worker(self, engine: Engine, beat: Heartbeat) -> None:
        worker = engine.workers.get(beat.worker.name)
        if worker is None:
            return
        now = self._clock.monotonic()
        if beat.cold_remaining_s > 0:
            worker.cold_until = now + beat.cold_remaining_s
        if beat.min_stay_s is not None:
            worker.leaves_at = now + beat.min_stay_s

    def retire_worker(self, name: str) -> bool | NoResult:
        """A worker ends now, and all that runs on it."""
        if self._leader.engine is None:
            return self._absent()
        known = self._state.workers.get(name)
        if known is None:
            return True
        if not known.draining:
            # A late message of a former life of that name: a worker says
            # that it drains before it leaves.
            self._log.warning('departure_ignored', worker=name)
            return True
        result = self._propose(RetireWorker(name=name, born=known.born))
        if isinstance(result, NoResult):
            return result
        self._log.info('worker_left', worker=name)
        return True

    # --- operators ----------------------------------------------------------

    def configure(self, config: Configuration) -> bool | NoResult:
        """Put a valid configuration in force; an older one changes nothing."""
        if self._leader.engine is None:
            return self._absent()
        held = self._state.config
        if held is not None and held.version >= config.version:
            return True
        result = self._propose(Configure(config=config))
        if isinstance(result, NoResult):
            return result
        self._log.info(
            'configured',
            version=config.version,
            queues=len(config.queues),
            in_force=bool(result),
        )
        return True

    def get_configuration(self) -> Configuration | NoResult | None:
        """The newest configuration; ``None`` if there is none yet."""
        if self._leader.engine is None:
            return self._absent()
        return self._state.config

    def open_wave(
        self,
        number: int,
        instances: tuple[str, ...],
        duration_s: float,
        limit: int,
    ) -> bool | NoResult:
        if self._leader.engine is None:
            return self._absent()
        result = self._propose(
            OpenWave(
                number=number,
                instances=instances,
                duration_ms=int(duration_s * 1000),
                limit=limit,
                now_ms=self._leader.wall_ms(),
            )
        )
        if isinstance(result, NoResult):
            return result
        self._log.info(
            'wave_opened',
            wave=number,
            instances=len(instances),
            limit=limit,
            due_s=duration_s,
        )
        return True

    def is_wave_complete(self, number: int) -> bool | NoResult:
        """Whether every instance of a wave has begun its maintenance."""
        if self._leader.engine is None:
            return self._absent()
        wave = self._state.waves.get(number)
        if wave is None:
            return Refused(reason='no_such_wave', detail=str(number))
        return wave.is_complete()

    def _propose(self, command: AnyCommand) -> object:
        result = self._leader.propose(command)
        if isinstance(result, Unreachable | NotLeader):
            self._log.warning(
                'proposal_failed',
                command=type(command).__name__,
                reason=result.reason,
            )
        return result

    def _absent(self) -> NotLeader:
        return NotLeader(
            reason='not_leader',
            leader=self._leader_address(),
            retry_after_s=RETRY_S,
        )


def _returns_from_drain(
    known: WorkerRecord | None, record: WorkerRecord
) -> bool:
    """A life that drains does so until it ends."""
    if known is None or known.born != record.born:
        return False
    return known.draining and not record.draining


class _Routes:
    """Queues by host, longest prefix first."""

    def __init__(self, queues: tuple[Queue, ...]) -> None:
        self._hosts: dict[str, list[Queue]] = {}
        for one in queues:
            self._hosts.setdefault(one.host, []).append(one)
        for found in self._hosts.values():
            found.sort(key=lambda one: -len(one.prefix))

    def find(self, host: str, path: str) -> Queue | None:
        for one in self._hosts.get(host, ()):
            if path.startswith(one.prefix):
                return one
        return None


def get_job_phase(engine: Engine, job: Job) -> JobPhase:
    """What a caller is told of a job."""
    if job.cancelled:
        return JobPhase.CANCELLED
    if job.failed:
        return JobPhase.FAILED
    if job.has_ended:
        return JobPhase.COMPLETED
    if engine.has_started(job.name):
        return JobPhase.RUNNING
    return JobPhase.QUEUED
