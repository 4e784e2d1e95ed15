"""Random faults over many ticks, judged by the ledger of the experiment.

The ledger counts budgets, moves and interrupted work without the code under
test.
"""

from __future__ import annotations

from hypothesis import Phase as HypothesisPhase
from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import floats
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
import pytest

from experiment.control import Control
from experiment.policies import tick_galenareel
from experiment.trace import Fault
from experiment.trace import JobSpec
from experiment.trace import make_trace
from galenareel._common.rows import Phase
from galenareel._decisions.soft_state import SoftState
from galenareel._decisions.tick_context import Budget
from galenareel._document.model import Urgency

POOLS = ('lots', 'tasting', 'leaf-sheets', 'catalogue', 'office')
# Time within which all repairs, backlogs and drains end.
RECOVERY_S = 150.0


class Fleet(RuleBasedStateMachine):
    """A simulated fleet; each rule is an event that happens to it."""

    def __init__(self) -> None:
        super().__init__()
        trace = make_trace('abay', 1, duration_s=1.0)
        trace.jobs.clear()
        trace.requests.clear()
        trace.faults.clear()
        trace.cancellations.clear()
        self.control = Control(trace, tick_galenareel)
        self.control.tables.teams['archive'].slots = 10_000
        self.world = self.control.world
        self.waves = 0
        self.jobs = 0

    @rule(seconds=floats(0.5, 20.0))
    def advance(self, seconds: float) -> None:
        self.world.run_until(self.world.now + seconds)

    @rule(pool=sampled_from(POOLS), rate=integers(5, 60))
    def add_request_burst(self, pool: str, rate: int) -> None:
        for number in range(rate * 10):
            at = self.world.now + number / rate
            self.world.schedule(at, self.world.add_request, (at, pool, 2.0))

    @rule(number=integers(0, 29), repair=floats(5.0, 60.0))
    def lose_instance(self, number: int, repair: float) -> None:
        self._inject_fault(
            'lost', [sorted(self.world.workers)[number]], repair
        )

    @rule(number=integers(0, 29), repair=floats(5.0, 60.0))
    def lose_rack(self, number: int, repair: float) -> None:
        workers = list(self.world.workers.values())
        rack = workers[number].site.rack
        names = [
            worker.site.name for worker in workers if worker.site.rack == rack
        ]
        self._inject_fault('lost', names, repair)

    @rule(number=integers(0, 29), repair=floats(20.0, 100.0))
    def make_instance_fail(self, number: int, repair: float) -> None:
        self._inject_fault('bad', [sorted(self.world.workers)[number]], repair)

    def _inject_fault(
        self, kind: str, names: list[str], repair: float
    ) -> None:
        """Make instances fail until they are repaired after ``repair`` s."""
        now = self.world.now
        until = now + repair
        self.control.inject_fault(
            Fault(now, until, kind, tuple(names), 'rule')
        )

    @rule(
        pool=sampled_from(POOLS),
        count=integers(1, 60),
        run_s=floats(30.0, 300.0),
        checkpointable=booleans(),
    )
    def submit(
        self, pool: str, count: int, run_s: float, checkpointable: bool
    ) -> None:
        run_s = run_s if checkpointable else min(run_s, 60.0)
        for _ in range(count):
            self.jobs += 1
            spec = JobSpec(
                f'job-{self.jobs}',
                pool,
                f'{pool}-batch',
                'archive',
                self.world.now,
                run_s,
                run_s * 3,
                Urgency.DEFERRABLE,
                checkpointable=checkpointable,
            )
            self.control.submit(spec)

    @rule(count=integers(1, 40))
    def cancel(self, count: int) -> None:
        self.control.cancel(count)

    @rule()
    def declare_wave(self) -> None:
        if self.waves < 3:
            self.waves += 1
            self.control.declare_wave(f'rule-{self.waves}')

    @rule()
    def change_leader(self) -> None:
        """Discard all estimates, as a new leader starts without them."""
        self.control.tables.soft_state = SoftState()

    @invariant()
    def budgets_are_kept(self) -> None:
        assert self.world.ledger.violations == []

    @invariant()
    def no_work_is_interrupted(self) -> None:
        assert self.world.ledger.interrupted == []

    @invariant()
    def each_instance_is_in_one_pool(self) -> None:
        for name, worker in self.world.workers.items():
            assert self.control.tables.instances[name].pool == worker.pool
        listed = [
            worker.site.name
            for members in self.world.serving_workers.values()
            for worker in members
        ]
        assert len(listed) == len(set(listed))

    @invariant()
    def each_instance_is_maintained_once(self) -> None:
        visits = self.world.ledger.maintained
        assert len(visits) == len(set(visits))

    def teardown(self) -> None:
        """Check that without further faults all work gets done."""
        self.world.run_until(self.world.now + RECOVERY_S)
        self.budgets_are_kept()
        self.no_work_is_interrupted()
        assert not any(self.world.queues.values())
        rows = self.control.tables.instances.values()
        assert not [row for row in rows if row.phase is Phase.DRAINING]
        self.no_job_waits_beside_free_slots()

    def no_job_waits_beside_free_slots(self) -> None:
        idle = set(self.world.workers)
        waited = self._list_waiting_jobs()
        for _ in range(10):
            self.world.run_until(self.world.now + 0.5)
            workers = self.world.workers.values()
            idle &= {
                worker.site.name
                for worker in workers
                if worker.free_slots > 0 and worker.state == 'serving'
            }
        pools = {self.world.workers[name].pool for name in idle}
        waiting = {
            name
            for name in waited & self._list_waiting_jobs()
            if self.world.tasks[name].spec.pool in pools
        }
        assert waiting == set(), self.control.tables.soft_state.job_waits

    def _list_waiting_jobs(self) -> set[str]:
        tasks = self.world.tasks.items()
        return {name for name, task in tasks if task.state == 'waiting'}


FleetTest = Fleet.TestCase
FleetTest.settings = settings(
    max_examples=20,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=(HypothesisPhase.generate,),  # shrinking takes minutes
)


def test_state_machine_detects_a_missing_budget_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against invariants that accept a policy without budgets."""
    monkeypatch.setattr(Budget, 'find_refusal', lambda *_, **__: '')
    fleet = Fleet()
    for pool in ('lots', 'tasting'):
        fleet.add_request_burst(pool, 60)
    fleet.advance(15.0)
    with pytest.raises(AssertionError):
        fleet.budgets_are_kept()


def test_state_machine_detects_an_interrupted_job() -> None:
    """Guards against invariants that accept a checkpoint of any job."""
    fleet = Fleet()
    fleet.submit('lots', 1, 20.0, False)
    fleet.advance(2.0)
    fleet.world.checkpoint(fleet.world.tasks['job-1'])
    with pytest.raises(AssertionError):
        fleet.no_work_is_interrupted()


def test_state_machine_detects_repeated_maintenance() -> None:
    """Guards against an invariant that accepts two visits of a wave."""
    fleet = Fleet()
    fleet.world.ledger.maintained += [('rule-1', 'bole/lots-0')] * 2
    with pytest.raises(AssertionError):
        fleet.each_instance_is_maintained_once()


def test_state_machine_detects_an_instance_in_two_pools() -> None:
    """Guards against an invariant that accepts rows unlike the fleet."""
    fleet = Fleet()
    fleet.control.tables.instances['bole/lots-0'].pool = 'office'
    with pytest.raises(AssertionError):
        fleet.each_instance_is_in_one_pool()


def test_state_machine_detects_starvation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against final checks that accept a job that never starts."""
    fleet = Fleet()
    fleet.control.policy = lambda tables, now, rng: []
    fleet.submit('lots', 1, 20.0, True)
    with pytest.raises(AssertionError):
        fleet.teardown()
