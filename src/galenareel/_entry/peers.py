"""What this entry knows of the other entries, from their heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.messages import HomeLoad
from galenareel._common.messages import PeerHeartbeat
from galenareel._common.rows import EntryRow
from galenareel._common.rows import EntryState
from galenareel._entry.settings import HEARTBEAT_INTERVAL_S
from galenareel._entry.settings import TAKEOVER_AFTER_S

# A peer of the zone gets no work after this many missed heartbeats.
ZONE_STALE_S = 5 * HEARTBEAT_INTERVAL_S
OTHER_ZONE_STALE_S = 3.0
# Requests that may wait at one home for a slot, per pool and accepting entry;
# see ``router`` for why they may.
MAX_QUEUED_PER_HOME = 2


@dataclass(slots=True, eq=False)
class Peer:
    """Another entry.

    :param loads: of its last heartbeat.
    :param free: free slots by pool, counted down with each request sent
        between two heartbeats.
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
        since = (
            self.last_heartbeat_at
            if self.last_heartbeat_at is not None
            else self.added_at
        )
        return now - since


class Peers:
    """All other entries."""

    def __init__(self, entry: str, zone: str) -> None:
        self.entry = entry
        self.zone = zone
        self.by_name: dict[str, Peer] = {}

    def sync(self, rows: dict[str, EntryRow], *, now: float) -> None:
        """Follow the committed rows."""
        for name, row in rows.items():
            if name == self.entry or row.state is EntryState.GONE:
                self.by_name.pop(name, None)
                continue
            peer = self.by_name.get(name)
            if peer is None or peer.frames != row.frames:
                peer = Peer(name, row.zone, row.frames, now)
                self.by_name[name] = peer
            peer.state = row.state
        for name in [one for one in self.by_name if one not in rows]:
            del self.by_name[name]

    def record_heartbeat(
        self, beat: PeerHeartbeat, *, now: float
    ) -> Peer | None:
        """Take a heartbeat; None if the entry is not in the view yet."""
        peer = self.by_name.get(beat.entry)
        if peer is None:
            return None
        peer.last_heartbeat_at = now
        peer.incarnation = beat.incarnation
        peer.fenced = beat.fenced
        peer.stopping = beat.stopping
        if beat.pools is not None:
            peer.loads = {load.pool: load for load in beat.pools}
        peer.free = {name: load.free for name, load in peer.loads.items()}
        peer.queued = {name: load.queued for name, load in peer.loads.items()}
        return peer

    def choose_free_peer(
        self, pool: str, *, now: float, other_zones: bool
    ) -> Peer | None:
        """Peer with the most free slots; the own zone goes first."""
        best: Peer | None = None
        best_key = (False, 0)
        for peer in self.by_name.values():
            free = peer.free.get(pool, 0)
            if free <= 0 or not self._takes_work(peer, now, other_zones):
                continue
            key = (peer.zone == self.zone, free)
            if key > best_key:
                best, best_key = peer, key
        return best

    def choose_peer_to_queue_at(self, pool: str, *, now: float) -> Peer | None:
        """Zone peer with homes of a pool where a request may wait."""
        best: Peer | None = None
        best_parked = MAX_QUEUED_PER_HOME
        for peer in self.by_name.values():
            if peer.zone != self.zone or pool not in peer.free:
                continue
            parked = peer.own_queued.get(pool, 0)
            if parked < best_parked and self._takes_work(peer, now, False):
                best, best_parked = peer, parked
        return best

    def list_silent(self, *, now: float) -> tuple[str, ...]:
        """Zone peers whose homes are to be taken over."""
        return tuple(
            peer.name
            for peer in self.by_name.values()
            if peer.zone == self.zone
            and peer.compute_silent_s(now) > TAKEOVER_AFTER_S
        )

    def is_silent(self, name: str, now: float) -> bool:
        """Whether an entry is known to send no work any more."""
        if name == self.entry:
            return True
        peer = self.by_name.get(name)
        return peer is None or peer.compute_silent_s(now) > TAKEOVER_AFTER_S

    def list_live_in_zone(self, *, now: float) -> list[str]:
        """Entries of the zone that may get homes, with this one."""
        live = [self.entry]
        live += [
            peer.name
            for peer in self.by_name.values()
            if peer.zone == self.zone
            and not peer.stopping
            and peer.compute_silent_s(now) <= TAKEOVER_AFTER_S
        ]
        return sorted(live)

    def _takes_work(self, peer: Peer, now: float, other_zones: bool) -> bool:
        if peer.fenced or peer.stopping or peer.last_heartbeat_at is None:
            return False
        silent_s = now - peer.last_heartbeat_at
        if peer.zone == self.zone:
            return silent_s <= ZONE_STALE_S
        return other_zones and silent_s <= OTHER_ZONE_STALE_S


class Fence:
    """Stops an entry whose event loop stood still.

    The peers may have taken its homes over meanwhile, so it must hear from
    its zone or from control again before it sends work to them.
    """

    def __init__(self, *, now: float, after_s: float) -> None:
        self._last = now
        self._after_s = after_s
        self.fenced = False
        self.fenced_at = now

    def tick(self, now: float) -> bool:
        """Note that the loop runs; true if it has just been fenced."""
        stalled = now - self._last > self._after_s
        self._last = now
        if not stalled or self.fenced:
            return False
        self.fenced = True
        self.fenced_at = now
        return True

    def may_send(self, now: float) -> bool:
        """Whether work may be sent; looks at the stall itself.

        After a stall a request may run before the loop's own tick does.
        """
        return not self.fenced and now - self._last <= self._after_s

    def try_lift(self, *, asked_at: float) -> bool:
        """An answer came to a question asked at a time; true if it lifts.

        Messages sent to this entry before the stall ended prove nothing, so
        only an answer to a later question counts.
        """
        if not self.fenced or asked_at < self.fenced_at:
            return False
        self.fenced = False
        return True
