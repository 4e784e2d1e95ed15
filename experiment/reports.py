"""Make the tables of a deployment and update them by delayed reports."""

from __future__ import annotations

from experiment.ledger import MIN_AVAILABLE
from experiment.ledger import Task
from experiment.ledger import Worker
from experiment.trace import Trace
from experiment.world import World
from galenareel._common.rows import Phase
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Job
from galenareel._decisions.tables import JobState
from galenareel._decisions.tables import Load
from galenareel._decisions.tables import Pool
from galenareel._decisions.tables import Rack
from galenareel._decisions.tables import Service
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Team
from galenareel._decisions.tables import Zone

REPORT_INTERVAL_S = 1.0
LOST_AFTER_S = 10.0

JOB_STATES = {
    'waiting': JobState.WAITING,
    'standby': JobState.WAITING,
    'running': JobState.RUNNING,
    'throttled': JobState.THROTTLED,
    'saving': JobState.CHECKPOINTING,
    'parked': JobState.CHECKPOINTING,
}


class Reports:
    """Updates the tables as the reports of the entries do."""

    def __init__(self, world: World, tables: Tables) -> None:
        self.world = world
        self.tables = tables

    def send(self) -> None:
        """Report everything now, and again after the report interval."""
        now = self.world.now
        for name, worker in self.world.workers.items():
            self._report_worker(worker, self.tables.instances[name])
        for name, pool in self.tables.pools.items():
            queue = self.world.queues[name]
            pool.load = Load(
                arrival_rate=self.world.arrived[name] / REPORT_INTERVAL_S,
                queued=len(queue),
                oldest_wait_s=now - queue[0][0] if queue else 0.0,
                mean_run_s=2.0,
                reported_at=now,
            )
            self.world.arrived[name] = 0
        self._report_jobs()
        self.world.schedule(now + REPORT_INTERVAL_S, self.send)

    def _report_worker(self, worker: Worker, row: Instance) -> None:
        now = self.world.now
        row.urgent_in_use = worker.urgent_slots
        row.work_left_s = 1.5 if worker.urgent_slots else 0.0
        row.finished += worker.finished
        row.failed += worker.failed
        worker.finished = worker.failed = 0
        is_lost = worker.state == 'lost'
        row.suspect = is_lost or worker.suspect_until > now
        if is_lost and now - worker.down_since >= LOST_AFTER_S:
            if row.phase is not Phase.LOST:
                row.phase = Phase.LOST
                row.phase_since = now
                row.target_pool = ''

    def _report_jobs(self) -> None:
        tables = self.tables
        for name, job in list(tables.jobs.items()):
            task = self.world.tasks[name]
            if task.failed_on:
                job.failed_on = frozenset(task.failed_on)
            if job.state is JobState.CANCELLED and task.worker is None:
                self.world.stop_task(task, 'cancelled')
            is_waiting = (
                task.state == 'waiting' and job.state is JobState.WAITING
            )
            if is_waiting and name not in tables.leases:
                continue
            if task.state in ('done', 'cancelled', 'refused'):
                self._report_end(job, task)
                continue
            job.run_s = task.saved_s
            if task.state == 'running':
                job.run_s += self.world.now - task.running_since
                job.used_slots = float(task.spec.size)
            if job.state is not JobState.CANCELLED:
                job.state = JOB_STATES[task.state]
            lease = tables.leases.get(name)
            if task.worker is None:
                tables.leases.pop(name, None)
            elif lease is not None:
                lease.standby = task.state == 'standby'

    def _report_end(self, job: Job, task: Task) -> None:
        self.tables.leases.pop(job.name, None)
        if job.state in (JobState.DONE, JobState.CANCELLED):
            del self.tables.jobs[job.name]
            del self.world.tasks[job.name]
            return
        job.run_s = task.saved_s
        job.state = (
            JobState.DONE if task.state == 'done' else JobState.CANCELLED
        )


def make_tables(trace: Trace) -> Tables:
    """Return the tables of a deployment at the start of a run."""
    deployment = trace.deployment
    tables = Tables(weights=deployment.weights)
    for site in trace.sites:
        tables.instances[site.name] = Instance(
            name=site.name,
            zone=site.zone,
            rack=site.rack,
            pool=site.pool,
            image=site.image,
            maintained_at=float('-inf'),
        )
        tables.racks[site.rack] = Rack(name=site.rack, zone=site.zone)
        tables.zones[site.zone] = Zone(name=site.zone)
    for name in deployment.pools:
        tables.pools[name] = Pool(
            name=name,
            min_available=MIN_AVAILABLE,
            spare=name == deployment.spare,
            survive_rack=True,
        )
        for service in (name, f'{name}-batch'):
            tables.services[service] = Service(name=service, pool=name)
    for team, slots in (
        ('desk', 40),
        ('archive', 100),
        ('ledger', 100),
        ('research', 60),
    ):
        tables.teams[team] = Team(name=team, slots=slots)
    return tables
