"""Relay between the system's processes that counts bytes and cuts links.

It stands in front of one process's frame address. A cut is silent: bytes are
held back and no connection is closed, as in a network partition.
"""

from __future__ import annotations

from collections import Counter
import struct
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from gevent.socket import create_connection
import msgspec

from galenareel._common.frames import Frame
from galenareel._common.frames import parse_address
from galenareel._common.messages import Hello

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
_LENGTH = struct.Struct('>I')


class Relay:
    """Forwards connections to one process.

    :param owner: name of the process behind it.
    """

    def __init__(self, owner: str, listen: str, target: str) -> None:
        self.owner = owner
        self.bytes: Counter[str] = Counter()  # by the name of the other end
        self._target = target
        self._open: dict[str, Event] = {}
        self._server = StreamServer(parse_address(listen), self._accept)

    def start(self) -> None:
        self._server.start()

    def close(self) -> None:
        self._server.stop(timeout=0)
        for gate in self._open.values():
            gate.set()

    def cut(self, other: str) -> None:
        """Hold back everything between the owner and another process."""
        self._gate(other).clear()

    def heal(self, other: str) -> None:
        self._gate(other).set()

    def _gate(self, other: str) -> Event:
        if other not in self._open:
            self._open[other] = Event()
            self._open[other].set()
        return self._open[other]

    def _accept(self, near: Any, _peer: Any) -> None:
        try:
            first = _read_frame(near)
            other = _sender(first)
            self._gate(other).wait()
            far = create_connection(
                parse_address(self._target), CONNECT_TIMEOUT_S
            )
        except (OSError, msgspec.MsgspecError):
            near.close()
            return
        far.settimeout(None)
        far.sendall(first)
        self.bytes[other] += len(first)
        pair = [
            gevent.spawn(self._pump, near, far, other),
            gevent.spawn(self._pump, far, near, other),
        ]
        gevent.joinall(pair, count=1)
        gevent.killall(pair)
        near.close()
        far.close()

    def _pump(self, source: Any, sink: Any, other: str) -> None:
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                self._gate(other).wait()
                if not data:
                    return
                sink.sendall(data)
                self.bytes[other] += len(data)
        except OSError:
            return


def _read_frame(sock: Any) -> bytes:
    head = _read(sock, _LENGTH.size)
    (size,) = _LENGTH.unpack(head)
    return head + _read(sock, size)


def _read(sock: Any, size: int) -> bytes:
    data = b''
    while len(data) < size:
        part = sock.recv(size - len(data))
        if not part:
            raise ConnectionError('closed before its first frame')
        data += part
    return data


def _sender(frame: bytes) -> str:
    """Name in the hello that begins every link."""
    body = msgspec.msgpack.decode(frame[_LENGTH.size :], type=Frame).body
    return msgspec.msgpack.decode(body, type=Hello).process
