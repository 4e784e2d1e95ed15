"""Models of the environment document that operators write.

The models hold data only. :mod:`galenareel._document.reading` creates them
from YAML and reports what is wrong with its line and field.
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
        description='a name of letters and digits with dots, dashes or '
        'underscores inside',
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
PathPrefix = Annotated[
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
PositiveCount = Annotated[
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
    """Whether the requests of a service are urgent or can wait."""

    URGENT = 'urgent'
    DEFERRABLE = 'deferrable'


@dataclass(frozen=True, slots=True, kw_only=True)
class Weights:
    """Costs of idle instances and of moves, relative to each other.

    :param buffer_cost: cost of the capacity held back for peaks and failures.
    :param moves: cost of moving instances between pools.
    """

    buffer_cost: Weight = 1.0
    moves: Weight = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """Pool of instances.

    :param min_available: availability budget: the number of instances that
        must stay available during planned work. Planned work that would
        leave fewer is refused.
    :param spare: whether this pool lends instances first and gets them back
        last.
    :param survive_rack: keep ``min_available`` even if the pool's largest
        rack is lost while the planned work runs.
    :param instances: instances that start in this pool, as ``zone/name``.
        Other instances start in the pool of the service they announce.
    """

    name: Name
    min_available: Count
    spare: bool = False
    survive_rack: bool = False
    instances: tuple[InstanceName, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service that handles the requests under one path prefix.

    :param idempotent: whether a request may be sent to backend servers more
        than once.
    :param deadline_s: deadline of requests whose caller sets none.
    """

    name: Name
    pool: Name
    path: PathPrefix
    urgency: Urgency = Urgency.URGENT
    idempotent: bool = False
    deadline_s: Seconds = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """Group of callers that share a quota of concurrent slots."""

    name: Name
    slots: PositiveCount
    callers: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Maintenance of all instances of some pools.

    A wave runs once under its name.

    :param first_batch: number of instances in the first batch. The batch
        size doubles up to ``max_batch``.
    :param stop_after: number of failures in one rack or zone that stops the
        wave.
    :param drain_timeout_s: how long a drain waits for work in flight before
        the instance is skipped and reported.
    """

    name: Name
    pools: tuple[Name, ...]
    first_batch: PositiveCount = 1
    max_batch: PositiveCount = 4
    stop_after: PositiveCount = 2
    drain_timeout_s: Seconds = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """One version of the environment document.

    :param environment: name of the environment.
    :param replaces: version that must be in force when this one is promoted.
    """

    environment: Name
    version: Version
    replaces: Version
    zones: tuple[Name, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...]
    weights: Weights = field(default_factory=Weights)
    teams: tuple[Team, ...] = ()
    waves: tuple[Wave, ...] = ()
