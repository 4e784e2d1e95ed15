"""A document's values with their lines, before its models are built."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

Branch = dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Tree:
    """Valid values only: what a finding was added for is ``None`` or absent.

    :param lines: line of each path, e.g. ``pools[0].name``.
    """

    values: Branch
    lines: dict[str, int]

    def place(self, path: str) -> str:
        line = self.lines.get(path, self.lines.get('', 1))
        return f'line {line}, {path}'

    def branches(self, name: str) -> Iterator[tuple[str, Branch]]:
        """Path and values of each mapping in a list of the document."""
        for path, item in self.items('', self.values, name):
            if isinstance(item, dict):
                yield path, item

    def items(
        self, path: str, branch: Branch, name: str
    ) -> Iterator[tuple[str, Any]]:
        """Path and value of each valid item of a list."""
        base = f'{path}.{name}' if path else name
        for index, item in enumerate(branch.get(name) or ()):
            if item is not None:
                yield f'{base}[{index}]', item
