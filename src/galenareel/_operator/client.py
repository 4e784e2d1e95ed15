"""Client of the operator HTTP of the entry instances, with retries.

Every operation is idempotent (a document is identified by its version and
digest), so an operation whose answer was lost is retried at the next entry
instance.
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
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# The operation may succeed at another entry or a moment later.
RETRIED_STATUSES = frozenset((502, 503, 504))


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Complete answer of one entry instance.

    :param body: decoded JSON.
    """

    status: int
    body: Any


class OperatorClient:
    """Calls operations at one of several entry instances.

    :param entries: ``host:port`` of the entry instances, in order of use.
    :param secret: operator secret.
    :param timeout_s: limit of an operation including its retries.
    :param now: monotonic clock of the retries, in seconds.
    :param rng: source of the jitter of the backoff.
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
        """Call an operation, with retries until the time limit.

        Between two rounds over all entries it waits for a random time with
        exponential backoff.

        :param body: encoded as JSON.
        :returns: decoded JSON of the answer; :class:`Refused` if an entry
            refused the operation; :class:`Unreachable` if none answered.
        """
        deadline = self._now() + self._timeout_s
        backoff_s = INITIAL_BACKOFF_S
        while True:
            for entry in self._entries:
                remaining_s = deadline - self._now()
                reply = self._attempt(entry, operation, body, remaining_s)
                if isinstance(reply, Reply):
                    if reply.status not in RETRIED_STATUSES:
                        return _get_result(reply)
                    reply = _make_unreachable(entry, reply)
                if self._now() >= deadline:
                    return reply
            wait_s = self._rng.uniform(0, backoff_s)
            if self._now() + wait_s >= deadline:
                return reply
            gevent.sleep(wait_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def call_at(
        self, entry: str, operation: str, body: dict[str, Any]
    ) -> Any | Refused | Unreachable:
        """Call an operation once at one entry instance.

        :returns: as :meth:`call` does.
        """
        reply = self._attempt(entry, operation, body, self._timeout_s)
        return _get_result(reply) if isinstance(reply, Reply) else reply

    def _attempt(
        self,
        entry: str,
        operation: str,
        body: dict[str, Any],
        remaining_s: float,
    ) -> Reply | Unreachable:
        host, port = parse_address(entry)
        timeout_s = max(0.1, min(remaining_s, ATTEMPT_TIMEOUT_S))
        client = HTTPClient(
            host,
            port,
            connection_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            network_timeout=timeout_s,
        )
        try:
            with gevent.Timeout(timeout_s):
                return self._send(client, operation, body)
        except gevent.Timeout:
            detail = f'{entry}: no answer within {timeout_s:.1f} s'
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
            raise ValueError(
                f'the answer ended after {len(data)} of {length} bytes'
            )
        parsed = json.loads(data) if data else {}
        return Reply(status=response.status_code, body=parsed)


def _get_result(reply: Reply) -> Any | Refused:
    if reply.status < 300:
        return reply.body
    body = reply.body if isinstance(reply.body, dict) else {}
    return Refused(
        reason=str(body.get('reason') or f'status_{reply.status}'),
        detail=_get_detail(reply),
    )


def _make_unreachable(entry: str, reply: Reply) -> Unreachable:
    return Unreachable(
        reason=f'status_{reply.status}',
        detail=f'{entry}: {_get_detail(reply)}',
    )


def _get_detail(reply: Reply) -> str:
    body = reply.body if isinstance(reply.body, dict) else {}
    detail = body.get('detail') or body.get('description') or body.get('title')
    return str(detail or f'status {reply.status}')
