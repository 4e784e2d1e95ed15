"""Read the bodies of requests within the limits."""

from __future__ import annotations

from dataclasses import dataclass
import re
from typing import Any

from falcon import Request
from gevent.pywsgi import Input
from gevent.socket import timeout as SocketTimeout

from galenareel._entry.connections import RECV_BYTES
from galenareel._entry.heads import RequestHead
from galenareel._entry.receive_budget import NoRoom

PIECE_BYTES = 16 * 1024
# On the wire, a chunk of one byte takes six. The rest is for trailers, and for
# what is received of the next request.
MAX_WIRE_BYTES_A_PIECE = 6 * PIECE_BYTES + 2 * RECV_BYTES
# A longer body that nobody has read is not read to keep the connection open.
MAX_DISCARDED_BYTES = 64 * 1024
# Of the line before a chunk, with its extensions, and of a trailer.
MAX_CHUNK_LINE_BYTES = 8 * 1024
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n')
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n]*\r\n")


@dataclass(frozen=True, slots=True)
class UnreadBody:
    """Why the body of a request was not read; the request has not run.

    :param reason: ``body_too_large``, ``body_timeout``, ``bad_body`` or
        ``receive_memory``.
    """

    reason: str
    detail: str


class BodyInput(Input):
    """Input of a request that does not read on for ever what nobody wants.

    Chunks are joined as they come, as the base class keeps an object for each
    of them, which takes many times the size of a small one.

    :param handler: told if the rest of the body stays unread.
    """

    __slots__ = ('_handler',)

    def __init__(self, handler: Any, head: RequestHead, sock: Any) -> None:
        # The type stubs lack the arguments of the base class.
        init: Any = super().__init__
        init(
            handler.rfile,
            head.content_length,
            socket=sock if head.expects_continue else None,
            chunked_input=head.is_chunked,
        )
        self._handler = handler

    def _discard(self) -> None:
        # Called by pywsgi after each request.
        handler = self._handler
        if handler.has_unread_body:
            return
        left = (self.content_length or 0) - self.position
        if not self.chunked_input and left <= 0:
            return
        # A client that waits for status 100 sends the rest only after it.
        is_waiting = self.socket is not None
        if is_waiting or left > MAX_DISCARDED_BYTES:
            handler.drop_body()
            return
        handler.note_waiting(True)
        discarded = 0
        try:
            while discarded <= MAX_DISCARDED_BYTES:
                handler.rfile.begin_piece(MAX_WIRE_BYTES_A_PIECE)
                piece = self.read(PIECE_BYTES)
                if not piece:
                    return
                discarded += len(piece)
        except OSError:
            pass
        handler.drop_body()

    def _chunked_read(
        self, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        # Lines of a body are read by nobody.
        assert not use_readline
        self._send_100_continue()  # type: ignore[attr-defined]
        piece = bytearray()
        while self.chunk_length != 0 and len(piece) != length:
            if self.chunk_length < 0:
                self._begin_chunk()
                continue
            wanted = self.chunk_length - self.position
            if length is not None:
                wanted = min(wanted, length - len(piece))
            data = self.rfile.read(wanted)
            if len(data) < wanted:
                raise OSError('the body ends within a chunk')
            piece += data
            self.position += wanted
            if self.position == self.chunk_length:
                self._end_chunk()
        return bytes(piece)

    def _begin_chunk(self) -> None:
        match = _CHUNK_LINE.fullmatch(self._read_line())
        if match is None:
            raise OSError('the size of a chunk is malformed')
        self.chunk_length = int(match[1], 16)
        self.position = 0
        if not self.chunk_length:
            self._skip_trailers()

    def _end_chunk(self) -> None:
        if self.rfile.readline(2) != b'\r\n':
            raise OSError('a chunk is longer than its size')
        self.chunk_length = -1

    def _skip_trailers(self) -> None:
        while (line := self._read_line()) != b'\r\n':
            if _TRAILER.fullmatch(line) is None:
                raise OSError('a trailer is malformed')

    def _read_line(self) -> bytes:
        line: bytes = self.rfile.readline(MAX_CHUNK_LINE_BYTES)
        return line


def read_body(env: dict[str, Any], limit: int) -> bytes | UnreadBody:
    """Return the body of a request, however it is framed.

    The connection is closed after the answer if the body was not read.

    :param env: WSGI environment of a request.
    :param limit: size limit of the body in bytes.
    """
    handler = env.get('galenareel.handler')
    if handler is None:
        # Another server than HttpServer, whose input falcon bounds.
        whole = Request(env).bounded_stream.read(limit + 1)
        return _make_too_large(limit) if len(whole) > limit else whole
    body = _read_body(env, handler, limit)
    if isinstance(body, UnreadBody):
        handler.server.count_refusal(body.reason)
        handler.drop_body()
    else:
        handler.note_waiting(False)
    return body


def _read_body(
    env: dict[str, Any], handler: Any, limit: int
) -> bytes | UnreadBody:
    head: RequestHead = env['galenareel.head']
    length = head.content_length
    if length is None and not head.is_chunked:
        return b''
    if length is not None and length > limit:
        return _make_too_large(limit)
    handler.note_waiting(True)
    reader = handler.rfile
    size = 0
    try:
        reader.begin_body()
        while True:
            reader.begin_piece(MAX_WIRE_BYTES_A_PIECE)
            piece = env['wsgi.input'].read(PIECE_BYTES)
            if not piece:
                break
            size += len(piece)
            if size > limit:
                return _make_too_large(limit)
            reader.keep(piece)
        return reader.take_body()
    except NoRoom as exc:
        return UnreadBody('receive_memory', str(exc))
    except SocketTimeout:
        return UnreadBody('body_timeout', 'the body did not arrive in time')
    except OSError as exc:
        # A chunk is invalid, or the caller has disconnected.
        return UnreadBody('bad_body', str(exc))


def _make_too_large(limit: int) -> UnreadBody:
    return UnreadBody(
        'body_too_large', f'a body may have at most {limit} bytes'
    )
