"""Settings that the demo and the measurements share."""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._common.readers import make_choice_reader
from galenareel._common.readers import make_int_reader
from galenareel._common.setting_fields import declare_setting


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSettings:
    """Which example to run, and the seed of its demand and faults."""

    deployment: str = declare_setting(
        'which example to run',
        reader=make_choice_reader('abay', 'trilha'),
        metavar='NAME',
        default='abay',
    )
    seed: int = declare_setting(
        'seed of the demand and of the faults',
        reader=make_int_reader(low=0, high=2**31),
        metavar='N',
        default=1,
    )
