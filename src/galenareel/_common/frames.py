"""Length-prefixed frames on gevent sockets, with requests and replies.

A frame is a four-byte big-endian length followed by a msgpack array of kind,
sequence number, hybrid time and body. The body is one of the tagged messages
of :mod:`galenareel._common.messages`.
"""

from __future__ import annotations

from collections.abc import Callable
import socket
import struct
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.lock import Semaphore
from gevent.server import StreamServer
from gevent.socket import create_connection
import msgspec

from galenareel._common.events import HybridClock
from galenareel._common.messages import AnyMessage
from galenareel._common.sentinels import Unreachable

MAX_FRAME_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0

# Kinds of frames; a reply has the sequence number of its request.
NOTIFY = 0
REQUEST = 1
REPLY = 2

_LENGTH = struct.Struct('>I')
# With SO_LINGER on and a time of 0, closing a socket sends a reset.
_RESET_LINGER = struct.pack('ii', 1, 0)


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """Envelope of a message on the wire.

    :param time: hybrid time of the sender.
    """

    kind: int
    seq: int
    time: int
    body: msgspec.Raw


class FrameError(ConnectionError):
    """Raised when the peer sends a frame over the size limit."""


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_body_decoder = msgspec.msgpack.Decoder(AnyMessage)


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port.

    :raises ValueError: if the port is missing or not a number.
    """
    host, colon, port = text.rpartition(':')
    if not colon or not host:
        raise ValueError(f'{text!r} is not host:port')
    return host, int(port)


class Link:
    """Connection that carries frames in both directions.

    :param handler: called with each message that is not a reply; its result
        for a request is sent as the reply, unless it is ``None``. Each
        request is handled in its own greenlet. Notifications are handled in
        order in the reading greenlet, so their handler must not block.
    :param on_close: called once when the link is closed by either side.
    :param aborts: closing resets the connection, so that the other process
        sees an ordinary end only if this process has ended.
    :ivar ended_by_peer: the connection has ended in the ordinary way, and the
        other side ended it first. A reset is no such end.
    """

    def __init__(
        self,
        sock: Any,
        *,
        clock: HybridClock,
        handler: Callable[[Link, AnyMessage], AnyMessage | None],
        on_close: Callable[[Link], None] | None = None,
        aborts: bool = False,
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Name of the other process, set after its hello message.
        self.peer: str = ''
        self.bytes_in = 0
        self.bytes_out = 0
        self.closed = False
        self.ended_by_peer = False
        self._aborts = aborts
        self._sock = sock
        self._file = sock.makefile('rb')
        self._clock = clock
        self._handler = handler
        self._on_close = on_close
        self._seq = 0
        self._pending: dict[int, AsyncResult[Any]] = {}
        self._write_lock = Semaphore(1)

    def notify(self, msg: AnyMessage) -> bool:
        """Send a message without waiting for a reply.

        :returns: whether it was written to the socket.
        """
        return self._write(NOTIFY, 0, msg)

    def request(
        self, msg: AnyMessage, *, timeout_s: float
    ) -> AnyMessage | Unreachable:
        """Send a message and wait for the reply.

        :returns: the reply, or :class:`Unreachable` with the reason
            ``link_closed`` or ``timeout``.
        """
        self._seq += 1
        seq = self._seq
        fut: AsyncResult[Any] = AsyncResult()
        self._pending[seq] = fut
        try:
            if not self._write(REQUEST, seq, msg):
                return Unreachable(reason='link_closed')
            reply: Any = fut.get(timeout=timeout_s)
        except gevent.Timeout:
            return Unreachable(reason='timeout')
        finally:
            self._pending.pop(seq, None)
        result: AnyMessage | Unreachable = reply
        return result

    def serve(self) -> None:
        """Read and handle frames until the connection ends; then close it."""
        try:
            while self._read_frame():
                pass
            self.ended_by_peer = not self.closed
        except (OSError, msgspec.MsgspecError):
            # Malformed data or a socket error ends only this connection.
            pass
        finally:
            self.close()
            if self._aborts:
                # The connection is reset once nothing refers to it.
                self._file.close()

    def close(self) -> None:
        """Close the connection; pending requests get ``link_closed``."""
        if self.closed:
            return
        self.closed = True
        for fut in list(self._pending.values()):
            fut.set(Unreachable(reason='link_closed'))
        self._shutdown()
        if self._on_close is not None:
            self._on_close(self)

    def _shutdown(self) -> None:
        how = socket.SHUT_RDWR
        try:
            if self._aborts:
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
                )
                how = socket.SHUT_RD  # wakes the reader and sends nothing
            self._sock.shutdown(how)
        except OSError:
            pass
        self._sock.close()

    def _write(self, kind: int, seq: int, msg: AnyMessage) -> bool:
        body = msgspec.Raw(_encoder.encode(msg))
        frame = Frame(kind, seq, self._clock.tick(), body)
        data = _encoder.encode(frame)
        if len(data) > MAX_FRAME_BYTES:
            raise ValueError(
                f'message of {len(data)} bytes exceeds the frame limit of '
                f'{MAX_FRAME_BYTES} bytes; send it in parts'
            )
        if self.closed:
            return False
        try:
            with self._write_lock:
                self._sock.sendall(_LENGTH.pack(len(data)) + data)
        except OSError:
            self.close()
            return False
        self.bytes_out += len(data) + _LENGTH.size
        return True

    def _read_frame(self) -> bool:
        """Read and handle one frame; return false at the end of the stream."""
        head = self._file.read(_LENGTH.size)
        if len(head) < _LENGTH.size:
            return False
        (size,) = _LENGTH.unpack(head)
        if size > MAX_FRAME_BYTES:
            raise FrameError(
                f'frame of {size} bytes exceeds the limit of '
                f'{MAX_FRAME_BYTES} bytes'
            )
        data = self._file.read(size)
        if len(data) < size:
            return False
        self.bytes_in += size + _LENGTH.size
        frame = _frame_decoder.decode(data)
        self._clock.observe(frame.time)
        self._dispatch(frame, _body_decoder.decode(frame.body))
        return True

    def _dispatch(self, frame: Frame, msg: AnyMessage) -> None:
        if frame.kind == REPLY:
            fut = self._pending.get(frame.seq)
            if fut is not None:
                fut.set(msg)
        elif frame.kind == REQUEST:
            gevent.spawn(self._answer, frame.seq, msg)
        else:
            self._handler(self, msg)

    def _answer(self, seq: int, msg: AnyMessage) -> None:
        reply = self._handler(self, msg)
        if reply is not None:
            self._write(REPLY, seq, reply)


class FrameServer:
    """Accepts links on one address.

    :param address: ``host:port`` to listen on.
    :param handler: see :class:`Link`; shared by all links.
    """

    def __init__(
        self,
        address: str,
        *,
        clock: HybridClock,
        handler: Callable[[Link, AnyMessage], AnyMessage | None],
        on_close: Callable[[Link], None] | None = None,
    ) -> None:
        self._server = StreamServer(parse_address(address), self._accept)
        self._clock = clock
        self._handler = handler
        self._on_close = on_close
        self.links: set[Link] = set()

    def start(self) -> None:
        """Start to listen.

        :raises OSError: if the address is in use.
        """
        self._server.start()

    def close(self) -> None:
        """Stop listening and close all links."""
        self._server.stop(timeout=0)
        for link in list(self.links):
            link.close()

    def _accept(self, sock: Any, _peer: Any) -> None:
        link = Link(
            sock,
            clock=self._clock,
            handler=self._handler,
            on_close=self._on_close,
        )
        self.links.add(link)
        try:
            link.serve()
        finally:
            self.links.discard(link)


def connect(
    address: str,
    *,
    clock: HybridClock,
    handler: Callable[[Link, AnyMessage], AnyMessage | None],
    on_close: Callable[[Link], None] | None = None,
    timeout_s: float = CONNECT_TIMEOUT_S,
    aborts: bool = False,
) -> Link | Unreachable:
    """Open a link and start its reading greenlet.

    :param address: ``host:port`` to connect to.
    :param timeout_s: limit of the connect only, not of later requests.
    :param aborts: see :class:`Link`.
    :returns: the link, or :class:`Unreachable` with the reason
        ``connect_failed``.
    """
    try:
        sock = create_connection(parse_address(address), timeout_s)
    except OSError as exc:
        return Unreachable(reason='connect_failed', detail=str(exc))
    sock.settimeout(None)
    link = Link(
        sock, clock=clock, handler=handler, on_close=on_close, aborts=aborts
    )
    gevent.spawn(link.serve)
    return link
