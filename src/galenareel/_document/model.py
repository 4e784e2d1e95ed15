"""The environment document: what an operator declares.

The models are plain data; :mod:`galenareel._document.reading` turns YAML into
them and collects every finding with its line and field.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class Urgency(StrEnum):
    URGENT = 'urgent'
    DEFERRABLE = 'deferrable'


@dataclass(frozen=True, slots=True, kw_only=True)
class Weights:
    """What the operator pays for, relative to each other; both >= 0."""

    buffer_cost: float = 1.0
    moves: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A pool of instances.

    :param min_available: availability budget: how many of its instances must
        stay available through planned work; a planned stop is refused below.
    :param spare: lends first and takes back last.
    :param survive_rack: keep ``min_available`` even if the pool's largest
        rack is lost while the planned work runs.
    :param instances: instances that start in this pool, as ``zone/name``;
        others start in the pool of the service they announce.
    """

    name: str
    min_available: int
    spare: bool = False
    survive_rack: bool = False
    instances: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Requests under one path prefix.

    :param idempotent: whether its requests may be sent again.
    :param deadline_s: used where the caller names none.
    """

    name: str
    pool: str
    path: str
    urgency: Urgency = Urgency.URGENT
    idempotent: bool = False
    deadline_s: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A group of callers with a quota of concurrent slots."""

    name: str
    slots: int
    callers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Maintenance of every instance of some pools, once per wave name.

    :param first_batch: instances in the first batch; batches double.
    :param stop_after: failures in one rack or zone that stop the wave.
    :param drain_timeout_s: how long a drain waits for work in flight before
        the instance is skipped and reported.
    """

    name: str
    pools: tuple[str, ...]
    first_batch: int = 1
    max_batch: int = 4
    stop_after: int = 2
    drain_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """One environment document."""

    environment: str
    version: int
    replaces: int
    zones: tuple[str, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...]
    weights: Weights = field(default_factory=Weights)
    teams: tuple[Team, ...] = ()
    waves: tuple[Wave, ...] = ()
