"""The environment document: what an operator declares.

The models are plain data; :mod:`galenareel._document.reading` turns YAML into
them and collects every finding with its line and field.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

MAX_COUNT = 100_000
MAX_SECONDS = 7 * 86400.0

Name = Annotated[
    str,
    Meta(
        pattern=r'^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$',
        max_length=63,
        description='a name of letters, digits, inner dots and dashes',
    ),
]
InstanceName = Annotated[
    str,
    Meta(
        pattern=r'^[A-Za-z0-9._-]+/[A-Za-z0-9._-]+$',
        max_length=127,
        description='an instance as zone/name',
    ),
]
Path = Annotated[
    str,
    Meta(
        pattern=r'^/[A-Za-z0-9._~][A-Za-z0-9._~/-]*$',
        max_length=255,
        description='a path prefix that begins with a slash, e.g. /lots',
    ),
]
Count = Annotated[
    int,
    Meta(
        ge=0,
        le=MAX_COUNT,
        description=f'a whole number from 0 to {MAX_COUNT}',
    ),
]
Positive = Annotated[
    int,
    Meta(
        ge=1,
        le=MAX_COUNT,
        description=f'a whole number from 1 to {MAX_COUNT}',
    ),
]
Version = Annotated[
    int,
    Meta(ge=0, le=2**53, description='a whole number, 0 or more'),
]
Seconds = Annotated[
    float,
    Meta(
        gt=0,
        le=MAX_SECONDS,
        description=f'seconds, more than 0 and at most {MAX_SECONDS:g}',
    ),
]
Weight = Annotated[
    float, Meta(ge=0, le=1e6, description='a number from 0 to 1000000')
]


class Urgency(StrEnum):
    URGENT = 'urgent'
    DEFERRABLE = 'deferrable'


@dataclass(frozen=True, slots=True, kw_only=True)
class Weights:
    """What the operator pays for, relative to each other; both >= 0."""

    buffer_cost: Weight = 1.0
    moves: Weight = 1.0


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

    name: Name
    min_available: Count
    spare: bool = False
    survive_rack: bool = False
    instances: tuple[InstanceName, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Requests under one path prefix.

    :param idempotent: whether its requests may be sent again.
    :param deadline_s: used where the caller names none.
    """

    name: Name
    pool: Name
    path: Path
    urgency: Urgency = Urgency.URGENT
    idempotent: bool = False
    deadline_s: Seconds = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A group of callers with a quota of concurrent slots."""

    name: Name
    slots: Positive
    callers: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Maintenance of every instance of some pools, once per wave name.

    :param first_batch: instances in the first batch; batches double.
    :param stop_after: failures in one rack or zone that stop the wave.
    :param drain_timeout_s: how long a drain waits for work in flight before
        the instance is skipped and reported.
    """

    name: Name
    pools: tuple[Name, ...]
    first_batch: Positive = 1
    max_batch: Positive = 4
    stop_after: Positive = 2
    drain_timeout_s: Seconds = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """One environment document."""

    environment: Name
    version: Version
    replaces: Version
    zones: tuple[Name, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...]
    weights: Weights = field(default_factory=Weights)
    teams: tuple[Team, ...] = ()
    waves: tuple[Wave, ...] = ()
