"""Backend servers of the zone and the slots of those at home here.

Only the home of a backend server sends to it, so its slots are a local
counter. All servers of the zone are tracked, because a new home begins with
the in-use count of the latest announcement.
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

SMOOTHING = 0.2  # weight of the latest run time in the mean


class Homes:
    """All backend servers of the zone."""

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
        self._serving: dict[str, int] = {}  # in all zones, by pool
        self._draining = False
        self.fenced = False
        self.released_all = False  # planned stop: homes are given up
        self._lease_number = 0

    # --- changes from outside ----------------------------------------------

    def apply_announcement(self, said: Announcement, *, now: float) -> bool:
        """Take an announcement; true if it differs in more than in-use."""
        server = self.servers.get(said.instance)
        if server is None:
            server = self.servers[said.instance] = BackendServer(said.instance)
        before = server.announcement
        if before is None or before.incarnation != said.incarnation:
            self._restart(server)
        server.announcement = said
        server.announced_at = now
        server.down = False
        others = max(0, said.in_use - server.in_flight)
        server.unleased = min(server.unleased, others)
        if server.homed_here and not server.in_use_known:
            self._begin_home(server)
        return before is None or (
            get_significant_fields(before) != get_significant_fields(said)
        )

    def sync(self, rows: dict[str, InstanceRow], *, now: float) -> None:
        """Follow the committed rows."""
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
            self._settle_claims(row)
            self._assign(
                server,
                self._effective_home(row),
                before.home if before is not None else row.home,
                now,
            )
            by_pool.setdefault(row.pool, []).append(server)
        for name, server in list(self.servers.items()):
            if name not in rows:
                server.row = None
                self._assign(server, '', '', now)
        for server in self.servers.values():
            server.releasing = self._releases(server)
        self._draining = any(
            one.releasing
            or (one.homed_here and one.row is not None and must_drain(one.row))
            for one in self.servers.values()
        )
        self.by_pool = {
            pool: [one for one in found if one.homed_here]
            for pool, found in by_pool.items()
        }

    def take_over(
        self, silent: frozenset[str], live: list[str]
    ) -> list[tuple[str, int]]:
        """Take the homes of silent peers that fall to this entry."""
        taken = []
        for server in self.servers.values():
            row = server.row
            if row is None or self._effective_home(row) not in silent:
                continue
            if choose_entry(server.instance, live) == self.entry:
                self.taken_over[server.instance] = row.home_epoch
                self.taken_by_peers.pop(server.instance, None)
                taken.append((server.instance, row.home_epoch))
        return taken

    def apply_peer_homes(
        self, peer: str, homes: tuple[tuple[str, int], ...]
    ) -> bool:
        """A zone peer says which homes it took; true if that is news."""
        said = dict(homes)
        changed = False
        for instance, (holder, _epoch) in list(self.taken_by_peers.items()):
            if holder == peer and instance not in said:
                del self.taken_by_peers[instance]
                changed = True
        for instance, epoch in homes:
            changed |= self._peer_took(peer, instance, epoch)
        return changed

    # --- slots --------------------------------------------------------------

    def lease_slot(
        self, pool: str, service: str, *, idempotent: bool, now: float
    ) -> Lease | None:
        """Reserve a slot on the server of a pool with the most free ones."""
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
                    return self._lease(server, service, now, probe=True)
            elif phase is Phase.SERVING:
                best, best_free = server, free
        if best is None:
            return None
        return self._lease(best, service, now, probe=False)

    def finish_request(
        self,
        lease: Lease,
        *,
        ok: bool | None,
        now: float,
        may_still_run: bool = False,
    ) -> HealthChange | None:
        """Release a slot and judge its server.

        :param ok: None if the request says nothing about the server.
        :param may_still_run: the request was given up, and the server may
            not have noticed yet; the slot is free after
            :meth:`release_abandoned`, or when an announcement counts it no
            more.
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
            may_take_out=self._spare(pool) > 0,
            other_mean_s=self._elsewhere_s(server, pool, lease.service),
        )

    def release(self, lease: Lease) -> None:
        """Give the slot back; a second call has no effect."""
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
        """A request that was given up has ended; true if a slot is free."""
        if generation != server.generation or not server.unleased:
            return False
        server.unleased -= 1
        return True

    def count_free(self, pool: str, *, now: float) -> int:
        """Free slots of a pool at this home."""
        if self.fenced:
            return 0
        return sum(
            max(0, one.count_free())
            for one in self.by_pool.get(pool, ())
            if one.is_usable(now) and not one.health.is_suspect()
        )

    def count_slots(self, pool: str, *, now: float) -> int:
        """Slots of a pool at this home, free or not."""
        return sum(
            one.announcement.slots
            for one in self.by_pool.get(pool, ())
            if one.announcement is not None and one.is_usable(now)
        )

    # --- reports ------------------------------------------------------------

    @property
    def is_draining(self) -> bool:
        """Whether any home here waits for an instance to have no work."""
        return self._draining

    def list_drained(self) -> tuple[Drained, ...]:
        """Draining instances at home here with nothing in flight."""
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
        """Homes with nothing in flight that another entry gets, with epoch.

        They get no new work until a committed row says otherwise, so control
        may rely on the report at any later time.
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
            one.collect_load(now)
            for one in self.servers.values()
            if one.homed_here
        )

    def get_announcement(self, instance: str) -> Announcement | None:
        """The latest announcement of one backend server."""
        server = self.servers.get(instance)
        return server.announcement if server is not None else None

    def list_announcements(self) -> tuple[Announcement, ...]:
        return tuple(
            one.announcement
            for one in self.servers.values()
            if one.announcement is not None
        )

    def count_in_flight(self) -> int:
        return sum(one.in_flight for one in self.servers.values())

    def count_impaired(self, pool: str) -> int:
        return sum(
            one.health.is_impaired() for one in self.by_pool.get(pool, ())
        )

    def __iter__(self) -> Iterator[BackendServer]:
        return iter(self.servers.values())

    # --- inside -------------------------------------------------------------

    def _releases(self, server: BackendServer) -> bool:
        # An entry that took the home over is not the one that is asked.
        row = server.row
        return (
            row is not None
            and bool(row.next_home)
            and row.home == self.entry
            and server.homed_here
        )

    def _effective_home(self, row: InstanceRow) -> str:
        if row.instance in self.taken_over:
            return self.entry
        if row.instance in self.taken_by_peers:
            return self.taken_by_peers[row.instance][0]
        return row.home

    def _peer_took(self, peer: str, instance: str, epoch: int) -> bool:
        server = self.servers.get(instance)
        row = server.row if server is not None else None
        if row is None or row.home_epoch > epoch:
            return False
        if self.taken_by_peers.get(instance) == (peer, epoch):
            return False
        # Both took it, each cut off from the other: one rule decides.
        if instance in self.taken_over and self.entry < peer:
            return False
        self.taken_over.pop(instance, None)
        self.taken_by_peers[instance] = (peer, epoch)
        return True

    def _settle_claims(self, row: InstanceRow) -> None:
        # A committed home with a higher epoch ends a takeover of the zone.
        taken = self.taken_over.get(row.instance)
        if taken is not None and row.home_epoch > taken:
            del self.taken_over[row.instance]
        lost = self.taken_by_peers.get(row.instance)
        if lost is not None and row.home_epoch > lost[1]:
            del self.taken_by_peers[row.instance]

    def _assign(
        self, server: BackendServer, home: str, before: str, now: float
    ) -> None:
        homed_here = home == self.entry and not self.released_all
        if homed_here and not server.homed_here:
            server.homed_here = True
            server.home_since = now
            # A former home that still runs may have sent work after the
            # latest announcement, so this home waits for the next one.
            handed_over = bool(before) and not self.is_silent(before, now)
            server.in_use_known = False
            if server.announcement is not None and not handed_over:
                self._begin_home(server)
        server.homed_here = homed_here

    def _begin_home(self, server: BackendServer) -> None:
        assert server.announcement is not None
        server.in_use_known = True
        server.unleased = max(0, server.announcement.in_use - server.in_flight)

    def _restart(self, server: BackendServer) -> None:
        server.generation += 1
        server.in_flight = 0
        server.unleased = 0
        server.lease_starts.clear()
        server.health = Health()
        server.mean_run_s = 0.0

    def _spare(self, pool: str) -> int:
        """Servers that may be taken out within the pool's budget."""
        available = self._serving.get(pool, 0) - self.count_impaired(pool)
        return available - self.min_available.get(pool, 0)

    def _elsewhere_s(
        self, server: BackendServer, pool: str, service: str
    ) -> float:
        means = sorted(
            mean
            for one in self.by_pool.get(pool, ())
            if one is not server
            and (mean := one.health.get_mean_run_s(service)) > 0.0
        )
        return means[len(means) // 2] if means else 0.0

    def _lease(
        self, server: BackendServer, service: str, now: float, *, probe: bool
    ) -> Lease:
        if probe:
            server.health.probe(service)
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
