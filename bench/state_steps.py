"""Steps of the replicated state, which are rows of the fault matrix.

The members run the package's ``State`` beside the registers. Every member
that believes it is the leader proposes the next command from its own state,
so that a deposed leader races with the new one. Earlier commands are proposed
again at random.
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

# First byte of a state command; MessagePack never uses this byte.
STATE_PREFIX = b'\xc1'
# Each pool has four instances, so that planned work may stop one at a time.
MIN_AVAILABLE = 3
CANDIDATES = ('a/lots-1', 'b/lots-1')
SETUP_TIMEOUT_S = 5.0


class StateMember(Registers):
    """Apply state commands beside the registers and check each result."""

    def __init__(self) -> None:
        super().__init__()
        self.state = State()
        self.results: dict[int, Result] = {}
        self._watcher = StateWatcher()

    def apply(self, index: int, command: bytes) -> Any:
        if not command.startswith(STATE_PREFIX):
            return super().apply(index, command)
        data = command[len(STATE_PREFIX) :]
        result = self.state.apply(index, data)
        self.applied.append((index, command))
        self.results[index] = result
        self._watcher.check_applied(self.state, c.decode(data), result)
        return result

    def snapshot(self) -> bytes:
        registers = super().snapshot()
        length = len(registers).to_bytes(8, 'big')
        return length + registers + self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        end = 8 + int.from_bytes(data[:8], 'big')
        super().restore(index, data[8:end])
        self.state.restore(index, data[end:])
        self._watcher.check_restored(self.state)


def get_state(node: Node) -> State:
    assert isinstance(node.machine, StateMember), 'set by StateStep.machine'
    return node.machine.state


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A proposed command whose result a caller waits for.

    :param index: of the log entry; with ``term`` and ``data`` it tells
        whether this command was committed there or another one.
    :param since: time of the proposal.
    """

    machine: Registers
    index: int
    term: int
    data: bytes
    since: float


class StateStep(Step):
    """Base class of steps that propose commands of the replicated state."""

    machine = StateMember

    def __init__(self, group: Group) -> None:
        super().__init__(group)
        self._sent_commands: list[c.AnyCommand] = []

    def prepare(self) -> None:
        self._commit(
            make_submit(make_environment(budget=MIN_AVAILABLE)),
            c.PromoteDocument(now=1.0, version=1, digest='d'),
            c.BeginWave(now=1.0, wave='w1', pools=POOLS),
            *(_make_entry(zone, n) for zone in 'ab' for n in '123'),
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
        """Commit commands before the fault is injected."""
        calls = [
            self.propose(self.find_leader(), command) for command in commands
        ]

        def get_results() -> list[Any]:
            return [call and self.get_result(call) for call in calls]

        self.group.run_until(
            lambda: None not in get_results(), limit_s=SETUP_TIMEOUT_S
        )
        for command, result in zip(commands, get_results(), strict=True):
            assert isinstance(result, Done), (command, result)

    def begin(self) -> None:
        self.attempt()

    def list_acting_leaders(self) -> list[Node]:
        """Return the running members that believe they are the leader."""
        return [
            node
            for node in self.group.nodes.values()
            if node.is_leader() and self.group.now >= node.frozen_until
        ]

    def propose(self, node: Node, command: c.AnyCommand) -> Call | None:
        """Propose a command; return ``None`` if the member doesn't lead."""
        self._sent_commands.append(command)
        data = STATE_PREFIX + c.encode(command)
        position = node.propose(data)
        if position is None:
            return None
        return Call(
            machine=node.machine,
            index=position[0],
            term=position[1],
            data=data,
            since=self.group.now,
        )

    def send(self, command: c.AnyCommand) -> Call | None:
        """Propose a command at a random member that believes it leads."""
        leaders = self.list_acting_leaders()
        if not leaders:
            return None
        return self.propose(self.group.rng.choice(leaders), command)

    def repeat_earlier(self) -> None:
        """Propose an earlier command again in half of the cases."""
        if self._sent_commands and self.group.rng.random() < 0.5:
            self.send(self.group.rng.choice(self._sent_commands))

    def get_result(self, call: Call) -> Result | None:
        """Return the result of a call, or ``None`` if it isn't known.

        A result is an acknowledgement: its entry must not be lost.
        """
        history = self.group.history
        committed = history.committed.get(call.index)
        assert isinstance(call.machine, StateMember), (
            'set by StateStep.machine'
        )
        result = call.machine.results.get(call.index)
        if result is None or committed != (call.term, call.data):
            return None
        history.note_acknowledged(call.index, call.data)
        return result

    def has_timed_out(self, call: Call) -> bool:
        """Return whether the caller has stopped waiting for the result."""
        return self.group.now - call.since > CALL_TIMEOUT_S

    def get_candidates(self) -> list[InstanceRow]:
        """Return the candidates' rows at a leader with a valid lease.

        The list is empty if there is no such leader.
        """
        leader = self.group.find_leader()
        if leader is None:
            return []
        instances = get_state(leader).instances
        return [instances[name] for name in CANDIDATES]

    def check(self) -> None:
        expected = StateMember()
        for index, (_, data) in sorted(self.group.history.committed.items()):
            if data.startswith(STATE_PREFIX):
                expected.apply(index, data)
        for node in self.group.nodes.values():
            if node.member is not None:
                state = get_state(node)
                check_same_rows(node.name, state, expected.state)
                self.check_member(node.name, state)

    def check_member(self, member: str, state: State) -> None:
        """:raises Violation: if a member lacks an acknowledged result."""


def _make_entry(zone: str, number: str) -> c.RegisterEntry:
    return c.RegisterEntry(
        entry=f'e{zone}{number}', zone=zone, frames='x:1', incarnation='1'
    )


class InstanceStep(StateStep):
    """Base class of steps whose commands follow from an instance's phase.

    Each acting leader uses the phase in its own state.
    """

    names: tuple[str, ...] = CANDIDATES

    def attempt(self) -> None:
        for node in self.list_acting_leaders():
            for name in self.names:
                row = get_state(node).instances.get(name)
                if row is not None:
                    for command in self.next_commands(node, row):
                        self.propose(node, command)
        self.repeat_earlier()

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        raise NotImplementedError

    def make_begin_move(self, row: InstanceRow) -> c.BeginMove:
        return c.BeginMove(
            instance=row.instance,
            epoch=row.epoch,
            target='office',
            reason='peak',
            now=self.group.now,
        )


def _make_finish_move(row: InstanceRow) -> c.FinishMove:
    return c.FinishMove(
        instance=row.instance, epoch=row.epoch, home_epoch=row.home_epoch
    )


@step
class Move(InstanceStep):
    """Two instances are to move; the availability budget allows one."""

    name = 'move'

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        if row.phase is Phase.DRAINING:
            return [_make_finish_move(row)]
        return [self.make_begin_move(row)] if row.pool == 'lots' else []

    def is_done(self) -> bool:
        rows = self.get_candidates()
        moved = [row for row in rows if row.pool == 'office']
        return bool(moved) and all(row.phase is Phase.SERVING for row in rows)


@step
class MoveAborted(InstanceStep):
    """A move is aborted while its home may report the instance as drained."""

    name = 'move aborted'
    names = CANDIDATES[:1]

    def prepare(self) -> None:
        super().prepare()
        self._epoch = self.get_candidates()[0].epoch

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        if row.phase is Phase.DRAINING:
            commands: list[c.AnyCommand] = [
                c.AbortMove(
                    instance=row.instance, epoch=row.epoch, reason='too long'
                ),
                _make_finish_move(row),
            ]
            self.group.rng.shuffle(commands)
            return commands
        return [self.make_begin_move(row)] if row.epoch == self._epoch else []

    def is_done(self) -> bool:
        return any(
            row.epoch > self._epoch and row.phase is Phase.SERVING
            for row in self.get_candidates()[:1]
        )


@step
class Maintenance(InstanceStep):
    """Two instances are drained and rebooted, one after the other."""

    name = 'maintenance'

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        name, epoch, now = row.instance, row.epoch, self.group.now
        wave = get_state(node).waves.get('w1')
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
        done = get_state(leader).waves['w1'].done
        return all(name in done for name in CANDIDATES)


@step
class ChangeOfHome(InstanceStep):
    """Two entries try to take over a draining instance of a silent entry.

    The silent entry still reports the instance as drained.
    """

    name = 'change of home'
    names = CANDIDATES[:1]

    def prepare(self) -> None:
        super().prepare()
        row = self.get_candidates()[0]
        self._former_report = _make_finish_move(row)
        self._commit(self.make_begin_move(row))

    def next_commands(
        self, node: Node, row: InstanceRow
    ) -> list[c.AnyCommand]:
        if row.home_epoch != self._former_report.home_epoch:
            moving = row.phase is Phase.DRAINING
            return [
                self._former_report,
                *([_make_finish_move(row)] if moving else []),
            ]
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
        return [silent, *commands, self._former_report]

    def is_done(self) -> bool:
        return any(
            row.home in ('ea2', 'ea3') and row.pool == 'office'
            for row in self.get_candidates()[:1]
        )


class Operator:
    """Submits and promotes each version in turn.

    It sends each call again until it gets a result. If the other operator's
    document was accepted first, it goes on with the next version.
    """

    def __init__(self, step: Promote, digest: str) -> None:
        self._step = step
        self._digest = digest
        self._version = step.first
        self._promoting = False
        self._call: Call | None = None
        self._promotion_index = 0
        self.promoted_versions: list[int] = []

    def is_done(self) -> bool:
        return self._version > self._step.last

    def act(self) -> None:
        if self.is_done():
            return
        if self._call is not None:
            result = self._step.get_result(self._call)
            if result is None and not self._step.has_timed_out(self._call):
                return
            self._call = None
            if result is not None:
                self._handle_result(result)
        if not self.is_done():
            self._call = self._step.send(self._make_command())

    def _make_command(self) -> c.AnyCommand:
        if self._promoting:
            return c.PromoteDocument(
                now=self._step.group.now,
                version=self._version,
                digest=self._digest,
            )
        document = make_environment(
            self._version, replaces=self._version - 1, budget=MIN_AVAILABLE
        )
        return make_submit(document, self._digest)

    def _handle_result(self, result: Result) -> None:
        if isinstance(result, Done):
            if not self._promoting:
                self._promoting = True
            elif not self._promotion_index:
                # Send it once more, as after a lost answer.
                self._promotion_index = result.index
                self._step.promotions.record_promotion(
                    self._version, self._digest
                )
            elif result.index != self._promotion_index:
                raise Violation('a resent promotion got another answer')
            else:
                self.promoted_versions.append(self._version)
                self._start_next_version()
        elif isinstance(result, Refused) and result.reason == 'conflict':
            if self._promoting:
                raise Violation('an acknowledged submission was replaced')
            self._start_next_version()
        elif self._promoting:
            raise Violation(f'a submitted version was not promoted: {result}')

    def _start_next_version(self) -> None:
        self._version += 1
        self._promoting = False
        self._promotion_index = 0


@step
class Promote(StateStep):
    """Two operators race to submit and promote the same versions."""

    name = 'promotion'
    first = 2
    last = 3

    def __init__(self, group: Group) -> None:
        super().__init__(group)
        self.promotions = Promotions()
        self._operators = [Operator(self, 'one'), Operator(self, 'other')]

    def attempt(self) -> None:
        for operator in self._operators:
            operator.act()
        self.repeat_earlier()
        leader = self.group.find_leader()
        if leader is not None:
            # A read under a valid lease must see all acknowledged promotions.
            self.promotions.check(leader.name, get_state(leader))

    def is_done(self) -> bool:
        return all(operator.is_done() for operator in self._operators)

    def check(self) -> None:
        super().check()
        promoted = sorted(
            version
            for operator in self._operators
            for version in operator.promoted_versions
        )
        if promoted != list(range(self.first, self.last + 1)):
            raise Violation(f'versions {promoted} were promoted')

    def check_member(self, member: str, state: State) -> None:
        self.promotions.check(member, state)


# Caller and key of the claim.
CLAIM_ID = ('desk', 'key')
ANSWER = StoredAnswer(status=200, body=b'held')


class Holder:
    """An entry that claims a key, runs the request and settles the claim."""

    def __init__(self, step: ClaimOnce, name: str) -> None:
        self._step = step
        self._name = name
        # State to settle the claim with; empty if there is nothing to settle.
        self._settle_state = ''
        self._call: Call | None = None
        self.answered = False

    def act(self) -> None:
        if self.answered:
            return
        if self._call is not None:
            result = self._step.get_result(self._call)
            if result is None and not self._step.has_timed_out(self._call):
                return
            self._call = None
            self._handle_result(result)
        if not self.answered:
            self._call = self._step.send(self._make_command())

    def _make_command(self) -> c.AnyCommand:
        now = self._step.group.now
        caller, key = CLAIM_ID
        if not self._settle_state:
            return c.ClaimKey(
                now=now, key=key, caller=caller, digest='d', holder=self._name
            )
        if self._settle_state == 'released':
            self._step.grants.record_release(CLAIM_ID, self._name)
        return c.SettleKey(
            now=now,
            key=key,
            caller=caller,
            holder=self._name,
            state=self._settle_state,
            answer=ANSWER if self._settle_state == 'answered' else None,
        )

    def _handle_result(self, result: Result | None) -> None:
        if self._settle_state:
            # If the answer was lost, the same settlement is sent again.
            if result is not None:
                self._settle_state = ''
        elif result is None:
            # The claim may have been committed, but the request has not run.
            self._settle_state = 'released'
        elif isinstance(result, ClaimReply):
            if result.state == 'granted':
                self._step.grants.record_grant(CLAIM_ID, self._name)
                self._step.run_count += 1
                self._settle_state = 'answered'
            elif result.state == 'answered':
                if result.answer != ANSWER:
                    raise Violation('a resend got another answer')
                self.answered = True


@step
class ClaimOnce(StateStep):
    """Three entries receive the same request with one idempotency key."""

    name = 'claim'

    def __init__(self, group: Group) -> None:
        super().__init__(group)
        self.grants = Grants()
        self.run_count = 0
        names = ('ea1:1', 'ea2:1', 'eb1:1')
        self._holders = [Holder(self, name) for name in names]

    def attempt(self) -> None:
        for holder in self._holders:
            holder.act()

    def is_done(self) -> bool:
        return all(holder.answered for holder in self._holders)

    def check(self) -> None:
        super().check()
        if self.run_count != 1:
            raise Violation(f'the keyed request ran {self.run_count} times')

    def check_member(self, member: str, state: State) -> None:
        row = state.claims.get(CLAIM_ID)
        if row is None or row.answer != ANSWER:
            raise Violation(f'{member} lost the answer of the claim')
