"""Connections of callers, which are kept until they end."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any

import gevent
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from testing.standins.platform_http import parse_head
from testing.standins.system import HOST

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request, or status 0 if there was none.

    :param fields: the decoded JSON object, empty if there was none.
    :param sent: whether the whole request may have been sent.
    """

    status: int
    fields: dict[str, Any]
    retry_after_s: float = 0.0
    sent: bool = True


class Connection:
    """A kept connection, which is opened again only after it has closed."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self._address = (host, int(port))
        self._sock: Socket | None = None

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def request(
        self, method: str, path: str, fields: object = None, *, key: str = ''
    ) -> Reply:
        """Send a request with ``fields`` as JSON and wait for the answer."""
        authorization = f'Authorization: Token {key}\r\n' if key else ''
        body = b'' if fields is None else json.dumps(fields).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Content-Type: application/json\r\n'
            f'X-Deadline-Remaining-Ms: {int(CALL_TIMEOUT_S * 1000)}\r\n'
            f'{authorization}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        try:
            if self._sock is None:
                self._sock = create_connection(
                    self._address, CONNECT_TIMEOUT_S
                )
                self._sock.settimeout(CALL_TIMEOUT_S)
            self._sock.sendall(head.encode() + body)
        except OSError:
            self.close()
            return Reply(0, {}, sent=False)
        try:
            return self._read_reply()
        except OSError:
            self.close()
            return Reply(0, {})
        except gevent.GreenletExit:
            # The pending answer would be read as that to the next request.
            self.close()
            raise

    def _read_reply(self) -> Reply:
        assert self._sock is not None, 'a request was sent on it'
        data = b''
        while b'\r\n\r\n' not in data:
            data += self._receive()
        head, _, body = data.partition(b'\r\n\r\n')
        status, headers = parse_head(head)
        while len(body) < int(headers.get('content-length', 0)):
            body += self._receive()
        if headers.get('connection') == 'close':
            self.close()
        fields = json.loads(body) if body.startswith(b'{') else {}
        return Reply(
            status,
            fields,
            float(headers.get('retry-after', 0)),
        )

    def _receive(self) -> bytes:
        assert self._sock is not None, 'a request was sent on it'
        chunk = self._sock.recv(65536)
        if not chunk:
            raise ConnectionResetError(
                'server closed the connection before the end of its answer'
            )
        return bytes(chunk)
