"""Simulates control members with a log in memory, entries and a platform.

Time advances only in :meth:`Cluster.run`. A test can make the leader fail at
a command, before its commit or after it but before the leader gets the result.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from io import StringIO
from random import Random
from typing import Any

import gevent

from galenareel._common.clock import Clock
from galenareel._common.events import HybridClock
from galenareel._common.events import Timeline
from galenareel._common.log import Log
from galenareel._common.messages import Announcement
from galenareel._common.messages import Drained
from galenareel._common.messages import EntryReport
from galenareel._common.messages import InstanceLoad
from galenareel._common.messages import OpenSession
from galenareel._common.messages import PoolLoad
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.interface import Replicator
from galenareel._control.decision_adapter import DecisionAdapter
from galenareel._control.journal import Journal
from galenareel._control.leader import LeaderLoop
from galenareel._control.platform import NoPlatform
from galenareel._control.platform import Platform
from galenareel._control.proposer import Proposer
from galenareel._control.reboots import Reboots
from galenareel._control.sessions import Sessions
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import decode
from galenareel._state.commands import encode
from galenareel._state.commands import RegisterEntry
from galenareel._state.state import State

STEP_S = 0.5


class FakeClock(Clock):
    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1e9 + self.now


@dataclass(slots=True)
class LeaderCrash:
    """Makes the leader fail at the first command of a kind.

    :param kind: class name of the command.
    :param committed: whether the command is committed before the failure.
    """

    kind: str
    committed: bool


class SharedLog(Replicator):
    """Gives one member access to the log that all members share."""

    def __init__(self, name: str, cluster: Cluster) -> None:
        self._name = name
        self._cluster = cluster

    def start(self) -> None:
        pass

    def close(self) -> None:
        pass

    def propose(
        self, command: bytes, *, timeout_s: float
    ) -> Any | NotLeader | Unreachable:
        if not self.is_leader():
            return NotLeader(reason='not_leader')
        return self._cluster.commit(command)

    def read_barrier(self, *, timeout_s: float) -> int | NotLeader:
        return self._cluster.index

    def is_leader(self) -> bool:
        return self._cluster.leader == self._name

    def transfer_leadership(self) -> None:
        raise NotImplementedError

    def get_leader_address(self) -> str | None:
        return self._cluster.leader

    def leads_term(self) -> bool:
        return self.is_leader()

    def change_members(
        self, *, add: str | None = None, remove: str | None = None
    ) -> Any:
        raise NotImplementedError


class FakeLink:
    """A link that discards all messages."""

    closed = False

    def notify(self, _msg: object) -> bool:
        return True

    def close(self) -> None:
        self.closed = True


class FakePlatform(Platform):
    """Reboots once per token, 2 s after it has accepted the request."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.tokens: dict[str, str] = {}
        self.reboots: dict[str, int] = {}
        self.checkpointed: set[str] = set()
        self.answer: bool | Unreachable = True
        self.is_slow = False

    def reboot(self, instance: str, *, token: str) -> bool | Unreachable:
        while self.is_slow:
            gevent.sleep(0)
        if self.answer is True and token not in self.tokens:
            self.tokens[token] = instance
            count = self.reboots.get(instance, 0)
            self.reboots[instance] = count + 1
            self._cluster.restart_at[instance] = self._cluster.clock.now + 2
        return self.answer

    def checkpoint(self, instance: str, *, token: str) -> bool | Unreachable:
        self.checkpointed.add(instance)
        return True

    def throttle(self, instance: str, *, share: float) -> bool:
        raise NotImplementedError

    def stop_task(self, instance: str, *, task: str) -> bool:
        raise NotImplementedError

    def usage(self, instance: str) -> dict[str, float]:
        raise NotImplementedError


class NoDecisions:
    """Decision adapter without decisions; the test proposes commands."""

    def clear(self) -> None:
        pass

    def decide(self, *_args: object, **_times: float) -> list[Any]:
        return []


class Member:
    """A control member without sockets."""

    def __init__(
        self, name: str, cluster: Cluster, platform: Platform
    ) -> None:
        clock = cluster.clock
        log = SharedLog(name, cluster)
        self.state = State()
        adapter: Any = NoDecisions()
        if cluster.adapter is not None:
            adapter = cluster.adapter(self.state)
        self.sessions = Sessions(self.state)
        timeline = Timeline(name, HybridClock(clock))
        self.journal = Journal(timeline, self.state, clock)
        self.proposer = Proposer(log, self.journal, clock)
        self.loop = LeaderLoop(
            address=name,
            state=self.state,
            sessions=self.sessions,
            proposer=self.proposer,
            replicator=log,
            reboots=Reboots(self.state, platform),
            adapter=adapter,
            journal=self.journal,
            clock=clock,
            log=Log(name, stream=cluster.log_output),
        )


@dataclass(slots=True)
class Entry:
    """An entry instance as control sees it."""

    name: str
    zone: str
    connected: bool = True
    alive: bool = True
    stopping: bool = False
    incarnation: str = '1'
    taken: tuple[tuple[str, int], ...] = ()
    pools: tuple[PoolLoad, ...] = ()


@dataclass(slots=True)
class BackendServer:
    """A backend server.

    :param heard_at: monotonic time of its last announcement.
    """

    instance: str
    rack: str
    service: str
    incarnation: int = 1
    alive: bool = True
    busy: bool = False
    heard_at: float = 0.0


@dataclass(slots=True)
class Cluster:
    """Members, entries, backend servers and a platform on one clock.

    :param may_fail: whether passes of a leader may fail in this test.
    :param adapter: makes the decision adapter of a member for its state.
    """

    has_platform: bool = True
    may_fail: bool = False
    adapter: Callable[[State], Any] | None = None
    clock: FakeClock = field(default_factory=FakeClock)
    index: int = 0
    leader: str | None = 'c1'
    crash: LeaderCrash | None = None
    commands: list[AnyCommand] = field(default_factory=list)
    members: dict[str, Member] = field(default_factory=dict)
    entries: dict[str, Entry] = field(default_factory=dict)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    restart_at: dict[str, float] = field(default_factory=dict)
    platform: Any = None
    log_output: StringIO = field(default_factory=StringIO)

    def __post_init__(self) -> None:
        self.platform = FakePlatform(self) if self.has_platform else None
        for name in ('c1', 'c2'):
            platform = self.platform or NoPlatform()
            self.members[name] = Member(name, self, platform)

    def commit(self, command: bytes) -> Any:
        kind = type(decode(command)).__name__
        crash = self.crash
        if crash is not None and crash.kind == kind:
            self.crash = None
            result = self._apply(command) if crash.committed else None
            self.change_leader()
            assert result is None or crash.committed
            return Unreachable(reason='leader_changed')
        return self._apply(command)

    def _apply(self, command: bytes) -> Any:
        self.index += 1
        self.commands.append(decode(command))
        results = [
            member.state.apply(self.index, command)
            for member in self.members.values()
        ]
        assert results[0] == results[1]
        return results[0]

    def change_leader(self) -> None:
        self.leader = 'c2' if self.leader == 'c1' else 'c1'

    @property
    def state(self) -> State:
        return self.members['c1'].state

    @property
    def leading_member(self) -> Member:
        assert self.leader is not None
        return self.members[self.leader]

    def propose(self, command: AnyCommand) -> Any:
        return self.commit(encode(command))

    def run(self, seconds: float) -> None:
        """Let time pass in steps of ``STEP_S``.

        The test fails if a pass of a leader fails and ``may_fail`` is unset.
        """
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            self._step_servers()
            for entry in self.entries.values():
                if entry.connected and entry.alive:
                    self._report(entry)
            for member in self.members.values():
                member.loop.try_step(self.clock.now)
            gevent.sleep(0)
            assert self.may_fail or not self.log_output.getvalue()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        end = self.clock.now + limit_s
        while not condition():
            assert self.clock.now < end, f'not reached in {limit_s} s'
            self.run(STEP_S)

    def _step_servers(self) -> None:
        for name, at in list(self.restart_at.items()):
            if self.clock.now >= at:
                del self.restart_at[name]
                assert not self.servers[name].busy, f'{name} was interrupted'
                self.servers[name].incarnation += 1
        for server in self.servers.values():
            if server.alive and server.instance not in self.restart_at:
                server.heard_at = self.clock.now

    def _report(self, entry: Entry) -> None:
        member = self.leading_member
        session = member.sessions.find(entry.name, entry.incarnation)
        if session is None:
            self._register(entry)
            link: Any = FakeLink()
            msg = OpenSession(
                entry=entry.name,
                zone=entry.zone,
                frames='x:1',
                incarnation=entry.incarnation,
            )
            session = member.sessions.open(msg, link, self.clock.now)
        session.renew(self._make_report(entry), self.clock.now)

    def _register(self, entry: Entry) -> None:
        row = self.state.entries.get(entry.name)
        if row is None or row.state is not EntryState.LIVE:
            self.propose(
                RegisterEntry(
                    entry=entry.name,
                    zone=entry.zone,
                    frames='x:1',
                    incarnation=entry.incarnation,
                )
            )

    def _make_report(self, entry: Entry) -> EntryReport:
        homed = [
            row
            for row in self.state.instances.values()
            if row.home == entry.name
        ]
        peers = [
            peer.name
            for peer in self.entries.values()
            if peer.zone == entry.zone and not peer.alive
        ]
        return EntryReport(
            entry=entry.name,
            incarnation=entry.incarnation,
            index=self.index,
            instances=tuple(self._make_load(row) for row in homed),
            announcements=tuple(self._make_announcements(entry.zone)),
            drained=tuple(
                Drained(
                    instance=row.instance,
                    epoch=row.epoch,
                    home_epoch=row.home_epoch,
                )
                for row in homed
                if row.phase in (Phase.DRAINING, Phase.MAINTENANCE)
                and not self.servers[row.instance].busy
            ),
            silent_peers=tuple(peers),
            stopping=entry.stopping,
            taken=entry.taken,
            released=tuple(
                (row.instance, row.home_epoch)
                for row in homed
                if row.next_home and not self.servers[row.instance].busy
            ),
            pools=entry.pools,
        )

    def _make_load(self, row: InstanceRow) -> InstanceLoad:
        server = self.servers[row.instance]
        silent_s = self.clock.now - server.heard_at
        return InstanceLoad(instance=row.instance, silent_s=silent_s)

    def _make_announcements(self, zone: str) -> list[Announcement]:
        return [
            Announcement(
                instance=server.instance,
                address=f'{server.instance}:80',
                zone=zone,
                rack=server.rack,
                service=server.service,
                incarnation=str(server.incarnation),
            )
            for server in self.servers.values()
            if server.instance.startswith(f'{zone}/')
            and server.heard_at == self.clock.now
        ]


def make_cluster(**options: Any) -> Cluster:
    """Return a cluster of zones a and b.

    Each has two entries, and two instances in each of two pools.
    """
    cluster = Cluster(**options)
    for zone in 'ab':
        for number in (1, 2):
            name = f'e{zone}{number}'
            cluster.entries[name] = Entry(name, zone)
            for pool in ('lots', 'office'):
                instance = f'{zone}/{pool}-{number}'
                cluster.servers[instance] = BackendServer(
                    instance, f'r{number}', pool
                )
    return cluster


def make_adapter(state: State) -> DecisionAdapter:
    """Return the real decision adapter with a fixed seed."""
    return DecisionAdapter(state, rng=Random(1))
