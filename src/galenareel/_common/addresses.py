"""Check the addresses that processes, workers and settings name."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_HOST_CHARS = 253  # of a host name in DNS
ADDRESS_RULE = (
    'an IPv4 address, or a host name of ASCII letters, digits, "-", "." and '
    '"_", then ":" and a port from 1 to 65535'
)

_LABEL = r'[A-Za-z0-9_-]{1,63}'
_ADDRESS = re.compile(
    rf'({_LABEL}(?:\.{_LABEL})*):([0-9]{{1,{MAX_PORT_DIGITS}}})'
)


def is_address(text: str) -> bool:
    """Return whether a text is an address that may be connected to.

    See ``ADDRESS_RULE``. The host also goes into the head of requests.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        return False
    host = match[1]
    if host.rpartition('.')[2].isdigit():
        return _is_ipv4(host)
    return len(host) <= MAX_HOST_CHARS


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
