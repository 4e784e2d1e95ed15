"""Reading, checking and reloading the platform's settings file.

Guards against a process that starts or goes on with invalid settings, or
that misses a change of the file.
"""

from __future__ import annotations

import io
import os
from pathlib import Path

from adapter.settings import check_settings
from adapter.settings import read_settings
from adapter.settings import WatchedSettings
import pytest

from galenareel._common.findings import FindingsError
from galenareel._common.log import Log

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
