"""HTTP for operators: relayed to the control leader by frames."""

from __future__ import annotations

from collections.abc import Callable
import re
from typing import Any

import falcon
import gevent
import msgspec

from galenareel._common.events import Event
from galenareel._common.events import HybridClock
from galenareel._common.events import merge_events
from galenareel._common.events import Timeline
from galenareel._common.findings import FindingsError
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import EventsRead
from galenareel._common.messages import Hello
from galenareel._common.messages import OperatorAnswer
from galenareel._common.messages import OperatorCall
from galenareel._common.messages import Problem
from galenareel._common.messages import ReadEvents
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from galenareel._entry.announcements import authorized
from galenareel._entry.announcements import read_body
from galenareel._entry.announcements import refuse
from galenareel._entry.announcements import WRONG_SECRET

MAX_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT_S = 10.0
EVENTS_TIMEOUT_S = 2.0
_OPERATION = re.compile(r'[a-z][a-z-]{0,31}')


class EventSource:
    """Reads the time lines of all processes that can be reached.

    :param addresses: frame addresses of the control members and entries.
    """

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        clock: HybridClock,
        timeline: Timeline,
        addresses: Callable[[], set[str]],
    ) -> None:
        self._name = name
        self._hello = Hello(process=name, secret=secret)
        self._clock = clock
        self._timeline = timeline
        self._addresses = addresses

    def own(self, since: int) -> EventsRead:
        events = msgspec.json.encode(self._timeline.list_after(since))
        return EventsRead(process=self._name, events=events)

    def all(self, since: int) -> bytes:
        """JSON of the merged events and of the addresses without answer."""
        jobs = {
            address: gevent.spawn(self._read, address, since)
            for address in self._addresses()
        }
        gevent.joinall(list(jobs.values()), timeout=EVENTS_TIMEOUT_S + 0.5)
        found = {self._name: self._timeline.list_after(since)}
        missing = []
        for address, job in jobs.items():
            if isinstance(job.value, EventsRead):
                events = msgspec.json.decode(
                    job.value.events, type=list[Event]
                )
                found[job.value.process] = events
            else:
                missing.append(address)
                job.kill(block=False)
        merged = merge_events(
            [one for events in found.values() for one in events]
        )
        return msgspec.json.encode(
            {'events': merged, 'unreachable': sorted(missing)}
        )

    def _read(self, address: str, since: int) -> AnyMessage | None:
        link = connect(address, clock=self._clock, handler=_ignore)
        if not isinstance(link, Link):
            return None
        try:
            hello = link.request(self._hello, timeout_s=EVENTS_TIMEOUT_S)
            if not isinstance(hello, Welcome):
                return None
            reply = link.request(
                ReadEvents(since=since), timeout_s=EVENTS_TIMEOUT_S
            )
            return None if isinstance(reply, Unreachable) else reply
        finally:
            link.close()


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    return None


class Operators:
    """Falcon app of the operator port.

    :param ask: asks the control leader; None without its reply.
    """

    def __init__(
        self,
        *,
        secret: str,
        ask: Callable[[AnyMessage, float], AnyMessage | None],
        events: EventSource,
    ) -> None:
        self._secret = secret
        self._ask = ask
        self._events = events

    def app(self) -> falcon.App:
        app = falcon.App()
        app.add_route('/v1/operations/{operation}', self)
        return app

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, operation: str
    ) -> None:
        if not authorized(req, self._secret):
            refuse(resp, 401, 'unauthorized', WRONG_SECRET)
            return
        body = read_body(req, MAX_BYTES)
        if body is None:
            refuse(resp, 413, 'too_large', f'at most {MAX_BYTES} bytes')
        elif _OPERATION.fullmatch(operation) is None:
            refuse(resp, 404, 'unknown_operation', 'see docs/protocol.md')
        elif operation == 'events':
            self._answer_events(resp, body)
        elif operation == 'submit':
            self._submit(resp, body)
        else:
            self._relay(resp, operation, body)

    def _answer_events(self, resp: falcon.Response, body: bytes) -> None:
        try:
            query = msgspec.json.decode(body or b'{}', type=_EventsQuery)
        except msgspec.MsgspecError as exc:
            refuse(resp, 422, 'bad_request', str(exc))
            return
        resp.content_type = 'application/json'
        resp.data = self._events.all(query.since)

    def _submit(self, resp: falcon.Response, body: bytes) -> None:
        """Relay a document that this entry has read and checked."""
        # The YAML parser is loaded with the first document.
        from galenareel._document.preparing import prepare_submission

        # A document of 250 KB takes 0.6 s to read, and an entry whose event
        # loop has not run for 1.0 s fences itself.
        pool = gevent.get_hub().threadpool
        try:
            prepared = pool.apply(prepare_submission, (body,))
        except msgspec.MsgspecError as exc:
            refuse(resp, 400, 'bad_body', str(exc))
        except FindingsError as exc:
            resp.status = 422
            resp.content_type = 'application/json'
            resp.data = msgspec.json.encode(
                {'reason': 'findings', 'findings': exc.findings}
            )
        else:
            self._relay(resp, 'submit', prepared)

    def _relay(
        self, resp: falcon.Response, operation: str, body: bytes
    ) -> None:
        call = OperatorCall(operation=operation, body=body or b'{}')
        reply: Any = self._ask(call, CALL_TIMEOUT_S)
        if isinstance(reply, OperatorAnswer):
            resp.status = reply.status
            resp.content_type = 'application/json'
            resp.data = reply.body
        elif isinstance(reply, Problem):
            refuse(resp, 503, reply.reason, reply.detail)
            resp.set_header('retry-after', '1')
        else:
            refuse(
                resp,
                503,
                'no_control',
                'the control leader did not answer; the operation may have '
                'been done, and sending it again is safe',
            )
            resp.set_header('retry-after', '1')


class _EventsQuery(msgspec.Struct):
    """Body of the operation ``events``."""

    since: int = 0
