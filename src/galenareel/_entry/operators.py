"""Serve operators over HTTP and relay their operations to control.

Only events are answered here. They are read from all processes, so that
operators can see them without a control leader.
"""

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
from galenareel._entry.announcements import is_authorized
from galenareel._entry.announcements import read_body_or_refuse
from galenareel._entry.announcements import UNAUTHORIZED_DETAIL
from galenareel._entry.announcements import write_error

MAX_BODY_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT_S = 10.0
EVENTS_TIMEOUT_S = 2.0
_OPERATION = re.compile(r'[a-z][a-z-]{0,31}')


class EventCollector:
    """Collects the timelines of all processes that can be reached.

    :param name: name of this process.
    :param addresses: returns the frame addresses of the control members and
        the other entries.
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

    def read_own(self, since: int) -> EventsRead:
        """Return the events of this process after a hybrid time."""
        events = msgspec.json.encode(self._timeline.list_after(since))
        return EventsRead(process=self._name, events=events)

    def collect(self, since: int) -> bytes:
        """Return the events of all processes after a hybrid time, as JSON.

        The addresses that did not answer are listed in ``unreachable``.
        """
        greenlets = {
            address: gevent.spawn(self._read, address, since)
            for address in self._addresses()
        }
        gevent.joinall(
            list(greenlets.values()), timeout=EVENTS_TIMEOUT_S + 0.5
        )
        events_by_process = {self._name: self._timeline.list_after(since)}
        unreachable = []
        for address, greenlet in greenlets.items():
            if isinstance(greenlet.value, EventsRead):
                events = msgspec.json.decode(
                    greenlet.value.events, type=list[Event]
                )
                events_by_process[greenlet.value.process] = events
            else:
                unreachable.append(address)
                greenlet.kill(block=False)
        merged = merge_events(
            [
                event
                for events in events_by_process.values()
                for event in events
            ]
        )
        return msgspec.json.encode(
            {'events': merged, 'unreachable': sorted(unreachable)}
        )

    def _read(self, address: str, since: int) -> AnyMessage | None:
        link = connect(address, clock=self._clock, handler=_ignore_message)
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


def _ignore_message(_link: Link, _msg: AnyMessage) -> None:
    return None


class OperatorApp:
    """Falcon app of the operator port.

    :param secret: bearer token that operators must send.
    :param ask: sends a message to the control leader and returns its reply;
        None without one.
    """

    def __init__(
        self,
        *,
        secret: str,
        ask: Callable[[AnyMessage, float], AnyMessage | None],
        events: EventCollector,
    ) -> None:
        self._secret = secret
        self._ask = ask
        self._events = events

    def make_app(self) -> falcon.App:
        app = falcon.App()
        app.add_route('/v1/operations/{operation}', self)
        return app

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, operation: str
    ) -> None:
        if not is_authorized(req, self._secret):
            write_error(resp, 401, 'unauthorized', UNAUTHORIZED_DETAIL)
            return
        body = read_body_or_refuse(req, resp, MAX_BODY_BYTES)
        if body is None:
            return
        if _OPERATION.fullmatch(operation) is None:
            write_error(
                resp,
                404,
                'unknown_operation',
                'see docs/protocol.md for the operations',
            )
        elif operation == 'events':
            self._answer_events(resp, body)
        elif operation == 'submit':
            self._submit(resp, body)
        else:
            self._relay(resp, operation, body)

    def _answer_events(self, resp: falcon.Response, body: bytes) -> None:
        try:
            query = msgspec.json.decode(body or b'{}', type=_EventsQuery)
        except (msgspec.MsgspecError, RecursionError) as exc:
            write_error(resp, 422, 'bad_request', str(exc))
            return
        resp.content_type = 'application/json'
        resp.data = self._events.collect(query.since)

    def _submit(self, resp: falcon.Response, body: bytes) -> None:
        """Read and check a submitted document, then relay it."""
        # Imported late, so that the YAML parser is loaded only when needed.
        from galenareel._document.preparing import prepare_submission

        # Runs in a thread, because a document of 250 KB takes 0.6 s to read
        # and an entry fences itself when its event loop stalls for 1.0 s.
        pool = gevent.get_hub().threadpool
        try:
            prepared = pool.apply(prepare_submission, (body,))
        except msgspec.MsgspecError as exc:
            write_error(resp, 400, 'bad_body', str(exc))
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
            write_error(resp, 503, reply.reason, reply.detail)
            resp.set_header('retry-after', '1')
        else:
            write_error(
                resp,
                503,
                'no_control',
                'the control leader did not answer; the operation may have '
                'been done, and sending it again is safe',
            )
            resp.set_header('retry-after', '1')


class _EventsQuery(msgspec.Struct):
    """Body of the operation ``events``.

    :param since: only events after this hybrid time are returned.
    """

    since: int = 0
