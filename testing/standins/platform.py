"""HTTP stand-in of the platform for the stand-in backend servers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer

from testing.standins.backend import BackendServer
from testing.standins.backend import Fault

REBOOT_S = 0.5
LEAVE_NOTICE_S = 0.2


class Platform:
    """Serves ``/v1/instances/<zone>/<name>/<operation>``.

    Operations are ``usage`` and ``reboot``, and for tests ``fault``, ``die``
    and ``leave``. A reboot with the token of an earlier one of the instance
    is acknowledged but not carried out again.

    :param servers: backend servers by instance.
    :param announce: called to let one backend server announce itself now.
    """

    def __init__(
        self,
        servers: dict[str, BackendServer],
        *,
        announce: Callable[[BackendServer], None],
        reboot_s: float = REBOOT_S,
        address: str = '127.0.0.1:0',
    ) -> None:
        host, port = address.rsplit(':', 1)
        self.reboot_tokens: set[str] = set()
        self.calls: list[tuple[str, str]] = []
        self._servers = servers
        self._announce = announce
        self._reboot_s = reboot_s
        self._http = WSGIServer((host, int(port)), self._app, log=None)

    def start(self) -> None:
        self._http.start()

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self._http.server_port}'

    def close(self) -> None:
        self._http.stop(timeout=0)

    def _app(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        status, body = self._answer(environ)
        data = json.dumps(body).encode()
        start(status, [('Content-Type', 'application/json')])
        return [data]

    def _answer(self, environ: dict[str, Any]) -> tuple[str, Any]:
        parts = environ['PATH_INFO'].strip('/').split('/')
        if len(parts) != 5 or parts[:2] != ['v1', 'instances']:
            return '404 Not Found', {'reason': 'unknown_path'}
        instance, operation = f'{parts[2]}/{parts[3]}', parts[4]
        server = self._servers.get(instance)
        if server is None:
            return '404 Not Found', {'reason': 'unknown_instance'}
        try:
            body = json.loads(environ['wsgi.input'].read() or b'{}')
        except ValueError:
            return '400 Bad Request', {'reason': 'bad_body'}
        self.calls.append((instance, operation))
        if operation == 'usage':
            return '200 OK', {'slots': server.in_use}
        return '202 Accepted', self._carry_out(server, operation, body)

    def _carry_out(
        self, server: BackendServer, operation: str, body: Any
    ) -> Any:
        if operation == 'reboot':
            token = f'{server.identity.instance} {body.get("token", "")}'
            is_first = token not in self.reboot_tokens
            self.reboot_tokens.add(token)
            if is_first:
                gevent.spawn(self._reboot, server)
            return {'accepted': True, 'first': is_first}
        if operation == 'fault':
            server.fault = Fault(body['fault'])
        elif operation == 'die':
            server.stop('died')
        elif operation == 'leave':
            gevent.spawn(self._leave, server, body.get('after_s', 5.0))
        return {'accepted': True}

    def _reboot(self, server: BackendServer) -> None:
        server.announce_leaving()
        self._announce(server)
        gevent.sleep(LEAVE_NOTICE_S)
        server.stop('reboot')
        gevent.sleep(self._reboot_s)
        server.start()
        self._announce(server)

    def _leave(self, server: BackendServer, after_s: float) -> None:
        server.announce_leaving()
        self._announce(server)
        gevent.sleep(after_s)
        server.stop('left')
