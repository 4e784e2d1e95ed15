"""Answers requests of callers, workers and operators on the leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterView
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import JobCall
from galenareel._common.messages import Problem
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.engine import Engine
from galenareel._jobs.keys import BY_LEADER
from galenareel._jobs.keys import Caller
from galenareel._jobs.keys import KeyChecker
from galenareel._jobs.leader import Leader
from galenareel._jobs.model import check_job
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Heartbeat
from galenareel._jobs.model import JobPhase
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import MAX_JOB_NAME_CHARS
from galenareel._jobs.model import Queue
from galenareel._jobs.routes import RouteTable
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._jobs.undecided import UndecidedJobs
from galenareel._jobs.worker_registry import WorkerRegistry

LEADER_CHANGE_RETRY_S = 0.5  # retry delay while there is no leader

_decode_request = msgspec.msgpack.Decoder(JobRequest).decode


class JobService:
    """Operations on the replicated state, answered only by the leader.

    :param leader_address: returns the frame address of the current leader,
        which other members put into their answers.
    """

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
        self._registry = WorkerRegistry(
            state=state,
            leader=leader,
            propose=self._propose,
            sequences=self._sequences,
            clock=clock,
            log=log,
        )
        self._routes: tuple[Configuration, RouteTable] | None = None
        self._keys = KeyChecker(log)
        self._undecided = UndecidedJobs()

    def is_leader(self) -> bool:
        """Return whether this member leads and holds a valid lease."""
        return self._leader.engine is not None

    def fill_view(self, view: ClusterView, known_id: str) -> ClusterView:
        """Return a view of the leader with the keys in force.

        :param known_id: name of the set of keys that the receiver holds.
        """
        config = self._state.config
        if config is None:
            return view
        return self._keys.fill_view(view, config, known_id)

    def answer_call(self, msg: JobCall) -> AnyMessage:
        """Answer a caller's request.

        :returns: a ``Problem`` if this member is not the leader; the request
            was not executed.
        """
        engine = self._leader.engine
        if engine is None:
            return self._make_not_leader_problem()
        config = self._state.config
        if config is None:
            return JobAnswer(
                outcome='not_ready', retry_after_s=LEADER_CHANGE_RETRY_S
            )
        answer = self._carry_out(engine, config, msg)
        if not isinstance(answer, JobAnswer):
            return answer
        # The configuration may have been replaced during a proposal.
        latest = self._state.config or config
        return msgspec.structs.replace(answer, version=latest.version)

    def _carry_out(
        self, engine: Engine, config: Configuration, msg: JobCall
    ) -> AnyMessage:
        queue = self._find_queue(config, msg.host, msg.path)
        if queue is None:
            return JobAnswer(outcome='no_queue')
        caller = self._keys.identify(config, queue, msg.key)
        if caller is None:
            return JobAnswer(outcome='unknown_key', detail=BY_LEADER)
        name = msg.path.partition('?')[0].removeprefix(queue.prefix)
        if msg.operation == 'submit':
            return self._submit_job(engine, queue, name, msg, caller)
        if msg.operation == 'status' and not name:
            return self._count_waiting(engine, queue)
        if msg.operation == 'status':
            return self._report_phase(engine, queue, name, caller)
        if msg.operation == 'cancel':
            return self._cancel_job(engine, queue, name, caller)
        return JobAnswer(outcome='invalid', detail='unknown operation')

    def _find_queue(
        self, config: Configuration, host: str, path: str
    ) -> Queue | None:
        if self._routes is None or self._routes[0] is not config:
            self._routes = (config, RouteTable(config.queues))
        return self._routes[1].find(host, path)

    def _submit_job(
        self,
        engine: Engine,
        queue: Queue,
        name: str,
        msg: JobCall,
        caller: Caller,
    ) -> AnyMessage:
        if name in self._state.jobs:
            return self._confirm_job(queue, name, caller)
        try:
            req = _decode_request(msg.request)
        except msgspec.MsgspecError as exc:
            return JobAnswer(outcome='invalid', detail=str(exc))
        found = check_job(req)
        if not name:
            found.add(
                place='path',
                problem='it has no job name',
                remedy='append the name of the job to the path of the queue',
            )
        if len(name) > MAX_JOB_NAME_CHARS:
            found.add(
                place='path',
                problem=f'the name of the job has {len(name)} characters',
                remedy=f'shorten it to {MAX_JOB_NAME_CHARS} characters',
            )
        if found.items:
            detail = '; '.join(
                f'{item.place}: {item.problem}' for item in found.items
            )
            self._log.info(
                'job_invalid', job=name[:MAX_JOB_NAME_CHARS], detail=detail
            )
            return JobAnswer(outcome='invalid', detail=detail)
        refusal = None
        if not msg.repeated and not self._undecided.has(name, engine.epoch):
            # A job that may have been accepted can't be refused truthfully.
            with self._leader.parts.measure('admission'):
                refusal = engine.check_admission(
                    queue,
                    req,
                    self._clock.monotonic(),
                    name=name,
                    workspace=caller.workspace,
                )
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
        result = self._propose_job(
            AcceptJob(
                name=name,
                queue=queue.name,
                request=req,
                now_ms=self._leader.wall_ms(),
                workspace=caller.workspace,
                endpoint=queue.endpoint,
            ),
            engine,
        )
        if isinstance(result, NoResult):
            return self._answer_failure(result)
        answer = self._confirm_job(queue, name, caller)
        if answer.outcome != 'accepted':
            # Another workspace or queue has taken the name meanwhile.
            return answer
        self._log.info(
            'job_accepted',
            job=name,
            queue=queue.name,
            tasks=sum(step.count for step in req.steps),
            lasting=sum(step.count for step in req.steps if step.lasting),
            serving=sum(step.count for step in req.steps if step.target_ms),
            filling=sum(step.count for step in req.steps if step.fills),
            new=bool(result),
        )
        return answer

    def _confirm_job(
        self, queue: Queue, name: str, caller: Caller
    ) -> JobAnswer:
        """Answer the submission of a job that exists."""
        job = self._state.jobs.get(name)
        if job is not None and not (
            caller.may_use(job.workspace)
            and job.endpoint in (None, queue.endpoint)
        ):
            detail = 'the name of the job is in use; choose another one'
            return JobAnswer(outcome='invalid', detail=detail)
        return JobAnswer(outcome='accepted')

    def _propose_job(self, command: AcceptJob, engine: Engine) -> Any:
        """Commit a job, and remember it until its outcome is known."""
        self._undecided.add(command.name, engine.epoch)
        result = self._leader.propose(command)
        if not isinstance(result, Unreachable):
            self._undecided.discard(command.name)
        return result

    def _find_job(
        self, engine: Engine, queue: Queue, name: str, caller: Caller
    ) -> Job | JobAnswer:
        """Return a job of a queue, or why the caller gets none.

        A job that is hidden from the caller is answered like none.
        """
        job = self._state.jobs.get(name)
        if job is not None:
            self._undecided.discard(name)
        elif self._undecided.has(name, engine.epoch):
            return JobAnswer(outcome='unknown', detail='it is being accepted')
        if job is None or not job.is_of_queue(queue):
            return JobAnswer(outcome='no_job')
        if not caller.may_use(job.workspace):
            return JobAnswer(outcome='no_job')
        return job

    def _report_phase(
        self, engine: Engine, queue: Queue, name: str, caller: Caller
    ) -> JobAnswer:
        job = self._find_job(engine, queue, name, caller)
        if isinstance(job, JobAnswer):
            return job
        return JobAnswer(
            outcome='found',
            phase=get_job_phase(engine, job),
            detail=job.failure,
        )

    def _cancel_job(
        self, engine: Engine, queue: Queue, name: str, caller: Caller
    ) -> AnyMessage:
        job = self._find_job(engine, queue, name, caller)
        if isinstance(job, JobAnswer):
            return job
        if job.has_ended:
            return JobAnswer(outcome='cancelled')
        result = self._leader.propose(
            CancelJob(name=name, now_ms=self._leader.wall_ms())
        )
        if isinstance(result, NoResult):
            return self._answer_failure(result)
        self._log.info('job_cancelled', job=name, queue=queue.name)
        return JobAnswer(outcome='cancelled')

    def _count_waiting(self, engine: Engine, queue: Queue) -> JobAnswer:
        count = sum(
            1
            for work in engine.jobs.values()
            if work.queue.endpoint == queue.endpoint and not work.started
        )
        return JobAnswer(outcome='counted', count=count)

    def _answer_failure(self, result: NoResult) -> AnyMessage:
        if isinstance(result, NotLeader):
            return self._make_not_leader_problem()
        if isinstance(result, Refused):
            if result.reason == 'no_such_job':
                return JobAnswer(outcome='no_job')
            return JobAnswer(outcome='no_queue', detail=result.detail)
        return JobAnswer(outcome='unknown', detail=result.reason)

    def _make_not_leader_problem(self) -> Problem:
        return Problem(
            reason='not_leader',
            leader=self._leader_address() or '',
            retry_after_s=LEADER_CHANGE_RETRY_S,
        )

    def accept_heartbeat(self, heartbeat: Heartbeat) -> bool | NoResult:
        """Handle a heartbeat.

        :returns: true once its content is committed, or if it is out of date.
        """
        engine = self._leader.engine
        if engine is None:
            return self._make_not_leader()
        return self._registry.accept_heartbeat(engine, heartbeat)

    def retire_worker(self, name: str, born: int = 0) -> bool | NoResult:
        """Remove a worker that departs once its runs are over.

        :param born: start of the incarnation that departs, or 0 if the notice
            does not have it.
        """
        if self._leader.engine is None:
            return self._make_not_leader()
        return self._registry.retire_worker(name, born)

    def configure(self, config: Configuration) -> bool | NoResult:
        """Put a configuration in force, unless it is out of date.

        :param config: must be valid.
        :returns: true also for a version that is not above the current one,
            which changes nothing.
        """
        if self._leader.engine is None:
            return self._make_not_leader()
        current = self._state.config
        if current is not None and current.version >= config.version:
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
        """Return the configuration in force, or ``None`` before the first."""
        if self._leader.engine is None:
            return self._make_not_leader()
        return self._state.config

    def open_wave(
        self,
        number: int,
        instances: tuple[str, ...],
        duration_s: float,
        limit: int,
    ) -> bool | NoResult:
        """Begin a maintenance wave; one that has begun stays as it is.

        :param duration_s: time from now by which it should be complete.
        :param limit: maximum number of instances in maintenance at once.
        """
        if self._leader.engine is None:
            return self._make_not_leader()
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
        """Return whether all instances have begun maintenance or left.

        :returns: ``Refused`` if there is no such wave.
        """
        if self._leader.engine is None:
            return self._make_not_leader()
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

    def _make_not_leader(self) -> NotLeader:
        return NotLeader(
            reason='not_leader',
            leader=self._leader_address(),
            retry_after_s=LEADER_CHANGE_RETRY_S,
        )


def get_job_phase(engine: Engine, job: Job) -> JobPhase:
    """Return the phase of a job that is reported to its caller."""
    if job.cancelled:
        return JobPhase.CANCELLED
    if job.failed:
        return JobPhase.FAILED
    if job.has_ended:
        return JobPhase.COMPLETED
    if engine.has_started(job.name):
        return JobPhase.RUNNING
    return JobPhase.QUEUED
