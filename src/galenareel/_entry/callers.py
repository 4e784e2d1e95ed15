"""HTTP for callers: falcon app of the caller port."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import math
import time
from typing import Any

import falcon
from gevent.socket import timeout as SocketTimeout
import msgspec

from galenareel._common.sentinels import NotRun
from galenareel._common.sentinels import OutcomeUnknown
from galenareel._entry.answers import connection_names
from galenareel._entry.answers import HOP_HEADERS
from galenareel._entry.calls import Call
from galenareel._entry.claims import Claims
from galenareel._entry.heads import Head
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import status_of
from galenareel._entry.router import Router
from galenareel._entry.routes import Routes
from galenareel._entry.settings import Limits

READY_PATH = '/-/ready'
SET_BY_ENTRY = frozenset(
    (
        'galenareel-request-id',
        'galenareel-service',
        'galenareel-deadline-s',
        'galenareel-not-run',
        'expect',
    )
)
DROPPED_FROM_REQUEST = HOP_HEADERS | SET_BY_ENTRY
# The rest of the body can't be told from a next request.
UNREAD_BODY = frozenset(('body_too_large', 'body_timeout', 'bad_body'))
DETAILS = {
    'unknown_service': 'no service has this path',
    'not_ready': 'this entry instance has no view yet or is stopping',
    'deadline': 'the deadline passed',
    'deadline_not_met': 'the queue is too long for the deadline',
    'queue_full': 'the queue of the pool is full',
    'queue_memory': 'the waiting bodies fill the memory of the queue',
    'no_instances': 'the pool has no instance',
    'timeout': 'no answer came before the deadline',
}


class Readiness:
    """Whether this entry takes new requests; why not."""

    def __init__(self) -> None:
        self.reason: str | None = 'starting'  # None: ready
        self.refusing = False  # planned stop after its grace time


class Callers:
    """Turns HTTP requests into calls and outcomes into answers.

    :param routes: gives the routes of the document in force.
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

    def app(self) -> falcon.App:
        app = falcon.App()
        # Answers go on with their own media type or none.
        options: Any = app.resp_options
        options.default_media_type = None
        sink: Any = self._sink
        app.add_sink(sink, prefix='/')
        failed: Any = self._failed
        app.add_error_handler(Exception, failed)
        return app

    def _sink(self, req: falcon.Request, resp: falcon.Response) -> None:
        if req.path == READY_PATH:
            self._ready(resp)
            return
        self._handle(req.env, resp)

    def _failed(
        self,
        _req: falcon.Request,
        resp: falcon.Response,
        exc: Exception,
        _params: object,
    ) -> None:
        """An error of this program; the request may have run."""
        self._count('internal_error')
        self._on_error(exc)
        _not_answered(
            resp,
            OutcomeUnknown(reason='internal', detail='see the log'),
        )

    def _ready(self, resp: falcon.Response) -> None:
        reason = self._readiness.reason
        resp.status = 200 if reason is None else 503
        resp.data = (reason or 'ready').encode()
        resp.content_type = 'text/plain'

    def _handle(self, env: dict[str, Any], resp: falcon.Response) -> None:
        head: Head = env['galenareel.head']
        self._number += 1
        request_id = f'{self._id_prefix}-{self._number:x}'
        routes = self._routes()
        call = self._call(env, head, routes, request_id)
        if isinstance(call, NotRun):
            result: Answer | NotRun | OutcomeUnknown = call
            if call.reason in UNREAD_BODY:
                env['galenareel.handler'].drop_body()
        else:
            watch = env['galenareel.handler'].watch
            watch.start()
            key = _header(head, 'idempotency-key')
            if key is None or call.idempotent:
                result = self._router.route(call)
            else:
                # Once it is sent, a keyed request runs on without its
                # caller, so that a resend gets the stored answer.
                call.before_attempt = watch.stop
                result = self._claims.run(key, call, self._router.route)
        resp.set_header('galenareel-request-id', request_id)
        if routes.version:
            # An entry that has just started has seen no document, which must
            # not look like a return to an older one.
            resp.set_header('galenareel-document-version', str(routes.version))
        if isinstance(result, Answer):
            self._count('answered')
            _answered(resp, result, head)
        else:
            self._count(result.reason)
            _not_answered(resp, result)
        if self._readiness.reason is not None:
            env['galenareel.handler'].close_connection = True
            resp.set_header('connection', 'close')

    def _call(
        self,
        env: dict[str, Any],
        head: Head,
        routes: Routes,
        request_id: str,
    ) -> Call | NotRun:
        if self._readiness.refusing or not routes.version:
            return NotRun(reason='not_ready', retry_after_s=1.0)
        service = routes.match(env['PATH_INFO'])
        if service is None:
            return NotRun(reason='unknown_service')
        deadline_s = self._deadline_s(head, service.deadline_s)
        if deadline_s is None:
            return NotRun(
                reason='bad_request',
                detail='Galenareel-Deadline-S is not a number of seconds',
            )
        began = time.monotonic()
        body = self._body(env, head)
        if isinstance(body, NotRun):
            return body
        caller = _header(head, 'galenareel-caller') or env['REMOTE_ADDR']
        return Call(
            request_id=request_id,
            service=service.name,
            pool=service.pool,
            method=head.method,
            path=head.target,
            headers=_passed(head),
            body=body,
            deadline=began + deadline_s,
            idempotent=service.idempotent,
            urgent=service.urgency == 'urgent',
            caller=caller[:256],
            team=routes.team_by_caller.get(caller, ''),
        )

    def _deadline_s(self, head: Head, default: float) -> float | None:
        text = _header(head, 'galenareel-deadline-s')
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            return None
        if not math.isfinite(value) or value <= 0:
            return None
        return min(value, self._limits.max_deadline_s)

    def _body(self, env: dict[str, Any], head: Head) -> bytes | NotRun:
        limit = self._limits.max_body_bytes
        too_large = NotRun(
            reason='body_too_large',
            detail=f'a body may have {limit} bytes',
        )
        if head.length is None and not head.chunked:
            return b''
        if head.length is not None and head.length > limit:
            return too_large
        try:
            body: bytes = env['wsgi.input'].read(
                limit + 1 if head.chunked else None
            )
        except SocketTimeout:
            return NotRun(
                reason='body_timeout', detail='the body came too slowly'
            )
        except OSError as exc:
            # pywsgi's error for chunks it can't decode, or a caller that left.
            return NotRun(reason='bad_body', detail=str(exc))
        return too_large if len(body) > limit else body


def _header(head: Head, wanted: str) -> str | None:
    for name, value in head.headers:
        if name == wanted:
            return value
    return None


def _passed(head: Head) -> tuple[tuple[str, str], ...]:
    """Headers that go on to the backend server."""
    dropped = DROPPED_FROM_REQUEST
    for name, value in head.headers:
        if name == 'connection' and value not in ('keep-alive', 'close'):
            dropped = dropped | connection_names(value)
    return tuple(one for one in head.headers if one[0] not in dropped)


def _answered(resp: falcon.Response, answer: Answer, head: Head) -> None:
    resp.status = answer.status
    resp.set_header('galenareel-outcome', 'answered')
    for name, value in answer.headers:
        resp.append_header(name, value)
    if answer.rest is None:
        resp.data = answer.body
        if head.method == 'HEAD' and answer.length is not None:
            resp.content_length = answer.length
    else:
        resp.stream = _Parts(answer)
        if answer.length is not None:
            resp.content_length = answer.length


class _Parts:
    """The parts of a long answer; closed with the response."""

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


def _not_answered(
    resp: falcon.Response, outcome: NotRun | OutcomeUnknown
) -> None:
    kind = 'not_run' if isinstance(outcome, NotRun) else 'outcome_unknown'
    resp.status = status_of(outcome)
    resp.set_header('galenareel-outcome', kind)
    retry_s = outcome.retry_after_s
    if retry_s is not None:
        resp.set_header('retry-after', str(max(1, math.ceil(retry_s))))
    resp.content_type = 'application/json'
    resp.data = msgspec.json.encode(
        {
            'outcome': kind,
            'reason': outcome.reason,
            'detail': outcome.detail or DETAILS.get(outcome.reason, ''),
            'retry_after_s': retry_s,
        }
    )
