"""Faults of the home at each step of a forwarded request.

The accepting entry must neither run a request twice nor present a truncated
answer as complete.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Forward
from galenareel._common.messages import ForwardChunk
from galenareel._common.messages import ForwardEnd
from galenareel._common.messages import ForwardFailed
from galenareel._common.messages import ForwardHead
from galenareel._common.messages import ForwardRefused
from galenareel._common.messages import Hello
from galenareel._common.messages import HomeLoad
from galenareel._common.messages import PeerHeartbeat
from galenareel._common.messages import Welcome
from galenareel._common.rows import EntryRow
from galenareel._entry.process import Entry
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for
from testing.ports import allocate_address

HEAD = ForwardHead(status=200, headers=(), length=8)
CLOSE = None  # the home closes the link
STALL = 'stall'  # the home sends nothing more

# For each fault: what the home does after it has received the request, and the
# outcome that the caller of a request that isn't idempotent must get. For
# answers whose head was sent it is whether the body is complete.
FAULTS: dict[str, tuple[list[Any], str]] = {
    'closed before the answer': ([CLOSE], 'outcome_unknown'),
    'no answer': ([STALL], 'outcome_unknown'),
    'failed unsent': (
        [ForwardFailed(reason='connect_refused', sent=False)],
        'not_run',
    ),
    'failed after sending': (
        [ForwardFailed(reason='connection_lost', sent=True)],
        'outcome_unknown',
    ),
    'no free slot': ([ForwardRefused(reason='no_free_slot')], 'not_run'),
    'unexpected message': ([ForwardEnd(size=0)], 'outcome_unknown'),
    'closed after the head': ([HEAD, CLOSE], 'outcome_unknown'),
    'stalled after the head': ([HEAD, STALL], 'outcome_unknown'),
    'failed after the head': (
        [HEAD, ForwardFailed(reason='broken', sent=True)],
        'outcome_unknown',
    ),
    'closed in the body': ([HEAD, ForwardChunk(data=b'done'), CLOSE], 'cut'),
    'wrong size': (
        [HEAD, ForwardChunk(data=b'done'), ForwardEnd(size=8)],
        'cut',
    ),
    'complete': (
        [
            HEAD,
            ForwardChunk(data=b'done'),
            ForwardChunk(data=b'done'),
            ForwardEnd(size=8),
        ],
        'complete',
    ),
}


class FakeHome:
    """Peer entry that reports free slots and then fails in a given way."""

    def __init__(self) -> None:
        self.address = allocate_address()
        self.forwards: list[Forward] = []
        self.steps: list[Any] = []
        clock = HybridClock(SystemClock())
        self.server = FrameServer(
            self.address, clock=clock, handler=self._handle
        )

    def _handle(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, Hello):
            return Welcome(process='z')
        if isinstance(msg, PeerHeartbeat):
            link.notify(
                PeerHeartbeat(
                    entry='z',
                    incarnation='i',
                    index=1,
                    pools=(HomeLoad(pool='lots', free=4),),
                )
            )
        if isinstance(msg, Forward):
            self.forwards.append(msg)
            gevent.spawn(self._answer, link)
        return None

    def _answer(self, link: Link) -> None:
        for step in self.steps:
            if step is CLOSE:
                link.close()
            elif step != STALL:
                link.notify(step)


@pytest.fixture(scope='module')
def home() -> Iterator[FakeHome]:
    home = FakeHome()
    home.server.start()
    yield home
    home.server.close()


@pytest.fixture(scope='module')
def entry(home: FakeHome) -> Iterator[Entry]:
    cluster = Cluster()
    entry = cluster.add_entry('a1')
    cluster.control.entries['z'] = EntryRow(
        entry='z', zone='a', frames=home.address, incarnation='i'
    )
    cluster.add_backend(FakeBackend(), home='z')
    cluster.start()
    yield entry
    cluster.close()


@pytest.mark.parametrize('fault', FAULTS)
def test_outcome_after_home_fault(
    entry: Entry, home: FakeHome, fault: str
) -> None:
    """Guards against a second run and a truncated answer sent as complete."""
    home.steps, expected = FAULTS[fault]
    home.forwards.clear()
    entry.router.pools.clear()
    wait_for(
        lambda: entry.peers.choose_free_peer('lots', now=0, other_zones=False)
    )
    got = send_request(
        entry.settings.callers,
        '/sales/1',
        headers={'Galenareel-Deadline-S': '0.3'},
    )
    if expected in ('cut', 'complete'):
        assert (got.status, got.is_complete) == (200, expected == 'complete')
    else:
        assert (got.outcome, got.is_complete) == (expected, True)
    if expected != 'not_run':
        assert len(home.forwards) == 1
