"""Requests between entries: the accepting entry to the home and back.

Each request has a link of its own until its answer ends. The reader of a
link stops while the consumer is behind, so TCP slows the home down and the
memory of both entries stays flat.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Any

import gevent
from gevent.queue import Queue

from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Forward
from galenareel._common.messages import ForwardChunk
from galenareel._common.messages import ForwardEnd
from galenareel._common.messages import ForwardFailed
from galenareel._common.messages import ForwardHead
from galenareel._common.messages import ForwardRefused
from galenareel._common.messages import Hello
from galenareel._common.messages import Welcome
from galenareel._entry.calls import Call
from galenareel._entry.calls import CallerGone
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.outcomes import Failed

INBOX_FRAMES = 4
IDLE_LINKS = 32  # per peer
# The home answers by the deadline; this much later the link counts as lost.
LATE_S = 0.25


class _Lane:
    """One link and the frames that came on it."""

    __slots__ = ('_abandoned', 'inbox', 'link')

    def __init__(self) -> None:
        self.inbox: Queue[AnyMessage | None] = Queue(maxsize=INBOX_FRAMES)
        self.link: Link | None = None
        self._abandoned = False

    def receive(self, _link: Link, msg: AnyMessage) -> None:
        if not self._abandoned:
            self.inbox.put(msg)

    def closed(self, _link: Link) -> None:
        if not self._abandoned:
            self.inbox.put(None)

    def abandon(self) -> None:
        """Close the link; wakes a reader that waits for the consumer."""
        self._abandoned = True
        if self.link is not None:
            self.link.close()
        while not self.inbox.empty():
            self.inbox.get_nowait()


class ForwardClient:
    """Sends requests to other entries."""

    def __init__(self, *, name: str, secret: str, clock: HybridClock) -> None:
        self._hello = Hello(process=name, secret=secret)
        self._clock = clock
        self._idle: dict[str, list[_Lane]] = {}

    def send(self, address: str, call: Call) -> Answer | Failed:
        """Pass a request on and read the first part of its answer."""
        lane = self._take(address, call)
        if lane is None:
            return Failed(reason='peer_unreachable', sent=False, routing=True)
        link = lane.link
        assert link is not None
        msg = Forward(
            request_id=call.request_id,
            service=call.service,
            pool=call.pool,
            method=call.method,
            path=call.path,
            headers=call.headers,
            deadline_s=call.deadline - time.monotonic(),
            idempotent=call.idempotent,
            body=call.body,
            urgent=call.urgent,
            caller=call.caller,
        )
        try:
            link.notify(msg)
            return self._answer(address, lane, call)
        except BaseException:
            lane.abandon()
            raise

    def close(self) -> None:
        for lanes in self._idle.values():
            for lane in lanes:
                lane.abandon()
        self._idle.clear()

    def _answer(
        self, address: str, lane: _Lane, call: Call
    ) -> Answer | Failed:
        first = _next(lane, call.deadline)
        if isinstance(first, ForwardHead):
            answer = Answer(
                status=first.status,
                headers=first.headers,
                body=first.body,
                length=first.length,
            )
            if first.is_complete:
                self._give_back(address, lane)
            else:
                answer.rest = _Rest(self, address, lane, call, answer)
            return answer
        if isinstance(first, ForwardRefused):
            self._give_back(address, lane)
            return Failed(
                reason=first.reason, sent=False, routing=True, free=first.free
            )
        if isinstance(first, ForwardFailed):
            self._give_back(address, lane)
            return Failed(reason=first.reason, sent=first.sent)
        lane.abandon()
        # The home may have passed the request on before the link was lost.
        reason = 'timeout' if first is _LATE else 'peer_lost'
        return Failed(reason=reason, sent=True)

    def _take(self, address: str, call: Call) -> _Lane | None:
        idle = self._idle.get(address)
        while idle:
            lane = idle.pop()
            if lane.link is not None and not lane.link.closed:
                return lane
        lane = _Lane()
        link = connect(
            address,
            clock=self._clock,
            handler=lane.receive,
            on_close=lane.closed,
        )
        if not isinstance(link, Link):
            return None
        lane.link = link
        left_s = max(0.01, min(1.0, call.deadline - time.monotonic()))
        try:
            reply = link.request(self._hello, timeout_s=left_s)
        except BaseException:
            lane.abandon()
            raise
        if not isinstance(reply, Welcome):
            lane.abandon()
            return None
        return lane

    def _give_back(self, address: str, lane: _Lane) -> None:
        idle = self._idle.setdefault(address, [])
        # A frame after the end of an answer belongs to no request.
        if len(idle) < IDLE_LINKS and lane.inbox.empty():
            idle.append(lane)
        else:
            lane.abandon()


_LATE = object()


def _next(lane: _Lane, deadline: float) -> Any:
    left_s = deadline + LATE_S - time.monotonic()
    try:
        return lane.inbox.get(timeout=max(0.001, left_s))
    except gevent.queue.Empty:
        return _LATE


class _Rest:
    """Later parts of a forwarded answer."""

    __slots__ = ('_address', '_client', '_deadline', '_lane', '_size')

    def __init__(
        self,
        client: ForwardClient,
        address: str,
        lane: _Lane,
        call: Call,
        answer: Answer,
    ) -> None:
        self._client = client
        self._address = address
        self._lane: _Lane | None = lane
        self._deadline = call.deadline
        self._size = len(answer.body)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        lane = self._lane
        if lane is None:
            raise StopIteration
        try:
            msg = _next(lane, self._deadline)
        except BaseException:
            self.close()
            raise
        if isinstance(msg, ForwardChunk):
            self._size += len(msg.data)
            return msg.data
        if isinstance(msg, ForwardEnd) and msg.size == self._size:
            self._lane = None
            self._client._give_back(self._address, lane)
            raise StopIteration
        self.close()
        raise AnswerBroken('the home gave up the answer')

    def close(self) -> None:
        if self._lane is not None:
            self._lane.abandon()
            self._lane = None


class ForwardServer:
    """Answers the requests of other entries.

    :param run: finds a slot and runs the request.
    """

    def __init__(self, run: Callable[[Call], Answer | Failed]) -> None:
        self._run = run
        self._running: dict[Link, gevent.Greenlet] = {}

    def receive(self, link: Link, msg: Forward) -> None:
        """Start a request; a second one on a busy link closes the link."""
        if link in self._running:
            link.close()
            return
        self._running[link] = gevent.spawn(self._serve, link, msg)

    def handle_link_closed(self, link: Link) -> None:
        """The other entry gave the request up."""
        job = self._running.pop(link, None)
        if job is not None and job is not gevent.getcurrent():
            job.kill(CallerGone, block=False)

    def count_running(self) -> int:
        return len(self._running)

    def _serve(self, link: Link, msg: Forward) -> None:
        try:
            result = self._run(_call_of(msg))
            # The last frame lets the other end use the link again at once.
            if isinstance(result, Failed):
                self._running.pop(link, None)
                link.notify(_refusal(result))
            else:
                self._send(link, result)
        except CallerGone:
            pass
        finally:
            self._running.pop(link, None)

    def _send(self, link: Link, answer: Answer) -> None:
        whole = answer.rest is None
        if whole:
            self._running.pop(link, None)
        head = ForwardHead(
            status=answer.status,
            headers=answer.headers,
            length=answer.length,
            body=answer.body,
            is_complete=whole,
        )
        if not link.notify(head) or answer.rest is None:
            answer.close()
            return
        size = len(answer.body)
        try:
            for part in answer.rest:
                size += len(part)
                if not link.notify(ForwardChunk(data=part)):
                    return
        except AnswerBroken as exc:
            link.notify(ForwardFailed(reason=str(exc), sent=True))
            return
        finally:
            answer.close()
            self._running.pop(link, None)
        link.notify(ForwardEnd(size=size))


def _refusal(failed: Failed) -> ForwardRefused | ForwardFailed:
    if failed.routing:
        return ForwardRefused(reason=failed.reason, free=failed.free)
    return ForwardFailed(reason=failed.reason, sent=failed.sent)


def _call_of(msg: Forward) -> Call:
    return Call(
        request_id=msg.request_id,
        service=msg.service,
        pool=msg.pool,
        method=msg.method,
        path=msg.path,
        headers=msg.headers,
        body=msg.body,
        deadline=time.monotonic() + msg.deadline_s,
        idempotent=msg.idempotent,
        urgent=msg.urgent,
        caller=msg.caller,
    )
