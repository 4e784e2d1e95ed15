"""Run the engine under random faults, with rows that cannot be read.

To show that the checks work, further tests break the engine and expect them
to fail.
"""

from __future__ import annotations

from collections.abc import Callable

from hypothesis.stateful import rule
from hypothesis.strategies import sampled_from
import pytest

from galenareel._jobs.clients import Listing
from galenareel._jobs.engine import Engine
from galenareel._scheduling.list_gaps import ListGaps
from testing.jobs.harness import Violation
from testing.jobs.test_random_faults import JobMachine
from testing.jobs.test_random_faults import NAMES
from testing.jobs.test_random_faults import run_machine
from testing.standins.worker import FakeWorker

FOREIGN = 'another writer'


class OddRowMachine(JobMachine):
    """The same with odd rows, which end with the other faults."""

    staying: tuple[str, ...] = ()

    @rule(name=sampled_from(NAMES))
    def add_odd_row(self, name: str) -> None:
        self._get_worker(name).odd_runs.add(FOREIGN)

    @rule(name=sampled_from(NAMES))
    def make_running_rows_odd(self, name: str) -> None:
        worker = self._get_worker(name)
        worker.odd_runs.update(list(worker.running)[:1])

    @rule(name=sampled_from(NAMES), ahead=sampled_from([0, 1, 2]))
    def make_end_odd(self, name: str, ahead: int) -> None:
        worker = self._get_worker(name)
        worker.odd_ends.add(worker.position + ahead)

    @rule()
    def end_faults(self) -> None:
        super().end_faults()
        for name in set(NAMES) - set(self.staying):
            self._get_worker(name).odd_runs.clear()
            self._get_worker(name).odd_ends.clear()

    def _get_worker(self, name: str) -> FakeWorker:
        return self.harness.workers[name]


class StayingRowMachine(OddRowMachine):
    """The same with odd rows of one worker that stay."""

    staying = NAMES[:1]


@pytest.mark.parametrize('machine', [OddRowMachine, StayingRowMachine])
def test_invariants_hold_with_odd_rows(machine: type[JobMachine]) -> None:
    run_machine(15, machine)


def start_machine() -> tuple[OddRowMachine, FakeWorker]:
    """Return a machine with three jobs, and a worker whose odd rows stay."""
    machine = OddRowMachine()
    machine.begin()
    for _ in range(3):
        machine.submit()
    machine.wait(0.5)
    worker = max(
        machine.harness.workers.values(), key=lambda each: len(each.running)
    )
    assert len(worker.running) > 1
    machine.staying = (worker.name,)
    return machine, worker


def list_odd_end(machine: OddRowMachine, worker: FakeWorker) -> None:
    worker.odd_ends.add(1)
    machine.end_tasks(worker.name, True)
    machine.wait(0.5)
    machine.teardown()


def change_leader_beside_odd_row(
    machine: OddRowMachine, worker: FakeWorker
) -> None:
    machine.make_running_rows_odd(worker.name)
    machine.change_leader()
    machine.wait(0.5)
    machine.teardown()


def without_a_limit(patch: pytest.MonkeyPatch) -> None:
    """Acknowledge the ends after an odd one."""
    pass_ends = ListGaps.pass_ends
    patch.setattr(
        ListGaps,
        'pass_ends',
        lambda gaps, position, _limit: pass_ends(gaps, position, None),
    )


def with_complete_lists(patch: pytest.MonkeyPatch) -> None:
    """Take the runs that a list with a gap lacks for over."""
    patch.setattr(Listing, 'is_complete', lambda _listing: True)
    patch.setattr(Engine, '_is_given_up', lambda *_: False)


def without_giving_up(patch: pytest.MonkeyPatch) -> None:
    """Wait for a worker as long as its rows are odd."""
    patch.setattr(Engine, '_is_given_up', lambda *_: False)


@pytest.mark.parametrize(
    ('break_engine', 'scenario', 'message'),
    [
        (without_a_limit, list_odd_end, 'end was acknowledged'),
        (with_complete_lists, list_odd_end, 'after it was done'),
        (with_complete_lists, change_leader_beside_odd_row, 'runs twice'),
        (without_giving_up, list_odd_end, 'lost jobs'),
    ],
)
def test_check_finds_an_engine_that_misreads_odd_rows(
    break_engine: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[OddRowMachine, FakeWorker], None],
    message: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scenario(*start_machine())  # finds nothing in the unbroken engine

    break_engine(monkeypatch)
    with pytest.raises(Violation, match=message):
        scenario(*start_machine())
