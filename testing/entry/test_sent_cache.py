"""Messages to peers leave out data that the peer already has.

Guards against peers that route by loads or announcements which they never
got, because they restarted or missed a message.
"""

from __future__ import annotations

import pytest

from galenareel._common.messages import Announcement
from galenareel._common.messages import HomeLoad
from galenareel._common.messages import PeerHeartbeat
from galenareel._common.messages import RelayAnnouncement
from galenareel._common.messages import ServerHeard
from galenareel._entry.sent_cache import ANNOUNCEMENT_REPEAT_S
from galenareel._entry.sent_cache import LOADS_REPEAT_S
from galenareel._entry.sent_cache import SentCache


def make_heartbeat(free: int) -> PeerHeartbeat:
    pools = (HomeLoad(pool='lots', free=free),)
    return PeerHeartbeat(entry='e1', incarnation='1', index=1, pools=pools)


def make_announcement(
    *, in_use: int = 0, leaving: bool = False
) -> Announcement:
    return Announcement(
        instance='a/w1',
        address='10.0.0.1:80',
        zone='a',
        rack='r',
        service='lots',
        incarnation='1',
        in_use=in_use,
        leaving=leaving,
    )


@pytest.fixture
def cache() -> SentCache:
    cache = SentCache()
    cache.shorten_heartbeat('e2', 'x', make_heartbeat(8), now=100.0)
    cache.shorten_announcement('e2', 'x', make_announcement(), now=100.0)
    return cache


def test_unchanged_loads_are_left_out(cache: SentCache) -> None:
    assert (
        cache.shorten_heartbeat('e2', 'x', make_heartbeat(8), now=100.2).pools
        is None
    )


@pytest.mark.parametrize(
    ('peer', 'incarnation', 'free', 'now'),
    [
        ('e2', 'x', 7, 100.2),
        ('e2', 'y', 8, 100.2),
        ('e3', 'x', 8, 100.2),
        ('e2', 'x', 8, 100.0 + LOADS_REPEAT_S),
    ],
    ids=['changed', 'restarted peer', 'other peer', 'long ago'],
)
def test_loads_are_sent_to_peers_without_them(
    cache: SentCache, peer: str, incarnation: str, free: int, now: float
) -> None:
    """Guards against a peer that routes by loads it never received."""
    sent = cache.shorten_heartbeat(
        peer, incarnation, make_heartbeat(free), now=now
    )
    assert sent.pools == make_heartbeat(free).pools


def test_unchanged_announcement_is_shortened(cache: SentCache) -> None:
    sent = cache.shorten_announcement(
        'e2', 'x', make_announcement(in_use=3), now=101.0
    )
    assert sent == ServerHeard(instance='a/w1', in_use=3)


@pytest.mark.parametrize(
    ('incarnation', 'announcement', 'now'),
    [
        ('x', make_announcement(leaving=True), 101.0),
        ('y', make_announcement(), 101.0),
        ('x', make_announcement(), 100.0 + ANNOUNCEMENT_REPEAT_S),
    ],
    ids=['leaving', 'restarted peer', 'long ago'],
)
def test_announcement_is_sent_in_full(
    cache: SentCache, incarnation: str, announcement: Announcement, now: float
) -> None:
    """Guards against a home that isn't told that a server leaves."""
    sent = cache.shorten_announcement('e2', incarnation, announcement, now=now)
    assert sent == RelayAnnouncement(announcement=announcement)
