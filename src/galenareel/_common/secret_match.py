"""Constant-time comparison of secrets."""

from __future__ import annotations


def secrets_match(given: bytes, expected: bytes) -> bool:
    """Compare in a time that does not depend on where the secrets differ.

    :func:`hmac.compare_digest` does the same, but importing :mod:`hmac` loads
    OpenSSL, which takes 3 MB of the 32 MB that a control process may use. As
    with :mod:`hmac`, the time may reveal the length.
    """
    if len(given) != len(expected):
        return False
    difference = 0
    for given_byte, expected_byte in zip(given, expected, strict=True):
        difference |= given_byte ^ expected_byte
    return difference == 0
