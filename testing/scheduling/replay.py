"""Replay a load with the engine and stand-in workers, without a network."""

from __future__ import annotations

from collections.abc import Callable

from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

TICK_S = 0.05
ROOM = Resources(16000, 65536, 0)


class Replay:
    """A pool of workers whose tasks end by themselves.

    :param proves_jobs: as for :class:`Harness`.
    :param get_run_s: returns how long a task takes, by its name and worker.
    :ivar submitted: time at which each job was submitted.
    :ivar ended: time at which each job ended.
    """

    def __init__(
        self,
        workers: int,
        *,
        lookahead: bool,
        get_run_s: Callable[[str, str], float],
        room: Resources = ROOM,
        proves_jobs: bool = False,
    ) -> None:
        self.harness = Harness(
            *(
                FakeWorker(name=f'w{n}', rack=f'r{n // 8}', resources=room)
                for n in range(workers)
            ),
            lookahead=lookahead,
        )
        self.harness.proves_jobs = proves_jobs
        self.harness.pass_time(0.2)
        self.get_run_s = get_run_s
        self.start = self.harness.now
        self.submitted: dict[str, float] = {}
        self.ended: dict[str, float] = {}

    @property
    def now(self) -> float:
        """Seconds since the start of the replay."""
        return self.harness.now - self.start

    def submit(self, name: str, *steps: Step) -> None:
        self.submitted[name] = self.now
        self.harness.submit(name, make_job(*steps))

    def run(
        self, until: float, on_tick: Callable[[float], None] | None = None
    ) -> None:
        """Pass time, and call a function in each tick."""
        while self.now < until:
            if on_tick is not None:
                on_tick(self.now)
            self._tick()

    def _tick(self) -> None:
        harness = self.harness
        harness.now += TICK_S
        for worker in harness.workers.values():
            worker.advance(TICK_S)
            for run in list(worker.running.values()):
                age_s = (worker.clock_ms - run.started_ms) / 1000
                run_s = self.get_run_s(run.task, worker.name)
                run.percent = min(int(100 * age_s / run_s), 99)
                if age_s >= run_s - 1e-9:
                    worker.end(run.task, EndKind.DONE)
        harness.run_round()
        for name, job in harness.state.jobs.items():
            if job.has_ended and name not in self.ended:
                self.ended[name] = self.now

    def latency_s(self, name: str) -> float:
        """Return how long a job took; infinite if it has not ended."""
        return self.ended.get(name, float('inf')) - self.submitted[name]

    def count_on_time(self, names: list[str], objective_s: float) -> int:
        return sum(self.latency_s(name) <= objective_s for name in names)

    def count_log(self, event: str) -> int:
        return self.harness.log_text.getvalue().count(event)
