"""Holds the entries of the log that are kept in memory."""

from __future__ import annotations

from collections.abc import Sequence

from galenareel._consensus.records import Entry


class RaftLog:
    """The entries that follow a base entry.

    The base entry and all before it have been compacted; only the index and
    term of the base entry are known.
    """

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: Sequence[Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return an entry's term; ``None`` if it is compacted or missing."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included.

        :raises IndexError: if the first entry is compacted.
        """
        if first <= self.base_index:
            raise IndexError(f'entry {first} is compacted')
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def read_batch(self, first: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on: up to a size, but at least one."""
        found: list[Entry] = []
        size = 0
        for entry in self.slice(first, self.last_index):
            size += len(entry.data)
            if found and size > limit_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries, replacing all from the index of the first one on.

        :raises IndexError: if entries before the first one are missing.
        """
        if not entries:
            return
        first = entries[0].index
        if not self.base_index < first <= self.last_index + 1:
            raise IndexError(f'entry {first} does not follow the log')
        del self._entries[first - self.base_index - 1 :]
        self._entries.extend(entries)

    def find_first_of_term(self, index: int) -> int:
        """Return the first index in memory with the same term as ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, which becomes the base."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and make ``index`` the base."""
        self.base_index = index
        self.base_term = term
        self._entries.clear()
