"""A simulated group of members for the fault matrix.

The members run the package's consensus code, storage and state machine
interface. Only the driver with its sockets, threads and clocks is replaced:
events run in the order of simulated time.
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
    """Nodes, the network between them, and callers."""

    def __init__(
        self,
        seed: int,
        *,
        size: int = 3,
        machine: Callable[[], Registers] = Registers,
        enough_voters: int = 0,
    ) -> None:
        self.now = 0.0
        self.enough_voters = enough_voters
        self.rng = Random(seed)
        self.network = FakeNetwork(self.rng)
        self.history = History()
        self.names: dict[int, str] = {}
        self.nodes: dict[str, Node] = {}
        self.machine = machine
        self.callers_active = True
        self.last_leader: Node | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._values = count(1)
        self._open_calls: dict[tuple[str, int], tuple[int, Operation]] = {}
        self._bootstrap('abcdefg'[:size])
        self.after(0.1, self._run_callers)

    def _bootstrap(self, names: str) -> None:
        """Create the nodes, give each an identity, and start them all.

        Each starts with the list of all members.
        """
        initial_members: list[MemberInfo] = []
        for name in names:
            node = self.add_node(name)
            identity = self.rng.getrandbits(32) or 1
            Storage(node.disk).open(identity)
            initial_members.append(MemberInfo(identity, name, name))
        for member in initial_members:
            self.names[member.identity] = member.name
        for name in names:
            self.nodes[name].start(tuple(initial_members))

    def add_node(self, name: str) -> Node:
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call in simulated time."""
        event = (self.now + delay_s, next(self._event_numbers), call)
        heapq.heappush(self._events, event)

    def run(self, duration_s: float) -> None:
        """Run all events of the given span of simulated time."""
        ends_at = self.now + duration_s
        while self._events and self._events[0][0] <= ends_at:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = ends_at

    def run_until(
        self, is_done: Callable[[], bool], *, limit_s: float
    ) -> bool:
        """Run until the condition holds; return whether it did in time."""
        ends_at = self.now + limit_s
        while not is_done():
            if self.now >= ends_at:
                return False
            self.run(0.05)
        return True

    def deliver(
        self, sender: str, receiver: str, time: int, data: bytes
    ) -> None:
        """Schedule the arrival of each copy of a message, if any."""
        for arrives_at in self.network.compute_arrivals(
            sender, receiver, self.now
        ):
            node = self.nodes[receiver]
            self.after(
                arrives_at - self.now,
                lambda: self._receive(sender, node, time, data),
            )

    def _receive(
        self, sender: str, node: Node, time: int, data: bytes
    ) -> None:
        if (sender, node.name) not in self.network.blocked_links:
            node.receive(time, data)

    def find_leader(self) -> Node | None:
        """Return the first node that leads with a valid lease."""
        for node in self.nodes.values():
            if node.get_read_index() is not None:
                self.last_leader = node
                return node
        return None

    def write(self, node: Node, key: str = 'x') -> tuple[int, int] | None:
        """Propose a write at a node.

        :return: index and term of the entry, or ``None`` if the node doesn't
            lead.
        """
        value = next(self._values)
        command = msgspec.msgpack.encode((key, value))
        op = Operation(kind='write', key=key, value=value, called=self.now)
        position = node.propose(command)
        if position is None:
            return None
        index, term = position
        self.history.operations.append(op)
        self._open_calls[node.name, index] = (term, op)
        self.after(CALL_TIMEOUT_S, lambda: self._time_out(node, index, op))
        return position

    def write_many(self, number: int, *, limit_s: float = 10.0) -> None:
        """Write until the given number of new entries is committed.

        Return without an error after the limit.
        """
        ends_at = self.now + limit_s
        goal_index = max(self.history.committed, default=0) + number
        while max(self.history.committed, default=0) < goal_index:
            if self.now >= ends_at:
                return
            self._write_some(20)
            self.run(0.05)

    def _write_some(self, number: int) -> None:
        leader = self.find_leader()
        if leader is None:
            return
        for _ in range(number):
            # One write per register keeps the linearizability check short.
            self.write(leader, key=f'bulk-{next(self._values)}')

    def complete_call(self, node: Node, entry: Entry) -> None:
        """Complete the write that waits for an entry which a node applied."""
        term, op = self._open_calls.pop((node.name, entry.index), (0, None))
        if op is not None and term == entry.term:
            op.returned = self.now
            self.history.note_acknowledged(entry.index, entry.data)

    def drop_calls(self, node: Node) -> None:
        """Leave the outcome of a node's open writes unknown."""
        for key in [key for key in self._open_calls if key[0] == node.name]:
            del self._open_calls[key]

    def _time_out(self, node: Node, index: int, op: Operation) -> None:
        call = self._open_calls.get((node.name, index))
        if call is not None and call[1] is op:
            del self._open_calls[node.name, index]

    def _run_callers(self) -> None:
        """Write and read a random register wherever it is possible.

        Every node that believes it leads gets a write; every leader with a
        valid lease gets a read.
        """
        if not self.callers_active:
            return
        for node in self.nodes.values():
            if node.is_leader() and self.now >= node.frozen_until:
                self.write(node, self.rng.choice(KEYS))
            if node.get_read_index() is not None:
                self._read(node, self.rng.choice(KEYS))
        self.after(0.1, self._run_callers)

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

    def get_members(self) -> dict[str, MemberInfo]:
        """Return the members by name, as the leader has committed them.

        The result is empty without a leader, and while a membership change is
        not yet committed.
        """
        leader = self.find_leader()
        if leader is None or leader.member is None:
            return {}
        st = leader.member.raft.state
        if st.membership_history[-1][0] > st.commit_index:
            return {}
        return {member.name: member for member in st.membership.members}

    def has_converged(self) -> bool:
        """Return whether all members have applied the same entries."""
        members = self.get_members()
        applied = {
            node.member.applied_index if node.member is not None else -1
            for name, node in self.nodes.items()
            if name in members and not node.retired
        }
        return bool(members) and len(applied) == 1

    def check(self) -> None:
        """Check a run whose members have converged.

        :raises Violation: if it broke a guarantee.
        """
        self.history.check()
        members = self.get_members()
        for node in self.nodes.values():
            if node.member is None:
                continue
            info = members.get(node.name)
            self.history.check_member(
                node.name,
                node.machine.applied,
                # A removed member may lack what was committed afterwards.
                complete=info is not None and info.identity == node.identity,
            )
