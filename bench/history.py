"""Check the entries that a group committed against its callers' results."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise
from math import inf


class Violation(AssertionError):
    """The group broke a guarantee to its callers."""


@dataclass(slots=True, kw_only=True)
class Operation:
    """A read or write of one register.

    :param kind: ``read`` or ``write``.
    :param value: written or read; written values are unique.
    :param called: simulated time of the call, in seconds.
    :param returned: time of the result; infinite while it is unknown.
    """

    kind: str
    key: str
    value: int
    called: float
    returned: float = inf


@dataclass(slots=True)
class History:
    """Record of one run, checked at each new item and at the end.

    :param acknowledged: command of each entry that a caller knows committed.
    :param committed: term and command of each applied entry, by index.
    :param leaders: identity of the leader of each term.
    """

    operations: list[Operation] = field(default_factory=list)
    acknowledged: dict[int, bytes] = field(default_factory=dict)
    committed: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    leaders: dict[int, int] = field(default_factory=dict)

    def note_leader(self, term: int, identity: int) -> None:
        """:raises Violation: if the term had another leader."""
        first = self.leaders.setdefault(term, identity)
        if first != identity:
            raise Violation(f'term {term} has leaders {first} and {identity}')

    def note_committed(self, index: int, term: int, data: bytes) -> None:
        """:raises Violation: if another entry was committed at the index."""
        first = self.committed.setdefault(index, (term, data))
        if first != (term, data):
            raise Violation(
                f'entry {index} was committed as {first} and as {(term, data)}'
            )

    def note_acknowledged(self, index: int, data: bytes) -> None:
        self.acknowledged[index] = data

    def check(self) -> None:
        """Check the finished run.

        :raises Violation: if an acknowledged entry was lost or a register is
            not linearizable.
        """
        for index, data in self.acknowledged.items():
            found = self.committed.get(index)
            if found is None or found[1] != data:
                raise Violation(f'acknowledged entry {index} was lost')
        for key in {op.key for op in self.operations}:
            ops = [op for op in self.operations if op.key == key]
            if not is_linearizable(ops):
                raise Violation(f'register {key} is not linearizable: {ops}')

    def check_member(
        self,
        name: str,
        applied: Sequence[tuple[int, bytes]],
        *,
        complete: bool,
    ) -> None:
        """Check the entries that one member applied.

        :param applied: index and command of each.
        :param complete: the member must have all acknowledged entries, not
            only those up to its last one.
        :raises Violation: if the member lacks an acknowledged entry.
        """
        commands = dict(applied)
        last_index = max(commands, default=0)
        for index, data in self.acknowledged.items():
            is_required = complete or index <= last_index
            if is_required and commands.get(index) != data:
                raise Violation(f'{name} lacks acknowledged entry {index}')


def is_linearizable(operations: Sequence[Operation]) -> bool:
    """Return whether the operations on one register are linearizable.

    The register starts at 0. A write of unknown outcome may take effect at
    any time after its call, or never if nobody read its value.

    Written values are unique, so that a write and the reads of its value form
    one cluster, whose zone in time can be compared with the others (Gibbons
    and Korach, 1997). A search through all orders would take exponential time
    when the outcome of many writes is unknown.
    """
    ops_by_value: dict[int, list[Operation]] = {
        0: [
            Operation(
                kind='write', key='', value=0, called=-inf, returned=-inf
            )
        ]
    }
    for op in operations:
        if op.kind == 'write' or op.returned < inf:
            ops_by_value.setdefault(op.value, []).append(op)
    zones: list[tuple[float, float]] = []
    for ops in ops_by_value.values():
        first_return = min(op.returned for op in ops)
        if first_return == inf:
            continue
        writes = [op.called for op in ops if op.kind == 'write']
        if not writes or first_return < writes[0]:
            return False  # read before it was written
        zones.append((first_return, max(op.called for op in ops)))
    # From the first return to the last call the register must hold the value.
    forward = sorted(zone for zone in zones if zone[0] < zone[1])
    if any(second[0] < first[1] for first, second in pairwise(forward)):
        return False
    # A cluster whose operations all overlap may not lie within such a zone.
    return not any(
        start < last_call and first_return < end
        for first_return, last_call in zones
        if last_call <= first_return
        for start, end in forward
    )
