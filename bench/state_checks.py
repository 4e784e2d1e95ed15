"""Checks of the replicated state for the fault matrix.

A :class:`StateWatcher` checks the state of one member after each command. The
other checks compare the answers to callers with the state of the members.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from bench.history import Violation
from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import Stage
from galenareel._state import commands as c
from galenareel._state.state import State
from galenareel._state.tables import Result
from testing.state.checkers import check_budgets
from testing.state.checkers import check_document
from testing.state.checkers import check_pool_membership
from testing.state.checkers import EpochChecker
from testing.state.checkers import ObservedState
from testing.state.checkers import WaveChecker

# Caller and key.
ClaimId = tuple[str, str]


def observe_state(state: State) -> ObservedState:
    """Copy the parts of the state that the checks compare."""
    tables = state.tables
    return ObservedState(
        instances=dict(state.instances),
        in_force=tables.in_force,
        environment=state.environment,
        cut_zones=state.cut_zones,
        pools={pool: set(names) for pool, names in tables.pools.items()},
    )


class Grants:
    """The holder of each claim, of which there may be only one at a time."""

    def __init__(self) -> None:
        self._holders: dict[ClaimId, str] = {}

    def restore(self, holders: Mapping[ClaimId, str]) -> None:
        self._holders = dict(holders)

    def record_grant(self, claim: ClaimId, holder: str) -> None:
        """:raises Violation: if another holder has the claim."""
        first = self._holders.setdefault(claim, holder)
        if first != holder:
            raise Violation(f'claim {claim} granted to {first} and {holder}')

    def record_release(self, claim: ClaimId, holder: str) -> None:
        if self._holders.get(claim) == holder:
            del self._holders[claim]


class StateWatcher:
    """Checks the state of one member after each command."""

    def __init__(self) -> None:
        self._last: ObservedState | None = None
        self._epochs = EpochChecker()
        self._waves = WaveChecker()
        self._grants = Grants()
        self._homes: dict[tuple[str, int], str] = {}
        self._home_epochs: dict[str, int] = {}

    def check_applied(
        self, state: State, command: c.AnyCommand, result: Result
    ) -> None:
        """Check the state after a command.

        :raises AssertionError: if the command broke an invariant.
        """
        last = self._last
        seen = self._observe(state)
        if last is not None:
            check_budgets(last, seen, type(command).__name__)
            self._check_drained(last, command, result)
        if isinstance(command, c.FinishMaintenance) and isinstance(
            result, Done
        ):
            row = seen.instances[command.instance]
            self._waves.record_finish(row.wave, row.instance)
        if isinstance(command, c.ClaimKey):
            if isinstance(result, ClaimReply) and result.state == 'granted':
                claim = (command.caller, command.key)
                self._grants.record_grant(claim, command.holder)
        if isinstance(command, c.SettleKey) and command.state == 'released':
            if isinstance(result, Done):
                claim = (command.caller, command.key)
                self._grants.record_release(claim, command.holder)

    def check_restored(self, state: State) -> None:
        """Check the state after a snapshot replaced it.

        :raises AssertionError: if the snapshot is older than the last state,
            or breaks an invariant.
        """
        self._observe(state)
        self._grants.restore(
            {claim: row.holder for claim, row in state.claims.items()}
        )

    def _observe(self, state: State) -> ObservedState:
        """Check the state alone and against the last one; return a copy."""
        seen = observe_state(state)
        check_pool_membership(seen)
        self._epochs.check(seen)
        self._check_homes(seen)
        if self._last is not None:
            check_document(self._last, seen)
        self._last = seen
        return seen

    def _check_homes(self, seen: ObservedState) -> None:
        for name, row in seen.instances.items():
            if row.home_epoch < self._home_epochs.get(name, 0):
                raise Violation(f'home epoch of {name} fell')
            self._home_epochs[name] = row.home_epoch
            first = self._homes.setdefault((name, row.home_epoch), row.home)
            if first != row.home:
                raise Violation(
                    f'{name} has homes {first} and {row.home} at home epoch '
                    f'{row.home_epoch}'
                )

    def _check_drained(
        self, last: ObservedState, command: c.AnyCommand, result: Result
    ) -> None:
        """Check that only the current home reported an instance as drained.

        :raises Violation: if the report of a former home was accepted.
        """
        if not isinstance(command, c.FinishMove | c.StartReboot):
            return
        row = last.instances.get(command.instance)
        if isinstance(result, Done) and row is not None:
            if row.home_epoch != command.home_epoch:
                raise Violation(f'former home drained {row.instance}')


@dataclass(slots=True)
class Promotions:
    """Digest of each version whose promotion was acknowledged."""

    acknowledged: dict[int, str] = field(default_factory=dict)

    def record_promotion(self, version: int, digest: str) -> None:
        """:raises Violation: if two documents of one version were promoted."""
        first = self.acknowledged.setdefault(version, digest)
        if first != digest:
            raise Violation(f'version {version} promoted twice')

    def check(self, member: str, state: State) -> None:
        """Check that a member holds every acknowledged promotion.

        :raises Violation: if a promotion was lost or reverted.
        """
        for version, digest in self.acknowledged.items():
            stored = state.documents.get(version)
            if stored is None or stored.row.digest != digest:
                raise Violation(f'{member} lost promoted version {version}')
            if stored.row.stage is Stage.TRIAL:
                raise Violation(f'{member} lost promotion of {version}')
            if state.tables.in_force < version:
                raise Violation(f'{member} reverted version {version}')


def check_same_rows(member: str, state: State, expected: State) -> None:
    """:raises Violation: if a member's rows differ from those of the log."""
    for table in ('instances', 'entries', 'documents', 'waves', 'claims'):
        if dict(getattr(state, table)) != dict(getattr(expected, table)):
            raise Violation(f'{member} holds other {table} than the log')
