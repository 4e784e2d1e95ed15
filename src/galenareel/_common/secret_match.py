"""Comparison of secrets."""

from __future__ import annotations


def secrets_match(given: bytes, wanted: bytes) -> bool:
    """Compare in a time that does not depend on where they differ.

    :mod:`hmac` has the same, but its import loads OpenSSL, which takes 3 MB
    of control's 32 MB. The length may show, as with :mod:`hmac`.
    """
    if len(given) != len(wanted):
        return False
    difference = 0
    for one, other in zip(given, wanted, strict=True):
        difference |= one ^ other
    return difference == 0
