"""One backend server of the zone and its slots."""

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
DRAIN_STEPS = frozenset(('draining',))


@dataclass(slots=True, eq=False)
class BackendServer:
    """One backend server of the zone.

    :param releasing: gets no new work, as another entry becomes its home.
    :param unleased: requests that may still run and hold no lease: those of
        the former home, and those that were given up.
    :param generation: grows when another process takes over the address, so
        that late releases of the former one don't count.
    """

    instance: str
    row: InstanceRow | None = None
    announcement: Announcement | None = None
    announced_at: float = NEVER
    homed_here: bool = False
    releasing: bool = False
    home_since: float = NEVER
    in_use_known: bool = False  # the home has begun with an in-use count
    in_flight: int = 0
    unleased: int = 0
    generation: int = 0
    down: bool = False  # refused a connection since its last announcement
    health: Health = field(default_factory=Health)
    finished: int = 0
    failed: int = 0
    mean_run_s: float = 0.0
    lease_starts: dict[int, float] = field(default_factory=dict)

    def compute_silent_s(self, now: float) -> float:
        """Time without an announcement, at most since it has this home."""
        return now - max(self.announced_at, self.home_since)

    def count_free(self) -> int:
        said = self.announcement
        if said is None or not self.in_use_known:
            return 0
        return (
            self.health.limit_slots(said.slots)
            - self.in_flight
            - self.unleased
        )

    def is_reachable(self, now: float) -> bool:
        """Whether its home may send to it at all."""
        said = self.announcement
        return (
            self.homed_here
            and not self.releasing
            and said is not None
            and not said.leaving
            and not self.down
            and now - self.announced_at <= SILENT_AFTER_S
        )

    def is_usable(self, now: float) -> bool:
        """Whether its home may give it work, apart from its slots."""
        row = self.row
        return (
            row is not None
            and row.phase is Phase.SERVING
            and self.is_reachable(now)
        )

    def collect_load(self, now: float) -> InstanceLoad:
        """What control is told; the counts begin anew."""
        left = sum(
            max(0.0, self.mean_run_s - (now - began))
            for began in self.lease_starts.values()
        )
        load = InstanceLoad(
            instance=self.instance,
            in_use=self.in_flight + self.unleased,
            work_left_s=round(left, 3),
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
    """One slot of a backend server, until it is released."""

    server: BackendServer
    generation: int
    number: int
    started_at: float
    service: str
    probe: bool = False
    released: bool = False


def get_significant_fields(said: Announcement) -> tuple[object, ...]:
    """What of an announcement is news to others when it changes."""
    return (
        said.address,
        said.rack,
        said.service,
        said.incarnation,
        said.slots,
        said.connections,
        said.leaving,
    )


def must_drain(row: InstanceRow) -> bool:
    """Whether an instance waits for its work in flight to end."""
    if row.phase is Phase.DRAINING:
        return True
    return (
        row.phase is Phase.MAINTENANCE and row.maintenance_step in DRAIN_STEPS
    )
