"""Lay out the processes of a deployment on loopback and plan its load."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
import secrets

from galenareel._document.model import Environment
from galenareel._document.model import Service
from galenareel._document.model import Urgency
from testing.ports import allocate_address
from testing.standins.backend import Identity
from testing.standins.callers import CallerPlan
from testing.standins.callers import Demand
from testing.standins.fleet import FleetPlan

ENTRIES_PER_ZONE = 2
CONTROL_MEMBERS = 3
RACK_SIZE = 4
SLOTS = 8

# Mean demand of a pool in busy slots. With one pool at its peak and the other
# four quiet, all pools together need 5.2 times this: two thirds of the 240
# slots of 30 workers.
MEAN_BUSY_SLOTS = 30.0
PEAK_FACTOR = 5.0
QUIET_FACTOR = 0.05
URGENT_RUN_S = 0.8
DEFERRABLE_RUN_S = 3.0
DEFERRABLE_REQUESTS_PER_S = 0.5
# Limits the wait for the last answers; deferrable work runs for at most 4.5 s.
MAX_DEADLINE_S = 8.0
KEYED_SHARE = 0.02
PEAK_S = 5.0
# Quiet time before the first peak.
LEAD_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySpec:
    """Name, zone and addresses of an entry process.

    :param callers: address for callers; ``announcements``, ``operators`` and
        ``frames`` are those for backend servers, operators and other
        processes.
    :param advertise: address at which other processes reach it, if that
        is not ``frames``.
    """

    name: str
    zone: str
    callers: str
    announcements: str
    operators: str
    frames: str
    advertise: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSpec:
    """Name, zone and address of a control process."""

    name: str
    zone: str
    listen: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """All processes of one deployment on loopback."""

    entries: tuple[EntrySpec, ...]
    controls: tuple[ControlSpec, ...]
    platform: str
    secrets: dict[str, str]

    def format_members(self) -> str:
        """Return the control members as the flag ``--members`` takes them."""
        return ','.join(
            f'{control.name}={control.listen}' for control in self.controls
        )

    def format_control_addresses(self) -> str:
        """Return the addresses as the flag ``--control`` takes them."""
        return ','.join(control.listen for control in self.controls)


def make_topology(cfg: Environment) -> Topology:
    """Return a topology with free addresses for all zones of a document.

    It has two entries in each zone, and three control members spread over the
    zones.
    """
    names = [
        (f'e{number * ENTRIES_PER_ZONE + i + 1}', zone)
        for number, zone in enumerate(cfg.zones)
        for i in range(ENTRIES_PER_ZONE)
    ]
    entries = tuple(
        EntrySpec(
            name=name,
            zone=zone,
            callers=allocate_address(),
            announcements=allocate_address(),
            operators=allocate_address(),
            frames=allocate_address(),
        )
        for name, zone in names
    )
    controls = tuple(
        ControlSpec(
            name=f'c{i + 1}',
            zone=cfg.zones[i % len(cfg.zones)],
            listen=allocate_address(),
        )
        for i in range(CONTROL_MEMBERS)
    )
    return Topology(
        entries=entries,
        controls=controls,
        platform=allocate_address(),
        secrets={
            name: secrets.token_hex(16)
            for name in ('cluster', 'announce', 'operator')
        },
    )


def make_identities(cfg: Environment) -> list[Identity]:
    """Return the listed instances of a document, 4 to a rack in a zone."""
    found: list[Identity] = []
    counts: dict[str, int] = {}
    for pool in cfg.pools:
        service = next(
            service for service in cfg.services if service.pool == pool.name
        )
        for instance in pool.instances:
            zone = instance.split('/')[0]
            rack = counts.get(zone, 0) // RACK_SIZE
            counts[zone] = counts.get(zone, 0) + 1
            found.append(
                Identity(
                    instance=instance,
                    zone=zone,
                    rack=f'rack-{rack + 1}',
                    service=service.name,
                    slots=SLOTS,
                )
            )
    return found


def make_fleet_plan(
    cfg: Environment, topology: Topology, records: Path, *, seed: int
) -> FleetPlan:
    addresses: dict[str, list[str]] = {zone: [] for zone in cfg.zones}
    for entry in topology.entries:
        addresses[entry.zone].append(entry.announcements)
    return FleetPlan(
        servers=make_identities(cfg),
        announcements=addresses,
        secret=topology.secrets['announce'],
        records=str(records),
        seed=seed,
        platform=topology.platform,
    )


def make_caller_plan(
    cfg: Environment, topology: Topology, records: Path, *, seed: int
) -> CallerPlan:
    """Plan the requests: each pool has one peak, one pool after the other."""
    duration_s = LEAD_S + PEAK_S * len(cfg.pools)
    return CallerPlan(
        entries=[entry.callers for entry in topology.entries],
        demands=[_make_demand(cfg, service) for service in cfg.services],
        records=str(records),
        duration_s=duration_s,
        seed=seed,
    )


def _make_demand(cfg: Environment, service: Service) -> Demand:
    is_urgent = service.urgency is Urgency.URGENT
    callers = [name for team in cfg.teams for name in team.callers]
    if is_urgent:
        rates = _compute_rates(cfg, service)
    else:
        rates = [(0.0, DEFERRABLE_REQUESTS_PER_S)]
    return Demand(
        service=service.name,
        path=service.path,
        rates=rates,
        run_s=URGENT_RUN_S if is_urgent else DEFERRABLE_RUN_S,
        deadline_s=min(service.deadline_s, MAX_DEADLINE_S),
        callers=callers,
        idempotent=service.idempotent,
        urgent=is_urgent,
        keyed=0.0 if service.idempotent else KEYED_SHARE,
    )


def _compute_rates(
    cfg: Environment, service: Service
) -> list[tuple[float, float]]:
    """Return the request rates of an urgent service: quiet, peak, quiet.

    Each is the start in seconds and the requests per second from then on. The
    urgent services of a pool share its demand equally.
    """
    urgent_services = [
        other
        for other in cfg.services
        if other.pool == service.pool and other.urgency is Urgency.URGENT
    ]
    mean_per_s = MEAN_BUSY_SLOTS / URGENT_RUN_S / len(urgent_services)
    names = [pool.name for pool in cfg.pools]
    peak_start_s = LEAD_S + PEAK_S * names.index(service.pool)
    quiet_per_s = mean_per_s * QUIET_FACTOR
    return [
        (0.0, quiet_per_s),
        (peak_start_s, mean_per_s * PEAK_FACTOR),
        (peak_start_s + PEAK_S, quiet_per_s),
    ]
