"""Forwards requests from a stateless process to the leader.

The gateway keeps one link to the leader. Without a link, it asks the members
who leads. It replaces a link that stops answering, and repeats the calls that
were on their way when a link broke.
"""

from __future__ import annotations

from collections.abc import Callable
import time

import gevent
from gevent.event import Event
import msgspec

from galenareel._common.clock import Clock
from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.loops import keep_running
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Hello
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import JobCall
from galenareel._common.messages import Problem
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.addresses import merge_addresses
from galenareel._jobs.keys import KeyFilter
from galenareel._jobs.repeats import is_leaderless
from galenareel._jobs.repeats import judge_reply
from galenareel._jobs.repeats import RepeatBudget
from galenareel._jobs.repeats import Verdict

PING_INTERVAL_S = 0.5  # interval of checks that the leader still leads
PING_TIMEOUT_S = 0.8
SEARCH_PAUSE_S = 0.1
MAX_PAUSE_FACTOR = 3  # the pause grows with each search that finds none
READY_LIMIT_S = 1.6  # not ready if the last successful check is older
CONNECT_TIMEOUT_S = 0.5
# A member that doesn't answer holds up the search for this long; then the next
# one is asked as well.
SEARCH_STAGGER_S = 0.1
# A call that was not sent waits this long for a leader. Callers come back only
# a few times, some of them sooner than they are told, so that without a wait
# they would give up within seconds.
LEADER_WAIT_S = 0.6
OUTAGE_WAIT_S = 0.3  # once there has been no leader for MAX_ELECTION_S
MAX_ELECTION_S = 2.5
# Searches in a row that find no leader before that is logged, about 3 s.
LOGGED_FAILURES = 10
MIN_RETRY_S = 1.0
MAX_RETRY_S = 4.0


class Gateway:
    """Forwards callers' requests to the leader.

    :param name: name of this process for the members' logs.
    :param seeds: returns the frame addresses of some members, which may
        change.
    """

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        seeds: Callable[[], tuple[str, ...]],
        clock: Clock,
        hybrid: HybridClock,
        log: Log,
    ) -> None:
        self._hello = Hello(process=name, secret=secret)
        self._seeds = seeds
        self._clock = clock
        self._hybrid = hybrid
        self._log = log
        self._link: Link | None = None
        # The link is kept until its greenlet has noticed that it was dropped.
        self._kept_link: Link | None = None
        self._link_closed = Event()
        self._linked = Event()
        self._lost_at = -MAX_ELECTION_S
        self._lost_address = ''
        self._leader_hint = ''
        self._members: tuple[str, ...] = ()
        self._confirmed_at = -READY_LIMIT_S
        self._repeats = RepeatBudget()
        self._keys = KeyFilter(log)
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        # The members may have been started together with this process.
        self._lost_at = self._clock.monotonic()
        self._greenlet = gevent.spawn(
            keep_running, 'gateway', self._run, log=self._log
        )

    def close(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._link is not None:
            self._link.close()

    def is_ready(self) -> bool:
        """Return whether the leader has confirmed lately that it leads."""
        is_fresh = self._clock.monotonic() - self._confirmed_at < READY_LIMIT_S
        return self._link is not None and is_fresh

    def call(
        self, msg: JobCall, *, timeout_s: float
    ) -> JobAnswer | Problem | Unreachable:
        """Send a request to the leader and wait for its answer.

        One with an unknown key is refused here if the set of keys is up to
        date. All requests are idempotent by the job's name. One whose link
        broke may have been carried out; it is sent again, to the new leader
        if there is one, until its outcome is known. One that could not be
        sent waits for the next leader.

        :returns: ``Problem`` if the request was not executed, ``Unreachable``
            if it may or may not have been executed.
        """
        started_at = self._clock.monotonic()
        refusal = self._keys.refuse(msg.key, started_at)
        if refusal is not None:
            return refusal
        deadline = started_at + timeout_s
        waits_since = started_at
        uncertain: Unreachable | None = None
        while True:
            until = deadline
            if uncertain is None:
                until = min(deadline, self._get_patience_end(waits_since))
            link = self._wait_for_link(until)
            if link is None and uncertain is not None:
                return uncertain
            left_s = deadline - self._clock.monotonic()
            if link is None or (uncertain is None and left_s <= 0):
                # Nothing was sent, or no whole frame of it.
                return Problem(
                    reason='no_leader',
                    retry_after_s=self._estimate_retry_s(started_at),
                )
            reply = self._request(link, msg, max(left_s, 0.0))
            verdict = judge_reply(reply, repeated=msg.repeated)
            if verdict is Verdict.FINAL:
                return reply
            if isinstance(reply, Unreachable) and reply.not_sent:
                # It has waited for a link that was given up only now.
                waits_since = self._clock.monotonic()
            if verdict is Verdict.UNKNOWN:
                uncertain = _as_unreachable(reply)
                if isinstance(reply, JobAnswer) and msg.repeated:
                    return uncertain
                now = self._clock.monotonic()
                if now >= deadline or not self._repeats.take(now):
                    return uncertain
                msg = msgspec.structs.replace(msg, repeated=True)

    def _get_patience_end(self, started_at: float) -> float:
        """Return until when a call that was not sent waits for a leader.

        It is refused soon, so that its caller can come back, and sooner if
        there has been no leader for longer than an election takes.
        """
        if started_at - self._lost_at > MAX_ELECTION_S:
            return started_at + OUTAGE_WAIT_S
        return started_at + LEADER_WAIT_S

    def _estimate_retry_s(self, now: float) -> float:
        """Return when a caller should come back if no leader is found.

        A caller comes back only a few times, so the longer there has been no
        leader, the longer it stays away.
        """
        outage_s = now - self._lost_at
        return min(max(outage_s / 2, MIN_RETRY_S), MAX_RETRY_S)

    def _wait_for_link(self, until: float) -> Link | None:
        """Return the link to the leader, or ``None`` if there is none yet."""
        if self._link is not None and self._link.closed:
            self._drop(self._link)
        if self._link is None:
            self._linked.wait(max(until - self._clock.monotonic(), 0.0))
        return self._link

    def _request(
        self, link: Link, msg: JobCall, timeout_s: float
    ) -> JobAnswer | Problem | Unreachable:
        reply = link.request(msg, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            self._drop(link)
            return reply
        if isinstance(reply, Problem) and is_leaderless(reply):
            self._leader_hint = reply.leader
            self._drop(link)
        if isinstance(reply, JobAnswer):
            self._keys.note_version(reply.version)
        if isinstance(reply, JobAnswer | Problem):
            return reply
        return Unreachable(reason='unexpected_reply')

    def _drop(self, link: Link) -> None:
        """Close a link, and let calls wait for the next one."""
        link.close()
        if self._link is link:
            self._link = None
            self._linked.clear()
            self._lost_at = self._clock.monotonic()

    def _run(self) -> None:
        failures = 0
        while True:
            found = self._find_leader(failures)
            failures = 0 if found is not None else failures + 1
            if found is not None:
                self._keep_link(*found)
            elif failures == LOGGED_FAILURES:
                known = dict.fromkeys((*self._seeds(), *self._members))
                self._log.warning('leader_not_found', asked=','.join(known))
            pause_s = SEARCH_PAUSE_S * min(failures, MAX_PAUSE_FACTOR)
            gevent.sleep(pause_s)

    def _find_leader(self, failures: int) -> tuple[Link, str] | None:
        """Ask the members who leads, each a little after the one before.

        :param failures: number of searches before that found no leader. Each
            waits longer for members that are slow to answer.
        :returns: link to the leader and its address, or ``None``.
        """
        search = _Search()
        pending = self._list_candidates()
        asked: set[str] = set()
        try:
            while pending:
                address = pending.pop(0)
                if not address or address in asked:
                    continue
                asked.add(address)
                search.ask(self._connect_to_leader, address)
                if search.wait(SEARCH_STAGGER_S):
                    return search.found
                # The others name the lost leader until they have elected the
                # next one.
                if self._leader_hint != self._lost_address:
                    pending.insert(0, self._leader_hint)
                self._leader_hint = ''
                pending.extend(self._members)
            search.wait_for_all(SEARCH_STAGGER_S * (1 + failures))
            return search.found
        finally:
            search.close()

    def _list_candidates(self) -> list[str]:
        """Return the addresses to ask; the member lost last comes last."""
        hint, self._leader_hint = self._leader_hint, ''
        addresses = dict.fromkeys((hint, *self._seeds(), *self._members))
        candidates = [address for address in addresses if address]
        candidates.sort(key=lambda address: address == self._lost_address)
        return candidates

    def _connect_to_leader(self, address: str) -> Link | None:
        """Return a link to the member at an address if it leads."""
        link = connect(
            address,
            clock=self._hybrid,
            handler=_ignore,
            on_close=self._handle_close,
            timeout_s=CONNECT_TIMEOUT_S,
            log=self._log,
        )
        if not isinstance(link, Link):
            return None
        leads = False
        try:
            welcome = link.request(self._hello, timeout_s=PING_TIMEOUT_S)
            leads = isinstance(welcome, Welcome) and self._ping(link)
        finally:
            if not leads:
                link.close()
        return link if leads else None

    def _handle_close(self, link: Link) -> None:
        if link is self._kept_link:
            self._link_closed.set()

    def _ping(self, link: Link) -> bool:
        asked_at = self._clock.monotonic()
        query = ClusterQuery(keys_id=self._keys.keys_id)
        view = link.request(query, timeout_s=PING_TIMEOUT_S)
        if not isinstance(view, ClusterView):
            return False
        if not view.is_leader:
            self._members = merge_addresses(view.members, self._members)
            self._leader_hint = view.leader
            return False
        self._members = view.members or self._members
        self._confirmed_at = asked_at
        self._keys.apply_view(view, asked_at)
        return True

    def _keep_link(self, link: Link, address: str) -> None:
        """Use a link until it is closed or its member no longer leads."""
        self._link_closed.clear()
        self._kept_link = self._link = link
        self._linked.set()
        self._log.info('leader_found', leader=address)
        try:
            while not link.closed and self._ping(link):
                self._link_closed.wait(PING_INTERVAL_S)
        finally:
            self._drop(link)
            self._kept_link = None
            self._lost_address = address
            self._log.warning('leader_lost', leader=address)


class _Search:
    """Greenlets that ask members; the first link to the leader wins."""

    def __init__(self) -> None:
        self.found: tuple[Link, str] | None = None
        self._progress = Event()
        self._greenlets: list[gevent.Greenlet] = []

    def ask(
        self, connect_to: Callable[[str], Link | None], address: str
    ) -> None:
        self._progress.clear()
        self._greenlets.append(gevent.spawn(self._ask, connect_to, address))

    def _ask(
        self, connect_to: Callable[[str], Link | None], address: str
    ) -> None:
        link = connect_to(address)
        if link is not None and self.found is None:
            self.found = (link, address)
        elif link is not None:
            link.close()
        self._progress.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait until any member has answered; return whether one leads."""
        self._progress.wait(timeout_s)
        return self.found is not None

    def wait_for_all(self, timeout_s: float) -> None:
        """Wait until the leader is found, all have answered or time is up."""
        end = time.monotonic() + timeout_s
        while self.found is None:
            self._progress.clear()
            left_s = end - time.monotonic()
            is_over = all(greenlet.dead for greenlet in self._greenlets)
            if is_over or left_s <= 0:
                return
            self._progress.wait(left_s)

    def close(self) -> None:
        gevent.killall(self._greenlets, block=False)


def _as_unreachable(
    reply: JobAnswer | Problem | Unreachable,
) -> Unreachable:
    if isinstance(reply, Unreachable):
        return reply
    return Unreachable(reason='unknown', detail=reply.detail)


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    """Ignore a message that is not a reply; the leader sends only replies."""
