"""State of the other entries, as known from their heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.messages import HomeLoad
from galenareel._common.messages import PeerHeartbeat
from galenareel._common.rows import EntryRow
from galenareel._common.rows import EntryState
from galenareel._entry.settings import HEARTBEAT_INTERVAL_S
from galenareel._entry.settings import TAKEOVER_AFTER_S

# A peer of the zone gets no work after five missed heartbeats.
ZONE_STALE_S = 5 * HEARTBEAT_INTERVAL_S
# Across zones, heartbeats are sent only once a second.
OTHER_ZONE_STALE_S = 3.0
# Requests of one entry and pool that may wait for a slot at the same home. The
# module ``router`` explains why requests wait there.
MAX_QUEUED_PER_HOME = 2


@dataclass(slots=True, eq=False)
class Peer:
    """Another entry.

    :param loads: loads by pool, from its last heartbeat with loads.
    :param free: free slots by pool; reduced by each request that is sent
        there between two heartbeats.
    :param queued: requests that wait there, by pool.
    :param own_queued: requests sent by this entry that may wait there, by
        pool.
    """

    name: str
    zone: str
    frames: str
    added_at: float
    last_heartbeat_at: float | None = None
    incarnation: str = ''
    state: EntryState = EntryState.LIVE
    fenced: bool = False
    stopping: bool = False
    loads: dict[str, HomeLoad] = field(default_factory=dict)
    free: dict[str, int] = field(default_factory=dict)
    queued: dict[str, int] = field(default_factory=dict)
    own_queued: dict[str, int] = field(default_factory=dict)

    def compute_silent_s(self, now: float) -> float:
        """Return the seconds since its last heartbeat or its addition."""
        since = (
            self.last_heartbeat_at
            if self.last_heartbeat_at is not None
            else self.added_at
        )
        return now - since


class Peers:
    """The other entries of the committed view."""

    def __init__(self, entry: str, zone: str) -> None:
        self.entry = entry
        self.zone = zone
        self.by_name: dict[str, Peer] = {}

    def sync(self, rows: dict[str, EntryRow], *, now: float) -> None:
        """Add, replace and remove peers to match the committed rows."""
        for name, row in rows.items():
            if name == self.entry or row.state is EntryState.GONE:
                self.by_name.pop(name, None)
                continue
            peer = self.by_name.get(name)
            if peer is None or peer.frames != row.frames:
                peer = Peer(name, row.zone, row.frames, now)
                self.by_name[name] = peer
            peer.state = row.state
        for name in [name for name in self.by_name if name not in rows]:
            del self.by_name[name]

    def record_heartbeat(
        self, heartbeat: PeerHeartbeat, *, now: float
    ) -> Peer | None:
        """Update a peer from its heartbeat.

        Return None if the entry isn't in the view yet.
        """
        peer = self.by_name.get(heartbeat.entry)
        if peer is None:
            return None
        peer.last_heartbeat_at = now
        peer.incarnation = heartbeat.incarnation
        peer.fenced = heartbeat.fenced
        peer.stopping = heartbeat.stopping
        if heartbeat.pools is not None:
            peer.loads = {load.pool: load for load in heartbeat.pools}
        peer.free = {name: load.free for name, load in peer.loads.items()}
        peer.queued = {name: load.queued for name, load in peer.loads.items()}
        return peer

    def choose_free_peer(
        self, pool: str, *, now: float, other_zones: bool
    ) -> Peer | None:
        """Return the peer with the most free slots, preferring the own zone.

        Return None if no peer has a free slot.
        """
        best: Peer | None = None
        best_key = (False, 0)
        for peer in self.by_name.values():
            free = peer.free.get(pool, 0)
            if free <= 0 or not self._accepts_work(peer, now, other_zones):
                continue
            key = (peer.zone == self.zone, free)
            if key > best_key:
                best, best_key = peer, key
        return best

    def choose_peer_to_queue_at(self, pool: str, *, now: float) -> Peer | None:
        """Return the zone peer at whose home a request should wait.

        Peers with fewer waiting requests of this entry are preferred. Return
        None if no peer is home to servers of the pool or all have
        MAX_QUEUED_PER_HOME.
        """
        best: Peer | None = None
        best_queued = MAX_QUEUED_PER_HOME
        for peer in self.by_name.values():
            if peer.zone != self.zone or pool not in peer.free:
                continue
            own_queued = peer.own_queued.get(pool, 0)
            if own_queued < best_queued and self._accepts_work(
                peer, now, False
            ):
                best, best_queued = peer, own_queued
        return best

    def list_silent(self, *, now: float) -> tuple[str, ...]:
        """Return the zone peers whose homes should be taken over."""
        return tuple(
            peer.name
            for peer in self.by_name.values()
            if peer.zone == self.zone
            and peer.compute_silent_s(now) > TAKEOVER_AFTER_S
        )

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether an entry no longer sends requests to its homes."""
        if name == self.entry:
            return True
        peer = self.by_name.get(name)
        return peer is None or peer.compute_silent_s(now) > TAKEOVER_AFTER_S

    def list_live_in_zone(self, *, now: float) -> list[str]:
        """Return the entries of the zone that can get homes, this included."""
        live = [self.entry]
        live += [
            peer.name
            for peer in self.by_name.values()
            if peer.zone == self.zone
            and not peer.stopping
            and peer.compute_silent_s(now) <= TAKEOVER_AFTER_S
        ]
        return sorted(live)

    def _accepts_work(self, peer: Peer, now: float, other_zones: bool) -> bool:
        if peer.fenced or peer.stopping or peer.last_heartbeat_at is None:
            return False
        silent_s = now - peer.last_heartbeat_at
        if peer.zone == self.zone:
            return silent_s <= ZONE_STALE_S
        return other_zones and silent_s <= OTHER_ZONE_STALE_S


class Fence:
    """Keeps an entry from using its homes after a stall of its event loop.

    The peers may have taken over its homes during the stall, so it sends no
    requests to them until a zone peer or control has answered it again.
    """

    def __init__(self, *, now: float, after_s: float) -> None:
        self._last_tick = now
        self._max_gap_s = after_s
        self.fenced = False
        self.fenced_at = now

    def tick(self, now: float) -> bool:
        """Record that the event loop runs.

        Return true if the time since the last call was too long and the entry
        is fenced by it.
        """
        stalled = now - self._last_tick > self._max_gap_s
        self._last_tick = now
        if not stalled or self.fenced:
            return False
        self.fenced = True
        self.fenced_at = now
        return True

    def may_send(self, now: float) -> bool:
        """Return whether requests may be sent to the homes here.

        The time since the last tick is checked here too, because after a
        stall a request may run before the next tick.
        """
        return not self.fenced and now - self._last_tick <= self._max_gap_s

    def try_lift(self, *, asked_at: float) -> bool:
        """Lift the fence after an answer; return true if it was lifted.

        Messages that were sent to this entry before the stall ended don't
        show the present homes, so only an answer to a request sent after the
        fencing counts.

        :param asked_at: time when the request was sent.
        """
        if not self.fenced or asked_at < self.fenced_at:
            return False
        self.fenced = False
        return True
