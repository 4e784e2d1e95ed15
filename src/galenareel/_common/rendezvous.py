"""Choice of an entry for an instance by rendezvous hashing.

Control and the entries must choose alike: control when it assigns a home, the
entries of a zone when they take over homes by themselves.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

MASK = (1 << 64) - 1


def choose_entry(instance: str, entries: Sequence[str]) -> str:
    """The entry with the highest weight; the others keep theirs as one leaves.

    :raises ValueError: if there are no entries.
    """
    return max(entries, key=lambda entry: (_weight(instance, entry), entry))


def _weight(instance: str, entry: str) -> int:
    # hashlib would load OpenSSL, which takes 3 MB of control's 32 MB.
    return _mix(crc32(instance.encode()) << 32 | crc32(entry.encode()))


def _mix(value: int) -> int:
    """Finalizer of SplitMix64; CRC-32 alone is linear and spreads badly."""
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ value >> 27) * 0x94D049BB133111EB & MASK
    return value ^ value >> 31
