"""Measure the cost of scheduling jobs (``make measure-jobs``).

Prints one JSON object. Five figures are of the scheduler alone, without I/O:
tasks placed per second, the time of one pass over many waiting tasks, without
and with look-ahead and with many reservations, and the time from acceptance of
a job to its first order. Rate and pass are also measured with jobs of 20 and
of 490 workspaces. Two are of the check of a key, at the leader and at a front.
The others are of a job that goes through a front and three core processes on
loopback.
"""

from __future__ import annotations

import io
import json
import time

from opentelemetry.metrics import NoOpMeter

from bench.job_group import measure_group
from galenareel._common.log import Log
from galenareel._common.messages import ClusterView
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import RunningRow
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.engine import Engine
from galenareel._jobs.keys import KeyChecker
from galenareel._jobs.keys import KeyFilter
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.model import Workspace
from galenareel._jobs.state import JobState
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.tables import StartTask

WORKERS = 200
POOLS = 5
TASKS_PER_JOB = 8
ROUNDS = 20
WAITING_TASKS = 2000  # at the start of the measured pass
WORKSPACES = 20
KEYS = 1000  # of all workspaces together
WORKSPACE_COUNTS = (20, 490)
STEP = Step(count=TASKS_PER_JOB, cpu=1800, memory_mb=3600, estimate_ms=640)
RUNS_PER_WORKER = 8  # beside which a large task finds no room
LARGE_STEP = Step(count=1, cpu=20000, memory_mb=8192, estimate_ms=640)


class EngineBench:
    """An engine whose simulated workers obey each order at once.

    :param workspaces: number of workspaces that submit jobs in turn, each with
        a limit that it does not reach; 0 for a deployment without any.
    :param lookahead: whether the settings ask for look-ahead.
    :param workers: number of workers, which are in the pools in turn.
    """

    def __init__(
        self,
        workspaces: int = 0,
        *,
        lookahead: bool = False,
        workers: int = WORKERS,
        pools: int = POOLS,
    ) -> None:
        self.workspaces = workspaces
        self._pool_count = pools
        self.now = 100.0
        self.job_count = 0
        self.end_counts: dict[str, int] = {}
        self.state = JobState()
        numbers = range(pools)
        queues = tuple(
            Queue(
                name=f'q{n}',
                host='h',
                prefix=f'/{n}/',
                pool=f'p{n}',
                stretch=1.6,
                target_ms=600,
            )
            for n in numbers
        )
        self.state.apply_command(
            Configure(
                config=Configuration(
                    1,
                    queues,
                    tuple(Pool(name=f'p{n}') for n in numbers),
                    workspaces=_make_workspaces(workspaces),
                )
            )
        )
        for number in range(workers):
            record = WorkerRecord(
                name=f'w{number}',
                born=1,
                address='127.0.0.1:1',
                pool=f'p{number % pools}',
                zone='a',
                resources=Resources(32000, 131072),
                labels=('a', f'r{number // 20}'),
                rack=f'r{number // 20}',
            )
            self.state.apply_command(AdmitWorker(worker=record))
        epoch = self.state.apply_command(TakeOver(node='bench'))
        assert isinstance(epoch, int), 'a take-over gives the epoch'
        self.engine = Engine(
            self.state,
            epoch=epoch,
            log=Log('bench', level='error', stream=io.StringIO()),
            metrics=JobMetrics(NoOpMeter('bench')),
            now=self.now,
            policy=SchedulingPolicy(lookahead=lookahead),
        )
        for name in self.engine.workers:
            self.apply_listing(name, ())

    def apply_listing(self, name: str, ended: tuple[EndedRow, ...]) -> None:
        """Tell the engine which runs a worker lists as running and ended."""
        worker = self.engine.workers[name]
        rows = tuple(
            RunningRow(
                task=str(run.task), number=run.number, saved='', percent=50
            )
            for run in worker.runs.values()
            if not any(end.task == str(run.task) for end in ended)
        )
        listing = Listing(
            clock_ms=int(self.now * 1000), born=1, running=rows, ended=ended
        )
        self.engine.apply_listing(
            worker, listing, sent_at=self.now, now=self.now
        )

    def submit(self, count: int, step: Step = STEP) -> None:
        for _ in range(count):
            self.job_count += 1
            name = f'j{self.job_count}'
            command = AcceptJob(
                name=name,
                queue=f'q{self.job_count % self._pool_count}',
                request=JobRequest(specification='s', steps=(step,)),
                now_ms=1,
                workspace=f's{self.job_count % self.workspaces}'
                if self.workspaces
                else '',
            )
            self.state.apply_command(command)
            self.engine.add_job(self.state.jobs[name], self.now)

    def place(self) -> list[StartTask]:
        """Place tasks until nothing more fits; return the start orders."""
        while self.engine.place(self.now):
            pass
        orders = self.engine.take_orders()
        return [order for order in orders if isinstance(order, StartTask)]

    def confirm_runs(self, orders: list[StartTask]) -> None:
        answer = Answer(outcome=Outcome.DONE, clock_ms=int(self.now * 1000))
        for order in orders:
            self.engine.handle_start_answer(order.run, answer, self.now)

    def finish_runs(self, orders: list[StartTask]) -> None:
        """Confirm the ordered runs and list all of them as ended."""
        self.confirm_runs(orders)
        ended_by_worker: dict[str, list[EndedRow]] = {}
        for order in orders:
            run = order.run
            name = run.worker.name
            self.end_counts[name] = self.end_counts.get(name, 0) + 1
            ended_by_worker.setdefault(name, []).append(
                EndedRow(
                    position=self.end_counts[name],
                    task=str(run.task),
                    number=run.number,
                    kind=EndKind.DONE,
                    saved='',
                )
            )
        self.now += 0.64
        for name, rows in ended_by_worker.items():
            self.apply_listing(name, tuple(rows))


def _make_workspaces(count: int) -> tuple[Workspace, ...] | None:
    """Return workspaces of uneven weight, or ``None`` for a count of 0."""
    if not count:
        return None
    limit = Resources(cpu=WORKERS * 32000, memory_mb=WORKERS * 131072)
    return tuple(
        Workspace(name=f's{n}', weight=1.0 + n % 4, limit=limit)
        for n in range(count)
    )


def measure_rate(workspaces: int = 0) -> float:
    """Return the tasks per second, from acceptance until listed as ended."""
    bench = EngineBench(workspaces)
    finished = 0
    started_at = time.process_time()
    for _ in range(ROUNDS):
        bench.submit(50)
        orders = bench.place()
        bench.finish_runs(orders)
        finished += len(orders)
    return finished / (time.process_time() - started_at)


def measure_pass(bench: EngineBench) -> tuple[float, int]:
    """Return seconds of the longest pass, and the number of placed tasks."""
    bench.submit(WAITING_TASKS // TASKS_PER_JOB)
    longest_s, can_place = 0.0, True
    while can_place:
        started_at = time.process_time()
        can_place = bench.engine.place(bench.now)
        longest_s = max(longest_s, time.process_time() - started_at)
    return longest_s, len(bench.engine.take_orders())


def make_reservations() -> tuple[EngineBench, int]:
    """Return an engine that holds reservations, and their number."""
    bench = EngineBench(lookahead=True)
    bench.submit(WORKERS * RUNS_PER_WORKER // TASKS_PER_JOB)
    bench.confirm_runs(bench.place())
    bench.submit(WORKERS, LARGE_STEP)
    bench.now += 0.5
    for name in bench.engine.workers:
        bench.apply_listing(name, ())
        bench.engine.wake_pool(bench.engine.workers[name].pool)
    bench.place()
    lookahead = bench.engine.lookahead
    assert lookahead is not None, 'turned on above'
    return bench, sum(
        lookahead.count_reservations(f'p{number}', bench.now)
        for number in range(POOLS)
    )


def measure_first_order() -> float:
    """Return the mean seconds from acceptance of a job to its orders."""
    bench = EngineBench()
    started_at = time.process_time()
    for _ in range(ROUNDS):
        bench.submit(1)
        bench.place()
    return (time.process_time() - started_at) / ROUNDS


def measure_key_checks() -> tuple[float, float]:
    """Return the mean seconds of a check at the leader and at a front.

    The leader finds each key; the front refuses another one each time.
    """
    keys = [f'{number:064x}' for number in range(KEYS)]
    queue = Queue(name='q', host='h', prefix='/', pool='p')
    workspaces = tuple(
        Workspace(name=f't{n}', keys=tuple(keys[n::WORKSPACES]))
        for n in range(WORKSPACES)
    )
    config = Configuration(1, (queue,), (), workspaces=workspaces)
    log = Log('bench', level='error', stream=io.StringIO())
    checker, key_filter = KeyChecker(log), KeyFilter(log)
    key_filter.apply_view(checker.fill_view(ClusterView(), config, ''), 0.0)
    started_at = time.process_time()
    found = [
        checker.identify(config, queue, key)
        for _ in range(ROUNDS)
        for key in keys
    ]
    checked_at = time.process_time()
    refused = [
        key_filter.refuse(key.upper() + '-', 0.0)
        for _ in range(ROUNDS)
        for key in keys
    ]
    ended_at = time.process_time()
    assert all(found) and all(refused), 'each key has one answer'
    count = ROUNDS * KEYS
    return (checked_at - started_at) / count, (ended_at - checked_at) / count


def measure_workspaces(count: int) -> dict[str, float]:
    """Return rate and pass with a number of workspaces."""
    pass_s, _ = measure_pass(EngineBench(count))
    return {
        f'tasks_per_s_{count}_workspaces': round(measure_rate(count)),
        f'pass_ms_{count}_workspaces': round(pass_s * 1000, 1),
    }


def main() -> None:
    """Measure and print the figures."""
    pass_s, placed = measure_pass(EngineBench())
    ahead_s, _ = measure_pass(EngineBench(lookahead=True))
    bench, reservations = make_reservations()
    reserved_s, placed_beside = measure_pass(bench)
    leader_s, front_s = measure_key_checks()
    by_workspaces: dict[str, float] = {}
    for count in WORKSPACE_COUNTS:
        by_workspaces |= measure_workspaces(count)
    print(
        json.dumps(
            {
                'workers': WORKERS,
                'tasks_per_s': round(measure_rate()),
                'pass_waiting': WAITING_TASKS,
                'pass_placed': placed,
                'pass_ms': round(pass_s * 1000, 1),
                'lookahead_pass_ms': round(ahead_s * 1000, 1),
                'reservations': reservations,
                'reserved_pass_ms': round(reserved_s * 1000, 1),
                'reserved_pass_placed': placed_beside,
                'first_order_ms': round(measure_first_order() * 1000, 2),
                'keys': KEYS,
                'key_check_us': round(leader_s * 1e6, 2),
                'front_key_check_us': round(front_s * 1e6, 2),
                **by_workspaces,
                **measure_group(),
            }
        )
    )


if __name__ == '__main__':
    main()
