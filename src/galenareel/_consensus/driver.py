"""The replicated log on gevent, with real links and a real disk."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from random import SystemRandom
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from gevent.threadpool import ThreadPool
from logbook import Logger
import msgspec

from galenareel._common.clock import Clock
from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.messages import PeerMessage
from galenareel._common.sentinels import Absent
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.disk import FolderDisk
from galenareel._consensus.effects import Effects
from galenareel._consensus.errors import StorageError
from galenareel._consensus.founding import answer_hail
from galenareel._consensus.founding import Founding
from galenareel._consensus.founding import HAIL_S
from galenareel._consensus.interface import Replicator
from galenareel._consensus.interface import StateMachine
from galenareel._consensus.member import Batch
from galenareel._consensus.member import Member
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import decode
from galenareel._consensus.messages import encode
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import Foundation
from galenareel._consensus.messages import Hail
from galenareel._consensus.peers import Peers
from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.storage import Loaded
from galenareel._consensus.storage import Storage

TICK_S = 0.05
REOPEN_S = 5.0
CHANGE_TIMEOUT_S = 5.0
MAX_COMMAND_BYTES = 1024 * 1024
IDENTITY_BITS = 32  # five bytes in a message; members are few

log = Logger('consensus')


class Driver(Replicator):
    """One member of the replicated log in this process.

    :param members: frame address of each first member by name, with this
        one's own; a member that joins needs only its own.
    :param joins: wait to be added to an existing cluster.
    """

    def __init__(
        self,
        *,
        name: str,
        members: dict[str, str],
        data_dir: str,
        machine: StateMachine,
        clock: HybridClock,
        secret: str,
        joins: bool = False,
        time: Clock | None = None,
        rng: Random | None = None,
    ) -> None:
        self._name = name
        self._address = members[name]
        self._members = members
        self._data_dir = data_dir
        self._machine = machine
        self._clock = clock
        self._joins = joins
        self._time = time or SystemClock()
        self._rng = rng or SystemRandom()
        self._peers = Peers(
            self._address, process=name, secret=secret, clock=clock
        )
        self._senders: dict[int, str] = {}
        self._pool = ThreadPool(1)
        self._disk: FolderDisk | None = None
        self._storage: Storage | None = None
        self._loaded: Loaded | None = None
        self._founding: Founding | None = None
        self._member: Member | None = None
        self._applied = 0
        self._hail_due = 0.0
        self._reopen_due = 0.0
        self._work = Event()
        self._changed = Event()
        self._proposals: list[tuple[bytes, AsyncResult[Any]]] = []
        self._waiting: dict[int, tuple[int, AsyncResult[Any]]] = {}
        self._hails: dict[str, AsyncResult[Any]] = {}
        self._greenlets: list[Any] = []

    # --- Replicator ---------------------------------------------------------

    def start(self) -> None:
        self._open()
        self._greenlets = [
            gevent.spawn(self._tick_loop),
            gevent.spawn(self._store_loop),
        ]

    def close(self) -> None:
        gevent.killall(self._greenlets)
        self._greenlets = []
        self._member = None
        self._fail_waiting('closed')
        self._peers.close()
        self._pool.join()
        self._pool.kill()
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    def propose(
        self, command: bytes, *, timeout_s: float
    ) -> Any | NotLeader | Unreachable:
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(
                f'command of {len(command)} bytes is over the limit of '
                f'{MAX_COMMAND_BYTES}; split it'
            )
        if not self._leads():
            return self._not_leader()
        fut: AsyncResult[Any] = AsyncResult()
        self._proposals.append((command, fut))
        self._work.set()
        return _wait(fut, timeout_s)

    def read_barrier(
        self, *, timeout_s: float
    ) -> int | NotLeader | Unreachable:
        end = self._now() + timeout_s
        while self._leads():
            member = self._member
            assert member is not None, 'a leader has an open log'
            index = member.raft.read_index(self._now())
            if index is not None and member.applied >= index:
                return index
            left = end - self._now()
            if left <= 0:
                return Unreachable(reason='timeout')
            self._changed.wait(left)
        return self._not_leader()

    def is_leader(self) -> bool:
        member = self._member
        if member is None:
            return False
        return member.raft.read_index(self._now()) is not None

    def leader(self) -> str | None:
        if self._member is None:
            return None
        st = self._member.raft.state
        found = st.membership.find(st.leader)
        return found.address if found else None

    def change_members(
        self, *, add: str | None = None, remove: str | None = None
    ) -> int | Refused | NotLeader | Unreachable:
        """Index of the committed change.

        A member that is added is a learner when this returns; the leader
        makes it a voter, and removes a former member of its name, once it
        has caught up.
        """
        if (add is None) == (remove is None):
            return Refused(
                reason='bad_request', detail='name one member to add or remove'
            )
        if not self._leads():
            return self._not_leader()
        if remove is not None:
            return self._remove(remove)
        assert add is not None, 'checked above'
        return self._add(add)

    # --- for control --------------------------------------------------------

    def receive(self, msg: PeerMessage) -> None:
        """Take a message that reached this process's frame server."""
        try:
            env = decode(msg.body)
        except msgspec.MsgspecError as exc:
            log.warning('message of {} not understood: {}', msg.sender, exc)
            return
        now = self._now()
        self._peers.hear(msg.sender, now)
        if isinstance(env.body, (Hail, Foundation)):
            self._receive_founding(env.body)
        elif self._member is not None:
            self._senders[env.sender] = msg.sender
            self._absorb(lambda member: member.raft.step(env, now))

    def members(self) -> tuple[MemberInfo, ...]:
        """Members in effect; empty before this one belongs to a cluster."""
        if self._member is None:
            return ()
        return self._member.raft.state.membership.members

    def bytes_out(self) -> int:
        """Bytes sent to other members."""
        return self._peers.bytes_out()

    # --- opening and failing ------------------------------------------------

    def _open(self) -> None:
        if self._disk is not None:
            self._disk.close()
        self._disk = FolderDisk(self._data_dir)
        self._storage = Storage(self._disk)
        identity = self._rng.getrandbits(IDENTITY_BITS) or 1
        self._loaded = self._storage.open(identity)
        member = self._loaded.member
        self._founding = None
        if member.cluster == 0:
            self._founding = Founding(
                self._name,
                self._members,
                identity=member.identity,
                joins=self._joins,
            )
            self._compose()
        if self._founding is None or self._founding.waits:
            self._run_member()

    def _run_member(self) -> None:
        assert self._storage is not None, 'the storage is open'
        assert self._loaded is not None, 'the storage is open'
        self._member = Member(
            self._storage,
            self._loaded,
            self._machine,
            send=self._send,
            on_applied=self._on_applied,
            rng=self._rng,
            now=self._now(),
            applied=self._applied,
        )

    def _fail(self, problem: str) -> None:
        """Take no further part until the data folder works again."""
        log.error(
            'stepping down: {}; trying again every {} s', problem, REOPEN_S
        )
        if self._member is not None:
            self._applied = self._member.applied
        self._member = None
        self._reopen_due = self._now() + REOPEN_S
        self._fail_waiting('storage_failed')
        self._changed.set()

    def _reopen(self) -> None:
        self._reopen_due = 0.0
        try:
            self._open()
        except StorageError as exc:
            self._fail(str(exc))
        else:
            log.notice('the data folder works again')

    # --- loops --------------------------------------------------------------

    def _tick_loop(self) -> None:
        while True:
            now = self._now()
            if self._reopen_due and now >= self._reopen_due:
                self._reopen()
            if self._founding is not None and now >= self._hail_due:
                self._hail(now)
            self._absorb(lambda member: member.raft.tick(now))
            gevent.sleep(TICK_S)

    def _store_loop(self) -> None:
        while True:
            self._work.wait()
            self._work.clear()
            while self._store_one():
                pass

    def _store_one(self) -> bool:
        """Sync what has gathered; false if there was nothing."""
        self._propose_gathered()
        member = self._member
        batch = member.take_batch() if member is not None else None
        if member is None or batch is None:
            return False
        try:
            self._pool.apply(member.store, (batch,))
        except StorageError as exc:
            if member is self._member:
                self._fail(str(exc))
            return False
        self._absorb_stored(member, batch)
        return True

    def _absorb_stored(self, member: Member, batch: Batch) -> None:
        if member is not self._member:
            return

        def stored(_member: Member) -> Effects:
            member.stored(batch, self._now())
            return Effects()

        self._absorb(stored)

    def _absorb(self, call: Callable[[Member], Effects]) -> None:
        member = self._member
        if member is None:
            return
        try:
            member.absorb(call(member))
        except Exception as exc:
            # A violated rule or a state machine that raised: going on could
            # make the members differ.
            log.critical('the member stops for good: {!r}', exc)
            self._member = None
            self._fail_waiting('member_stopped')
            raise
        self._after_step()

    def _after_step(self) -> None:
        self._work.set()
        self._changed.set()
        self._changed.clear()
        if self._waiting and not self._leads():
            self._fail_waiting('leader_changed')

    # --- proposals ----------------------------------------------------------

    def _propose_gathered(self) -> None:
        """Propose together what came during the last sync."""
        if not self._proposals or self._member is None:
            return
        proposals = self._proposals
        self._proposals = []
        member = self._member
        commands = [command for command, _ in proposals]
        first, effects = member.raft.propose(commands, self._now())
        if isinstance(first, NotLeader):
            for _, fut in proposals:
                fut.set(self._not_leader())
            return
        term = member.raft.state.term
        for position, (_, fut) in enumerate(proposals):
            self._waiting[first + position] = (term, fut)
        self._absorb(lambda _member: effects)

    def _on_applied(self, entry: Entry, result: Any) -> None:
        term, fut = self._waiting.pop(entry.index, (0, None))
        if fut is None:
            return
        if term == entry.term:
            fut.set(entry.index if result is None else result)
        else:
            fut.set(self._not_leader())

    def _fail_waiting(self, reason: str) -> None:
        unknown = Unreachable(reason=reason, retry_after_s=1.0)
        waiting = [fut for _, fut in self._waiting.values()]
        waiting.extend(fut for _, fut in self._proposals)
        self._waiting.clear()
        self._proposals.clear()
        for fut in waiting:
            fut.set(unknown)

    # --- members ------------------------------------------------------------

    def _remove(self, name: str) -> int | Refused | NotLeader | Unreachable:
        assert self._member is not None, 'a leader has an open log'
        result, effects = self._member.raft.remove_member(name, self._now())
        return self._await_change(result, effects)

    def _add(self, add: str) -> int | Refused | NotLeader | Unreachable:
        name, equals, address = add.partition('=')
        if not equals or not name or ':' not in address:
            return Refused(
                reason='bad_request', detail=f'{add!r} is not name=host:port'
            )
        identity = self._ask_identity(name, address)
        if isinstance(identity, Absent):
            return identity
        if self._member is None:
            return self._not_leader()
        info = MemberInfo(identity, name, address, voter=False)
        result, effects = self._member.raft.add_member(info, self._now())
        return self._await_change(result, effects)

    def _ask_identity(self, name: str, address: str) -> int | Unreachable:
        fut: AsyncResult[Any] = AsyncResult()
        self._hails[name] = fut
        assert self._loaded is not None, 'a leader has an open log'
        identity = self._loaded.member.identity
        hail = Hail(self._name, self._address, identity, True, True)
        self._send_unaddressed(address, hail)
        answer: int | Unreachable = _wait(fut, CHANGE_TIMEOUT_S)
        self._hails.pop(name, None)
        return answer

    def _await_change(
        self, result: Any, effects: Any
    ) -> int | Refused | NotLeader | Unreachable:
        member = self._member
        if isinstance(result, NotLeader) or member is None:
            return self._not_leader()
        fut: AsyncResult[Any] = AsyncResult()
        if isinstance(result, int) and result > member.applied:
            term = member.raft.state.term
            self._waiting[result] = (term, fut)
        else:
            fut.set(result)
        self._absorb(lambda _member: effects)
        answer: int | Refused | NotLeader | Unreachable
        answer = _wait(fut, CHANGE_TIMEOUT_S)
        return answer

    # --- founding -----------------------------------------------------------

    def _hail(self, now: float) -> None:
        self._hail_due = now + HAIL_S
        if self._founding is None:
            return
        for address in self._founding.addresses():
            self._send_unaddressed(address, self._founding.hail(answer=True))

    def _receive_founding(self, body: Hail | Foundation) -> None:
        if isinstance(body, Foundation):
            self._receive_foundation(body)
            return
        fut = self._hails.get(body.name)
        if fut is not None:
            fut.set(body.identity)
        if self._founding is not None and not self._belongs():
            self._receive_hail(self._founding, body)
        elif body.answer and self._loaded is not None:
            answer = answer_hail(
                body, self._loaded.member, self._name, self._address
            )
            self._send_unaddressed(body.address, answer)

    def _belongs(self) -> bool:
        """Whether a member that joins has been taken into a cluster."""
        if self._member is None:
            return False
        return self._member.raft.state.cluster != 0

    def _receive_hail(self, founding: Founding, hail: Hail) -> None:
        waited = founding.waits
        founding.on_hail(hail)
        if hail.answer:
            answer = founding.hail(answer=False)
            self._send_unaddressed(hail.address, answer)
        if founding.waits and not waited:
            log.warning(
                'the data folder of {} is new but its cluster exists; remove '
                'it from the members and add it again to replace it',
                self._name,
            )
            self._run_member()
        self._compose()

    def _compose(self) -> None:
        if self._founding is None:
            return
        cluster = self._rng.getrandbits(IDENTITY_BITS) or 1
        foundation = self._founding.compose(cluster)
        if foundation is None:
            return
        self._receive_foundation(foundation)
        for address in self._members.values():
            if address != self._address:
                self._send_unaddressed(address, foundation)

    def _receive_foundation(self, foundation: Foundation) -> None:
        founding = self._founding
        if founding is None or not founding.accepts(foundation):
            return
        assert self._storage is not None, 'the storage is open'
        assert self._loaded is not None, 'the storage is open'
        try:
            self._loaded.member = self._storage.found(
                foundation.cluster, foundation.members
            )
            self._founding = None
            self._run_member()
        except StorageError as exc:
            self._fail(str(exc))

    # --- sending ------------------------------------------------------------

    def _send(self, env: Envelope) -> None:
        address = self._address_of(env.to)
        if address is not None:
            self._peers.send(address, encode(env), self._now())

    def _send_unaddressed(self, address: str, body: Body) -> None:
        identity = self._loaded.member.identity if self._loaded else 0
        env = Envelope(0, identity, 0, 0, body)
        self._peers.send(address, encode(env), self._now())

    def _address_of(self, identity: int) -> str | None:
        """Address by the log, or the one that its messages named."""
        if self._member is None:
            return None
        found = self._member.raft.state.membership.find(identity)
        return found.address if found else self._senders.get(identity)

    # --- small parts --------------------------------------------------------

    def _now(self) -> float:
        return self._time.monotonic()

    def _leads(self) -> bool:
        return self._member is not None and self._member.raft.state.is_leader()

    def _not_leader(self) -> NotLeader:
        return NotLeader(
            reason='not_leader', leader=self.leader(), retry_after_s=0.5
        )


def _wait(fut: AsyncResult[Any], timeout_s: float) -> Any:
    try:
        return fut.get(timeout=timeout_s)
    except gevent.Timeout:
        return Unreachable(reason='timeout')
