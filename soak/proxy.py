"""A proxy on loopback whose connections can be harmed."""

from __future__ import annotations

import socket
import struct

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as Socket

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
_RESET = struct.pack('ii', 1, 0)  # SO_LINGER without a wait sends a reset


class Proxy:
    """Forwards connections to ``target``.

    ``delay_s`` holds each piece of data; ``silent`` names the ways on which
    nothing passes until it is emptied: there is to the target.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.delay_s = 0.0
        self._silent: frozenset[str] = frozenset()
        self._passes = {'there': Event(), 'back': Event()}
        self._pairs: set[tuple[Socket, Socket]] = set()
        self._server = StreamServer(_split(address), self._serve)
        self.silence(frozenset())

    def start(self) -> None:
        self._server.start()

    def close(self) -> None:
        self._server.stop(timeout=0)
        self.reset()

    def silence(self, ways: frozenset[str]) -> None:
        """Let nothing pass on these ways; what waited elsewhere goes on."""
        self._silent = ways
        for way, event in self._passes.items():
            if way in ways:
                event.clear()
            else:
                event.set()

    def heal(self) -> None:
        self.delay_s = 0.0
        self.silence(frozenset())

    def reset(self) -> None:
        """Reset every open connection on both sides."""
        for pair in list(self._pairs):
            for one in pair:
                _reset(one)
        self._pairs.clear()

    def _serve(self, client: Socket, _address: object) -> None:
        try:
            server = create_connection(
                _split(self.target), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        for one in (client, server):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self._pairs.add(pair)
        back = gevent.spawn(self._pump, server, client, 'back')
        try:
            self._pump(client, server, 'there')
            back.join()
        finally:
            back.kill()
            self._pairs.discard(pair)
            for one in pair:
                one.close()

    def _pump(self, source: Socket, sink: Socket, way: str) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                self._passes[way].wait()
                sink.sendall(data)
            self._passes[way].wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # An end that breaks on one side breaks on the other.
            _reset(source)
            _reset(sink)


def _reset(sock: Socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # it is closed already
    sock.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
