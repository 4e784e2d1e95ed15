"""Reading, checking and reloading the platform's settings file.

Guards against a process that starts or goes on with invalid settings, or
that misses a change of the file.
"""

from __future__ import annotations

import io
import os
from pathlib import Path

from adapter.fleet import HttpFleetClient
from adapter.settings import check_settings
from adapter.settings import read_settings
from adapter.settings import WatchedSettings
import pytest

from galenareel._common.findings import FindingsError
from galenareel._common.log import Log
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome

CORE = """
node = "core-a-1"
role = "core"
ip = "10.1.0.11"
zone = "a"
internalPortRange = [7060,7075]
seeds = ["10.1.0.11:8623","10.2.0.25:8623"]
bootstrap = true
dataDirectory = "/data/core"
somethingNew = 3
[listenAddresses]
control = "10.1.0.11:8623"
[bounds]
graceS = 6
leaseMs = 3000
[faultTolerance]
machines = 2
zones = 1
[cloudApi]
address = "10.200.0.107:8621"
ratePerS = 64.0
duties = []
"""


@pytest.fixture
def path(tmp_path: Path) -> Path:
    file = tmp_path / 'settings.toml'
    file.write_text(CORE)
    return file


def test_settings_are_read(path: Path) -> None:
    cfg = read_settings(path, 'core')
    assert cfg.frame_address == '10.1.0.11:7060'
    assert cfg.list_seed_frame_addresses() == (
        '10.1.0.11:7060',
        '10.2.0.25:7060',
    )
    assert cfg.bootstrap
    assert cfg.fault_tolerance.machines == 2


def test_all_findings_are_reported_at_once(path: Path) -> None:
    text = CORE.replace('"/data/core"', '""')
    text = text.replace('[7060,7075]', '[7075,7060]')
    text = text.replace('control = "10.1.0.11:8623"', 'control = "here"')
    path.write_text(text)
    with pytest.raises(FindingsError) as info:
        read_settings(path, 'core')
    places = {finding.place for finding in info.value.findings}
    assert places == {
        'dataDirectory',
        'internalPortRange',
        'listenAddresses.control',
    }


@pytest.mark.parametrize(
    'text', ['', 'node = ', 'node = 3', CORE.replace('seeds', 'seed')]
)
def test_unreadable_settings_are_refused(path: Path, text: str) -> None:
    path.write_text(text)
    with pytest.raises(FindingsError):
        read_settings(path, 'core')


SEEDS = '["10.1.0.11:8623","10.2.0.25:8623"]'
LATER = CORE.replace('bootstrap = true', 'bootstrap = false')
FRONT = """
node = "front-a-1"
role = "front"
ip = "10.1.0.12"
zone = "a"
internalPortRange = [7060,7075]
seeds = ["10.1.0.11:8623","10.2.0.25:8623"]
bootstrap = true
[listenAddresses]
front = "10.1.0.12:8620"
ready = "10.1.0.12:8622"
"""


def test_core_without_seeds_is_refused_at_the_first_start(path: Path) -> None:
    """No process could find the others to form a cluster with."""
    path.write_text(CORE.replace(SEEDS, '[]'))
    with pytest.raises(FindingsError) as info:
        read_settings(path, 'core')
    assert [finding.place for finding in info.value.findings] == ['seeds']


@pytest.mark.parametrize(('role', 'text'), [('core', LATER), ('front', FRONT)])
def test_process_without_seeds_starts_and_says_so_once(
    path: Path, role: str, text: str
) -> None:
    """Load pattern: all machines lose power, so that none is listed."""
    output = io.StringIO()
    path.write_text(text.replace(SEEDS, '[]'))
    watched = WatchedSettings(path, role, log=Log('t', stream=output))
    for _ in range(3):
        watched.reload(signalled=True)
    assert watched.current.list_seed_frame_addresses() == ()
    assert output.getvalue().count('event=seeds_empty') == 1
    path.write_text(text)
    watched.reload(signalled=True)
    assert len(watched.current.seeds) == 2


@pytest.mark.parametrize('seed', ['', 'host', 'host:0', ':8623'])
def test_invalid_seed_is_refused(path: Path, seed: str) -> None:
    path.write_text(LATER.replace('10.2.0.25:8623', seed))
    with pytest.raises(FindingsError) as info:
        read_settings(path, 'core')
    assert [finding.place for finding in info.value.findings] == ['seeds[1]']


def test_reload_without_seeds_keeps_the_old_seeds(path: Path) -> None:
    output = io.StringIO()
    path.write_text(LATER)
    watched = WatchedSettings(path, 'core', log=Log('t', stream=output))
    path.write_text(LATER.replace(SEEDS, '[]').replace('64.0', '32.0'))
    watched.reload(signalled=True)
    assert len(watched.current.seeds) == 2
    assert watched.current.cloud_api.rate_per_s == 32.0
    assert 'event=seeds_empty' in output.getvalue()


def test_missing_file_error_names_the_environment_variable(
    tmp_path: Path,
) -> None:
    with pytest.raises(FindingsError, match='GALENAREEL_NODE_FILE'):
        read_settings(tmp_path / 'none', 'core')


def test_changed_file_is_reloaded_without_a_signal(path: Path) -> None:
    watched = WatchedSettings(path, 'core', log=Log('t', stream=io.StringIO()))
    path.write_text(CORE.replace('10.2.0.25', '10.2.0.99'))
    os.utime(path, ns=(1, 1))
    watched.reload()
    assert '10.2.0.99:7060' in watched.current.list_seed_frame_addresses()


def test_invalid_reload_keeps_the_old_settings(path: Path) -> None:
    output = io.StringIO()
    watched = WatchedSettings(path, 'core', log=Log('t', stream=output))
    path.write_text('seeds = 3')
    watched.reload(signalled=True)
    assert watched.current.node == 'core-a-1'
    assert 'settings_invalid' in output.getvalue()


def test_check_settings_prints_findings_and_fails(
    path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert check_settings(path, 'core') == 0
    path.write_text(CORE.replace('"/data/core"', '""'))
    assert check_settings(path, 'core') == 1
    assert 'dataDirectory' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('old', 'new', 'place'),
    [
        ('10.200.0.107:8621', 'http://api', 'cloudApi.address'),
        ('bootstrap = true', 'advice = "advisor"', 'advice'),
        ('10.2.0.25:8623', '10.2.0.25:²', 'seeds[1]'),
    ],
)
def test_address_that_no_client_can_use_is_refused(
    path: Path, old: str, new: str, place: str
) -> None:
    """Guards against a term that ends when its client is created."""
    path.write_text(CORE.replace(old, new))
    with pytest.raises(FindingsError) as error:
        read_settings(path, 'core')
    assert [finding.place for finding in error.value.findings] == [place]


def test_limits_of_the_machine_are_read(path: Path) -> None:
    path.write_text(CORE)
    limits = read_settings(path, 'core').limits
    assert (limits.memory_mb, limits.file_descriptors) == (256, 4096)
    path.write_text(CORE + '[limits]\nmemoryMb = 160\nfileDescriptors = 500\n')
    limits = read_settings(path, 'core').limits
    assert (limits.memory_mb, limits.file_descriptors) == (160, 500)


@pytest.mark.parametrize('value', [0, -1])
def test_limits_that_leave_nothing_are_refused(path: Path, value: int) -> None:
    """Guards against servers that refuse every request."""
    path.write_text(
        f'{CORE}[limits]\nmemoryMb = {value}\nfileDescriptors = {value}\n'
    )
    with pytest.raises(FindingsError) as error:
        read_settings(path, 'core')
    assert [finding.place for finding in error.value.findings] == [
        'limits.memoryMb',
        'limits.fileDescriptors',
    ]


@pytest.mark.parametrize('value', ['"many"', '1.5', 'true', '[]'])
def test_limit_that_is_no_number_is_refused(path: Path, value: str) -> None:
    path.write_text(f'{CORE}[limits]\nmemoryMb = {value}\n')
    with pytest.raises(FindingsError, match='memoryMb'):
        read_settings(path, 'core')


def test_leader_without_an_address_of_the_platform_orders_nothing() -> None:
    """Guards against a term that ends when it begins."""
    client = HttpFleetClient('')
    answer = client.list_instances()
    assert isinstance(answer, Answer)
    assert answer.outcome is Outcome.NOT_SENT
    move = client.move('m1', 'p', holder='c1', token=1)
    assert move.outcome is Outcome.NOT_SENT
    client.close()
