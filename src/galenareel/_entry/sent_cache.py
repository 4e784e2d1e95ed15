"""What each peer has been told, so that only changes are sent in full.

Heartbeats and announcements repeat what the peer knows already; in full they
took more than half of the 2 KB a second that an entry may spend on control.
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

# A frozen peer may have lost messages; this bounds how long it lacks them.
LOADS_REPEAT_S = 5.0
ANNOUNCEMENT_REPEAT_S = 10.0


@dataclass(slots=True)
class _Peer:
    """What one process of a peer was told, with the time."""

    incarnation: str
    loads: tuple[HomeLoad, ...] | None = None
    loads_at: float = 0.0
    said: dict[str, tuple[float, Announcement]] = field(default_factory=dict)


class SentCache:
    """Shortens messages to peers by what they were told before."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def heartbeat(
        self, peer: str, incarnation: str, beat: PeerHeartbeat, *, now: float
    ) -> PeerHeartbeat:
        """The heartbeat, without the loads if the peer knows them."""
        known = self._known(peer, incarnation)
        due = now - known.loads_at >= LOADS_REPEAT_S
        if known.loads == beat.pools and not due:
            return replace(beat, pools=None)
        known.loads = beat.pools
        known.loads_at = now
        return beat

    def announcement(
        self, peer: str, incarnation: str, said: Announcement, *, now: float
    ) -> RelayAnnouncement | ServerHeard:
        """The announcement, or only its in-use count."""
        known = self._known(peer, incarnation)
        at, before = known.said.get(said.instance, (0.0, None))
        essence = replace(said, in_use=0)
        if before == essence and now - at < ANNOUNCEMENT_REPEAT_S:
            return ServerHeard(instance=said.instance, in_use=said.in_use)
        known.said[said.instance] = (now, essence)
        return RelayAnnouncement(announcement=said)

    def _known(self, peer: str, incarnation: str) -> _Peer:
        known = self._peers.get(peer)
        if known is None or known.incarnation != incarnation:
            known = self._peers[peer] = _Peer(incarnation)
        return known
