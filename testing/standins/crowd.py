"""A crowd of clients that send more than the limits allow, or nothing."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import os
from pathlib import Path
import socket

import gevent
from gevent import socket as gevent_socket

from galenareel._common.frames import parse_address

PIECE_BYTES = 64 * 1024
SEND_TIMEOUT_S = 20.0


class Crowd:
    """Open connections of clients that are all alike.

    A client sends its pieces, then waits for an answer and keeps the
    connection open until the crowd is closed or the server closes it.

    :param make_pieces: returns what each client sends.
    :ivar statuses: first line of each answer that came.
    """

    def __init__(
        self,
        address: str,
        count: int,
        make_pieces: Callable[[], Iterable[bytes]],
    ) -> None:
        self.statuses: list[bytes] = []
        self._address = parse_address(address)
        self._make_pieces = make_pieces
        self._sending = count
        self._clients = [gevent.Greenlet(self._run) for _ in range(count)]

    def start(self) -> None:
        for client in self._clients:
            client.start()

    def has_sent(self) -> bool:
        """Return whether no client has anything left to send."""
        return self._sending == 0

    def close(self) -> None:
        gevent.killall(self._clients)

    def _run(self) -> None:
        try:
            sock = gevent_socket.create_connection(
                self._address, timeout=SEND_TIMEOUT_S
            )
        except OSError:
            self._sending -= 1
            return
        try:
            self._send(sock)
            self._receive(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def _send(self, sock: socket.socket) -> None:
        try:
            for piece in self._make_pieces():
                sock.sendall(piece)
        except OSError:
            # The server has closed the connection, maybe after an answer.
            pass
        finally:
            self._sending -= 1

    def _receive(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        answer = b''
        while data := sock.recv(PIECE_BYTES):
            if b'\r\n' not in answer:
                answer += data
                if b'\r\n' in answer:
                    self.statuses.append(answer.partition(b'\r\n')[0])


def make_head(path: str, host: str, *headers: str) -> bytes:
    lines = (f'POST {path} HTTP/1.1', f'Host: {host}', *headers, '', '')
    return '\r\n'.join(lines).encode()


def iterate_pieces(size: int, fill: bytes = b' ') -> Iterator[bytes]:
    """Yield a number of bytes in pieces, without holding them all."""
    whole, rest = divmod(size, PIECE_BYTES)
    piece = fill * PIECE_BYTES
    for _ in range(whole):
        yield piece
    yield fill * rest


def encode_chunks(data: bytes, size: int) -> bytes:
    """Encode a body in chunks of a size, with the last, empty chunk."""
    parts = []
    for start in range(0, len(data), size):
        part = data[start : start + size]
        parts.append(b'%x\r\n%b\r\n' % (len(part), part))
    return b''.join((*parts, b'0\r\n\r\n'))


def read_peak_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had."""
    text = Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in text.splitlines() if line.startswith('VmHWM:')
    )
    return int(line.split()[1]) / 1024


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f'/proc/{pid}/fd'))
