"""A loopback proxy that delays, blocks and resets its connections."""

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
ACCEPT_QUEUE_LENGTH = 4
# With SO_LINGER on and a time of 0, closing a socket sends a reset.
_RESET_LINGER = struct.pack('ii', 1, 0)


class Proxy:
    """Forwards connections from ``address`` to ``target``.

    ``delay_s`` delays each chunk of data in both directions. The directions
    are called ``there`` (towards the target) and ``back`` (to the client).
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.delay_s = 0.0
        self._blocked: frozenset[str] = frozenset()
        self._open_events = {'there': Event(), 'back': Event()}
        self._socket_pairs: set[tuple[Socket, Socket]] = set()
        self._silent_sockets: set[Socket] = set()
        self._server = StreamServer(
            _parse_address(address),
            self._handle_connection,
            backlog=ACCEPT_QUEUE_LENGTH,
        )
        self.block(frozenset())

    def start(self) -> None:
        self._server.start()

    def close(self) -> None:
        self._server.stop(timeout=0)
        self.reset()

    def block(self, directions: frozenset[str]) -> None:
        """Hold back data in these directions and release the others."""
        self._blocked = directions
        for direction, event in self._open_events.items():
            if direction in directions:
                event.clear()
            else:
                event.set()

    def heal(self) -> None:
        """End the delay and release the data that was held back."""
        self.delay_s = 0.0
        self.block(frozenset())

    def pause_accepting(self) -> None:
        """Let new connections hang until ``resume_accepting``.

        The kernel still accepts the few that fit into its queue.
        """
        self._server.stop_accepting()

    def resume_accepting(self) -> None:
        self._server.start_accepting()

    def reset(self) -> None:
        """Reset every open connection on both sides."""
        for pair in list(self._socket_pairs):
            for sock in pair:
                _reset_socket(sock)
        self._socket_pairs.clear()

    def silence_open(self) -> None:
        """Lose all further data of the open connections, which stay open."""
        for pair in self._socket_pairs:
            self._silent_sockets.update(pair)

    def _handle_connection(self, client: Socket, _address: object) -> None:
        try:
            server = create_connection(
                _parse_address(self.target), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset_socket(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self._socket_pairs.add(pair)
        back = gevent.spawn(self._forward, server, client, 'back')
        try:
            self._forward(client, server, 'there')
            back.join()
        finally:
            back.kill()
            self._socket_pairs.discard(pair)
            self._silent_sockets.difference_update(pair)
            for sock in pair:
                sock.close()

    def _forward(self, source: Socket, sink: Socket, direction: str) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                self._open_events[direction].wait()
                if sink not in self._silent_sockets:
                    sink.sendall(data)
            self._open_events[direction].wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A connection that fails on one side is reset on both.
            _reset_socket(source)
            _reset_socket(sink)


def _reset_socket(sock: Socket) -> None:
    """Close a socket so that the other side sees a reset, not an end."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
    except OSError:
        pass  # it is closed already
    sock.close()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
