"""Choice of an entry for an instance by rendezvous hashing.

Control uses it to assign homes, and the entries of a zone to take over homes
on their own; both must make the same choice.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

MASK_64_BITS = (1 << 64) - 1


def choose_entry(instance: str, entries: Sequence[str]) -> str:
    """Return the entry with the highest weight for the instance.

    If an entry leaves, only the instances assigned to it get another entry.

    :raises ValueError: if there are no entries.
    """
    return max(entries, key=lambda entry: (_weight(instance, entry), entry))


def _weight(instance: str, entry: str) -> int:
    # hashlib would load OpenSSL, which takes 3 MB of the 32 MB that a control
    # process may use.
    return _mix(crc32(instance.encode()) << 32 | crc32(entry.encode()))


def _mix(value: int) -> int:
    """Apply the finalizer of SplitMix64.

    CRC-32 alone is linear, so it would distribute the instances unevenly.
    """
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & MASK_64_BITS
    value = (value ^ value >> 27) * 0x94D049BB133111EB & MASK_64_BITS
    return value ^ value >> 31
