"""Serve callers over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import math
import time
from typing import Any

import falcon
import msgspec

from galenareel._common.sentinels import NotRun
from galenareel._common.sentinels import OutcomeUnknown
from galenareel._entry.answers import HOP_BY_HOP_HEADERS
from galenareel._entry.answers import parse_connection_header
from galenareel._entry.bodies import read_body
from galenareel._entry.bodies import UnreadBody
from galenareel._entry.calls import Call
from galenareel._entry.claims import Claims
from galenareel._entry.heads import RequestHead
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import get_http_status
from galenareel._entry.router import Router
from galenareel._entry.routes import Routes
from galenareel._entry.settings import Limits

READY_PATH = '/-/ready'
# Headers of a caller that are not sent to backend servers. The entry answers
# Expect itself; the others have a meaning only if this system has set them.
ENTRY_REQUEST_HEADERS = frozenset(
    (
        'galenareel-request-id',
        'galenareel-service',
        'galenareel-deadline-s',
        'galenareel-not-run',
        'expect',
    )
)
DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | ENTRY_REQUEST_HEADERS
# Why a body was not read, if the same request may be accepted later.
RETRIED_BODY_REASONS = frozenset(('body_timeout', 'receive_memory'))
DETAIL_BY_REASON = {
    'unknown_service': 'no service has this path',
    'not_ready': 'this entry has no document in force yet or is stopping',
    'deadline': 'the deadline passed while the request was queued',
    'deadline_not_met': 'the queue is too long to meet the deadline',
    'queue_full': 'the queue of the pool is full',
    'queue_memory': 'the queued requests use all memory for queues',
    'no_instances': 'the pool has no instance',
    'timeout': 'no answer came before the deadline',
}


class Readiness:
    """Whether this entry is ready and accepts new requests.

    :ivar reason: why it is not ready; None if it is.
    :ivar is_refusing: new requests are refused, because the grace time of the
        planned stop is over.
    """

    def __init__(self) -> None:
        self.reason: str | None = 'starting'
        self.is_refusing = False


class CallerApp:
    """Falcon app of the caller port.

    It converts HTTP requests to calls and their outcomes to HTTP answers.

    :param routes: returns the routes of the document in force.
    :param id_prefix: prefix of the request ids; unique to this process.
    :param count: called with the name of each outcome.
    :param on_error: called with each unexpected exception.
    """

    def __init__(
        self,
        *,
        router: Router,
        claims: Claims,
        readiness: Readiness,
        routes: Callable[[], Routes],
        limits: Limits,
        id_prefix: str,
        count: Callable[[str], None],
        on_error: Callable[[Exception], None],
    ) -> None:
        self._router = router
        self._claims = claims
        self._readiness = readiness
        self._routes = routes
        self._limits = limits
        self._id_prefix = id_prefix
        self._count = count
        self._on_error = on_error
        self._number = 0

    def make_app(self) -> falcon.App:
        app = falcon.App()
        # Answers keep the media type of the backend server, or have none.
        options: Any = app.resp_options
        options.default_media_type = None
        sink: Any = self._handle_any
        app.add_sink(sink, prefix='/')
        on_exception: Any = self._handle_exception
        app.add_error_handler(Exception, on_exception)
        return app

    def _handle_any(self, req: falcon.Request, resp: falcon.Response) -> None:
        if req.path == READY_PATH:
            self._write_readiness(resp)
            return
        self._handle_request(req.env, resp)

    def _handle_exception(
        self,
        _req: falcon.Request,
        resp: falcon.Response,
        exc: Exception,
        _params: object,
    ) -> None:
        # The request may have been sent before the exception was raised.
        self._count('internal_error')
        self._on_error(exc)
        _write_outcome(
            resp,
            OutcomeUnknown(
                reason='internal',
                detail='the entry failed to handle the request; see its log',
            ),
        )

    def _write_readiness(self, resp: falcon.Response) -> None:
        reason = self._readiness.reason
        resp.status = 200 if reason is None else 503
        resp.data = (reason or 'ready').encode()
        resp.content_type = 'text/plain'

    def _handle_request(
        self, env: dict[str, Any], resp: falcon.Response
    ) -> None:
        head: RequestHead = env['galenareel.head']
        self._number += 1
        request_id = f'{self._id_prefix}-{self._number:x}'
        routes = self._routes()
        call = self._make_call(env, head, routes, request_id)
        if isinstance(call, NotRun):
            result: Answer | NotRun | OutcomeUnknown = call
        else:
            watcher = env['galenareel.handler'].disconnect_watcher
            watcher.start()
            key = _get_header(head, 'idempotency-key')
            if key is None or call.idempotent:
                result = self._router.route(call)
            else:
                # Once sent, a request with an idempotency key runs to its end
                # even if its caller disconnects, so that a resend gets the
                # stored answer.
                call.before_attempt = watcher.stop
                result = self._claims.run(key, call, self._router.route)
        resp.set_header('galenareel-request-id', request_id)
        if routes.version:
            # The version is 0 until the entry has received a document. Callers
            # must not take that for a return to an older document.
            resp.set_header('galenareel-document-version', str(routes.version))
        if isinstance(result, Answer):
            self._count('answered')
            _write_answer(resp, result, head)
        else:
            self._count(result.reason)
            _write_outcome(resp, result)
        if self._readiness.reason is not None:
            env['galenareel.handler'].close_connection = True
            resp.set_header('connection', 'close')

    def _make_call(
        self,
        env: dict[str, Any],
        head: RequestHead,
        routes: Routes,
        request_id: str,
    ) -> Call | NotRun:
        if self._readiness.is_refusing or not routes.version:
            return NotRun(reason='not_ready', retry_after_s=1.0)
        service = routes.match(env['PATH_INFO'])
        if service is None:
            return NotRun(reason='unknown_service')
        deadline_s = self._get_deadline_s(head, service.deadline_s)
        if deadline_s is None:
            return NotRun(
                reason='bad_request',
                detail='Galenareel-Deadline-S is not a positive number',
            )
        started_at = time.monotonic()
        body = read_body(env, self._limits.max_body_bytes)
        if isinstance(body, UnreadBody):
            may_return = body.reason in RETRIED_BODY_REASONS
            return NotRun(
                reason=body.reason,
                detail=body.detail,
                retry_after_s=1.0 if may_return else None,
            )
        caller = _get_header(head, 'galenareel-caller') or env['REMOTE_ADDR']
        return Call(
            request_id=request_id,
            service=service.name,
            pool=service.pool,
            method=head.method,
            path=head.target,
            headers=_filter_headers(head),
            body=body,
            deadline=started_at + deadline_s,
            idempotent=service.idempotent,
            urgent=service.urgency == 'urgent',
            caller=caller[:256],
            team=routes.team_by_caller.get(caller, ''),
        )

    def _get_deadline_s(
        self, head: RequestHead, default: float
    ) -> float | None:
        """Return the time limit of a request, or None if it is invalid."""
        text = _get_header(head, 'galenareel-deadline-s')
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            return None
        if not math.isfinite(value) or value <= 0:
            return None
        return min(value, self._limits.max_deadline_s)


def _get_header(head: RequestHead, searched: str) -> str | None:
    for name, value in head.headers:
        if name == searched:
            return value
    return None


def _filter_headers(head: RequestHead) -> tuple[tuple[str, str], ...]:
    """Return the headers that are sent to the backend server."""
    dropped = DROPPED_REQUEST_HEADERS
    for name, value in head.headers:
        if name == 'connection' and value not in ('keep-alive', 'close'):
            dropped = dropped | parse_connection_header(value)
    return tuple(header for header in head.headers if header[0] not in dropped)


def _write_answer(
    resp: falcon.Response, answer: Answer, head: RequestHead
) -> None:
    resp.status = answer.status
    resp.set_header('galenareel-outcome', 'answered')
    for name, value in answer.headers:
        resp.append_header(name, value)
    if answer.rest is None:
        resp.data = answer.body
        if head.method == 'HEAD' and answer.length is not None:
            resp.content_length = answer.length
    else:
        resp.stream = _AnswerParts(answer)
        if answer.length is not None:
            resp.content_length = answer.length


class _AnswerParts:
    """Iterator over the parts of a long answer.

    The server closes it when the response has ended.
    """

    def __init__(self, answer: Answer) -> None:
        assert answer.rest is not None
        self._first = answer.body
        self._answer = answer
        self._rest = answer.rest

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._first:
            first, self._first = self._first, b''
            return first
        return next(self._rest)

    def close(self) -> None:
        self._answer.close()


def _write_outcome(
    resp: falcon.Response, outcome: NotRun | OutcomeUnknown
) -> None:
    kind = 'not_run' if isinstance(outcome, NotRun) else 'outcome_unknown'
    resp.status = get_http_status(outcome)
    resp.set_header('galenareel-outcome', kind)
    retry_s = outcome.retry_after_s
    if retry_s is not None:
        resp.set_header('retry-after', str(max(1, math.ceil(retry_s))))
    resp.content_type = 'application/json'
    resp.data = msgspec.json.encode(
        {
            'outcome': kind,
            'reason': outcome.reason,
            'detail': outcome.detail
            or DETAIL_BY_REASON.get(outcome.reason, ''),
            'retry_after_s': retry_s,
        }
    )
