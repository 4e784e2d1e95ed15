"""Measure how long each part holds the leader's loop (``make measure-holds``).

Prints one JSON object: by size of the tables, the milliseconds of processor
time of the longest call of each part. While one of them runs, the leader can't
renew its lease, and placement passes alone have a bound of time.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
import gc
import io
import json
import time
from typing import Any

from opentelemetry.metrics import NoOpMeter

from bench.jobs import EngineBench
from bench.jobs import STEP
from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import PartTimes
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import Listing
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.engine import Engine
from galenareel._jobs.fleet import Fleet
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import CrashRecord
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import MAX_STEPS
from galenareel._jobs.model import MAX_TASKS
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._scheduling.instances import Instance
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.tables import StepWork

POOLS = 5
WORKSPACES = 20
ROUNDS = 3
STEP_COUNTS = (1, 4, 8)
SUSPECT_DIVISOR = 3  # one waiting step of this many has suspects
LOST_DIVISOR = 12  # one worker of this many is lost at once
FAR_MS = 10**13  # due time of timed jobs that don't start meanwhile
ENDS = 200  # ends of one list
USUAL_STEPS = 8  # of a job
GANG = 1024  # tasks
WIDE_DIVISOR = 100  # one job of this many has many tasks
BURST = 20  # submissions that arrive together


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the tables.

    :param steps: waiting steps.
    :param jobs: accepted jobs, most of which don't wait.
    """

    workers: int
    steps: int
    jobs: int


SIZES = (Size(50, 100, 1000), Size(130, 850, 3000), Size(300, 3000, 10_000))

# Parts of the housekeeping, by attribute of the engine.
HOUSEKEEPING = (
    ('', '_detect_silence'),
    ('_crashes', 'find_losses'),
    ('', '_open_due_steps'),
    ('', '_resend_orders'),
    ('', '_stop_on_draining_workers'),
    ('', '_start_copies'),
    ('', '_restart_stalled'),
    ('', '_retry_waiting'),
    ('workspace_report', 'report'),
    ('hold_report', 'report'),
    ('waits', 'sample'),
    ('audit', 'check_slice'),
)


class Holds:
    """Longest processor time of each part, in ms."""

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}

    @contextmanager
    def measure(self, part: str) -> Iterator[None]:
        started_at = time.process_time()
        yield
        spent_ms = (time.process_time() - started_at) * 1000
        self.longest[part] = max(self.longest.get(part, 0.0), spent_ms)

    def watch(self, owner: object, name: str, part: str) -> None:
        """Measure each call of a method of one object."""
        method: Callable[..., Any] = getattr(owner, name)

        def call(*args: Any, **kwargs: Any) -> Any:
            with self.measure(part):
                return method(*args, **kwargs)

        setattr(owner, name, call)


class FixedClock(Clock):
    """Clock of the simulated engine."""

    def __init__(self, bench: EngineBench) -> None:
        self._bench = bench

    def monotonic(self) -> float:
        return self._bench.now

    def wall(self) -> float:
        return self._bench.now


class PlanningBench(Fleet):
    """Plans for the workers of an engine, and sends no order."""

    def __init__(self, bench: EngineBench, engine: Engine) -> None:
        clock = FixedClock(bench)
        super().__init__(
            engine=engine,
            state=bench.state,
            client=None,  # type: ignore[arg-type]
            propose=lambda command: False,
            retire=lambda worker, reason: None,
            fail=lambda exc: None,
            may_order=lambda: False,
            holder='bench',
            clock=clock,
            log=make_log(),
            parts=PartTimes(clock),
        )
        for worker in engine.workers.values():
            worker.instance = f'm{worker.name}'
            row = InstanceRow(
                name=worker.instance,
                pool=worker.pool,
                state=InstanceState.UP,
                zone='a',
                rack=worker.record.rack,
                labels=worker.record.labels,
                resources=worker.record.resources,
                worker=worker.name,
            )
            self._tables.instances[row.name] = Instance(row=row, listed_at=0.0)

    def plan(self, now: float) -> None:
        self._plan(now)

    def close_for_wave(self, divisor: int) -> None:
        """Let a wave close one instance of some."""
        for instance in list(self._tables.instances.values())[::divisor]:
            instance.closing_for = WAVE
        self._close_workers(0.0)


def make_log() -> Log:
    return Log('bench', level='error', stream=io.StringIO())


def make_busy(size: Size) -> EngineBench:
    """Return an engine with full workers, waiting steps and idle jobs."""
    bench = EngineBench(
        WORKSPACES, lookahead=True, workers=size.workers, pools=POOLS
    )
    bench.submit(size.workers * 2)
    for _ in range(ROUNDS):
        bench.confirm_runs(bench.place())
        bench.now += 0.5
        for name in bench.engine.workers:
            bench.apply_listing(name, ())
    for number in range(size.steps):
        count = STEP_COUNTS[number % len(STEP_COUNTS)]
        bench.submit(
            1, Step(count=count, cpu=1800, memory_mb=3600, estimate_ms=640)
        )
    for number, step in enumerate(list_waiting(bench.engine)):
        if number % SUSPECT_DIVISOR == 0:
            step.crashes = dict.fromkeys(step.waiting, 1)
    bench.confirm_runs(bench.place())
    for number in range(size.jobs - bench.job_count):
        add_idle(bench, f'idle{number}', is_over=number % 2 == 0)
    return bench


def list_waiting(engine: Engine) -> list[StepWork]:
    return [s for pool in engine.pools.values() for s in pool.waiting.values()]


def add_idle(bench: EngineBench, name: str, *, is_over: bool) -> None:
    """Add a job that is over, or timed and not due."""
    request = JobRequest(
        specification='s',
        steps=(STEP,),
        first_run_ms=FAR_MS,
        interval_ms=1000,
        repetitions=1,
    )
    bench.state.apply_command(
        AcceptJob(
            name=name, queue='q0', request=request, now_ms=1, workspace='s1'
        )
    )
    if is_over:
        bench.state.apply_command(CancelJob(name=name, now_ms=1))
    else:
        bench.engine.add_job(bench.state.jobs[name], bench.now)


def watch_housekeeping(holds: Holds, engine: Engine, suffix: str) -> None:
    for owner, name in HOUSEKEEPING:
        part = f'{owner or "engine"}.{name.strip("_")}{suffix}'
        holds.watch(getattr(engine, owner) if owner else engine, name, part)


def measure_housekeeping(holds: Holds, size: Size) -> None:
    bench = make_busy(size)
    watch_housekeeping(holds, bench.engine, '')
    for _ in range(ROUNDS):
        bench.now += 6.0
        with holds.measure('housekeep'):
            bench.engine.housekeep(bench.now, int(bench.now * 1000))
    planning = PlanningBench(bench, bench.engine)
    holds.watch(planning, '_compute_demands', 'fleet.compute_demands')
    with holds.measure('fleet.plan'):
        planning.plan(bench.now)
    measure_admission(holds, bench)
    with holds.measure('apply_config'):
        bench.engine.apply_config(bench.now)


def measure_admission(holds: Holds, bench: EngineBench) -> None:
    config = bench.state.config
    assert config is not None, 'set by the bench'
    request = JobRequest(specification='s', steps=(STEP,))
    with holds.measure(f'admission of {BURST}'):
        for number in range(BURST):
            with holds.measure('admission'):
                bench.engine.check_admission(
                    config.queues[0],
                    request,
                    bench.now,
                    name=f'new{number}',
                    workspace='s2',
                )


def measure_wave(holds: Holds, size: Size) -> None:
    """Measure planning while a wave closes workers and tasks are overdue."""
    bench = make_busy(size)
    for worker in bench.engine.workers.values():
        if int(worker.name[1:]) % 20 < 5:
            for run in list(worker.runs.values()):
                bench.engine.end_job(run.task.job, bench.now, 'cancelled')
    for pool in bench.engine.pools.values():
        pool.overdue = list(pool.waiting.values())[:100]
        for step in pool.overdue:
            step.quiet_since = step.ready_at = bench.now - 3.0
    planning = PlanningBench(bench, bench.engine)
    planning.close_for_wave(3)
    with holds.measure('fleet.plan in a wave'):
        planning.plan(bench.now)


def measure_crashes(holds: Holds, size: Size) -> None:
    """Measure what follows the crash of many workers at once."""
    bench = make_busy(size)
    engine = bench.engine
    lost = list(engine.workers.values())[::LOST_DIVISOR]
    for worker in lost:
        worker.has_ended = True
        for run in worker.runs.values():
            run.until_ms = 1
            run.start_asked_at = bench.now
    for worker in lost:
        with holds.measure('retire_worker'):
            engine.retire_worker(worker.name, 1, bench.now)
    bench.now += 1.0
    with holds.measure('housekeep after crashes'):
        engine.housekeep(bench.now, 1)
    with holds.measure('update_crash_counts'):
        engine.update_crash_counts()
    ends = engine.take_ends()
    assert ends is not None, 'workers have crashed'
    with holds.measure('record crashes'):
        bench.state.apply_command(
            RecordEnds(crashed=tuple(ends.crashed), now_ms=1)
        )
    with holds.measure('mark_ends_stored'):
        engine.mark_ends_stored(ends)
    at_fault = tuple(
        CrashRecord(crash.task, f'{crash.worker}x', 1, True)
        for crash in ends.crashed
    )
    with holds.measure('record crashes at fault'):
        bench.state.apply_command(RecordEnds(crashed=at_fault, now_ms=1))
    with holds.measure('record regained'):
        bench.state.apply_command(
            RecordEnds(
                regained=tuple((worker.name, 1) for worker in lost), now_ms=1
            )
        )


def measure_expiry(holds: Holds, size: Size) -> None:
    """Measure the expiry of the leases of many workers at once."""
    for divisor in (LOST_DIVISOR, 1):
        bench = make_busy(size)
        for worker in list(bench.engine.workers.values())[::divisor]:
            worker.silent_since = bench.now
            worker.lease_expires_at = bench.now
        bench.now += 1.0
        part = f'leases of 1 worker of {divisor} expire'
        with holds.measure(part):
            bench.engine.housekeep(bench.now, 1)


def measure_listing(holds: Holds, size: Size) -> None:
    """Measure the list of a worker with many ends, of jobs of many steps."""
    for count in (USUAL_STEPS, MAX_STEPS):
        bench = make_busy(size)
        steps = tuple(
            Step(count=1, cpu=1, estimate_ms=640) for _ in range(count)
        )
        ended: list[EndedRow] = []
        while len(ended) < ENDS:
            name = f'wide{len(ended)}'
            add_job(bench, name, steps)
            for step in range(len(steps)):
                ended.append(
                    EndedRow(
                        position=len(ended) + 1,
                        task=str(TaskId(name, 0, step, 0)),
                        number=1,
                        kind=EndKind.DONE,
                        saved='',
                    )
                )
        listing = Listing(
            clock_ms=int(bench.now * 1000),
            born=1,
            running=(),
            ended=tuple(ended),
        )
        worker = bench.engine.workers['w0']
        with holds.measure(f'list of {ENDS} ends, {count} steps a job'):
            bench.engine.apply_listing(
                worker, listing, sent_at=bench.now, now=bench.now
            )


def measure_large_job(holds: Holds, size: Size) -> None:
    """Measure a job of the largest size, and what all jobs cost at once."""
    bench = make_busy(size)
    steps = tuple(
        Step(count=MAX_TASKS, cpu=1, estimate_ms=640) for _ in range(MAX_STEPS)
    )
    with holds.measure('largest job is added'):
        add_job(bench, 'large', steps)
    with holds.measure('sample with the largest job'):
        bench.engine.waits.sample(
            bench.engine.pools, bench.engine.workers.values(), bench.now + 1.0
        )
    with holds.measure('hold report with the largest job'):
        bench.engine.hold_report.report(
            bench.engine.pools, bench.engine.workers, bench.now + 9.0
        )
    with holds.measure('largest job is ended'):
        bench.engine.end_job('large', bench.now, 'cancelled')
    with holds.measure('snapshot'):
        bench.state.snapshot()
    gc.collect()
    with holds.measure('full garbage collection'):
        gc.collect()


def measure_gang(holds: Holds, size: Size) -> None:
    """Measure the end of a gang, and the load of jobs with many tasks."""
    bench = make_busy(size)
    gang = Step(count=GANG, cpu=1, gang=True, estimate_ms=640)
    last = Step(count=1, after=(0,), cpu=1, estimate_ms=640)
    add_job(bench, 'gang', (gang, last))
    tasks = tuple(TaskId('gang', 0, 0, index) for index in range(GANG))
    with holds.measure(f'record of the end of a gang of {GANG}'):
        bench.state.apply_command(RecordEnds(done=tasks, now_ms=1))
    bench = EngineBench(workers=size.workers, pools=POOLS)
    wide = Step(count=MAX_TASKS, cpu=1, estimate_ms=640)
    for number in range(size.jobs // WIDE_DIVISOR):
        add_job(bench, f'wide{number}', (wide,) * 4)
    load(holds, bench, 'load_jobs, jobs of many tasks')


def add_job(bench: EngineBench, name: str, steps: tuple[Step, ...]) -> None:
    request = JobRequest(specification='s', steps=steps)
    bench.state.apply_command(
        AcceptJob(name=name, queue='q0', request=request, now_ms=1)
    )
    bench.engine.add_job(bench.state.jobs[name], bench.now)


def load(holds: Holds, bench: EngineBench, part: str) -> Engine:
    """Return the engine of the next leader, which has loaded all jobs."""
    with holds.measure('begin term'):
        engine = Engine(
            bench.state,
            epoch=2,
            log=make_log(),
            metrics=JobMetrics(NoOpMeter('bench')),
            now=bench.now,
            policy=SchedulingPolicy(lookahead=True),
            loads_jobs=False,
        )
    while not engine.is_loaded:
        with holds.measure(part):
            engine.load_jobs(bench.now)
    return engine


def measure_take_over(holds: Holds, size: Size) -> None:
    """Measure the start of a term whose workers are only read in part."""
    bench = make_busy(size)
    engine = load(holds, bench, 'load_jobs')
    bench.engine = engine
    unread = {f'w{n}' for n in range(POOLS - 1, size.workers, POOLS)}
    for name in engine.workers:
        if name not in unread:
            with holds.measure('first listing'):
                bench.apply_listing(name, ())
    watch_housekeeping(holds, engine, ' with unread')
    planning = PlanningBench(bench, engine)
    for _ in range(ROUNDS):
        bench.now += 0.3
        with holds.measure('place with unread'):
            engine.place(bench.now, time.process_time)
        with holds.measure('housekeep with unread'):
            engine.housekeep(bench.now, int(bench.now * 1000))
        with holds.measure('fleet.plan with unread'):
            planning.plan(bench.now)


def measure_size(size: Size) -> dict[str, float]:
    """Return the longest time of each part, in ms."""
    holds = Holds()
    for measure in (
        measure_housekeeping,
        measure_wave,
        measure_crashes,
        measure_expiry,
        measure_listing,
        measure_large_job,
        measure_gang,
        measure_take_over,
    ):
        measure(holds, size)
    return {part: round(ms, 1) for part, ms in holds.longest.items()}


def main() -> None:
    """Measure and print the figures."""
    rows = {
        f'{size.workers} workers, {size.steps} steps, {size.jobs} jobs': (
            measure_size(size)
        )
        for size in SIZES
    }
    print(json.dumps(rows, indent=1))


if __name__ == '__main__':
    main()
