"""Settings that the demo and the measurements share."""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._common.declaring import setting
from galenareel._common.readers import one_of
from galenareel._common.readers import whole


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSettings:
    """Which example to run, and the seed of its demand and faults."""

    deployment: str = setting(
        'which example to run',
        reader=one_of('abay', 'trilha'),
        shape='NAME',
        default='abay',
    )
    seed: int = setting(
        'seed of the demand and of the faults',
        reader=whole(low=0, high=2**31),
        shape='N',
        default=1,
    )
