"""Values of a document with their lines, from which findings are made."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

# Fields of one mapping of the document.
Fields = dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Tree:
    """Values of a document before its models are built.

    :param values: fields of the document. A value for which a finding was
        added is ``None`` or missing.
    :param lines: line number of each path, e.g. ``pools[0].name``.
    """

    values: Fields
    lines: dict[str, int]

    def format_place(self, path: str) -> str:
        """Return the line and path that a finding shows."""
        line = self.lines.get(path, self.lines.get('', 1))
        return f'line {line}, {path}'

    def iter_mappings(self, name: str) -> Iterator[tuple[str, Fields]]:
        """Yield path and fields of each mapping in a list of the document."""
        for path, item in self.iter_items('', self.values, name):
            if isinstance(item, dict):
                yield path, item

    def iter_items(
        self, path: str, fields: Fields, name: str
    ) -> Iterator[tuple[str, Any]]:
        """Yield path and value of each valid item of a list.

        :param path: path of the mapping that holds the list.
        :param fields: fields of this mapping.
        :param name: field name of the list.
        """
        base = f'{path}.{name}' if path else name
        for index, item in enumerate(fields.get(name) or ()):
            if item is not None:
                yield f'{base}[{index}]', item
