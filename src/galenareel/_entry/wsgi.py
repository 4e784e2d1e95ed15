"""HTTP server with strict parsing and limits for hostile callers.

It extends gevent's pywsgi, which parses heads with the parser for mail
messages and has no time limits. That parser accepts heads that other parsers
understand differently, so heads and chunks are parsed here, strictly and
within limits.
"""

from __future__ import annotations

from collections.abc import Callable
import socket
import time
from typing import Any
from urllib.parse import unquote

import gevent
from gevent import GreenletExit
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer
from gevent.socket import timeout as SocketTimeout
import msgspec

from galenareel._entry.bodies import BodyInput
from galenareel._entry.calls import CallerDisconnected
from galenareel._entry.connection_table import ConnectionTable
from galenareel._entry.connections import ConnectionReader
from galenareel._entry.connections import DisconnectWatcher
from galenareel._entry.connections import HEAD_MEMORY_FACTOR
from galenareel._entry.connections import HeadTooLong
from galenareel._entry.connections import RECV_BYTES
from galenareel._entry.heads import parse_head
from galenareel._entry.heads import RejectedHead
from galenareel._entry.heads import RequestHead
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.receive_budget import NoRoom
from galenareel._entry.receive_budget import ReceiveBudget
from galenareel._entry.settings import Limits

# Limits for reading the request of a refused connection before it is closed.
LINGER_TIMEOUT_S = 1.0
LINGER_BYTES = 1024 * 1024
# Refused connections that are read from at once; more are closed unread.
MAX_LINGERING = 32
# Many requests answered in a row would keep a core from renewing its
# leadership.
MAX_REQUESTS_PER_TURN = 8
# Bounds what the system stores for a connection that is not read from.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Parts of an answer; a client that takes one in time is not stalled.
SEND_BYTES = 64 * 1024
# Zero would make the socket non-blocking.
MIN_SEND_S = 0.01
# Shorter bodies are sent together with their head.
MAX_COMBINED_BYTES = 16 * 1024
_REASON_PHRASES = {
    400: 'Bad Request',
    408: 'Request Timeout',
    417: 'Expectation Failed',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    503: 'Service Unavailable',
}


class Handler(WSGIHandler):
    """A connection of a caller.

    :ivar idle: whether it waits for the head of a request.
    :ivar has_unread_body: whether the connection ends after this request, as
        its body was not read to the end.
    """

    server: Any
    rfile: Any
    wsgi_input: Any
    content_length: Any
    response_headers: Any
    status: Any
    _write: Any

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        holding = server.budget.open(self._give_way)
        reader = ConnectionReader(sock, holding)
        # The type stubs lack the argument ``rfile``.
        init: Any = super().__init__
        init(sock, address, server, rfile=reader)
        self.has_unread_body = False
        self.disconnect_watcher = DisconnectWatcher(sock, gevent.getcurrent())
        self.idle = True

    def handle(self) -> None:
        reader = self.rfile
        try:
            super().handle()
        except (OSError, GreenletExit):
            pass
        finally:
            self.disconnect_watcher.close()
            reader.end_request()
            reader.drop()

    def handle_one_request(self) -> Any:
        limits: Limits = self.server.limits
        self.idle = True
        self.note_waiting(True)
        try:
            data = self.rfile.read_head(
                idle_s=limits.idle_timeout_s,
                header_s=limits.header_timeout_s,
                limit=limits.max_header_bytes,
            )
        except HeadTooLong:
            return self._refuse(RejectedHead(431, 'the header is too long'))
        except SocketTimeout:
            return self._refuse(
                RejectedHead(408, 'the header came too slowly')
            )
        except NoRoom as exc:
            return self._refuse(RejectedHead(503, str(exc)))
        except OSError:
            return None
        self.idle = False
        self.note_waiting(False)
        if data is None:
            return None
        self.server.share_loop(gevent.get_hub().loop.now())
        head = parse_head(data, max_headers=limits.max_headers)
        if isinstance(head, RejectedHead):
            return self._refuse(head)
        self._prepare_request(head)
        self.rfile.read_deadline = time.monotonic() + limits.body_timeout_s
        try:
            self.handle_one_response()
        finally:
            self.disconnect_watcher.stop()
            self._forget_request()
        if self.has_unread_body:
            self.server.linger(self.socket)
        if self.close_connection or self.rfile.closed:
            return None
        return True

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if issubclass(t, (CallerDisconnected, AnswerBroken, OSError)):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def close_when_idle(self) -> None:
        """Close the connection if no request has begun on it."""
        if self.idle and self.socket is not None:
            self.socket.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Close the connection without an answer, at once."""
        self._shut_down(socket.SHUT_RDWR)

    def drop_body(self) -> None:
        """Close the connection after the answer; don't read the body."""
        self.close_connection = True
        self.has_unread_body = True

    def note_waiting(self, is_waiting: bool) -> None:
        """Note whether a part of the next request has still to arrive."""
        self.server.connections.note_waiting(self, is_waiting)

    def _sendall(self, data: Any) -> None:
        connections = self.server.connections
        deadline = time.monotonic() + self.server.limits.send_timeout_s
        view = memoryview(data)
        try:
            for start in range(0, len(view), SEND_BYTES):
                now = time.monotonic()
                connections.note_sending(self, now)
                # A timeout of the socket limits each call of its own.
                self.socket.settimeout(max(deadline - now, MIN_SEND_S))
                super()._sendall(  # type: ignore[misc]
                    view[start : start + SEND_BYTES]
                )
        finally:
            connections.note_sending(self, None)

    def _give_way(self) -> None:
        """Free the memory of a request, and end the wait for its rest."""
        if self.rfile is not None:
            self.rfile.drop()
        self._shut_down(socket.SHUT_RD)

    def _shut_down(self, how: int) -> None:
        # The method of gevent's socket would raise one exception object in
        # all waiting greenlets, whose traceback keeps what they have read.
        if self.socket is not None:
            try:
                raw_socket: Any = self.socket
                raw_socket._sock.shutdown(how)
            except OSError:
                pass

    def log_request(self) -> None:
        """Don't log requests; they are counted."""

    def _prepare_request(self, head: RequestHead) -> None:
        self.command = head.method
        self.path = head.target
        self.requestline = f'{head.method} {head.target}'
        self.request_version = 'HTTP/1.0' if head.is_http10 else 'HTTP/1.1'
        self.close_connection = head.must_close
        self.content_length = head.content_length
        self.response_length = 0
        self.application = self.server.application
        self.environ = self._make_environ(head)

    def _forget_request(self) -> None:
        """Free what an idle connection would keep for a long time."""
        self.rfile.end_request()
        self.environ = {}
        self.requestline = self.path = ''
        self.result = self.response_headers = self.wsgi_input = None

    def _make_environ(self, head: RequestHead) -> dict[str, Any]:
        path, _mark, query = head.target.partition('?')
        env: dict[str, Any] = self.server.get_environ()
        if '%' in path:
            path = unquote(path, encoding='latin-1')
        env['REQUEST_METHOD'] = head.method
        env['PATH_INFO'] = path
        env['QUERY_STRING'] = query
        env['SERVER_PROTOCOL'] = self.request_version
        env['REMOTE_ADDR'] = self.client_address[0]
        for name, value in head.headers:
            key = 'HTTP_' + name.upper().replace('-', '_')
            if key in env:
                value = f'{env[key]},{value}'
            env[key] = value
        for key in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
            value = env.pop('HTTP_' + key, None)
            if value is not None:
                env[key] = value
        self.wsgi_input = BodyInput(self, head, self.socket)
        env['wsgi.input'] = self.wsgi_input
        env['wsgi.input_terminated'] = True
        env['galenareel.head'] = head
        env['galenareel.handler'] = self
        return env

    def _write_with_headers(self, data: Any) -> None:
        # Overrides pywsgi so that a short answer is sent in one segment.
        self.headers_sent = True
        self.finalize_headers()
        parts = [b'HTTP/1.1 ', self.status, b'\r\n']
        for name, value in self.response_headers:
            parts += (name, b': ', value, b'\r\n')
        parts.append(b'\r\n')
        if self.response_use_chunked or len(data) > MAX_COMBINED_BYTES:
            self._sendall(b''.join(parts))
            self._write(data)
        else:
            parts.append(data)
            self._sendall(b''.join(parts))

    def _refuse(self, rejected: RejectedHead) -> None:
        """Answer a request that does not reach the application."""
        is_lack = rejected.status == 503
        self.server.count_refusal('receive_memory' if is_lack else 'head')
        self.socket.settimeout(self.server.limits.send_timeout_s)
        self.socket.sendall(encode_refusal(rejected.status, rejected.problem))
        self.server.linger(self.socket)


def encode_refusal(status: int, detail: str) -> bytes:
    """Return the answer to a request that does not reach the application."""
    body = msgspec.json.encode(
        {
            'outcome': 'not_run',
            'reason': 'bad_request' if status < 500 else 'overload',
            'detail': detail,
            'retry_after_s': 1.0 if status in (408, 429, 503) else None,
        }
    )
    head = (
        f'HTTP/1.1 {status} {_REASON_PHRASES[status]}\r\n'
        'Connection: close\r\n'
        'Content-Type: application/json\r\n'
        'Galenareel-Outcome: not_run\r\n'
        'Retry-After: 1\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def make_receive_budget(limits: Limits) -> ReceiveBudget:
    """Return a budget that has room for one request of the largest size."""
    largest = (
        limits.max_body_bytes
        + HEAD_MEMORY_FACTOR * limits.max_header_bytes
        + RECV_BYTES
    )
    return ReceiveBudget(max(limits.max_receive_bytes, largest))


def _count_nothing(_reason: str) -> None:
    pass


class HttpServer(WSGIServer):
    """HTTP server that limits connections in total and per address.

    A new connection beyond the total takes the place of one whose client has
    not sent its request, or does not read its answer.

    :param budget: memory for requests, shared by the servers of a process.
    :param count_refusal: called with the reason of each refusal: ``address``,
        ``connections``, ``displaced`` (a connection gave its place to a new
        one), ``head`` or the reason of an :class:`UnreadBody`.
    :ivar connections: without those that have given up their place.
    """

    handler_class = Handler
    address: Any

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[..., Any],
        *,
        limits: Limits,
        budget: ReceiveBudget | None = None,
        count_refusal: Callable[[str], None] | None = None,
    ) -> None:
        super().__init__(address, application, log=None, error_log=None)
        self.limits = limits
        self.count_refusal = count_refusal or _count_nothing
        self.budget = budget or make_receive_budget(limits)
        self.connections: ConnectionTable[Handler] = ConnectionTable()
        self._lingering = 0
        # Time of the present turn of the event loop, and its requests.
        self._turn = 0.0
        self._turn_requests = 0

    def init_socket(self) -> None:
        super().init_socket()
        # Connections inherit it.
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def update_environ(self) -> None:
        """Set the server's name and port without a DNS lookup.

        The lookup of pywsgi could block.
        """
        host, port = self.address[:2]
        self.environ['SERVER_NAME'] = host
        self.environ['SERVER_PORT'] = str(port)

    def count_busy(self) -> int:
        """Return the number of requests without a complete answer."""
        return sum(not handler.idle for handler in self.connections.list_all())

    def close_idle(self) -> None:
        """Close the listener and the idle connections.

        Requests on the other connections can finish.
        """
        self.close()
        for handler in self.connections.list_all():
            handler.close_when_idle()

    def handle(self, sock: Any, address: Any) -> None:
        host = address[0]
        limits = self.limits
        connections = self.connections
        count = connections.count_of_host(host)
        if count >= limits.max_connections_per_address:
            self.count_refusal('address')
            return self._refuse_connection(
                sock, 429, 'too many connections from this address'
            )
        if len(connections) >= limits.max_connections:
            if not self._free_place(time.monotonic()):
                self.count_refusal('connections')
                return self._refuse_connection(
                    sock, 503, 'too many connections'
                )
        handler = self.handler_class(sock, address, self)
        connections.add(handler, host)
        try:
            handler.handle()
        finally:
            connections.remove(handler)
        return None

    def _free_place(self, now: float) -> bool:
        """Close a connection for a new one; return whether there was one."""
        handler = self.connections.choose_to_close(now)
        if handler is None:
            return False
        self.count_refusal('displaced')
        self.connections.remove(handler)
        handler.abort()
        return True

    def share_loop(self, now: float) -> None:
        """Let other parts of the process run if many requests came at once.

        :param now: time of the event loop, which changes with each turn.
        """
        if now != self._turn:
            self._turn = now
            self._turn_requests = 0
        self._turn_requests += 1
        if self._turn_requests > MAX_REQUESTS_PER_TURN:
            gevent.sleep(0)

    def linger(self, sock: Any) -> None:
        """Read what a refused client still sends, for a short time.

        Closing a socket with unread bytes resets the connection, and the
        client might lose the refusal.
        """
        if sock is None or self._lingering >= MAX_LINGERING:
            return
        self._lingering += 1
        try:
            sock.shutdown(socket.SHUT_WR)
            deadline = time.monotonic() + LINGER_TIMEOUT_S
            bytes_left = LINGER_BYTES
            while bytes_left > 0 and time.monotonic() < deadline:
                sock.settimeout(max(deadline - time.monotonic(), 0.01))
                data = sock.recv(RECV_BYTES)
                if not data:
                    break
                bytes_left -= len(data)
        except OSError:
            pass
        finally:
            self._lingering -= 1

    def _refuse_connection(self, sock: Any, status: int, detail: str) -> None:
        try:
            sock.settimeout(LINGER_TIMEOUT_S)
            sock.sendall(encode_refusal(status, detail))
            self.linger(sock)
        except OSError:
            pass
        finally:
            sock.close()
