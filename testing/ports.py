"""Addresses for the servers that tests start."""

from __future__ import annotations

from collections.abc import Iterator
import os
import socket


def _make_host() -> str:
    """Return a loopback address that is derived from the process id.

    On 127.0.0.1, outgoing connections of other tests use the same ephemeral
    ports, which sometimes made a bind fail. Outgoing connections do not use
    the address returned here unless they bind to it.
    """
    pid = os.getpid()
    return (
        f'127.{1 + pid // 62500 % 250}.{1 + pid // 250 % 250}.{1 + pid % 250}'
    )


def _generate_ports() -> Iterator[int]:
    while True:
        yield from range(10000, 30000)


_ports = _generate_ports()


def allocate_address() -> str:
    """Return a ``host:port`` that is unused and was not returned before."""
    host = _make_host()
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return f'{host}:{port}'
    raise AssertionError('unreachable: the port numbers are endless')
