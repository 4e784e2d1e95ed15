"""Shifts the clock of a Python process, and the ports that it dials.

Python imports this module at its start where its folder is on PYTHONPATH.
The file that SOAK_CLOCK names holds the shift of the time of day in seconds
and may change. SOAK_FRAMES_PORT is the port at which machines take frames,
SOAK_PROXY_PORT the one that this process dials in its place.
"""

from collections.abc import Callable
import mmap
import os
import signal
import struct
import time
from typing import Any

# The import of gevent below delays the one in the program.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gevent.socket  # noqa: E402

_FORMAT = struct.Struct('d')
_FRAMES_PORT = int(os.environ['SOAK_FRAMES_PORT'])
_PROXY_PORT = int(os.environ['SOAK_PROXY_PORT'])
_true_time = time.time
_true_create_connection = gevent.socket.create_connection


def _make_shifted_time(path: str) -> Callable[[], float]:
    with open(path, 'rb') as file:
        shift = mmap.mmap(file.fileno(), _FORMAT.size, access=mmap.ACCESS_READ)

    def shifted_time() -> float:
        (seconds,) = _FORMAT.unpack(shift[: _FORMAT.size])
        return _true_time() + float(seconds)

    return shifted_time


def _create_connection(
    address: tuple[str, int], *args: Any, **options: Any
) -> Any:
    host, port = address
    if port == _FRAMES_PORT:
        address = (host, _PROXY_PORT)
    return _true_create_connection(address, *args, **options)


setattr(gevent.socket, 'create_connection', _create_connection)
if 'SOAK_CLOCK' in os.environ:
    time.time = _make_shifted_time(os.environ['SOAK_CLOCK'])
