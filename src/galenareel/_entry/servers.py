"""State of one backend server of the zone, and leases of its slots."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.messages import Announcement
from galenareel._common.messages import InstanceLoad
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._entry.health import Health
from galenareel._entry.settings import SILENT_AFTER_S

NEVER = float('-inf')
# Maintenance steps in which an instance drains.
DRAIN_STEPS = frozenset(('draining',))


@dataclass(slots=True, eq=False)
class BackendServer:
    """One backend server of the zone.

    :ivar row: its committed row; None if control doesn't know it.
    :ivar homed_here: this entry is its home, so only this entry may send
        requests to it.
    :ivar releasing: gets no new requests because another entry becomes its
        home.
    :ivar in_use_known: an announcement has told how many of its slots are in
        use since this entry became its home.
    :ivar unleased: requests that may still run but hold no lease here: those
        sent by the former home, and those that were abandoned.
    :ivar generation: incremented when a new process of the server announces
        itself, so that leases of the former process are ignored.
    :ivar down: connecting to it has failed since its last announcement.
    :ivar finished: requests since the last report to control, as is
        ``failed``.
    :ivar lease_starts: start times of its leases, by lease number.
    """

    instance: str
    row: InstanceRow | None = None
    announcement: Announcement | None = None
    announced_at: float = NEVER
    homed_here: bool = False
    releasing: bool = False
    home_since: float = NEVER
    in_use_known: bool = False
    in_flight: int = 0
    unleased: int = 0
    generation: int = 0
    down: bool = False
    health: Health = field(default_factory=Health)
    finished: int = 0
    failed: int = 0
    mean_run_s: float = 0.0
    lease_starts: dict[int, float] = field(default_factory=dict)

    def compute_silent_s(self, now: float) -> float:
        """Return the seconds without an announcement to this home.

        The time before this entry became its home isn't counted.
        """
        return now - max(self.announced_at, self.home_since)

    def count_free(self) -> int:
        """Return the free slots; negative if more are in use than allowed."""
        announcement = self.announcement
        if announcement is None or not self.in_use_known:
            return 0
        return (
            self.health.limit_slots(announcement.slots)
            - self.in_flight
            - self.unleased
        )

    def is_reachable(self, now: float) -> bool:
        """Return whether this entry may send requests to it at all."""
        announcement = self.announcement
        return (
            self.homed_here
            and not self.releasing
            and announcement is not None
            and not announcement.leaving
            and not self.down
            and now - self.announced_at <= SILENT_AFTER_S
        )

    def is_usable(self, now: float) -> bool:
        """Return whether it may get new requests, if it has a free slot."""
        row = self.row
        return (
            row is not None
            and row.phase is Phase.SERVING
            and self.is_reachable(now)
        )

    def collect_load(self, now: float) -> InstanceLoad:
        """Return the load to report to control and reset the counts."""
        work_left_s = sum(
            max(0.0, self.mean_run_s - (now - started_at))
            for started_at in self.lease_starts.values()
        )
        load = InstanceLoad(
            instance=self.instance,
            in_use=self.in_flight + self.unleased,
            work_left_s=round(work_left_s, 3),
            silent_s=round(self.compute_silent_s(now), 1),
            finished=self.finished,
            failed=self.failed,
            suspect=self.health.is_impaired(),
        )
        self.finished = 0
        self.failed = 0
        return load


@dataclass(slots=True, eq=False)
class Lease:
    """One slot of a backend server, held by a request until its release.

    :param generation: that of the server when the slot was leased.
    :param probe: the request tests a server that is taken out.
    """

    server: BackendServer
    generation: int
    number: int
    started_at: float
    service: str
    probe: bool = False
    released: bool = False


def get_significant_fields(announcement: Announcement) -> tuple[object, ...]:
    """Return the fields of an announcement whose change is reported.

    The in-use count is left out, as it changes with each request.
    """
    return (
        announcement.address,
        announcement.rack,
        announcement.service,
        announcement.incarnation,
        announcement.slots,
        announcement.connections,
        announcement.leaving,
    )


def must_drain(row: InstanceRow) -> bool:
    """Return whether an instance must finish its requests in flight."""
    if row.phase is Phase.DRAINING:
        return True
    return (
        row.phase is Phase.MAINTENANCE and row.maintenance_step in DRAIN_STEPS
    )
