"""Addresses for the servers that tests start."""

from __future__ import annotations

from collections.abc import Iterator
import os
import socket


def _own_host() -> str:
    """A loopback address that only this process listens on.

    Ports that the kernel hands out on 127.0.0.1 are also taken by outgoing
    connections of other tests, which made a bind fail now and then; nothing
    connects from an address of this form unless it binds to it.
    """
    pid = os.getpid()
    return (
        f'127.{1 + pid // 62500 % 250}.{1 + pid // 250 % 250}.{1 + pid % 250}'
    )


def _ports() -> Iterator[int]:
    while True:
        yield from range(10000, 30000)


_remaining = _ports()


def allocate_address() -> str:
    """``host:port`` that nothing listens on and that is not given twice."""
    host = _own_host()
    for port in _remaining:
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return f'{host}:{port}'
    raise AssertionError('the ports never end')
