"""Cache of what was sent to each peer, so that only changes are sent in full.

Heartbeats and announcements mostly repeat what the peer already has. Sent in
full they used more than half of the 2 KB per second that an entry may use for
control traffic.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from msgspec.structs import replace

from galenareel._common.messages import Announcement
from galenareel._common.messages import HomeLoad
from galenareel._common.messages import PeerHeartbeat
from galenareel._common.messages import RelayAnnouncement
from galenareel._common.messages import ServerHeard

# Unchanged data is sent in full again after this time, because messages to a
# frozen peer may have been dropped.
LOADS_REPEAT_S = 5.0
ANNOUNCEMENT_REPEAT_S = 10.0


@dataclass(slots=True)
class _Sent:
    """Loads and announcements sent to one process of a peer.

    :ivar announcements: time of sending and announcement, by instance.
    """

    incarnation: str
    loads: tuple[HomeLoad, ...] | None = None
    loads_sent_at: float = 0.0
    announcements: dict[str, tuple[float, Announcement]] = field(
        default_factory=dict
    )


class SentCache:
    """Shortens messages by leaving out what the peer already has."""

    def __init__(self) -> None:
        self._peers: dict[str, _Sent] = {}

    def shorten_heartbeat(
        self,
        peer: str,
        incarnation: str,
        heartbeat: PeerHeartbeat,
        *,
        now: float,
    ) -> PeerHeartbeat:
        """Return the heartbeat, without the loads if the peer has them."""
        sent = self._get_sent(peer, incarnation)
        is_due = now - sent.loads_sent_at >= LOADS_REPEAT_S
        if sent.loads == heartbeat.pools and not is_due:
            return replace(heartbeat, pools=None)
        sent.loads = heartbeat.pools
        sent.loads_sent_at = now
        return heartbeat

    def shorten_announcement(
        self,
        peer: str,
        incarnation: str,
        announcement: Announcement,
        *,
        now: float,
    ) -> RelayAnnouncement | ServerHeard:
        """Return the announcement, or only its in-use count if unchanged."""
        sent = self._get_sent(peer, incarnation)
        sent_at, before = sent.announcements.get(
            announcement.instance, (0.0, None)
        )
        without_in_use = replace(announcement, in_use=0)
        if before == without_in_use and now - sent_at < ANNOUNCEMENT_REPEAT_S:
            return ServerHeard(
                instance=announcement.instance, in_use=announcement.in_use
            )
        sent.announcements[announcement.instance] = (now, without_in_use)
        return RelayAnnouncement(announcement=announcement)

    def _get_sent(self, peer: str, incarnation: str) -> _Sent:
        sent = self._peers.get(peer)
        if sent is None or sent.incarnation != incarnation:
            sent = self._peers[peer] = _Sent(incarnation)
        return sent
