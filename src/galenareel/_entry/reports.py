"""Build the reports that an entry sends to control each second."""

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

# An announcement is sent again after this time if its row still differs.
ANNOUNCEMENT_REPEAT_S = 2.0


class Reports:
    """Builds reports; repeats announcements until their rows match them."""

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
        """Build the next report; this resets the counts since the last one.

        :param index: log index of the view.
        """
        pools = self._router.pools
        return EntryReport(
            entry=self._entry,
            incarnation=self._incarnation,
            index=index,
            pools=tuple(
                _collect_pool_load(name, state, now)
                for name, state in pools.items()
            ),
            instances=self._homes.collect_loads(now=now),
            announcements=self._collect_announcements(now),
            drained=self._homes.list_drained(),
            silent_peers=silent_peers,
            stopping=stopping,
            taken=tuple(self._homes.taken_over.items()),
            released=self._homes.list_released_homes(),
        )

    def resend_announcement(self, instance: str) -> None:
        """Send the changed announcement of an instance in the next report."""
        self._sent_at.pop(instance, None)

    def _collect_announcements(self, now: float) -> tuple[Announcement, ...]:
        announcements = []
        for server in self._homes:
            if not _differs_from_row(server):
                continue
            sent_at = self._sent_at.get(server.instance)
            if sent_at is None or now - sent_at >= ANNOUNCEMENT_REPEAT_S:
                self._sent_at[server.instance] = now
                assert server.announcement is not None
                announcements.append(server.announcement)
        return tuple(announcements)


def _differs_from_row(server: BackendServer) -> bool:
    """Return whether the committed row differs from the announcement."""
    announcement, row = server.announcement, server.row
    if announcement is None:
        return False
    if row is None:
        return not announcement.leaving
    if announcement.leaving:
        return row.phase is not Phase.LEFT
    has_returned = row.phase is Phase.LOST or row.phase is Phase.LEFT
    return has_returned or not _has_same_fields(announcement, row)


def _has_same_fields(announcement: Announcement, row: InstanceRow) -> bool:
    return (
        announcement.address == row.address
        and announcement.rack == row.rack
        and announcement.incarnation == row.incarnation
        and announcement.slots == row.slots
        and announcement.connections == row.connections
    )


def _collect_pool_load(name: str, state: PoolState, now: float) -> PoolLoad:
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
