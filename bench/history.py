"""Checks of what a group of members did against what its callers saw."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise
from math import inf


class Violation(AssertionError):
    """A promise to the callers was broken."""


@dataclass(slots=True, kw_only=True)
class Operation:
    """A read or write of one register.

    :param value: written or read; written values are unique.
    :param returned: infinite while the outcome is not known.
    """

    kind: str
    key: str
    value: int
    called: float
    returned: float = inf


@dataclass(slots=True)
class History:
    """Record of one run, checked as it grows and at its end."""

    operations: list[Operation] = field(default_factory=list)
    acknowledged: dict[int, bytes] = field(default_factory=dict)
    committed: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    leaders: dict[int, int] = field(default_factory=dict)

    def note_leader(self, term: int, identity: int) -> None:
        """:raises Violation: at a second leader of a term."""
        first = self.leaders.setdefault(term, identity)
        if first != identity:
            raise Violation(f'term {term} has leaders {first} and {identity}')

    def note_committed(self, index: int, term: int, data: bytes) -> None:
        """:raises Violation: if another entry was committed there."""
        first = self.committed.setdefault(index, (term, data))
        if first != (term, data):
            raise Violation(
                f'entry {index} was committed as {first} and as {(term, data)}'
            )

    def note_acknowledged(self, index: int, data: bytes) -> None:
        self.acknowledged[index] = data

    def check(self) -> None:
        """:raises Violation: if the finished run broke a promise."""
        for index, data in self.acknowledged.items():
            found = self.committed.get(index)
            if found is None or found[1] != data:
                raise Violation(f'acknowledged entry {index} was lost')
        for key in {one.key for one in self.operations}:
            mine = [one for one in self.operations if one.key == key]
            if not is_linearizable(mine):
                raise Violation(f'register {key} is not linearizable: {mine}')

    def check_member(
        self,
        name: str,
        applied: Sequence[tuple[int, bytes]],
        *,
        complete: bool,
    ) -> None:
        """:raises Violation: if a member lacks an acknowledged entry.

        :param complete: it must hold all of them, not only up to its last.
        """
        held = dict(applied)
        last = max(held, default=0)
        for index, data in self.acknowledged.items():
            due = complete or index <= last
            if due and held.get(index) != data:
                raise Violation(f'{name} lacks acknowledged entry {index}')


def is_linearizable(operations: Sequence[Operation]) -> bool:
    """Whether some order that respects time explains a register's history.

    The register starts at 0. A write of unknown outcome may have happened
    at any time after its call; if nobody read it, it can be left out.

    Written values are unique, so that each value with its reads takes one
    interval of the order (Gibbons and Korach, 1997). A search through the
    orders takes exponential time when many writes are open.
    """
    groups: dict[int, list[Operation]] = {
        0: [
            Operation(
                kind='write', key='', value=0, called=-inf, returned=-inf
            )
        ]
    }
    for op in operations:
        if op.kind == 'write' or op.returned < inf:
            groups.setdefault(op.value, []).append(op)
    zones: list[tuple[float, float]] = []
    for ops in groups.values():
        done = min(op.returned for op in ops)
        if done == inf:
            continue
        writes = [op.called for op in ops if op.kind == 'write']
        if not writes or done < writes[0]:
            return False  # read before it was written
        zones.append((done, max(op.called for op in ops)))
    held = sorted(one for one in zones if one[0] < one[1])
    if any(b[0] < a[1] for a, b in pairwise(held)):
        return False
    return not any(
        start < called and done < end
        for done, called in zones
        if called <= done
        for start, end in held
    )
