"""Backend servers of the zone, and the slots of those at home here.

Only the home of a backend server sends requests to it, so it counts the slots
locally. Each entry tracks all servers of the zone, because a new home starts
from the in-use count of the latest announcement.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from galenareel._common.messages import Announcement
from galenareel._common.messages import Drained
from galenareel._common.messages import InstanceLoad
from galenareel._common.rendezvous import choose_entry
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._entry.health import Health
from galenareel._entry.health import HealthChange
from galenareel._entry.servers import BackendServer
from galenareel._entry.servers import get_significant_fields
from galenareel._entry.servers import Lease
from galenareel._entry.servers import must_drain

# Weight of the latest run time in the exponential moving average.
SMOOTHING = 0.2


class Homes:
    """All backend servers of the zone.

    :ivar by_pool: servers at home here, by pool.
    :ivar is_silent: whether a former home no longer sends requests; set by
        the owner.
    :ivar fenced: the event loop has stalled, so no requests may be sent.
    :ivar released_all: a planned stop has released all homes of this entry.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self.entry = entry
        self.zone = zone
        self.servers: dict[str, BackendServer] = {}
        # Homes taken over by this entry, with the home epoch at that time.
        self.taken_over: dict[str, int] = {}
        # Homes taken over by a peer: its name and the home epoch then.
        self.taken_by_peers: dict[str, tuple[str, int]] = {}
        self.by_pool: dict[str, list[BackendServer]] = {}
        self.is_silent: Callable[[str, float], bool] = lambda _e, _now: True
        self.min_available: dict[str, int] = {}
        # Serving instances in all zones, by pool.
        self._serving: dict[str, int] = {}
        self._draining = False
        self.fenced = False
        self.released_all = False
        self._lease_number = 0

    def apply_announcement(
        self, announcement: Announcement, *, now: float
    ) -> bool:
        """Update a server from its announcement.

        Return true if more than its in-use count has changed.
        """
        server = self.servers.get(announcement.instance)
        if server is None:
            server = self.servers[announcement.instance] = BackendServer(
                announcement.instance
            )
        before = server.announcement
        if before is None or before.incarnation != announcement.incarnation:
            self._reset(server)
        server.announcement = announcement
        server.announced_at = now
        server.down = False
        unleased = max(0, announcement.in_use - server.in_flight)
        server.unleased = min(server.unleased, unleased)
        if server.homed_here and not server.in_use_known:
            self._apply_in_use(server)
        return before is None or (
            get_significant_fields(before)
            != get_significant_fields(announcement)
        )

    def sync(self, rows: dict[str, InstanceRow], *, now: float) -> None:
        """Update servers and homes from the committed instance rows."""
        by_pool: dict[str, list[BackendServer]] = {}
        self._serving = {}
        for name, row in rows.items():
            if row.phase is Phase.SERVING:
                count = self._serving.get(row.pool, 0)
                self._serving[row.pool] = count + 1
            if row.zone != self.zone:
                continue
            server = self.servers.get(name)
            if server is None:
                server = self.servers[name] = BackendServer(name)
            before, server.row = server.row, row
            if row.phase is Phase.EJECTED and (
                before is None or before.phase is not Phase.EJECTED
            ):
                server.health.mark_ejected(now=now)
            self._end_takeovers(row)
            self._set_home(
                server,
                self._get_effective_home(row),
                before.home if before is not None else row.home,
                now,
            )
            by_pool.setdefault(row.pool, []).append(server)
        for name, server in list(self.servers.items()):
            if name not in rows:
                server.row = None
                self._set_home(server, '', '', now)
        for server in self.servers.values():
            server.releasing = self._is_releasing(server)
        self._draining = any(
            server.releasing
            or (
                server.homed_here
                and server.row is not None
                and must_drain(server.row)
            )
            for server in self.servers.values()
        )
        self.by_pool = {
            pool: [server for server in servers if server.homed_here]
            for pool, servers in by_pool.items()
        }

    def take_over(
        self, silent: frozenset[str], live: list[str]
    ) -> list[tuple[str, int]]:
        """Take over those homes of silent peers that this entry should get.

        Rendezvous hashing divides them among the live entries of the zone.

        :returns: instances taken over, each with its home epoch.
        """
        taken = []
        for server in self.servers.values():
            row = server.row
            if row is None or self._get_effective_home(row) not in silent:
                continue
            if choose_entry(server.instance, live) == self.entry:
                self.taken_over[server.instance] = row.home_epoch
                self.taken_by_peers.pop(server.instance, None)
                taken.append((server.instance, row.home_epoch))
        return taken

    def apply_peer_homes(
        self, peer: str, homes: tuple[tuple[str, int], ...]
    ) -> bool:
        """Update the homes that a peer of the zone has taken over.

        :param homes: all instances it has taken over, with their home epochs.
        :returns: whether any home has changed by it.
        """
        taken = dict(homes)
        changed = False
        for instance, (holder, _epoch) in list(self.taken_by_peers.items()):
            if holder == peer and instance not in taken:
                del self.taken_by_peers[instance]
                changed = True
        for instance, epoch in homes:
            changed |= self._apply_peer_takeover(peer, instance, epoch)
        return changed

    def lease_slot(
        self, pool: str, service: str, *, idempotent: bool, now: float
    ) -> Lease | None:
        """Lease a slot of the server of a pool with the most free slots.

        An idempotent request may be used to probe a server that is taken out.
        Return None if no slot is free.
        """
        if self.fenced:
            return None
        best: BackendServer | None = None
        best_free = 0
        for server in self.by_pool.get(pool, ()):
            free = server.count_free()
            if free <= best_free or not server.is_reachable(now):
                continue
            assert server.row is not None
            phase = server.row.phase
            if phase is not Phase.SERVING and phase is not Phase.EJECTED:
                continue
            if server.health.is_out(service):
                if idempotent and server.health.may_probe(service, now=now):
                    return self._create_lease(server, service, now, probe=True)
            elif phase is Phase.SERVING:
                best, best_free = server, free
        if best is None:
            return None
        return self._create_lease(best, service, now, probe=False)

    def finish_request(
        self,
        lease: Lease,
        *,
        ok: bool | None,
        now: float,
        may_still_run: bool = False,
    ) -> HealthChange | None:
        """Release a slot and update the health of its server.

        :param ok: whether the request succeeded; None if that tells nothing
            about the server.
        :param may_still_run: the request was abandoned, and the server may
            not have noticed yet. Its slot stays in use until
            :meth:`release_abandoned` or until an announcement no longer
            counts it.
        """
        server = lease.server
        self.release(lease)
        if lease.generation != server.generation:
            return None
        server.unleased += may_still_run
        run_s = now - lease.started_at
        if lease.probe:
            return server.health.finish_probe(lease.service, ok=ok, now=now)
        if ok is None:
            return None
        server.finished += 1
        server.failed += not ok
        server.mean_run_s += SMOOTHING * (run_s - server.mean_run_s)
        pool = server.row.pool if server.row is not None else ''
        return server.health.record_request(
            lease.service,
            ok=ok,
            run_s=run_s,
            now=now,
            may_take_out=self._count_removable(pool) > 0,
            other_mean_s=self._compute_other_mean_s(
                server, pool, lease.service
            ),
        )

    def release(self, lease: Lease) -> None:
        """Release the slot; a second call has no effect."""
        if lease.released:
            return
        lease.released = True
        server = lease.server
        if lease.generation == server.generation:
            server.in_flight -= 1
            server.lease_starts.pop(lease.number, None)

    def release_abandoned(
        self, server: BackendServer, generation: int
    ) -> bool:
        """Release the slot of an abandoned request that has ended.

        Return whether that has freed a slot.
        """
        if generation != server.generation or not server.unleased:
            return False
        server.unleased -= 1
        return True

    def count_free(self, pool: str, *, now: float) -> int:
        """Return the free slots of a pool at this home."""
        if self.fenced:
            return 0
        return sum(
            max(0, server.count_free())
            for server in self.by_pool.get(pool, ())
            if server.is_usable(now) and not server.health.is_suspect()
        )

    def count_slots(self, pool: str, *, now: float) -> int:
        """Return all slots of a pool at this home, free or in use."""
        return sum(
            server.announcement.slots
            for server in self.by_pool.get(pool, ())
            if server.announcement is not None and server.is_usable(now)
        )

    @property
    def is_draining(self) -> bool:
        """Return whether an instance here must finish its requests.

        That is so while it drains or is handed over to another home.
        """
        return self._draining

    def list_drained(self) -> tuple[Drained, ...]:
        """Return the draining instances here with nothing in flight."""
        return tuple(
            Drained(
                instance=server.instance,
                epoch=server.row.epoch,
                home_epoch=server.row.home_epoch,
            )
            for server in self.servers.values()
            if server.homed_here
            and server.row is not None
            and must_drain(server.row)
            and server.in_flight == 0
            and server.unleased == 0
        )

    def list_released_homes(self) -> tuple[tuple[str, int], ...]:
        """Return the homes to hand over that have nothing in flight.

        Each instance comes with its home epoch. They get no new requests
        until a committed row changes that, so a report of them stays valid.
        """
        return tuple(
            (server.instance, server.row.home_epoch)
            for server in self.servers.values()
            if server.releasing
            and server.row is not None
            and server.in_use_known
            and server.in_flight == 0
            and server.unleased == 0
        )

    def collect_loads(self, *, now: float) -> tuple[InstanceLoad, ...]:
        return tuple(
            server.collect_load(now)
            for server in self.servers.values()
            if server.homed_here
        )

    def get_announcement(self, instance: str) -> Announcement | None:
        """Return the latest announcement of one backend server."""
        server = self.servers.get(instance)
        return server.announcement if server is not None else None

    def list_announcements(self) -> tuple[Announcement, ...]:
        return tuple(
            server.announcement
            for server in self.servers.values()
            if server.announcement is not None
        )

    def count_in_flight(self) -> int:
        return sum(server.in_flight for server in self.servers.values())

    def count_impaired(self, pool: str) -> int:
        return sum(
            server.health.is_impaired()
            for server in self.by_pool.get(pool, ())
        )

    def __iter__(self) -> Iterator[BackendServer]:
        return iter(self.servers.values())

    def _is_releasing(self, server: BackendServer) -> bool:
        # Control asks the committed home to release an instance, not an entry
        # that has taken it over.
        row = server.row
        return (
            row is not None
            and bool(row.next_home)
            and row.home == self.entry
            and server.homed_here
        )

    def _get_effective_home(self, row: InstanceRow) -> str:
        if row.instance in self.taken_over:
            return self.entry
        if row.instance in self.taken_by_peers:
            return self.taken_by_peers[row.instance][0]
        return row.home

    def _apply_peer_takeover(
        self, peer: str, instance: str, epoch: int
    ) -> bool:
        server = self.servers.get(instance)
        row = server.row if server is not None else None
        if row is None or row.home_epoch > epoch:
            return False
        if self.taken_by_peers.get(instance) == (peer, epoch):
            return False
        # Both entries took over the home while they were cut off from each
        # other; the one with the smaller name keeps it.
        if instance in self.taken_over and self.entry < peer:
            return False
        self.taken_over.pop(instance, None)
        self.taken_by_peers[instance] = (peer, epoch)
        return True

    def _end_takeovers(self, row: InstanceRow) -> None:
        # A committed home with a higher epoch ends a takeover.
        taken_epoch = self.taken_over.get(row.instance)
        if taken_epoch is not None and row.home_epoch > taken_epoch:
            del self.taken_over[row.instance]
        taken_by_peer = self.taken_by_peers.get(row.instance)
        if taken_by_peer is not None and row.home_epoch > taken_by_peer[1]:
            del self.taken_by_peers[row.instance]

    def _set_home(
        self, server: BackendServer, home: str, before: str, now: float
    ) -> None:
        homed_here = home == self.entry and not self.released_all
        if homed_here and not server.homed_here:
            server.homed_here = True
            server.home_since = now
            # A former home that is still alive may have sent requests after
            # the latest announcement, so this home waits for the next one.
            handed_over = bool(before) and not self.is_silent(before, now)
            server.in_use_known = False
            if server.announcement is not None and not handed_over:
                self._apply_in_use(server)
        server.homed_here = homed_here

    def _apply_in_use(self, server: BackendServer) -> None:
        assert server.announcement is not None
        server.in_use_known = True
        server.unleased = max(0, server.announcement.in_use - server.in_flight)

    def _reset(self, server: BackendServer) -> None:
        server.generation += 1
        server.in_flight = 0
        server.unleased = 0
        server.lease_starts.clear()
        server.health = Health()
        server.mean_run_s = 0.0

    def _count_removable(self, pool: str) -> int:
        """Return how many servers of a pool its budget lets be taken out."""
        available = self._serving.get(pool, 0) - self.count_impaired(pool)
        return available - self.min_available.get(pool, 0)

    def _compute_other_mean_s(
        self, server: BackendServer, pool: str, service: str
    ) -> float:
        """Return the median of the service's mean run times elsewhere.

        Only other servers of the pool at home here are compared; 0 if none
        has a mean.
        """
        means = sorted(
            mean
            for other in self.by_pool.get(pool, ())
            if other is not server
            and (mean := other.health.get_mean_run_s(service)) > 0.0
        )
        return means[len(means) // 2] if means else 0.0

    def _create_lease(
        self, server: BackendServer, service: str, now: float, *, probe: bool
    ) -> Lease:
        if probe:
            server.health.start_probe(service)
        self._lease_number += 1
        server.in_flight += 1
        server.lease_starts[self._lease_number] = now
        return Lease(
            server,
            server.generation,
            self._lease_number,
            now,
            service,
            probe=probe,
        )
