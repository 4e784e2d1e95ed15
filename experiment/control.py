"""Fills the tables from late reports and carries decisions out."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from experiment.ledger import Task
from experiment.ledger import Worker
from experiment.reports import make_tables
from experiment.reports import REPORT_S
from experiment.reports import Reports
from experiment.reports import STATES
from experiment.trace import BOOT_ANNOUNCE_S
from experiment.trace import Fault
from experiment.trace import HOUR_S
from experiment.trace import JobSpec
from experiment.trace import SECOND_WAVE_AT
from experiment.trace import Trace
from experiment.trace import WAVE_AT
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

OPERATOR_S = 120.0  # until somebody looks at a stopped wave
PROBE_S = 0.5

Policy = Callable[[Tables, float, Random], list[Decision]]

WAVE_STATES = {
    StartWave: WaveState.RUNNING,
    PauseWave: WaveState.PAUSED,
    ResumeWave: WaveState.RUNNING,
    StopWave: WaveState.STOPPED,
    FinishWave: WaveState.DONE,
}


class Control:
    """One run of a policy over a trace."""

    def __init__(
        self, trace: Trace, policy: Policy, duration_s: float = HOUR_S
    ) -> None:
        self.world = World(trace)
        self.world.on_empty = self.handle_drained
        self.trace = trace
        self.policy = policy
        self.duration_s = duration_s
        self.rng = Random(1)
        self.tables = make_tables(trace)
        self.reports = Reports(self.world, self.tables)
        self.log: list[tuple[float, Decision]] = []
        self._schedule()

    # --- outside events ---

    def _schedule(self) -> None:
        schedule = self.world.schedule
        trace = self.trace
        for spec in trace.jobs:
            schedule(spec.at, self.submit, spec)
        for fault in trace.faults:
            schedule(fault.at, self.inject_fault, fault)
        for when, number in trace.cancellations:
            schedule(when, self.cancel, number)
        schedule(WAVE_AT, self.declare_wave, 'wave-1')
        schedule(SECOND_WAVE_AT, self.declare_wave, 'wave-2')
        schedule(0.2, self.reports.send)
        schedule(TICK_S, self.tick)
        schedule(0.0, self.world.look)
        if trace.requests:
            schedule(trace.requests[0][0], self._arrive, 0)

    def _arrive(self, index: int) -> None:
        requests = self.trace.requests
        self.world.add_request(requests[index])
        if index + 1 < len(requests):
            self.world.schedule(
                requests[index + 1][0], self._arrive, index + 1
            )

    def submit(self, spec: JobSpec) -> None:
        self.world.submit(Task(spec))
        self.tables.jobs[spec.name] = Job(
            name=spec.name,
            service=spec.service,
            team=spec.team,
            urgency=spec.urgency,
            size=spec.size,
            declared_s=spec.declared_s,
            submitted_at=spec.at,
            checkpointable=spec.checkpointable,
        )

    def cancel(self, number: int) -> None:
        names = [
            name
            for name, task in self.world.tasks.items()
            if task.state in ('waiting', 'standby', 'running')
            and task.spec.run_s > 20.0
        ]
        for name in self.rng.sample(names, min(number, len(names))):
            self.tables.jobs[name].state = JobState.CANCELLED
            if name not in self.tables.leases:
                self.world.stop(self.world.tasks[name], 'cancelled')

    def declare_wave(self, name: str) -> None:
        pools = self.trace.deployment.pools
        self.tables.waves[name] = Wave(name=name, pools=pools)
        self.world.ledger.wave_times[name] = [self.world.now]

    def inject_fault(self, fault: Fault) -> None:
        world = self.world
        for name in fault.instances:
            worker = world.workers[name]
            if worker.state == 'lost' or worker.bad:
                continue
            if fault.kind == 'bad':
                worker.bad = True
            else:
                world.lose(worker)
            world.schedule(
                fault.until, self.repair, worker, worker.incarnation
            )
        for pool in world.queues:
            world.ledger.check_loss(pool, world.now)
        if fault.cause == 'zone':
            zone = self.tables.zones[
                world.workers[fault.instances[0]].site.zone
            ]
            world.schedule(world.now + REPORT_S, self.reach, zone, False)
            world.schedule(fault.until + REPORT_S, self.reach, zone, True)

    def reach(self, zone: Zone, reachable: bool) -> None:
        zone.reachable = reachable

    def repair(self, worker: Worker, incarnation: int) -> None:
        if worker.incarnation != incarnation:
            return
        worker.bad = worker.seen_bad = False
        if worker.state == 'lost':
            row = self.tables.instances[worker.site.name]
            row.suspect = False
            self._serve(worker, row)

    # --- decisions ---

    def tick(self) -> None:
        now = self.world.now
        for decision in self.policy(self.tables, now, self.rng):
            self.log.append((now, decision))
            self.carry_out(decision)
        for row in self.tables.instances.values():
            row.finished = row.failed = 0
        self.world.schedule(now + TICK_S, self.tick)

    def carry_out(self, decision: Decision) -> None:
        match decision:
            case LendInstance() | StartMaintenance() | EjectInstance():
                self._take(decision)
            case SkipMaintenance() | FailMaintenance() | CancelMove():
                self._give_up(decision)
            case ProbeInstance():
                self.world.schedule(
                    self.world.now + PROBE_S, self._probed, decision.instance
                )
            case ReturnInstance():
                worker = self.world.workers[decision.instance]
                self._serve(worker, self.tables.instances[decision.instance])
            case StartJob() | CheckpointJob() | ThrottleJob() | WithdrawJob():
                self._job(decision)
            case StopJob():
                self.world.stop(self.world.tasks[decision.job], 'cancelled')
                self.tables.leases.pop(decision.job, None)
            case RefuseJob():
                self.world.stop(self.world.tasks[decision.job], 'refused')
            case _:
                self._wave(decision)

    def _take(
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
        worker.incarnation += not worker.bad and row.phase is not Phase.EJECTED
        ejected = row.phase is Phase.EJECTED
        self.world.set_state(worker, 'ejected' if ejected else 'draining')
        if not (ejected and worker.seen_bad):
            what = f'{type(decision).__name__} of {decision.instance}'
            self.world.ledger.check_planned_stop(
                worker.pool, self.world.now, what
            )
        self.world.check_empty(worker)

    def handle_drained(self, worker: Worker) -> None:
        """The home has reported that nothing is in flight."""
        row = self.tables.instances[worker.site.name]
        if worker.requests or worker.tasks:
            self.world.cut_all(worker)
        if row.phase is Phase.DRAINING:
            self.world.ledger.moves += 1
            self.world.touch(worker)
            worker.pool = row.pool = row.target_pool
            self._serve(worker, row, settled=True)
        elif row.phase is Phase.MAINTENANCE:
            row.maintenance_step = 'rebooting'
            self.world.set_state(worker, 'booting')
            ready = self.trace.reboot_s[worker.site.name] + BOOT_ANNOUNCE_S
            self.world.schedule(
                self.world.now + ready,
                self._booted,
                worker,
                worker.incarnation,
            )

    def _booted(self, worker: Worker, incarnation: int) -> None:
        if worker.state != 'booting' or worker.incarnation != incarnation:
            return
        row = self.tables.instances[worker.site.name]
        wave = self.tables.waves[row.wave]
        wave.done.add(row.name)
        self.world.ledger.maintained.append((wave.name, row.name))
        row.maintained_at = self.world.now
        worker.bad = wave.name == 'wave-2' and row.name in self.trace.spoiled
        self._serve(worker, row)

    def _serve(
        self, worker: Worker, row: Instance, *, settled: bool = False
    ) -> None:
        row.phase, row.target_pool = Phase.SERVING, ''
        row.maintenance_step = ''
        row.epoch += 1
        row.phase_since = 0.0 if settled else self.world.now
        worker.failed_row = 0
        worker.suspect_until = 0.0
        self.world.set_state(worker, 'serving')

    def _give_up(
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
            self._serve(worker, row, settled=True)

    def _probed(self, name: str) -> None:
        row, worker = self.tables.instances[name], self.world.workers[name]
        if worker.state in ('serving', 'ejected'):
            row.failed += worker.bad
            row.finished += not worker.bad

    def _job(
        self, decision: StartJob | CheckpointJob | ThrottleJob | WithdrawJob
    ) -> None:
        task = self.world.tasks[decision.job]
        row = self.tables.jobs[decision.job]
        if isinstance(decision, StartJob):
            worker = self.world.workers[decision.instance]
            self.world.grant(task, worker)
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
        if row.state is not JobState.CANCELLED and task.state in STATES:
            row.state = STATES[task.state]

    def _wave(self, decision: Decision) -> None:
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
            self.world.schedule(self.world.now + OPERATOR_S, self._retry, wave)

    def _retry(self, wave: Wave) -> None:
        """The operator has repaired the instances that failed."""
        for name in wave.failed | set(self.trace.spoiled):
            worker = self.world.workers[name]
            worker.bad = worker.seen_bad = False
        wave.acknowledged |= wave.failed
        wave.state = WaveState.RUNNING

    def run(self) -> dict[str, float | int]:
        self.world.run_until(self.duration_s)
        for worker in self.world.workers.values():
            self.world.touch(worker)
            for task in worker.tasks.values():
                if task.state == 'running':
                    self.world.throttle(task)
        for queue in self.world.queues.values():
            for request in queue:
                late = self.duration_s - request[0]
                if late > 8.7:
                    self.world.ledger.started(request[0], self.duration_s)
        return self.world.ledger.results(self.duration_s)
