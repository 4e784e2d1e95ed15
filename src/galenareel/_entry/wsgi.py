"""HTTP server with strict parsing and limits for hostile callers.

It extends gevent's pywsgi, which parses heads with the parser for mail
messages and has no time limits. That parser accepts heads that other parsers
understand differently, so heads are parsed here, strictly and within limits.
pywsgi still decodes chunked bodies.
"""

from __future__ import annotations

from collections.abc import Callable
import socket
import time
from typing import Any
from urllib.parse import unquote

import gevent
from gevent import GreenletExit
from gevent.pywsgi import Input
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer
from gevent.socket import timeout as SocketTimeout
import msgspec

from galenareel._entry.calls import CallerDisconnected
from galenareel._entry.connections import ConnectionReader
from galenareel._entry.connections import DisconnectWatcher
from galenareel._entry.connections import HeadTooLong
from galenareel._entry.connections import RECV_BYTES
from galenareel._entry.heads import parse_head
from galenareel._entry.heads import RejectedHead
from galenareel._entry.heads import RequestHead
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.settings import Limits

# Limits for reading the request of a refused connection before it is closed.
LINGER_TIMEOUT_S = 1.0
LINGER_BYTES = 1024 * 1024
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


class _UnreadBody:
    """Replaces the input of a request whose body is not read to its end.

    pywsgi calls :meth:`_discard` after each request.
    """

    def _discard(self) -> None:
        pass


class Handler(WSGIHandler):
    """A connection of a caller.

    :ivar idle: whether it waits for the head of a request.
    """

    server: Any
    rfile: Any
    wsgi_input: Any
    content_length: Any
    response_headers: Any
    status: Any
    _sendall: Any
    _write: Any

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The type stubs lack the argument ``rfile``.
        init: Any = super().__init__
        init(sock, address, server, rfile=ConnectionReader(sock))
        self.disconnect_watcher = DisconnectWatcher(sock, gevent.getcurrent())
        self.idle = True

    def handle(self) -> None:
        try:
            super().handle()
        except (OSError, GreenletExit):
            pass
        finally:
            self.disconnect_watcher.close()

    def handle_one_request(self) -> Any:
        limits: Limits = self.server.limits
        self.idle = True
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
        except OSError:
            return None
        self.idle = False
        if data is None:
            return None
        head = parse_head(data, max_headers=limits.max_headers)
        if isinstance(head, RejectedHead):
            return self._refuse(head)
        self._prepare_request(head)
        self.rfile.read_deadline = time.monotonic() + limits.body_timeout_s
        try:
            self.handle_one_response()
        finally:
            self.disconnect_watcher.stop()
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

    def drop_body(self) -> None:
        """Close the connection after the answer; don't read the body."""
        self.close_connection = True
        self.wsgi_input = _UnreadBody()

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
        self.wsgi_input = Input(
            self.rfile,
            head.content_length,
            socket=self.socket if head.expects_continue else None,
            chunked_input=head.is_chunked,
        )
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
        self.socket.settimeout(self.server.limits.send_timeout_s)
        if self.response_use_chunked or len(data) > MAX_COMBINED_BYTES:
            self._sendall(b''.join(parts))
            self._write(data)
        else:
            parts.append(data)
            self._sendall(b''.join(parts))

    def _refuse(self, rejected: RejectedHead) -> tuple[str, bytes]:
        return str(rejected.status), encode_refusal(
            rejected.status, rejected.problem
        )


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


class HttpServer(WSGIServer):
    """HTTP server that limits connections in total and per address."""

    handler_class = Handler
    address: Any

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[..., Any],
        *,
        limits: Limits,
    ) -> None:
        super().__init__(address, application, log=None, error_log=None)
        self.limits = limits
        self.connections_by_address: dict[str, int] = {}
        self.open_connections = 0
        self.handlers: set[Handler] = set()

    def update_environ(self) -> None:
        """Set the server's name and port without a DNS lookup.

        The lookup of pywsgi could block.
        """
        host, port = self.address[:2]
        self.environ['SERVER_NAME'] = host
        self.environ['SERVER_PORT'] = str(port)

    def count_busy(self) -> int:
        """Return the number of requests without a complete answer."""
        return sum(not handler.idle for handler in self.handlers)

    def close_idle(self) -> None:
        """Close the listener and the idle connections.

        Requests on the other connections can finish.
        """
        self.close()
        for handler in list(self.handlers):
            handler.close_when_idle()

    def handle(self, sock: Any, address: Any) -> None:
        host = address[0]
        count = self.connections_by_address.get(host, 0)
        if self.open_connections >= self.limits.max_connections:
            return _refuse_connection(sock, 503, 'too many connections')
        if count >= self.limits.max_connections_per_address:
            return _refuse_connection(
                sock, 429, 'too many connections from this address'
            )
        self.open_connections += 1
        self.connections_by_address[host] = count + 1
        handler = self.handler_class(sock, address, self)
        self.handlers.add(handler)
        try:
            handler.handle()
        finally:
            self.handlers.discard(handler)
            self.open_connections -= 1
            remaining = self.connections_by_address[host] - 1
            if remaining:
                self.connections_by_address[host] = remaining
            else:
                del self.connections_by_address[host]
        return None


def _refuse_connection(sock: Any, status: int, detail: str) -> None:
    try:
        sock.settimeout(LINGER_TIMEOUT_S)
        sock.sendall(encode_refusal(status, detail))
        sock.shutdown(socket.SHUT_WR)
        # Closing a socket with unread bytes resets the connection, and the
        # caller might lose the refusal. So the request is read first.
        bytes_left = LINGER_BYTES
        while bytes_left > 0 and (data := sock.recv(RECV_BYTES)):
            bytes_left -= len(data)
    except OSError:
        pass
    finally:
        sock.close()
