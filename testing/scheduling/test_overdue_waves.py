"""Guards against a search for closed workers that grows with what waits."""

from __future__ import annotations

import pytest

from galenareel._jobs.model import Step
from galenareel._scheduling.quiet import MAX_CAUTION_S
from galenareel._scheduling.quiet import MAX_STEPS
from galenareel._scheduling.quiet import update_quiet_waits
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.scheduling.test_waves import close_empty_workers
from testing.scheduling.test_waves import list_closed
from testing.scheduling.test_waves import reopen
from testing.standins.instances import FakePlatform


def test_overdue_steps_that_are_alike_are_compared_with_workers_once(
    harness: Harness,
    platform: FakePlatform,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tables = close_empty_workers(harness, platform)
    engine = harness.engine
    pool = engine.pools['lots']
    for number in range(3 * MAX_STEPS):
        step = Step(count=1, cpu=1000, estimate_ms=1000)
        harness.submit(f'j{number}', make_job(step))
    for work in pool.waiting.values():
        work.ready_at = work.quiet_since = harness.now - MAX_CAUTION_S
    update_quiet_waits(pool, list(engine.workers.values()), harness.now)
    assert len(pool.overdue) == 3 * MAX_STEPS
    compared: list[str] = []

    def note_comparison(_step: StepWork, worker: Worker) -> bool:
        compared.append(worker.name)
        return True

    monkeypatch.setattr('galenareel._scheduling.waves._fits', note_comparison)
    assert reopen(harness, tables) == []
    assert len(compared) <= len(list_closed(tables)) * len(engine.workers)
