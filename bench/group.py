"""Members on fakes of network, disk and clock, for the fault matrix.

The members run the code of the package (core, storage, state machine
interface); only what the driver does with sockets, threads and clocks is
replaced, by an ordered list of events in simulated time.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
from itertools import count
from random import Random

import msgspec

from bench.history import History
from bench.history import Operation
from bench.node import Node
from bench.node import Registers
from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.storage import Storage
from testing.consensus.fakes import FakeNetwork

CALL_TIMEOUT_S = 3.0
KEYS = ('x', 'y')


class Group:
    """A few nodes, the network between them, and callers."""

    def __init__(
        self,
        seed: int,
        *,
        size: int = 3,
        machine: Callable[[], Registers] = Registers,
    ) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.network = FakeNetwork(self.rng)
        self.history = History()
        self.names: dict[int, str] = {}
        self.nodes: dict[str, Node] = {}
        self.machine = machine
        self.callers_active = True
        self.last_leader: Node | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._values = count(1)
        self._open_calls: dict[tuple[str, int], tuple[int, Operation]] = {}
        self._found('abcdefg'[:size])
        self.after(0.1, self._call)

    def _found(self, names: str) -> None:
        """Give each member its identity, then start all with the list."""
        initial_members: list[MemberInfo] = []
        for name in names:
            node = self.add_node(name)
            identity = self.rng.getrandbits(32) or 1
            Storage(node.disk).open(identity)
            initial_members.append(MemberInfo(identity, name, name))
        for one in initial_members:
            self.names[one.identity] = one.name
        for name in names:
            self.nodes[name].start(tuple(initial_members))

    def add_node(self, name: str) -> Node:
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    # --- time ---------------------------------------------------------------

    def after(self, delay: float, call: Callable[[], None]) -> None:
        event = (self.now + delay, next(self._order), call)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def run_until(self, done: Callable[[], bool], *, limit_s: float) -> bool:
        end = self.now + limit_s
        while not done():
            if self.now >= end:
                return False
            self.run(0.05)
        return True

    def deliver(
        self, sender: str, receiver: str, time: int, data: bytes
    ) -> None:
        for at in self.network.compute_arrivals(sender, receiver, self.now):
            node = self.nodes[receiver]
            self.after(
                at - self.now, lambda: self._arrive(sender, node, time, data)
            )

    def _arrive(self, sender: str, node: Node, time: int, data: bytes) -> None:
        if (sender, node.name) not in self.network.blocked_links:
            node.receive(time, data)

    # --- callers ------------------------------------------------------------

    def find_leader(self) -> Node | None:
        """The member that leads with a valid lease."""
        for node in self.nodes.values():
            if node.read_index() is not None:
                self.last_leader = node
                return node
        return None

    def write(self, node: Node, key: str = 'x') -> tuple[int, int] | None:
        """Begin one write at a node; index and term of its entry."""
        value = next(self._values)
        command = msgspec.msgpack.encode((key, value))
        op = Operation(kind='write', key=key, value=value, called=self.now)
        placed = node.propose(command)
        if placed is None:
            return None
        index, term = placed
        self.history.operations.append(op)
        self._open_calls[node.name, index] = (term, op)
        self.after(CALL_TIMEOUT_S, lambda: self._give_up(node, index, op))
        return placed

    def write_many(self, number: int, *, limit_s: float = 10.0) -> None:
        """Write until a number of entries more is committed."""
        end = self.now + limit_s
        goal = max(self.history.committed, default=0) + number
        while max(self.history.committed, default=0) < goal:
            if self.now >= end:
                return
            self._write_some(20)
            self.run(0.05)

    def _write_some(self, number: int) -> None:
        leader = self.find_leader()
        if leader is None:
            return
        for _ in range(number):
            # A register of its own keeps the search for an order short.
            self.write(leader, key=f'bulk-{next(self._values)}')

    def call_applied(self, node: Node, entry: Entry) -> None:
        """A node has applied an entry; answer the call that waits for it."""
        term, op = self._open_calls.pop((node.name, entry.index), (0, None))
        if op is not None and term == entry.term:
            op.returned = self.now
            self.history.note_acknowledged(entry.index, entry.data)

    def node_lost_calls(self, node: Node) -> None:
        for key in [one for one in self._open_calls if one[0] == node.name]:
            del self._open_calls[key]

    def _give_up(self, node: Node, index: int, op: Operation) -> None:
        found = self._open_calls.get((node.name, index))
        if found is not None and found[1] is op:
            del self._open_calls[node.name, index]

    def _call(self) -> None:
        """One write at any node that leads, and a read at every one."""
        if not self.callers_active:
            return
        for node in self.nodes.values():
            if node.is_leader() and self.now >= node.frozen_until:
                self.write(node, self.rng.choice(KEYS))
            if node.read_index() is not None:
                self._read(node, self.rng.choice(KEYS))
        self.after(0.1, self._call)

    def _read(self, node: Node, key: str) -> None:
        value = node.machine.values.get(key, 0)
        op = Operation(
            kind='read',
            key=key,
            value=value,
            called=self.now,
            returned=self.now,
        )
        self.history.operations.append(op)

    # --- checks -------------------------------------------------------------

    def get_members(self) -> dict[str, MemberInfo]:
        """The committed members by name, as the leader sees them."""
        leader = self.find_leader()
        if leader is None or leader.member is None:
            return {}
        st = leader.member.raft.state
        if st.membership_history[-1][0] > st.commit_index:
            return {}
        return {one.name: one for one in st.membership.members}

    def has_converged(self) -> bool:
        """Whether every member has applied the same entries."""
        members = self.get_members()
        applied = {
            node.member.applied_index if node.member is not None else -1
            for name, node in self.nodes.items()
            if name in members and not node.retired
        }
        return bool(members) and len(applied) == 1

    def check(self) -> None:
        """Check a run whose members have converged.

        :raises Violation: if it broke a promise.
        """
        self.history.check()
        members = self.get_members()
        for node in self.nodes.values():
            if node.member is None:
                continue
            found = members.get(node.name)
            self.history.check_member(
                node.name,
                node.machine.applied,
                # A removed member need not know what came after it.
                complete=found is not None and found.identity == node.identity,
            )
