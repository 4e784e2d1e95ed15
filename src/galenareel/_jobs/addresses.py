"""Addresses of members that a process has heard of."""

from __future__ import annotations

MAX_ADDRESSES = 16


def merge_addresses(
    latest: tuple[str, ...], known: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the latest addresses and then those known before.

    A member that doesn't lead may know only some of the others.
    """
    return tuple(dict.fromkeys((*latest, *known)))[:MAX_ADDRESSES]
