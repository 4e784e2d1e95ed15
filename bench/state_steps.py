"""Steps of the replicated state, rows of the fault matrix.

The members run the package's ``State`` beside the registers. Every member
that takes itself for the leader proposes the next command from its own
state, so that a deposed leader races with the new one, and repeats earlier
commands at random.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bench.group import CALL_TIMEOUT_S
from bench.group import Group
from bench.history import Violation
from bench.node import Node
from bench.node import Registers
from bench.state_checks import check_same_rows
from bench.state_checks import Grants
from bench.state_checks import Promotions
from bench.state_checks import StateWatcher
from bench.steps import Step
from bench.steps import step
from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.rows import StoredAnswer
from galenareel._common.sentinels import Refused
from galenareel._state import commands as c
from galenareel._state.maintenance import DRAINING_STEP
from galenareel._state.maintenance import REBOOTING_STEP
from galenareel._state.state import State
from galenareel._state.tables import Result
from testing.state.builders import make_environment
from testing.state.builders import make_register
from testing.state.builders import make_submit
from testing.state.builders import POOLS

# First byte of a state command; MessagePack never uses it.
STATE_MARK = b'\xc1'
# Four instances a pool, of which planned work may take one at a time.
BUDGET = 3
CANDIDATES = ('a/lots-1', 'b/lots-1')
SETUP_LIMIT_S = 5.0


class StateMember(Registers):
    """The package's state machine beside the registers, watched."""

    def __init__(self) -> None:
        super().__init__()
        self.state = State()
        self.results: dict[int, Result] = {}
        self._watch = StateWatcher()

    def apply(self, index: int, command: bytes) -> Any:
        if not command.startswith(STATE_MARK):
            return super().apply(index, command)
        data = command[len(STATE_MARK) :]
        result = self.state.apply(index, data)
        self.applied.append((index, command))
        self.results[index] = result
        self._watch.check_applied(self.state, c.decode(data), result)
        return result

    def snapshot(self) -> bytes:
        registers = super().snapshot()
        size = len(registers).to_bytes(8, 'big')
        return size + registers + self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        end = 8 + int.from_bytes(data[:8], 'big')
        super().restore(index, data[8:end])
        self.state.restore(index, data[end:])
        self._watch.check_restored(self.state)


def state_of(node: Node) -> State:
    assert isinstance(node.machine, StateMember), 'set by StateStep.machine'
    return node.machine.state


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A proposed command whose result a caller waits for."""

    machine: Registers
    index: int
    term: int
    data: bytes
    since: float


class StateStep(Step):
    """A step that proposes commands of the replicated state."""

    machine = StateMember

    def __init__(self, group: Group) -> None:
        super().__init__(group)
        self._sent: list[c.AnyCommand] = []

    # --- setting up ---------------------------------------------------------

    def prepare(self) -> None:
        self._commit(
            make_submit(make_environment(budget=BUDGET)),
            c.PromoteDocument(now=1.0, version=1, digest='d'),
            c.BeginWave(now=1.0, wave='w1', pools=POOLS),
            *(_entry(zone, n) for zone in 'ab' for n in '123'),
            *(
                make_register(f'{zone}/{pool}-{n}', service=pool, rack=f'r{n}')
                for zone in 'ab'
                for pool in POOLS
                for n in '12'
            ),
            *(
                c.AssignHome(instance=name, home_epoch=0, home=f'e{name[0]}1')
                for name in CANDIDATES
            ),
        )

    def _commit(self, *commands: c.AnyCommand) -> None:
        """Commit commands before the fault."""
        calls = [self.propose(self.find_leader(), one) for one in commands]

        def results() -> list[Any]:
            return [one and self.result(one) for one in calls]

        self.group.run_until(
            lambda: None not in results(), limit_s=SETUP_LIMIT_S
        )
        for command, result in zip(commands, results(), strict=True):
            assert isinstance(result, Done), (command, result)

    # --- calls --------------------------------------------------------------

    def begin(self) -> None:
        self.attempt()

    def acting(self) -> list[Node]:
        """Members that take themselves for the leader."""
        return [
            one
            for one in self.group.nodes.values()
            if one.is_leader() and self.group.now >= one.frozen_until
        ]

    def propose(self, node: Node, command: c.AnyCommand) -> Call | None:
        self._sent.append(command)
        data = STATE_MARK + c.encode(command)
        placed = node.propose(data)
        if placed is None:
            return None
        return Call(
            machine=node.machine,
            index=placed[0],
            term=placed[1],
            data=data,
            since=self.group.now,
        )

    def send(self, command: c.AnyCommand) -> Call | None:
        """Propose at any member that would take it."""
        found = self.acting()
        if not found:
            return None
        return self.propose(self.group.rng.choice(found), command)

    def repeat_earlier(self) -> None:
        """A command arrives again, late."""
        if self._sent and self.group.rng.random() < 0.5:
            self.send(self.group.rng.choice(self._sent))

    def result(self, call: Call) -> Result | None:
        """What the caller was told; ``None`` while it knows nothing."""
        history = self.group.history
        committed = history.committed.get(call.index)
        assert isinstance(call.machine, StateMember), 'set by machine'
        found = call.machine.results.get(call.index)
        if found is None or committed != (call.term, call.data):
            return None
        history.note_acknowledged(call.index, call.data)
        return found

    def is_lost(self, call: Call) -> bool:
        """Whether the caller has given up."""
        return self.group.now - call.since > CALL_TIMEOUT_S

    # --- end ----------------------------------------------------------------

    def rows(self) -> list[InstanceRow]:
        """The candidates as a valid leader sees them; empty without one."""
        leader = self.group.find_leader()
        if leader is None:
            return []
        found = state_of(leader).instances
        return [found[one] for one in CANDIDATES]

    def check(self) -> None:
        expected = StateMember()
        for index, (_, data) in sorted(self.group.history.committed.items()):
            if data.startswith(STATE_MARK):
                expected.apply(index, data)
        for node in self.group.nodes.values():
            if node.member is not None:
                state = state_of(node)
                check_same_rows(node.name, state, expected.state)
                self.check_member(node.name, state)

    def check_member(self, member: str, state: State) -> None:
        """:raises Violation: if a member lacks what callers were told."""


def _entry(zone: str, number: str) -> c.RegisterEntry:
    return c.RegisterEntry(
        entry=f'e{zone}{number}', zone=zone, frames='x:1', incarnation='1'
    )


# --- instances --------------------------------------------------------------


class InstanceStep(StateStep):
    """Leaders act on the phase of each candidate, as they read it."""

    names: tuple[str, ...] = CANDIDATES

    def attempt(self) -> None:
        for node in self.acting():
            for name in self.names:
                row = state_of(node).instances.get(name)
                if row is not None:
                    for command in self.next_commands(node, row):
                        self.propose(node, command)
        self.repeat_earlier()

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        raise NotImplementedError

    def begin_move(self, row: InstanceRow) -> c.BeginMove:
        return c.BeginMove(
            instance=row.instance,
            epoch=row.epoch,
            target='office',
            reason='peak',
            now=self.group.now,
        )


def _finish_move(row: InstanceRow) -> c.FinishMove:
    return c.FinishMove(
        instance=row.instance, epoch=row.epoch, home_epoch=row.home_epoch
    )


@step
class Move(InstanceStep):
    """Two instances are asked for; the budget lets one go."""

    name = 'move'

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        if row.phase is Phase.DRAINING:
            return [_finish_move(row)]
        return [self.begin_move(row)] if row.pool == 'lots' else []

    def is_done(self) -> bool:
        rows = self.rows()
        moved = [one for one in rows if one.pool == 'office']
        return bool(moved) and all(one.phase is Phase.SERVING for one in rows)


@step
class MoveAborted(InstanceStep):
    """A move is given up while its home may report it as drained."""

    name = 'move aborted'
    names = CANDIDATES[:1]

    def prepare(self) -> None:
        super().prepare()
        self._epoch = self.rows()[0].epoch

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        if row.phase is Phase.DRAINING:
            commands: list[c.AnyCommand] = [
                c.AbortMove(
                    instance=row.instance, epoch=row.epoch, reason='too long'
                ),
                _finish_move(row),
            ]
            self.group.rng.shuffle(commands)
            return commands
        return [self.begin_move(row)] if row.epoch == self._epoch else []

    def is_done(self) -> bool:
        return any(
            one.epoch > self._epoch and one.phase is Phase.SERVING
            for one in self.rows()[:1]
        )


@step
class Maintenance(InstanceStep):
    """Two instances are drained and rebooted, one after the other."""

    name = 'maintenance'

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        name, epoch, now = row.instance, row.epoch, self.group.now
        wave = state_of(node).waves.get('w1')
        if row.phase is Phase.SERVING:
            if wave is None or name in wave.done:
                return []
            return [
                c.BeginMaintenance(
                    now=now, instance=name, epoch=epoch, wave='w1', reason=''
                )
            ]
        if row.maintenance_step == DRAINING_STEP:
            return [
                c.StartReboot(
                    now=now,
                    instance=name,
                    epoch=epoch,
                    home_epoch=row.home_epoch,
                )
            ]
        if row.maintenance_step == REBOOTING_STEP:
            return [
                make_register(name, rack=row.rack, incarnation='i2'),
                c.FinishMaintenance(now=now, instance=name, epoch=epoch),
            ]
        return []

    def is_done(self) -> bool:
        leader = self.group.find_leader()
        if leader is None:
            return False
        done = state_of(leader).waves['w1'].done
        return all(one in done for one in CANDIDATES)


@step
class ChangeOfHome(InstanceStep):
    """Two peers take over a draining instance of a silent entry.

    The silent entry still reports the instance as drained.
    """

    name = 'change of home'
    names = CANDIDATES[:1]

    def prepare(self) -> None:
        super().prepare()
        row = self.rows()[0]
        self._former = _finish_move(row)
        self._commit(self.begin_move(row))

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        if row.home_epoch != self._former.home_epoch:
            moving = row.phase is Phase.DRAINING
            return [self._former, *([_finish_move(row)] if moving else [])]
        commands: list[c.AnyCommand] = [
            c.AssignHome(
                instance=row.instance,
                home_epoch=row.home_epoch,
                home=home,
                taken_over=True,
            )
            for home in ('ea2', 'ea3')
        ]
        self.group.rng.shuffle(commands)
        silent = c.SetEntryState(
            entry='ea1', incarnation='1', state=EntryState.SILENT
        )
        return [silent, *commands, self._former]

    def is_done(self) -> bool:
        return any(
            one.home in ('ea2', 'ea3') and one.pool == 'office'
            for one in self.rows()[:1]
        )


# --- documents --------------------------------------------------------------


class Operator:
    """Submits and promotes one version, resending until it is told."""

    def __init__(self, owner: Promote, digest: str) -> None:
        self._owner = owner
        self._digest = digest
        self._version = owner.first
        self._promoting = False
        self._call: Call | None = None
        self._promoted_at = 0
        self.won: list[int] = []

    def is_done(self) -> bool:
        return self._version > self._owner.last

    def act(self) -> None:
        if self.is_done():
            return
        if self._call is not None:
            result = self._owner.result(self._call)
            if result is None and not self._owner.is_lost(self._call):
                return
            self._call = None
            if result is not None:
                self._told(result)
        if not self.is_done():
            self._call = self._owner.send(self._command())

    def _command(self) -> c.AnyCommand:
        if self._promoting:
            return c.PromoteDocument(
                now=self._owner.group.now,
                version=self._version,
                digest=self._digest,
            )
        document = make_environment(
            self._version, replaces=self._version - 1, budget=BUDGET
        )
        return make_submit(document, self._digest)

    def _told(self, result: Result) -> None:
        if isinstance(result, Done):
            if not self._promoting:
                self._promoting = True
            elif not self._promoted_at:
                # One resend more, as after a lost answer.
                self._promoted_at = result.index
                self._owner.promotions.record_promotion(
                    self._version, self._digest
                )
            elif result.index != self._promoted_at:
                raise Violation('a resent promotion got another answer')
            else:
                self.won.append(self._version)
                self._next()
        elif isinstance(result, Refused) and result.reason == 'conflict':
            if self._promoting:
                raise Violation('an acknowledged submission was replaced')
            self._next()
        elif self._promoting:
            raise Violation(f'promotion of a submitted version: {result}')

    def _next(self) -> None:
        self._version += 1
        self._promoting = False
        self._promoted_at = 0


@step
class Promote(StateStep):
    """Two operators race with the same versions."""

    name = 'promotion'
    first = 2
    last = 3

    def __init__(self, group: Group) -> None:
        super().__init__(group)
        self.promotions = Promotions()
        self._operators = [Operator(self, 'one'), Operator(self, 'other')]

    def attempt(self) -> None:
        for one in self._operators:
            one.act()
        self.repeat_earlier()
        leader = self.group.find_leader()
        if leader is not None:
            # A read under the lease sees every acknowledged promotion.
            self.promotions.check(leader.name, state_of(leader))

    def is_done(self) -> bool:
        return all(one.is_done() for one in self._operators)

    def check(self) -> None:
        super().check()
        won = sorted(v for one in self._operators for v in one.won)
        if won != list(range(self.first, self.last + 1)):
            raise Violation(f'versions {won} were won')

    def check_member(self, member: str, state: State) -> None:
        self.promotions.check(member, state)


# --- claims -----------------------------------------------------------------

PLACE = ('desk', 'key')
ANSWER = StoredAnswer(status=200, body=b'held')


class Holder:
    """An entry that claims a key, runs the request and settles it."""

    def __init__(self, owner: ClaimOnce, name: str) -> None:
        self._owner = owner
        self._name = name
        self._settle = ''  # state to settle with, until it is confirmed
        self._call: Call | None = None
        self.answered = False

    def act(self) -> None:
        if self.answered:
            return
        if self._call is not None:
            result = self._owner.result(self._call)
            if result is None and not self._owner.is_lost(self._call):
                return
            self._call = None
            self._told(result)
        if not self.answered:
            self._call = self._owner.send(self._command())

    def _command(self) -> c.AnyCommand:
        now = self._owner.group.now
        caller, key = PLACE
        if not self._settle:
            return c.ClaimKey(
                now=now, key=key, caller=caller, digest='d', holder=self._name
            )
        if self._settle == 'released':
            self._owner.grants.record_release(PLACE, self._name)
        return c.SettleKey(
            now=now,
            key=key,
            caller=caller,
            holder=self._name,
            state=self._settle,
            answer=ANSWER if self._settle == 'answered' else None,
        )

    def _told(self, result: Result | None) -> None:
        if self._settle:
            # A lost answer to a settlement is resent unchanged.
            if result is not None:
                self._settle = ''
        elif result is None:
            # The claim may be committed; nothing has run.
            self._settle = 'released'
        elif isinstance(result, ClaimReply):
            if result.state == 'granted':
                self._owner.grants.record_grant(PLACE, self._name)
                self._owner.runs += 1
                self._settle = 'answered'
            elif result.state == 'answered':
                if result.answer != ANSWER:
                    raise Violation('a resend got another answer')
                self.answered = True


@step
class ClaimOnce(StateStep):
    """Three entries get the same keyed request."""

    name = 'claim'

    def __init__(self, group: Group) -> None:
        super().__init__(group)
        self.grants = Grants()
        self.runs = 0
        names = ('ea1:1', 'ea2:1', 'eb1:1')
        self._holders = [Holder(self, one) for one in names]

    def attempt(self) -> None:
        for one in self._holders:
            one.act()

    def is_done(self) -> bool:
        return all(one.answered for one in self._holders)

    def check(self) -> None:
        super().check()
        if self.runs != 1:
            raise Violation(f'the keyed request ran {self.runs} times')

    def check_member(self, member: str, state: State) -> None:
        row = state.claims.get(PLACE)
        if row is None or row.answer != ANSWER:
            raise Violation(f'{member} lost the answer of the claim')
