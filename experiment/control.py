"""Run a policy on the tables and apply its decisions to the world."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from experiment.ledger import Task
from experiment.ledger import Worker
from experiment.reports import JOB_STATES
from experiment.reports import make_tables
from experiment.reports import REPORT_INTERVAL_S
from experiment.reports import Reports
from experiment.trace import ANNOUNCE_AFTER_BOOT_S
from experiment.trace import Fault
from experiment.trace import FIRST_WAVE_AT_S
from experiment.trace import HOUR_S
from experiment.trace import JobSpec
from experiment.trace import SECOND_WAVE_AT_S
from experiment.trace import Trace
from experiment.world import World
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.decisions import CancelMove
from galenareel._decisions.decisions import CheckpointJob
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import EjectInstance
from galenareel._decisions.decisions import FailMaintenance
from galenareel._decisions.decisions import FinishWave
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.decisions import PauseWave
from galenareel._decisions.decisions import ProbeInstance
from galenareel._decisions.decisions import RefuseJob
from galenareel._decisions.decisions import ResumeWave
from galenareel._decisions.decisions import ReturnInstance
from galenareel._decisions.decisions import SkipMaintenance
from galenareel._decisions.decisions import StartJob
from galenareel._decisions.decisions import StartMaintenance
from galenareel._decisions.decisions import StartWave
from galenareel._decisions.decisions import StopJob
from galenareel._decisions.decisions import StopWave
from galenareel._decisions.decisions import ThrottleJob
from galenareel._decisions.decisions import WithdrawJob
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Job
from galenareel._decisions.tables import JobState
from galenareel._decisions.tables import Lease
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Wave
from galenareel._decisions.tables import Zone
from galenareel._decisions.ticking import TICK_S

# Time after which the operator repairs the instances of a stopped wave.
OPERATOR_DELAY_S = 120.0
PROBE_DURATION_S = 0.5

Policy = Callable[[Tables, float, Random], list[Decision]]

WAVE_STATES = {
    StartWave: WaveState.RUNNING,
    PauseWave: WaveState.PAUSED,
    ResumeWave: WaveState.RUNNING,
    StopWave: WaveState.STOPPED,
    FinishWave: WaveState.DONE,
}


class Control:
    """One run of a policy over a trace.

    :param decision_log: time and decision of everything that was decided.
    """

    def __init__(
        self, trace: Trace, policy: Policy, duration_s: float = HOUR_S
    ) -> None:
        self.world = World(trace)
        self.world.on_drained = self.handle_drained
        self.trace = trace
        self.policy = policy
        self.duration_s = duration_s
        self.rng = Random(1)
        self.tables = make_tables(trace)
        self.reports = Reports(self.world, self.tables)
        self.decision_log: list[tuple[float, Decision]] = []
        self._schedule_events()

    def _schedule_events(self) -> None:
        schedule = self.world.schedule
        trace = self.trace
        for spec in trace.jobs:
            schedule(spec.submitted_at, self.submit, spec)
        for fault in trace.faults:
            schedule(fault.starts_at, self.inject_fault, fault)
        for cancelled_at, count in trace.cancellations:
            schedule(cancelled_at, self.cancel, count)
        schedule(FIRST_WAVE_AT_S, self.declare_wave, 'wave-1')
        schedule(SECOND_WAVE_AT_S, self.declare_wave, 'wave-2')
        schedule(0.2, self.reports.send)
        schedule(TICK_S, self.tick)
        schedule(0.0, self.world.start_jobs_on_idle_slots)
        if trace.requests:
            schedule(trace.requests[0][0], self._add_next_request, 0)

    def _add_next_request(self, index: int) -> None:
        requests = self.trace.requests
        self.world.add_request(requests[index])
        if index + 1 < len(requests):
            self.world.schedule(
                requests[index + 1][0], self._add_next_request, index + 1
            )

    def submit(self, spec: JobSpec) -> None:
        self.world.add_task(Task(spec))
        self.tables.jobs[spec.name] = Job(
            name=spec.name,
            service=spec.service,
            team=spec.team,
            urgency=spec.urgency,
            size=spec.size,
            declared_s=spec.declared_s,
            submitted_at=spec.submitted_at,
            checkpointable=spec.checkpointable,
        )

    def cancel(self, count: int) -> None:
        """Cancel up to ``count`` random jobs that run longer than 20 s."""
        names = [
            name
            for name, task in self.world.tasks.items()
            if task.state in ('waiting', 'standby', 'running')
            and task.spec.run_s > 20.0
        ]
        for name in self.rng.sample(names, min(count, len(names))):
            self.tables.jobs[name].state = JobState.CANCELLED
            if name not in self.tables.leases:
                self.world.stop_task(self.world.tasks[name], 'cancelled')

    def declare_wave(self, name: str) -> None:
        pools = self.trace.deployment.pools
        self.tables.waves[name] = Wave(name=name, pools=pools)
        self.world.ledger.wave_times[name] = [self.world.now]

    def inject_fault(self, fault: Fault) -> None:
        world = self.world
        for name in fault.instances:
            worker = world.workers[name]
            if worker.state == 'lost' or worker.is_faulty:
                continue
            if fault.kind == 'bad':
                worker.is_faulty = True
            else:
                world.lose_worker(worker)
            world.schedule(
                fault.ends_at, self.repair, worker, worker.incarnation
            )
        for pool in world.queues:
            world.ledger.check_loss(pool, world.now)
        if fault.cause == 'zone':
            zone = self.tables.zones[
                world.workers[fault.instances[0]].site.zone
            ]
            world.schedule(
                world.now + REPORT_INTERVAL_S,
                self.set_zone_reachable,
                zone,
                False,
            )
            world.schedule(
                fault.ends_at + REPORT_INTERVAL_S,
                self.set_zone_reachable,
                zone,
                True,
            )

    def set_zone_reachable(self, zone: Zone, reachable: bool) -> None:
        zone.reachable = reachable

    def repair(self, worker: Worker, incarnation: int) -> None:
        if worker.incarnation != incarnation:
            return
        worker.is_faulty = worker.fault_observed = False
        if worker.state == 'lost':
            row = self.tables.instances[worker.site.name]
            row.suspect = False
            self._return_to_service(worker, row)

    def tick(self) -> None:
        now = self.world.now
        for decision in self.policy(self.tables, now, self.rng):
            self.decision_log.append((now, decision))
            self.apply_decision(decision)
        for row in self.tables.instances.values():
            row.finished = row.failed = 0
        self.world.schedule(now + TICK_S, self.tick)

    def apply_decision(self, decision: Decision) -> None:
        match decision:
            case LendInstance() | StartMaintenance() | EjectInstance():
                self._take_out_of_service(decision)
            case SkipMaintenance() | FailMaintenance() | CancelMove():
                self._abandon_stop(decision)
            case ProbeInstance():
                self.world.schedule(
                    self.world.now + PROBE_DURATION_S,
                    self._record_probe,
                    decision.instance,
                )
            case ReturnInstance():
                worker = self.world.workers[decision.instance]
                self._return_to_service(
                    worker, self.tables.instances[decision.instance]
                )
            case StartJob() | CheckpointJob() | ThrottleJob() | WithdrawJob():
                self._apply_job_decision(decision)
            case StopJob():
                self.world.stop_task(
                    self.world.tasks[decision.job], 'cancelled'
                )
                self.tables.leases.pop(decision.job, None)
            case RefuseJob():
                self.world.stop_task(self.world.tasks[decision.job], 'refused')
            case _:
                self._apply_wave_decision(decision)

    def _take_out_of_service(
        self, decision: LendInstance | StartMaintenance | EjectInstance
    ) -> None:
        worker = self.world.workers[decision.instance]
        row = self.tables.instances[decision.instance]
        row.phase_since = self.world.now
        row.epoch += 1
        if worker.state != 'serving':
            return
        if isinstance(decision, LendInstance):
            row.phase, row.target_pool = Phase.DRAINING, decision.target
            worker.purpose = decision.target
        elif isinstance(decision, StartMaintenance):
            row.phase, row.wave = Phase.MAINTENANCE, decision.wave
            row.maintenance_step = 'draining'
            worker.purpose = decision.wave
        else:
            row.phase = Phase.EJECTED
        worker.incarnation += (
            not worker.is_faulty and row.phase is not Phase.EJECTED
        )
        is_ejected = row.phase is Phase.EJECTED
        self.world.set_state(worker, 'ejected' if is_ejected else 'draining')
        if not (is_ejected and worker.fault_observed):
            what = f'{type(decision).__name__} of {decision.instance}'
            self.world.ledger.check_planned_stop(
                worker.pool, self.world.now, what
            )
        self.world.check_drained(worker)

    def handle_drained(self, worker: Worker) -> None:
        """Move or reboot a worker once its home has reported it drained.

        Work that still runs on it is recorded as interrupted.
        """
        row = self.tables.instances[worker.site.name]
        if worker.requests or worker.tasks:
            self.world.record_interrupted_work(worker)
        if row.phase is Phase.DRAINING:
            self.world.ledger.moves += 1
            self.world.account_elapsed(worker)
            worker.pool = row.pool = row.target_pool
            self._return_to_service(worker, row, counts_as_longstanding=True)
        elif row.phase is Phase.MAINTENANCE:
            row.maintenance_step = 'rebooting'
            self.world.set_state(worker, 'booting')
            ready_in_s = (
                self.trace.reboot_s[worker.site.name] + ANNOUNCE_AFTER_BOOT_S
            )
            self.world.schedule(
                self.world.now + ready_in_s,
                self._finish_reboot,
                worker,
                worker.incarnation,
            )

    def _finish_reboot(self, worker: Worker, incarnation: int) -> None:
        if worker.state != 'booting' or worker.incarnation != incarnation:
            return
        row = self.tables.instances[worker.site.name]
        wave = self.tables.waves[row.wave]
        wave.done.add(row.name)
        self.world.ledger.maintained.append((wave.name, row.name))
        row.maintained_at = self.world.now
        worker.is_faulty = (
            wave.name == 'wave-2'
            and row.name in self.trace.failing_after_reboot
        )
        self._return_to_service(worker, row)

    def _return_to_service(
        self,
        worker: Worker,
        row: Instance,
        *,
        counts_as_longstanding: bool = False,
    ) -> None:
        """Let a worker serve its pool.

        :param counts_as_longstanding: whether to enter it in the tables as
            if it had been serving for a long time.
        """
        row.phase, row.target_pool = Phase.SERVING, ''
        row.maintenance_step = ''
        row.epoch += 1
        row.phase_since = 0.0 if counts_as_longstanding else self.world.now
        worker.consecutive_failures = 0
        worker.suspect_until = 0.0
        self.world.set_state(worker, 'serving')

    def _abandon_stop(
        self, decision: SkipMaintenance | FailMaintenance | CancelMove
    ) -> None:
        worker = self.world.workers[decision.instance]
        row = self.tables.instances[decision.instance]
        if isinstance(decision, FailMaintenance):
            wave = self.tables.waves[decision.wave]
            wave.done.discard(row.name)
            wave.failed.add(row.name)
            return
        if isinstance(decision, SkipMaintenance):
            self.tables.waves[decision.wave].skipped.add(row.name)
            row.wave = ''
        if worker.state in ('draining', 'empty'):
            worker.incarnation += 1
            self._return_to_service(worker, row, counts_as_longstanding=True)

    def _record_probe(self, name: str) -> None:
        row, worker = self.tables.instances[name], self.world.workers[name]
        if worker.state in ('serving', 'ejected'):
            row.failed += worker.is_faulty
            row.finished += not worker.is_faulty

    def _apply_job_decision(
        self, decision: StartJob | CheckpointJob | ThrottleJob | WithdrawJob
    ) -> None:
        task = self.world.tasks[decision.job]
        row = self.tables.jobs[decision.job]
        if isinstance(decision, StartJob):
            worker = self.world.workers[decision.instance]
            self.world.grant_lease(task, worker)
        elif isinstance(decision, CheckpointJob):
            self.world.checkpoint(task)
        elif isinstance(decision, WithdrawJob):
            self.world.withdraw(task)
        elif decision.share > 0:
            self.world.unthrottle(task)
        else:
            self.world.throttle(task)
        self.world.dispatch(task.spec.pool)
        if task.worker is None:
            self.tables.leases.pop(decision.job, None)
        else:
            self.tables.leases[decision.job] = Lease(
                job=decision.job,
                instance=task.worker.site.name,
                since=self.world.now,
                standby=task.state == 'standby',
            )
        if row.state is not JobState.CANCELLED and task.state in JOB_STATES:
            row.state = JOB_STATES[task.state]

    def _apply_wave_decision(self, decision: Decision) -> None:
        assert isinstance(
            decision,
            StartWave | PauseWave | ResumeWave | StopWave | FinishWave,
        )
        wave = self.tables.waves[decision.wave]
        wave.state = WAVE_STATES[type(decision)]
        wave.reason = decision.reason
        if isinstance(decision, FinishWave):
            times = self.world.ledger.wave_times[wave.name]
            times.append(self.world.now)
        elif isinstance(decision, StopWave):
            self.world.schedule(
                self.world.now + OPERATOR_DELAY_S, self._retry_wave, wave
            )

    def _retry_wave(self, wave: Wave) -> None:
        """Resume a wave after the operator has repaired what failed."""
        for name in wave.failed | set(self.trace.failing_after_reboot):
            worker = self.world.workers[name]
            worker.is_faulty = worker.fault_observed = False
        wave.acknowledged |= wave.failed
        wave.state = WaveState.RUNNING

    def run(self) -> dict[str, float | int]:
        """Run to the end of the trace and return the figures.

        Urgent requests that still wait then count if they are late already.
        """
        self.world.run_until(self.duration_s)
        for worker in self.world.workers.values():
            self.world.account_elapsed(worker)
            for task in worker.tasks.values():
                if task.state == 'running':
                    self.world.throttle(task)
        for queue in self.world.queues.values():
            for request in queue:
                waited_s = self.duration_s - request[0]
                if waited_s > 8.7:
                    self.world.ledger.record_urgent_start(
                        request[0], self.duration_s
                    )
        return self.world.ledger.compute_figures(self.duration_s)
