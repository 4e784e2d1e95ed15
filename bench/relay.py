"""Relay that counts bytes and cuts links between the system's processes.

It listens in place of one process's frame address. A cut holds back bytes
without closing a connection, as a network partition does.
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

    :param owner: name of that process.
    :param listen: address at which the others connect.
    :param target: address of that process.
    """

    def __init__(self, owner: str, listen: str, target: str) -> None:
        self.owner = owner
        self.bytes: Counter[str] = Counter()  # by the name of the peer
        self._target = target
        self._gates: dict[str, Event] = {}
        self._server = StreamServer(parse_address(listen), self._accept)

    def start(self) -> None:
        self._server.start()

    def close(self) -> None:
        self._server.stop(timeout=0)
        for gate in self._gates.values():
            gate.set()

    def cut(self, peer: str) -> None:
        """Hold back all bytes between the owner and a peer, both ways."""
        self._gate(peer).clear()

    def heal(self, peer: str) -> None:
        """Pass on the bytes held back, and all later ones."""
        self._gate(peer).set()

    def _gate(self, peer: str) -> Event:
        """Return the event that is set while the link is open."""
        if peer not in self._gates:
            self._gates[peer] = Event()
            self._gates[peer].set()
        return self._gates[peer]

    def _accept(self, client: Any, _address: Any) -> None:
        try:
            first_frame = _read_frame(client)
            peer = _read_sender(first_frame)
            self._gate(peer).wait()
            server = create_connection(
                parse_address(self._target), CONNECT_TIMEOUT_S
            )
        except (OSError, msgspec.MsgspecError):
            client.close()
            return
        server.settimeout(None)
        server.sendall(first_frame)
        self.bytes[peer] += len(first_frame)
        greenlets = [
            gevent.spawn(self._copy, client, server, peer),
            gevent.spawn(self._copy, server, client, peer),
        ]
        gevent.joinall(greenlets, count=1)
        gevent.killall(greenlets)
        client.close()
        server.close()

    def _copy(self, source: Any, sink: Any, peer: str) -> None:
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                self._gate(peer).wait()
                if not data:
                    return
                sink.sendall(data)
                self.bytes[peer] += len(data)
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
            raise ConnectionError('connection closed before its first frame')
        data += part
    return data


def _read_sender(frame: bytes) -> str:
    """Return the name in the hello message that begins every link."""
    body = msgspec.msgpack.decode(frame[_LENGTH.size :], type=Frame).body
    return msgspec.msgpack.decode(body, type=Hello).process
