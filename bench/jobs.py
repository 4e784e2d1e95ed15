"""Cost of scheduling jobs: ``make measure-jobs``.

Prints one JSON object: tasks placed a second by the scheduler alone, the time
of one pass over many waiting tasks, and the time from acceptance to the first
order, all without I/O; then what a job takes through three core processes and
a front on loopback.
"""

from __future__ import annotations

import io
import json
import time

from opentelemetry.metrics import NoOpMeter

from bench.job_group import measure_group
from galenareel._common.log import Log
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
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import JobState
from galenareel._scheduling.tables import StartTask

WORKERS = 200
POOLS = 5
TASKS = 8  # of a job
ROUNDS = 20
WAITING = 2000  # tasks that wait in one pass
STEP = Step(count=TASKS, cpu=1800, memory_mb=3600, estimate_ms=640)


class Bench:
    """An engine with workers that do at once what they are told."""

    def __init__(self) -> None:
        self.now = 100.0
        self.jobs = 0
        self.ended: dict[str, int] = {}
        self.state = JobState()
        pools = tuple(Pool(name=f'p{n}') for n in range(POOLS))
        queues = tuple(
            Queue(name=f'q{n}', host='h', prefix=f'/{n}/', pool=f'p{n}')
            for n in range(POOLS)
        )
        self.state.apply_command(
            Configure(config=Configuration(1, queues, pools))
        )
        for number in range(WORKERS):
            record = WorkerRecord(
                name=f'w{number}',
                born=1,
                address='127.0.0.1:1',
                pool=f'p{number % POOLS}',
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
        )
        for name in self.engine.workers:
            self.look(name, ())

    def look(self, name: str, ended: tuple[EndedRow, ...]) -> None:
        worker = self.engine.workers[name]
        rows = tuple(
            RunningRow(
                task=str(one.task), number=one.number, saved='', percent=50
            )
            for one in worker.runs.values()
            if not any(end.task == str(one.task) for end in ended)
        )
        listing = Listing(
            clock_ms=int(self.now * 1000), born=1, running=rows, ended=ended
        )
        self.engine.apply_listing(
            worker, listing, sent_at=self.now, now=self.now
        )

    def submit(self, count: int) -> None:
        for _ in range(count):
            self.jobs += 1
            name = f'j{self.jobs}'
            command = AcceptJob(
                name=name,
                queue=f'q{self.jobs % POOLS}',
                request=JobRequest(specification='s', steps=(STEP,)),
                now_ms=1,
            )
            self.state.apply_command(command)
            self.engine.add_job(self.state.jobs[name], self.now)

    def place(self) -> list[StartTask]:
        while self.engine.place(self.now):
            pass
        orders = self.engine.take_orders()
        return [one for one in orders if isinstance(one, StartTask)]

    def end(self, orders: list[StartTask]) -> None:
        """All runs end, as their workers list them."""
        by_worker: dict[str, list[EndedRow]] = {}
        for order in orders:
            run = order.run
            answer = Answer(
                outcome=Outcome.DONE, clock_ms=int(self.now * 1000)
            )
            self.engine.handle_start_answer(run, answer, self.now)
            name = run.worker.name
            self.ended[name] = self.ended.get(name, 0) + 1
            by_worker.setdefault(name, []).append(
                EndedRow(
                    position=self.ended[name],
                    task=str(run.task),
                    number=run.number,
                    kind=EndKind.DONE,
                    saved='',
                )
            )
        self.now += 0.64
        for name, rows in by_worker.items():
            self.look(name, tuple(rows))


def measure_rate() -> float:
    """Tasks a second, from acceptance to their listed end."""
    bench = Bench()
    done = 0
    began = time.process_time()
    for _ in range(ROUNDS):
        bench.submit(50)
        orders = bench.place()
        bench.end(orders)
        done += len(orders)
    return done / (time.process_time() - began)


def measure_pass() -> tuple[float, int]:
    """Longest pass over waiting tasks, and how many were placed in all."""
    bench = Bench()
    bench.submit(WAITING // TASKS)
    longest, more = 0.0, True
    while more:
        began = time.process_time()
        more = bench.engine.place(bench.now)
        longest = max(longest, time.process_time() - began)
    return longest, len(bench.engine.take_orders())


def measure_first_order() -> float:
    """Mean time from acceptance to the orders of one job."""
    bench = Bench()
    began = time.process_time()
    for _ in range(ROUNDS):
        bench.submit(1)
        bench.place()
    return (time.process_time() - began) / ROUNDS


def main() -> None:
    """Measure and print."""
    seconds, placed = measure_pass()
    print(
        json.dumps(
            {
                'workers': WORKERS,
                'tasks_per_s': round(measure_rate()),
                'pass_waiting': WAITING,
                'pass_placed': placed,
                'pass_ms': round(seconds * 1000, 1),
                'first_order_ms': round(measure_first_order() * 1000, 2),
                **measure_group(),
            }
        )
    )


if __name__ == '__main__':
    main()
