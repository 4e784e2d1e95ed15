"""Tests of the limits of an entry and the flags that set them."""

from __future__ import annotations

import msgspec
import pytest

from galenareel._common.settings import EntrySettings
from galenareel._common.settings import read_settings
from galenareel._entry.settings import EntryConfig
from galenareel._entry.settings import Limits
from galenareel._entry.settings import make_config

ARGV = [
    *('--name=a1', '--zone=a', '--control=127.0.0.1:7001'),
    *('--callers=127.0.0.1:7002', '--announcements=127.0.0.1:7003'),
    *('--operators=127.0.0.1:7004', '--frames=127.0.0.1:7005'),
]
ENVIRON = {
    f'GALENAREEL_{name}_SECRET': 'much too secret'
    for name in ('CLUSTER', 'ANNOUNCE', 'OPERATOR')
}


def read_config(*argv: str) -> EntryConfig:
    return make_config(
        read_settings(
            'galenareel-entry',
            EntrySettings,
            argv=[*ARGV, *argv],
            environ=ENVIRON,
        )
    )


@pytest.mark.parametrize(
    'name', [field.name for field in msgspec.structs.fields(Limits)]
)
def test_limit_is_set_by_its_flag(name: str) -> None:
    """Guards against limits without a working flag."""
    default = getattr(read_config().limits, name)
    flag = '--' + name.replace('_', '-')
    value = type(default)(default / 2)
    limits = read_config(f'{flag}={value}').limits
    assert getattr(limits, name) == value != default


@pytest.mark.parametrize(
    'argument',
    ['--max-headers=0', '--connect-timeout-s=0', '--max-deadline-s=1e9'],
)
def test_limit_out_of_range_is_refused(argument: str) -> None:
    """Guards against limits that refuse every request or limit nothing."""
    with pytest.raises(SystemExit) as exit_info:
        read_config(argument)
    assert exit_info.value.code == 2
