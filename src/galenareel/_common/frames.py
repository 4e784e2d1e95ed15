"""Length-prefixed frames on gevent sockets, with requests and replies.

A frame is a four-byte big-endian length followed by a msgpack array of kind,
sequence number, hybrid time and body. The body is one of the tagged messages
of :mod:`galenareel._common.messages`.
"""

from __future__ import annotations

from collections.abc import Callable
import socket
import struct
import time
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.lock import Semaphore
from gevent.server import StreamServer
from gevent.socket import create_connection
import msgspec

from galenareel._common.addresses import MAX_HOST_CHARS
from galenareel._common.addresses import MAX_PORT
from galenareel._common.addresses import MAX_PORT_DIGITS
from galenareel._common.events import HybridClock
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.sentinels import Unreachable

MAX_FRAME_BYTES = 8 * 1024 * 1024
# Of a connection that has not said who it is.
MAX_HELLO_BYTES = 64 * 1024
MAX_UNKNOWN_LINKS = 256
CONNECT_TIMEOUT_S = 1.0
# A link whose other end takes no byte of a frame for this long is closed.
WRITE_STALL_S = 2.0
# The system ends a connection whose other machine does not acknowledge data,
# or keep-alive probes, for about this long.
DEAD_PEER_MS = 5000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

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

    :raises ValueError: if the port is missing or not from 0 to 65535, or if
        the host is no name that can be looked up.
    """
    host, colon, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or len(port) > MAX_PORT_DIGITS:
        raise ValueError(f'{text[:MAX_HOST_CHARS]!r} is not host:port')
    if int(port) > MAX_PORT:
        raise ValueError(f'port {port} is above {MAX_PORT}')
    host.encode('idna')
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
    :param awaits_hello: frames stay small until the name of the other process
        is set.
    :param log: where malformed data is reported.
    :ivar ended_by_peer: the connection has ended in the ordinary way, and the
        other side ended it first. A reset or a time-out is no such end.
    """

    def __init__(
        self,
        sock: Any,
        *,
        clock: HybridClock,
        handler: Callable[[Link, AnyMessage], AnyMessage | None],
        on_close: Callable[[Link], None] | None = None,
        aborts: bool = False,
        awaits_hello: bool = False,
        log: Log | None = None,
    ) -> None:
        _set_options(sock)
        # Name of the other process, set after its hello message.
        self.peer: str = ''
        self.bytes_in = 0
        self.bytes_out = 0
        self.closed = False
        self.ended_by_peer = False
        self._aborts = aborts
        self._awaits_hello = awaits_hello
        self._log = log
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

        The link is closed if the other end takes no data for
        ``WRITE_STALL_S``.

        :returns: whether it was written to the socket.
        """
        return self._write(NOTIFY, 0, msg)

    def request(
        self, msg: AnyMessage, *, timeout_s: float
    ) -> AnyMessage | Unreachable:
        """Send a message and wait for the reply.

        The link is closed if the message is not written as a whole within
        the time.

        :param timeout_s: limit of the write and the wait for the reply
            together.
        :returns: the reply, or :class:`Unreachable` with the reason
            ``link_closed`` or ``timeout``. It is marked as not sent if the
            system did not take the whole frame: the other end ignores a part
            of one, and the rest can't follow on a closed link.
        """
        deadline = time.monotonic() + timeout_s
        is_written = False
        self._seq += 1
        seq = self._seq
        fut: AsyncResult[Any] = AsyncResult()
        self._pending[seq] = fut
        try:
            if not self._write(REQUEST, seq, msg, deadline):
                return Unreachable(reason='link_closed', not_sent=True)
            is_written = True
            reply: Any = fut.get(timeout=_get_left_s(deadline))
        except (gevent.Timeout, TimeoutError):
            return Unreachable(reason='timeout', not_sent=not is_written)
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
        except (
            FrameError,
            msgspec.MsgspecError,
            UnicodeDecodeError,
            RecursionError,
        ) as exc:
            # Malformed data ends only this connection.
            if self._log is not None:
                self._log.warning(
                    'invalid_frame', peer=self.peer, detail=repr(exc)
                )
        except OSError:
            # So does a socket error.
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

    def _write(
        self,
        kind: int,
        seq: int,
        msg: AnyMessage,
        deadline: float | None = None,
    ) -> bool:
        """Write a frame; return false if the link is closed.

        :param deadline: monotonic time until which it must be written, in
            seconds.
        :raises TimeoutError: if it was not written by the deadline.
        """
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
        wait_s = None if deadline is None else _get_left_s(deadline)
        # The writer in front closes the link if it gets stuck.
        if not self._write_lock.acquire(timeout=wait_s):
            raise TimeoutError
        try:
            # The writer in front may have left an incomplete frame.
            if self.closed:
                return False
            self._send(_LENGTH.pack(len(data)) + data, deadline)
        except TimeoutError:
            if deadline is None:
                return False
            raise
        except OSError:
            return False
        finally:
            self._write_lock.release()
        self.bytes_out += len(data) + _LENGTH.size
        return True

    def _send(self, data: bytes, deadline: float | None) -> None:
        """Write all data, waiting while the send buffer is full.

        The link is closed if that fails. The time-out of the socket is not
        used, as it would also limit reads.

        :raises TimeoutError: at the deadline, or if there is none, once the
            other end has taken nothing for ``WRITE_STALL_S``.
        """
        unsent = memoryview(data)
        try:
            while unsent:
                limit_s = WRITE_STALL_S
                if deadline is not None:
                    limit_s = _get_left_s(deadline)
                with gevent.Timeout(limit_s, TimeoutError):
                    unsent = unsent[self._sock.send(unsent) :]
        except BaseException:
            # The rest of the frame can't follow later.
            self.close()
            raise

    def _read_frame(self) -> bool:
        """Read and handle one frame; return false at the end of the stream."""
        head = self._file.read(_LENGTH.size)
        if len(head) < _LENGTH.size:
            return False
        (size,) = _LENGTH.unpack(head)
        is_unknown = self._awaits_hello and not self.peer
        limit = MAX_HELLO_BYTES if is_unknown else MAX_FRAME_BYTES
        if size > limit:
            raise FrameError(
                f'frame of {size} bytes exceeds the limit of {limit} bytes'
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


def _set_options(sock: Any) -> None:
    """Send small frames at once, and end connections to dead machines."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, DEAD_PEER_MS)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def _get_left_s(deadline: float) -> float:
    return max(deadline - time.monotonic(), 0.0)


class FrameServer:
    """Accepts links on one address.

    :param address: ``host:port`` to listen on.
    :param handler: see :class:`Link`; shared by all links.
    :param log: see :class:`Link`.
    :param max_unknown_links: links without a hello; beyond that the oldest
        one is closed.
    """

    def __init__(
        self,
        address: str,
        *,
        clock: HybridClock,
        handler: Callable[[Link, AnyMessage], AnyMessage | None],
        on_close: Callable[[Link], None] | None = None,
        log: Log | None = None,
        max_unknown_links: int = MAX_UNKNOWN_LINKS,
    ) -> None:
        self._max_unknown_links = max_unknown_links
        self._server = StreamServer(parse_address(address), self._accept)
        self._log = log
        self._clock = clock
        self._handler = handler
        self._on_close = on_close
        self.links: set[Link] = set()
        # Links without a hello so far, oldest first.
        self._unknown: dict[Link, None] = {}

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
            awaits_hello=True,
            log=self._log,
        )
        self.links.add(link)
        self._unknown[link] = None
        self._close_oldest_unknown()
        try:
            link.serve()
        finally:
            self.links.discard(link)
            self._unknown.pop(link, None)

    def _close_oldest_unknown(self) -> None:
        """Close the oldest link without a hello if there are too many."""
        if len(self._unknown) <= self._max_unknown_links:
            return
        for link in list(self._unknown):
            if link.peer:
                del self._unknown[link]
        if len(self._unknown) > self._max_unknown_links:
            oldest = next(iter(self._unknown))
            del self._unknown[oldest]
            oldest.close()


def connect(
    address: str,
    *,
    clock: HybridClock,
    handler: Callable[[Link, AnyMessage], AnyMessage | None],
    on_close: Callable[[Link], None] | None = None,
    timeout_s: float = CONNECT_TIMEOUT_S,
    aborts: bool = False,
    log: Log | None = None,
) -> Link | Unreachable:
    """Open a link and start its reading greenlet.

    :param address: ``host:port`` to connect to. Another process may have
        named it, so one that is invalid counts as one that can't be reached.
    :param timeout_s: limit of the connect only, not of later requests.
    :param aborts: see :class:`Link`.
    :param log: see :class:`Link`.
    :returns: the link, or :class:`Unreachable` with the reason
        ``connect_failed``.
    """
    try:
        sock = create_connection(parse_address(address), timeout_s)
    except (OSError, ValueError) as exc:
        return Unreachable(reason='connect_failed', detail=str(exc))
    sock.settimeout(None)
    link = Link(
        sock,
        clock=clock,
        handler=handler,
        on_close=on_close,
        aborts=aborts,
        log=log,
    )
    gevent.spawn(link.serve)
    return link
