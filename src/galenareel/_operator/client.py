"""Operator HTTP of the entry instances, with safe retries.

Every operation is idempotent (a document by its version and digest), so an
operation whose answer was lost is sent again, to the next entry instance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import json
from random import Random
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient import HTTPParseError

from galenareel._common.frames import parse_address
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable

CONNECT_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 5.0
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
RETRIED_STATUS = frozenset((502, 503, 504))


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A whole answer of one entry instance."""

    status: int
    body: Any


class OperatorClient:
    """Calls operations on any of some entry instances.

    :param now: monotonic clock; only the retries depend on it.
    """

    def __init__(
        self,
        entries: tuple[str, ...],
        *,
        secret: str,
        timeout_s: float,
        now: Callable[[], float],
        rng: Random,
    ) -> None:
        self._entries = entries
        self._secret = secret
        self._timeout_s = timeout_s
        self._now = now
        self._rng = rng

    def call(
        self, operation: str, body: dict[str, Any]
    ) -> Any | Refused | Unreachable:
        """Result of an operation, tried until the time limit."""
        ends = self._now() + self._timeout_s
        pause_s = FIRST_PAUSE_S
        while True:
            for entry in self._entries:
                left_s = ends - self._now()
                reply = self._attempt(entry, operation, body, left_s)
                if isinstance(reply, Reply):
                    if reply.status not in RETRIED_STATUS:
                        return _result(reply)
                    reply = _no_result(entry, reply)
                if self._now() >= ends:
                    return reply
            wait_s = self._rng.uniform(0, pause_s)
            if self._now() + wait_s >= ends:
                return reply
            gevent.sleep(wait_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    def call_at(
        self, entry: str, operation: str, body: dict[str, Any]
    ) -> Any | Refused | Unreachable:
        """Result of one attempt at one entry instance."""
        reply = self._attempt(entry, operation, body, self._timeout_s)
        return _result(reply) if isinstance(reply, Reply) else reply

    def _attempt(
        self,
        entry: str,
        operation: str,
        body: dict[str, Any],
        left_s: float,
    ) -> Reply | Unreachable:
        host, port = parse_address(entry)
        limit_s = max(0.1, min(left_s, ATTEMPT_TIMEOUT_S))
        client = HTTPClient(
            host,
            port,
            connection_timeout=min(limit_s, CONNECT_TIMEOUT_S),
            network_timeout=limit_s,
        )
        try:
            with gevent.Timeout(limit_s):
                return self._send(client, operation, body)
        except gevent.Timeout:
            detail = f'{entry}: no answer within {limit_s:.1f} s'
        except (OSError, HTTPParseError, ValueError, RuntimeError) as exc:
            detail = f'{entry}: {exc}'
        finally:
            client.close()
        return Unreachable(reason='unreachable', detail=detail)

    def _send(
        self, client: HTTPClient, operation: str, body: dict[str, Any]
    ) -> Reply:
        response = client.post(
            f'/v1/operations/{operation}',
            body=json.dumps(body).encode(),
            headers={
                'Authorization': f'Bearer {self._secret}',
                'Content-Type': 'application/json',
            },
        )
        data = bytes(response.read())
        length = response.get('content-length')
        if length is not None and length != str(len(data)):
            raise ValueError('the answer was cut short')
        parsed = json.loads(data) if data else {}
        return Reply(status=response.status_code, body=parsed)


def _result(reply: Reply) -> Any | Refused:
    if reply.status < 300:
        return reply.body
    body = reply.body if isinstance(reply.body, dict) else {}
    return Refused(
        reason=str(body.get('reason') or f'status_{reply.status}'),
        detail=_detail(reply),
    )


def _no_result(entry: str, reply: Reply) -> Unreachable:
    return Unreachable(
        reason=f'status_{reply.status}',
        detail=f'{entry}: {_detail(reply)}',
    )


def _detail(reply: Reply) -> str:
    body = reply.body if isinstance(reply.body, dict) else {}
    detail = body.get('detail') or body.get('description') or body.get('title')
    return str(detail or f'status {reply.status}')
