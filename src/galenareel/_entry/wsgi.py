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

from galenareel._entry.calls import CallerGone
from galenareel._entry.heads import BadHead
from galenareel._entry.heads import Head
from galenareel._entry.heads import parse_head
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.settings import Limits

RECV_BYTES = 64 * 1024
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


class HeadTooLong(Exception):
    """The head of a request is over the limit."""


class Reader:
    """Buffered reading from a caller's connection within a time limit."""

    def __init__(self, sock: Any) -> None:
        self.closed = False
        self.until: float | None = None
        self._sock = sock
        self._data = b''

    def close(self) -> None:
        self.closed = True

    def buffered(self) -> int:
        return len(self._data)

    def read_head(
        self, *, idle_s: float, header_s: float, limit: int
    ) -> bytes | None:
        """Bytes up to the empty line; None if the caller has closed.

        :raises HeadTooLong: if the head is over the limit.
        :raises SocketTimeout: if a head that began did not end in time.
        """
        if not self._data and not self._wait_first(idle_s):
            return None
        self.until = time.monotonic() + header_s
        searched = 0
        while True:
            end = self._data.find(b'\r\n\r\n', searched)
            if 0 <= end <= limit:
                head = self._data[:end]
                self._data = self._data[end + 4 :]
                return head.lstrip(b'\r\n')
            if len(self._data) > limit:
                raise HeadTooLong
            searched = max(0, len(self._data) - 3)
            if not self._fill():
                return None

    def read(self, size: int) -> bytes:
        """As many bytes as asked for, fewer only at the end."""
        data = self._data
        if len(data) >= size:
            self._data = data[size:]
            return data[:size]
        parts = [data]
        left = size - len(data)
        self._data = b''
        while left > 0 and self._fill():
            part = self._data[:left]
            self._data = self._data[left:]
            left -= len(part)
            parts.append(part)
        return b''.join(parts)

    def readline(self, size: int) -> bytes:
        while True:
            end = self._data.find(b'\n', 0, size)
            if end >= 0 or len(self._data) >= size or not self._fill():
                break
        return self.read(min(size, end + 1 if end >= 0 else size))

    def _wait_first(self, idle_s: float) -> bool:
        self.until = time.monotonic() + idle_s
        try:
            return self._fill()
        except SocketTimeout:
            return False

    def _fill(self) -> bool:
        if self.until is not None:
            left = self.until - time.monotonic()
            if left <= 0:
                raise SocketTimeout('timed out')
            self._sock.settimeout(left)
        data = self._sock.recv(RECV_BYTES)
        self._data = self._data + data if self._data else data
        return bool(data)


class Watch:
    """Notices that a caller closes its connection while its request runs."""

    def __init__(self, sock: Any, greenlet: Any) -> None:
        self._sock = sock
        self._greenlet = greenlet
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def start(self) -> None:
        self._watcher.start(self._readable)

    def stop(self) -> None:
        self._watcher.stop()

    def close(self) -> None:
        self._watcher.stop()
        self._watcher.close()

    def _readable(self) -> None:
        # Runs in the hub. Bytes mean that the next request came early, which
        # hides a later close until this request is answered.
        self._watcher.stop()
        try:
            data = self._sock._sock.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            self._watcher.start(self._readable)
            return
        except OSError:
            data = b''
        if not data:
            self._greenlet.kill(CallerGone, block=False)


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
        if issubclass(t, (CallerGone, AnswerBroken, OSError)):
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


class Server(WSGIServer):
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

    def end_idle(self) -> None:
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
