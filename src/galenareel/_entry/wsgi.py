"""The pywsgi server with limits for hostile callers.

pywsgi reads heads with the parser for mail messages, which accepts what
different readers understand differently, and has no time limits. Here heads
are read strictly within their limits; chunked bodies are decoded by pywsgi.
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
from galenareel._entry.connections import HeadTooLong
from galenareel._entry.connections import Reader
from galenareel._entry.connections import RECV_BYTES
from galenareel._entry.connections import Watch
from galenareel._entry.heads import BadHead
from galenareel._entry.heads import Head
from galenareel._entry.heads import parse_head
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.settings import Limits

LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
COMBINED_BYTES = 16 * 1024
_REASONS = {
    400: 'Bad Request',
    408: 'Request Timeout',
    417: 'Expectation Failed',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    503: 'Service Unavailable',
}


class _NoBody:
    """Stands for a body that is not read."""

    def _discard(self) -> None:
        pass


class Handler(WSGIHandler):
    """One connection of a caller."""

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
        # The stubs lack the argument that replaces the reader.
        init: Any = super().__init__
        init(sock, address, server, rfile=Reader(sock))
        self.watch = Watch(sock, gevent.getcurrent())
        self.idle = True

    def handle(self) -> None:
        try:
            super().handle()
        except (OSError, GreenletExit):
            pass
        finally:
            self.watch.close()

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
            return self._refuse(BadHead(431, 'the header is too long'))
        except SocketTimeout:
            return self._refuse(BadHead(408, 'the header came too slowly'))
        except OSError:
            return None
        self.idle = False
        if data is None:
            return None
        head = parse_head(data, max_headers=limits.max_headers)
        if isinstance(head, BadHead):
            return self._refuse(head)
        self._take(head)
        self.rfile.until = time.monotonic() + limits.body_timeout_s
        try:
            self.handle_one_response()
        finally:
            self.watch.stop()
        if self.close_connection or self.rfile.closed:
            return None
        return True

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if issubclass(t, (CallerDisconnected, AnswerBroken, OSError)):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def close_when_idle(self) -> None:
        """Wake a connection on which no request has begun."""
        if self.idle and self.socket is not None:
            self.socket.shutdown(socket.SHUT_RD)

    def drop_body(self) -> None:
        """End the connection after the answer, without reading the body."""
        self.close_connection = True
        self.wsgi_input = _NoBody()

    def log_request(self) -> None:
        """Requests are counted, not logged."""

    def _take(self, head: Head) -> None:
        self.command = head.method
        self.path = head.target
        self.requestline = f'{head.method} {head.target}'
        self.request_version = 'HTTP/1.0' if head.http10 else 'HTTP/1.1'
        self.close_connection = head.close
        self.content_length = head.length
        self.response_length = 0
        self.application = self.server.application
        self.environ = self._environ(head)

    def _environ(self, head: Head) -> dict[str, Any]:
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
            head.length,
            socket=self.socket if head.expects else None,
            chunked_input=head.chunked,
        )
        env['wsgi.input'] = self.wsgi_input
        env['wsgi.input_terminated'] = True
        env['galenareel.head'] = head
        env['galenareel.handler'] = self
        return env

    def _write_with_headers(self, data: Any) -> None:
        # One segment for a short answer in place of two.
        self.headers_sent = True
        self.finalize_headers()
        parts = [b'HTTP/1.1 ', self.status, b'\r\n']
        for name, value in self.response_headers:
            parts += (name, b': ', value, b'\r\n')
        parts.append(b'\r\n')
        self.socket.settimeout(self.server.limits.send_timeout_s)
        if self.response_use_chunked or len(data) > COMBINED_BYTES:
            self._sendall(b''.join(parts))
            self._write(data)
        else:
            parts.append(data)
            self._sendall(b''.join(parts))

    def _refuse(self, bad: BadHead) -> tuple[str, bytes]:
        return str(bad.status), raw_refusal(bad.status, bad.problem)


def raw_refusal(status: int, detail: str) -> bytes:
    """An answer for a request that never became one."""
    body = msgspec.json.encode(
        {
            'outcome': 'not_run',
            'reason': 'bad_request' if status < 500 else 'overload',
            'detail': detail,
            'retry_after_s': 1.0 if status in (408, 429, 503) else None,
        }
    )
    head = (
        f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
        'Connection: close\r\n'
        'Content-Type: application/json\r\n'
        'Galenareel-Outcome: not_run\r\n'
        'Retry-After: 1\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class HttpServer(WSGIServer):
    """Listener with limits of connections, in all and for each address."""

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
        self.connections: dict[str, int] = {}
        self.open = 0
        self.handlers: set[Handler] = set()

    def update_environ(self) -> None:
        """Set the name without a look-up, which could block."""
        host, port = self.address[:2]
        self.environ['SERVER_NAME'] = host
        self.environ['SERVER_PORT'] = str(port)

    def count_busy(self) -> int:
        """Requests that have no whole answer yet."""
        return sum(not one.idle for one in self.handlers)

    def close_idle(self) -> None:
        """Close the listener and the idle connections; others finish."""
        self.close()
        for handler in list(self.handlers):
            handler.close_when_idle()

    def handle(self, sock: Any, address: Any) -> None:
        host = address[0]
        count = self.connections.get(host, 0)
        if self.open >= self.limits.max_connections:
            return _turn_away(sock, 503, 'too many connections')
        if count >= self.limits.max_connections_per_address:
            return _turn_away(
                sock, 429, 'too many connections from this address'
            )
        self.open += 1
        self.connections[host] = count + 1
        handler = self.handler_class(sock, address, self)
        self.handlers.add(handler)
        try:
            handler.handle()
        finally:
            self.handlers.discard(handler)
            self.open -= 1
            left = self.connections[host] - 1
            if left:
                self.connections[host] = left
            else:
                del self.connections[host]
        return None


def _turn_away(sock: Any, status: int, detail: str) -> None:
    try:
        sock.settimeout(LINGER_S)
        sock.sendall(raw_refusal(status, detail))
        sock.shutdown(socket.SHUT_WR)
        # Closing with unread bytes would reset the connection and could take
        # the refusal away from the caller.
        left = LINGER_BYTES
        while left > 0 and (data := sock.recv(RECV_BYTES)):
            left -= len(data)
    except OSError:
        pass
    finally:
        sock.close()
