"""Test of the state with random histories of commands.

Each rule applies a command made from the current state or from an earlier
one, often twice. The invariants must hold after each command.
"""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck
from hypothesis import Phase as Stage
from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import EntryState
from galenareel._common.rows import Phase
from galenareel._state import commands as c
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import encode
from galenareel._state.state import State
from testing.state.builders import make_environment
from testing.state.builders import make_ready_log
from testing.state.builders import make_register
from testing.state.builders import make_submit
from testing.state.builders import POOLS
from testing.state.checkers import check_budgets
from testing.state.checkers import check_document
from testing.state.checkers import check_pool_membership
from testing.state.checkers import ClaimChecker
from testing.state.checkers import EpochChecker
from testing.state.checkers import ObservedState
from testing.state.checkers import WaveChecker

NAMES = [f'{zone}/{pool}-{n}' for zone in 'ab' for pool in POOLS for n in '12']
names = sampled_from(NAMES)
lags = sampled_from([0, 0, 0, 1])
numbers = integers(0, 7)


def observe(state: State) -> ObservedState:
    tables = state.tables
    return ObservedState(
        instances=dict(state.instances),
        in_force=tables.in_force,
        environment=state.environment,
        cut_zones=state.cut_zones,
        pools={pool: set(members) for pool, members in tables.pools.items()},
    )


def collect_indexes(state: State) -> list[dict[Any, Any]]:
    """Return the indexes of the instances without their empty entries."""
    tables = state.tables
    indexes = (tables.pools, tables.homes, tables.phases, tables.addresses)
    return [
        {key: value for key, value in index.items() if value}
        for index in indexes
    ]


class Histories(RuleBasedStateMachine):
    """Applies random commands to a state and to a replica of it."""

    def __init__(self) -> None:
        super().__init__()
        self.log = make_ready_log(rack=True, budget=1)
        self.replica = State()
        self.replica.restore(self.log.index, self.log.state.snapshot())
        self.view = self.log.state.copy_view()
        self.epochs = EpochChecker()
        self.claims = ClaimChecker()
        self.waves = WaveChecker()
        self.now = 100.0

    def apply(self, command: AnyCommand, *, repeat: bool = False) -> Any:
        """Apply a command and check the invariants.

        :param repeat: apply it again, which must not change anything.
        """
        before = observe(self.log.state)
        result = self.log.apply(command)
        assert self.replica.apply(self.log.index, encode(command)) == result
        after = observe(self.log.state)
        check_pool_membership(after)
        check_document(before, after)
        check_budgets(before, after, type(command).__name__)
        self.epochs.check(after)
        if repeat:
            self.apply(command)
            assert observe(self.log.state) == after
        return result

    def get_epoch(self, name: str, lag: int) -> int:
        """Return the epoch of an instance, or an earlier one by ``lag``."""
        row = self.log.state.instances.get(name)
        return row.epoch - lag if row else 1

    def get_home_epoch(self, name: str) -> int:
        row = self.log.state.instances.get(name)
        return row.home_epoch if row else 0

    @rule(name=names, lag=lags, pool=sampled_from(POOLS))
    def move(self, name: str, lag: int, pool: str) -> None:
        epoch = self.get_epoch(name, lag)
        self.apply(
            c.BeginMove(instance=name, epoch=epoch, target=pool, reason='t'),
            repeat=True,
        )

    def pick_instance(self, number: int, phase: Phase) -> str:
        """Return an instance in a phase; any instance if none is in it."""
        rows = self.log.state.instances.values()
        found = sorted(row.instance for row in rows if row.phase is phase)
        candidates = found or NAMES
        return candidates[number % len(candidates)]

    @rule(number=numbers, lag=lags, abort=sampled_from([False, False, True]))
    def end_move(self, number: int, lag: int, abort: bool) -> None:
        name = self.pick_instance(number, Phase.DRAINING)
        epoch = self.get_epoch(name, lag)
        command: AnyCommand = c.AbortMove(
            instance=name, epoch=epoch, reason='t'
        )
        if not abort:
            home_epoch = self.get_home_epoch(name)
            command = c.FinishMove(
                instance=name, epoch=epoch, home_epoch=home_epoch
            )
        self.apply(command, repeat=True)

    @rule(name=names, lag=lags)
    def begin_maintenance(self, name: str, lag: int) -> None:
        self.apply(
            c.BeginMaintenance(
                now=self.now,
                instance=name,
                epoch=self.get_epoch(name, lag),
                wave='w1',
                reason='t',
            ),
            repeat=True,
        )

    @rule(number=numbers, step=sampled_from([0, 0, 0, 1, 1, 2, 3]))
    def continue_maintenance(self, number: int, step: int) -> None:
        name = self.pick_instance(number, Phase.MAINTENANCE)
        fields: dict[str, Any] = {
            'now': self.now,
            'instance': name,
            'epoch': self.get_epoch(name, 0),
        }
        steps: list[AnyCommand] = [
            c.StartReboot(home_epoch=self.get_home_epoch(name), **fields),
            c.FinishMaintenance(**fields),
            c.AbortMaintenance(reason='t', **fields),
            c.FailMaintenance(wave='w1', reason='t', **fields),
        ]
        result = self.apply(steps[step], repeat=True)
        if step == 0 and isinstance(result, Done):
            self.announce(name, f'after {self.log.index}')
        if step == 1 and isinstance(result, Done):
            self.waves.record_finish('w1', name)

    @rule(name=names)
    def maintain(self, name: str) -> None:
        """Run all steps of a maintenance, unless one is refused."""
        self.begin_maintenance(name, 0)
        row = self.log.state.instances.get(name)
        if row is None or row.phase is not Phase.MAINTENANCE:
            return
        sorted_names = sorted(
            row.instance
            for row in self.log.state.instances.values()
            if row.phase is Phase.MAINTENANCE
        )
        number = sorted_names.index(name)
        self.continue_maintenance(number, 0)
        self.continue_maintenance(number, 1)

    @rule(name=names, incarnation=sampled_from('123'))
    def announce(self, name: str, incarnation: str) -> None:
        pool = name.partition('/')[2].partition('-')[0]
        self.apply(
            make_register(name, service=pool, incarnation=incarnation),
            repeat=True,
        )

    @rule(name=names, kind=integers(0, 4), lag=lags)
    def mark_or_eject(self, name: str, kind: int, lag: int) -> None:
        epoch = self.get_epoch(name, lag)
        commands: list[AnyCommand] = [
            c.MarkLost(now=self.now, instance=name, epoch=epoch, reason='t'),
            c.MarkLeft(now=self.now, instance=name, incarnation='2'),
            c.ForgetInstance(instance=name, epoch=epoch),
            c.EjectInstance(instance=name, epoch=epoch, reason='t'),
            c.ReturnInstance(instance=name, epoch=epoch, reason='t'),
        ]
        self.apply(commands[kind], repeat=True)

    @rule(zone=sampled_from('ab'), cut=sampled_from([False, False, True]))
    def set_zone_cut(self, zone: str, cut: bool) -> None:
        self.apply(c.SetZoneCut(zone=zone, cut=cut), repeat=True)

    @rule(name=names, state=sampled_from(EntryState))
    def change_home(self, name: str, state: EntryState) -> None:
        entry = f'e{name[0]}'
        self.apply(c.SetEntryState(entry=entry, incarnation='1', state=state))
        self.apply(
            c.AssignHome(
                instance=name, home_epoch=self.get_home_epoch(name), home=entry
            )
        )
        self.apply(
            c.RegisterEntry(
                entry=entry, zone=name[0], frames='x:1', incarnation='1'
            )
        )

    @rule(step=integers(1, 2), lag=lags, digest=sampled_from('dde'))
    def submit(self, step: int, lag: int, digest: str) -> None:
        in_force = self.log.state.tables.in_force
        document = make_environment(
            in_force + step, replaces=in_force - lag, budget=1
        )
        self.apply(make_submit(document, digest), repeat=True)

    @rule(number=numbers, wrong=sampled_from([False, False, True]))
    def promote(self, number: int, wrong: bool) -> None:
        """Promote a stored version, chosen from the newest on."""
        documents = self.log.state.documents
        versions = sorted(documents, reverse=True)
        version = versions[number % len(versions)]
        digest = 'x' if wrong else documents[version].row.digest
        self.apply(
            c.PromoteDocument(now=1.0, version=version, digest=digest),
            repeat=True,
        )

    @rule(
        key=sampled_from('kl'),
        holder=sampled_from('xy'),
        wait=sampled_from([0.0, 0.0, 400.0]),
    )
    def claim(self, key: str, holder: str, wait: float) -> None:
        self.now += wait
        result = self.apply(
            c.ClaimKey(
                now=self.now, key=key, caller='c', digest='d', holder=holder
            )
        )
        assert isinstance(result, ClaimReply)
        if result.state == 'granted':
            self.claims.record_grant(('c', key), self.now)

    @rule(
        key=sampled_from('kl'),
        holder=sampled_from('xy'),
        state=sampled_from(['answered', 'unknown', 'released']),
    )
    def settle(self, key: str, holder: str, state: str) -> None:
        before = self.log.state.claims.get(('c', key))
        result = self.apply(
            c.SettleKey(
                now=self.now, key=key, caller='c', holder=holder, state=state
            )
        )
        after = self.log.state.claims.get(('c', key))
        # A repeated outcome does not extend the lifetime of the claim.
        if isinstance(result, Done) and after is not before:
            released = state == 'released'
            self.claims.record_settlement(
                ('c', key), self.now, released=released
            )

    @rule()
    def expire(self) -> None:
        self.apply(c.ExpireClaims(now=self.now))

    @rule()
    def restore(self) -> None:
        """Restore the replica from a snapshot of the state."""
        self.replica.restore(self.log.index, self.log.state.snapshot())

    @invariant()
    def replicas_are_equal(self) -> None:
        assert self.replica.snapshot() == self.log.state.snapshot()

    @invariant()
    def indexes_match_the_rows(self) -> None:
        """Compare the indexes with those of a restored state.

        A restored state computes its indexes from the rows.
        """
        fresh = State()
        fresh.restore(self.log.index, self.log.state.snapshot())
        assert collect_indexes(fresh) == collect_indexes(self.log.state)

    @invariant()
    def delta_leads_to_the_current_view(self) -> None:
        delta = self.log.state.collect_changes_since(self.view.index)
        assert delta is not None
        instances = dict(self.view.instances)
        instances.update({row.instance: row for row in delta.instances})
        for name in delta.removed_instances:
            instances.pop(name, None)
        view = self.log.state.copy_view()
        assert instances == view.instances
        if delta.document is not None:
            assert delta.document == view.document


# Only the generate phase runs: shrinking a failure takes minutes, and the
# printed history is short enough without it.
Histories.TestCase.settings = settings(
    phases=[Stage.generate],
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestHistories = Histories.TestCase
