"""What an entry tells control once a second."""

from __future__ import annotations

from galenareel._common.messages import Announcement
from galenareel._common.messages import EntryReport
from galenareel._common.messages import PoolLoad
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._entry.homes import Homes
from galenareel._entry.router import PoolState
from galenareel._entry.router import Router
from galenareel._entry.servers import BackendServer

REPEAT_S = 2.0


class Reports:
    """Builds reports; repeats an announcement until control has it."""

    def __init__(
        self, *, entry: str, incarnation: str, homes: Homes, router: Router
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._homes = homes
        self._router = router
        self._sent_at: dict[str, float] = {}

    def build(
        self,
        *,
        now: float,
        index: int,
        silent_peers: tuple[str, ...],
        stopping: bool,
    ) -> EntryReport:
        pools = self._router.pools
        return EntryReport(
            entry=self._entry,
            incarnation=self._incarnation,
            index=index,
            pools=tuple(
                _pool_load(name, state, now) for name, state in pools.items()
            ),
            instances=self._homes.collect_loads(now=now),
            announcements=self._announcements(now),
            drained=self._homes.list_drained(),
            silent_peers=silent_peers,
            stopping=stopping,
            taken=tuple(self._homes.taken_over.items()),
            released=self._homes.list_released_homes(),
        )

    def resend_announcement(self, instance: str) -> None:
        """Let the next report carry an announcement that has changed."""
        self._sent_at.pop(instance, None)

    def _announcements(self, now: float) -> tuple[Announcement, ...]:
        found = []
        for server in self._homes:
            if not _is_news(server):
                continue
            sent_at = self._sent_at.get(server.instance)
            if sent_at is None or now - sent_at >= REPEAT_S:
                self._sent_at[server.instance] = now
                assert server.announcement is not None
                found.append(server.announcement)
        return tuple(found)


def _is_news(server: BackendServer) -> bool:
    """Whether the committed row differs from the announcement."""
    said, row = server.announcement, server.row
    if said is None:
        return False
    if row is None:
        return not said.leaving
    if said.leaving:
        return row.phase is not Phase.LEFT
    back = row.phase is Phase.LOST or row.phase is Phase.LEFT
    return back or not _same(said, row)


def _same(said: Announcement, row: InstanceRow) -> bool:
    return (
        said.address == row.address
        and said.rack == row.rack
        and said.incarnation == row.incarnation
        and said.slots == row.slots
        and said.connections == row.connections
    )


def _pool_load(name: str, state: PoolState, now: float) -> PoolLoad:
    queue = state.queue
    load = PoolLoad(
        pool=name,
        arrived=state.arrived,
        queued_urgent=queue.urgent_count,
        queued_deferrable=len(queue) - queue.urgent_count,
        oldest_wait_s=round(queue.compute_oldest_wait_s(now), 3),
        refused=state.refused,
    )
    state.arrived = 0
    state.refused = 0
    return load
