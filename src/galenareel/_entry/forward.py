"""Forward requests from the accepting entry to the home and back.

Each request has a link of its own until its answer has ended. While the
consumer of an answer is slow, its link isn't read, so TCP flow control slows
the home down and the memory use of both entries is bounded.
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
from galenareel._entry.calls import CallerDisconnected
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.outcomes import FailedAttempt

# Messages of an answer that are read ahead of their consumer.
MAX_INBOX_MESSAGES = 4
MAX_IDLE_LINKS_PER_PEER = 32
# The home answers by the deadline; after this additional time the request is
# abandoned.
ANSWER_GRACE_S = 0.25


class _Channel:
    """A link and the messages received on it that are not consumed yet."""

    __slots__ = ('_abandoned', 'inbox', 'link')

    def __init__(self) -> None:
        self.inbox: Queue[AnyMessage | None] = Queue(
            maxsize=MAX_INBOX_MESSAGES
        )
        self.link: Link | None = None
        self._abandoned = False

    def receive(self, _link: Link, msg: AnyMessage) -> None:
        if not self._abandoned:
            self.inbox.put(msg)

    def handle_link_closed(self, _link: Link) -> None:
        if not self._abandoned:
            self.inbox.put(None)

    def abandon(self) -> None:
        """Close the link and wake its reader if it waits for the consumer."""
        self._abandoned = True
        if self.link is not None:
            self.link.close()
        while not self.inbox.empty():
            self.inbox.get_nowait()


class ForwardClient:
    """Sends requests to other entries over reusable links."""

    def __init__(self, *, name: str, secret: str, clock: HybridClock) -> None:
        self._hello = Hello(process=name, secret=secret)
        self._clock = clock
        self._idle: dict[str, list[_Channel]] = {}

    def send(self, address: str, call: Call) -> Answer | FailedAttempt:
        """Forward a request and return its answer with the first part read."""
        channel = self._get_channel(address, call)
        if channel is None:
            return FailedAttempt(
                reason='peer_unreachable', sent=False, is_routing_failure=True
            )
        link = channel.link
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
            return self._read_answer(address, channel, call)
        except BaseException:
            channel.abandon()
            raise

    def close(self) -> None:
        for channels in self._idle.values():
            for channel in channels:
                channel.abandon()
        self._idle.clear()

    def _read_answer(
        self, address: str, channel: _Channel, call: Call
    ) -> Answer | FailedAttempt:
        first = _receive_next(channel, call.deadline)
        if isinstance(first, ForwardHead):
            answer = Answer(
                status=first.status,
                headers=first.headers,
                body=first.body,
                length=first.length,
            )
            if first.is_complete:
                self._return_channel(address, channel)
            else:
                answer.rest = _LaterParts(self, address, channel, call, answer)
            return answer
        if isinstance(first, ForwardRefused):
            self._return_channel(address, channel)
            return FailedAttempt(
                reason=first.reason,
                sent=False,
                is_routing_failure=True,
                free_slots=first.free,
            )
        if isinstance(first, ForwardFailed):
            self._return_channel(address, channel)
            return FailedAttempt(reason=first.reason, sent=first.sent)
        channel.abandon()
        # The home may already have sent the request to a backend server.
        reason = 'timeout' if first is _TIMED_OUT else 'peer_lost'
        return FailedAttempt(reason=reason, sent=True)

    def _get_channel(self, address: str, call: Call) -> _Channel | None:
        idle = self._idle.get(address)
        while idle:
            channel = idle.pop()
            if channel.link is not None and not channel.link.closed:
                return channel
        channel = _Channel()
        link = connect(
            address,
            clock=self._clock,
            handler=channel.receive,
            on_close=channel.handle_link_closed,
        )
        if not isinstance(link, Link):
            return None
        channel.link = link
        timeout_s = max(0.01, min(1.0, call.deadline - time.monotonic()))
        try:
            reply = link.request(self._hello, timeout_s=timeout_s)
        except BaseException:
            channel.abandon()
            raise
        if not isinstance(reply, Welcome):
            channel.abandon()
            return None
        return channel

    def _return_channel(self, address: str, channel: _Channel) -> None:
        idle = self._idle.setdefault(address, [])
        # A message after the end of an answer belongs to no request, so the
        # link is closed.
        if len(idle) < MAX_IDLE_LINKS_PER_PEER and channel.inbox.empty():
            idle.append(channel)
        else:
            channel.abandon()


_TIMED_OUT = object()


def _receive_next(channel: _Channel, deadline: float) -> Any:
    timeout_s = deadline + ANSWER_GRACE_S - time.monotonic()
    try:
        return channel.inbox.get(timeout=max(0.001, timeout_s))
    except gevent.queue.Empty:
        return _TIMED_OUT


class _LaterParts:
    """Iterates over the later parts of a forwarded answer."""

    __slots__ = ('_address', '_channel', '_client', '_deadline', '_size')

    def __init__(
        self,
        client: ForwardClient,
        address: str,
        channel: _Channel,
        call: Call,
        answer: Answer,
    ) -> None:
        self._client = client
        self._address = address
        self._channel: _Channel | None = channel
        self._deadline = call.deadline
        self._size = len(answer.body)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        channel = self._channel
        if channel is None:
            raise StopIteration
        try:
            msg = _receive_next(channel, self._deadline)
        except BaseException:
            self.close()
            raise
        if isinstance(msg, ForwardChunk):
            self._size += len(msg.data)
            return msg.data
        if isinstance(msg, ForwardEnd) and msg.size == self._size:
            self._channel = None
            self._client._return_channel(self._address, channel)
            raise StopIteration
        self.close()
        raise AnswerBroken('the home did not send the whole answer')

    def close(self) -> None:
        if self._channel is not None:
            self._channel.abandon()
            self._channel = None


class ForwardServer:
    """Runs the requests that other entries forward to this one.

    :param run: finds a slot and runs the request on it.
    """

    def __init__(self, run: Callable[[Call], Answer | FailedAttempt]) -> None:
        self._run = run
        self._running: dict[Link, gevent.Greenlet] = {}

    def receive(self, link: Link, msg: Forward) -> None:
        """Start a request; a second one on a busy link closes the link."""
        if link in self._running:
            link.close()
            return
        self._running[link] = gevent.spawn(self._serve, link, msg)

    def handle_link_closed(self, link: Link) -> None:
        """Stop the request on a link that the other entry has closed."""
        job = self._running.pop(link, None)
        if job is not None and job is not gevent.getcurrent():
            job.kill(CallerDisconnected, block=False)

    def count_running(self) -> int:
        return len(self._running)

    def _serve(self, link: Link, msg: Forward) -> None:
        try:
            result = self._run(_make_call(msg))
            # The other entry may reuse the link as soon as it has the last
            # message, so the request is removed before that is sent.
            if isinstance(result, FailedAttempt):
                self._running.pop(link, None)
                link.notify(_make_failure_message(result))
            else:
                self._send_answer(link, result)
        except CallerDisconnected:
            pass
        finally:
            self._running.pop(link, None)

    def _send_answer(self, link: Link, answer: Answer) -> None:
        is_complete = answer.rest is None
        if is_complete:
            self._running.pop(link, None)
        head = ForwardHead(
            status=answer.status,
            headers=answer.headers,
            length=answer.length,
            body=answer.body,
            is_complete=is_complete,
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


def _make_failure_message(
    failed: FailedAttempt,
) -> ForwardRefused | ForwardFailed:
    if failed.is_routing_failure:
        return ForwardRefused(reason=failed.reason, free=failed.free_slots)
    return ForwardFailed(reason=failed.reason, sent=failed.sent)


def _make_call(msg: Forward) -> Call:
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
