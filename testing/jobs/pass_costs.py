"""Measure what the leader's work costs, in calls of functions or in lines.

They are counted instead of time, so that a bound holds on each machine.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
import random
import sys
from types import FrameType
from typing import Any

from bench.jobs import EngineBench
from galenareel._jobs.model import Step

POOL = 'p0'
CALL_S = 1e-6  # assumed time of a call
TASK_COUNTS = (1, 4, 8)


class CallCounter:
    """Counts the calls of Python functions while it is installed."""

    def __init__(self) -> None:
        self.calls = 0

    def _count(self, _frame: FrameType, event: str, _arg: Any) -> None:
        self.calls += event == 'call'

    def read_clock(self) -> float:
        """Return a time that passes with the calls, in seconds."""
        return self.calls * CALL_S

    @contextmanager
    def install(self) -> Iterator[None]:
        previous = sys.getprofile()
        sys.setprofile(self._count)
        try:
            yield
        finally:
            sys.setprofile(previous)


class LineCounter:
    """Counts executed lines, also of each round of a comprehension."""

    def __init__(self) -> None:
        self.lines = 0

    def _trace(self, _frame: FrameType, event: str, _arg: Any) -> Any:
        self.lines += event == 'line'
        return self._trace

    @contextmanager
    def install(self) -> Iterator[None]:
        previous = sys.gettrace()
        sys.settrace(self._trace)
        try:
            yield
        finally:
            sys.settrace(previous)


def make_waiting(
    workers: int,
    steps: int,
    suspects: int,
    *,
    pools: int = 1,
    is_full: bool = True,
    seed: int = 1,
) -> EngineBench:
    """Return an engine in whose pools steps wait.

    The first pool is on alert, as after the loss of many workers.

    :param is_full: whether what finds a worker is placed already.

    :param suspects: number of these steps whose tasks are suspects.
    """
    rng = random.Random(seed)  # noqa: S311
    bench = EngineBench(workers=workers, pools=pools)
    for _ in range(steps):
        bench.submit(
            1,
            Step(
                count=rng.choice(TASK_COUNTS),
                cpu=1800,
                memory_mb=3600,
                estimate_ms=640,
            ),
        )
    engine = bench.engine
    works = [
        step for work in engine.jobs.values() for step in work.steps.values()
    ]
    pool = engine.get_pool(POOL)
    pool.note_crash(bench.now)
    pool.note_crash(bench.now)
    for step in rng.sample(works, suspects):
        step.crashes = dict.fromkeys(step.waiting, 1)
    while is_full and engine.place(bench.now):
        pass
    engine.take_orders()
    return bench
