"""Read the bodies of requests within the limits."""

from __future__ import annotations

from dataclasses import dataclass
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
        handler.wait_for_request(True)
        handler.rfile.limit_bytes_left(MAX_WIRE_BYTES_A_PIECE)
        try:
            while self.read(PIECE_BYTES):
                pass
        except OSError:
            handler.drop_body()


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
        handler.drop_body()
    else:
        handler.wait_for_request(False)
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
    handler.wait_for_request(True)
    reader = handler.rfile
    size = 0
    try:
        while True:
            reader.limit_bytes_left(MAX_WIRE_BYTES_A_PIECE)
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
