"""Client of a platform with an HTTP API."""

from __future__ import annotations

from geventhttpclient import HTTPClient
import msgspec

from galenareel._common.sentinels import Unreachable
from galenareel._control.platform import Platform

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 4

_usage_decoder = msgspec.json.Decoder(dict[str, float])


class HttpPlatform(Platform):
    """Calls ``POST <url>/v1/instances/<zone>/<name>/<operation>``."""

    def __init__(
        self, url: str, *, answer_timeout_s: float = ANSWER_TIMEOUT_S
    ) -> None:
        self._client = HTTPClient.from_url(
            url,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=answer_timeout_s,
            concurrency=MAX_CONNECTIONS,
        )
        self._path = url.partition('://')[2].partition('/')[2].rstrip('/')

    def close(self) -> None:
        self._client.close()

    def reboot(self, instance: str, *, token: str) -> bool | Unreachable:
        return self._post(instance, 'reboot', {'token': token})

    def checkpoint(self, instance: str, *, token: str) -> bool | Unreachable:
        return self._post(instance, 'checkpoint', {'token': token})

    def throttle(self, instance: str, *, share: float) -> bool | Unreachable:
        return self._post(instance, 'throttle', {'share': share})

    def stop_task(self, instance: str, *, task: str) -> bool | Unreachable:
        return self._post(instance, 'stop-task', {'task': task})

    def usage(self, instance: str) -> dict[str, float] | Unreachable:
        reply = self._call('GET', instance, 'usage', b'')
        if isinstance(reply, Unreachable):
            return reply
        status, body = reply
        try:
            return _usage_decoder.decode(body)
        except msgspec.MsgspecError as exc:
            return Unreachable(
                reason='bad_answer', detail=f'status {status}: {exc}'
            )

    def _post(
        self, instance: str, operation: str, fields: dict[str, object]
    ) -> bool | Unreachable:
        """Post an operation to the platform.

        :returns: true if the platform accepted it, false if it refused it,
            :class:`Unreachable` if the same call may succeed later.
        """
        body = msgspec.json.encode(fields)
        reply = self._call('POST', instance, operation, body)
        if isinstance(reply, Unreachable):
            return reply
        status, _ = reply
        if status >= 500 or status == 429:
            return Unreachable(
                reason='platform_failed', detail=f'status {status}'
            )
        return 200 <= status < 300

    def _call(
        self, method: str, instance: str, operation: str, body: bytes
    ) -> tuple[int, bytes] | Unreachable:
        prefix = f'/{self._path}' if self._path else ''
        path = f'{prefix}/v1/instances/{instance}/{operation}'
        headers = {'Content-Type': 'application/json'}
        try:
            answer = self._client.request(method, path, body, headers)
            return answer.status_code, bytes(answer.read())
        except Exception as exc:
            # Errors of the socket, of the HTTP parser and of the connection
            # pool have no common base class.
            return Unreachable(reason='call_failed', detail=str(exc))
