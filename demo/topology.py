"""Addresses, racks and plans of the processes that the demo starts."""

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

# Mean demand of a pool in busy slots. At 5.2 times this in all, two thirds of
# the 240 slots of 30 workers are busy.
MEAN_BUSY_SLOTS = 30.0
PEAK_FACTOR = 5.0
QUIET_FACTOR = 0.05
URGENT_RUN_S = 0.8
DEFERRABLE_RUN_S = 3.0
DEFERRABLE_RATE = 0.5
# Bounds the wait for the last answers; deferrable work runs for 4.5 s at most.
MAX_DEADLINE_S = 8.0
KEYED_SHARE = 0.02
PEAK_S = 5.0
LEAD_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySpec:
    """One entry process and its addresses."""

    name: str
    zone: str
    callers: str
    announcements: str
    operators: str
    frames: str
    advertise: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSpec:
    """One control process and its address."""

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
        return ','.join(f'{one.name}={one.listen}' for one in self.controls)

    def format_control_addresses(self) -> str:
        return ','.join(one.listen for one in self.controls)


def make_topology(cfg: Environment) -> Topology:
    """Two entries in each zone, and three control members in as many."""
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


def workers(cfg: Environment) -> list[Identity]:
    """The listed instances of a document, 4 to a rack within a zone."""
    found: list[Identity] = []
    counts: dict[str, int] = {}
    for pool in cfg.pools:
        service = next(one for one in cfg.services if one.pool == pool.name)
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
        servers=workers(cfg),
        announcements=addresses,
        secret=topology.secrets['announce'],
        records=str(records),
        seed=seed,
        platform=topology.platform,
    )


def make_caller_plan(
    cfg: Environment, topology: Topology, records: Path, *, seed: int
) -> CallerPlan:
    """Every pool at its peak in turn, once."""
    duration_s = LEAD_S + PEAK_S * len(cfg.pools)
    return CallerPlan(
        entries=[one.callers for one in topology.entries],
        demands=[_demand(cfg, service) for service in cfg.services],
        records=str(records),
        duration_s=duration_s,
        seed=seed,
    )


def _demand(cfg: Environment, service: Service) -> Demand:
    urgent = service.urgency is Urgency.URGENT
    callers = [name for team in cfg.teams for name in team.callers]
    if urgent:
        rates = _rates(cfg, service)
    else:
        rates = [(0.0, DEFERRABLE_RATE)]
    return Demand(
        service=service.name,
        path=service.path,
        rates=rates,
        run_s=URGENT_RUN_S if urgent else DEFERRABLE_RUN_S,
        deadline_s=min(service.deadline_s, MAX_DEADLINE_S),
        callers=callers,
        idempotent=service.idempotent,
        urgent=urgent,
        keyed=0.0 if service.idempotent else KEYED_SHARE,
    )


def _rates(cfg: Environment, service: Service) -> list[tuple[float, float]]:
    """Requests a second of an urgent service: quiet, peak, quiet."""
    beside = [
        one
        for one in cfg.services
        if one.pool == service.pool and one.urgency is Urgency.URGENT
    ]
    mean = MEAN_BUSY_SLOTS / URGENT_RUN_S / len(beside)
    names = [pool.name for pool in cfg.pools]
    begins_s = LEAD_S + PEAK_S * names.index(service.pool)
    quiet = mean * QUIET_FACTOR
    return [
        (0.0, quiet),
        (begins_s, mean * PEAK_FACTOR),
        (begins_s + PEAK_S, quiet),
    ]
