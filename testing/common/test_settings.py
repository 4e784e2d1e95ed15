"""Precedence, findings, secrets, help and memory use of the settings."""

from __future__ import annotations

import os
from pathlib import Path
import subprocess
import sys

import pytest

from galenareel._common.readers import Secret
from galenareel._common.settings import ControlSettings
from galenareel._common.settings import EntrySettings
from galenareel._common.settings import list_flag_names
from galenareel._common.settings import OperatorSettings
from galenareel._common.settings import read_settings

ARGV = [
    *('--name', 'c1', '--zone', 'a', '--listen', '127.0.0.1:7000'),
    *('--members', 'c1=127.0.0.1:7000,c2=127.0.0.1:7001'),
    *('--data-dir', '/tmp/c1'),
]
ENVIRON = {'GALENAREEL_CLUSTER_SECRET': 'much too secret'}


def read_control(
    *argv: str, environ: dict[str, str] = ENVIRON
) -> ControlSettings:
    return read_settings(
        'galenareel-control', ControlSettings, argv=argv, environ=environ
    )


def test_flag_overrides_variable_and_variable_overrides_default(
    tmp_path: Path,
) -> None:
    secret = tmp_path / 'secret'
    secret.write_text('from a file\n')
    environ = {
        **ENVIRON,
        'GALENAREEL_ZONE': 'b',
        'GALENAREEL_LOG_LEVEL': 'debug',
    }
    argv = [*ARGV, '--join', '--cluster-secret-file', str(secret)]
    cfg = read_control(*argv, environ=environ)
    assert (cfg.zone, cfg.log_level, cfg.metrics) == ('a', 'debug', 'off')
    assert cfg.join
    assert [member.name for member in cfg.members] == ['c1', 'c2']
    assert cfg.cluster_secret.reveal() == 'from a file'


def test_secret_is_masked() -> None:
    """Guards against secrets in logs and tracebacks."""
    cfg = read_control(*ARGV)
    assert 'too secret' not in f'{cfg!r} {cfg.cluster_secret}'
    assert 'too secret' not in f'{Secret("too secret")!s:>20}'


def test_all_findings_are_reported_together(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against reporting only one wrong setting per attempt."""
    environ = {
        'GALENAREEL_CLUSTER_SECRET': 'short',
        'GALENAREEL_LISTEN': 'nowhere',
    }
    argv = ['--name', 'c 1', '--join=perhaps', '--zone', '--bogus', '3']
    with pytest.raises(SystemExit) as info:
        read_control(*argv, environ=environ)
    assert info.value.code == 2
    err = capsys.readouterr().err
    for place in (
        '--name',
        '--zone',
        'GALENAREEL_LISTEN',
        '--members',
        '--data-dir',
        'GALENAREEL_CLUSTER_SECRET:',
        '--join',
        '--bogus',
    ):
        assert place in err
    assert 'short' not in err


@pytest.mark.parametrize(
    'extra',
    [
        ['--bogus', '1'],
        ['left-over'],
        ['__class__'],
        ['--', '--interactive'],
        ['-'],
        ['--metrics', 'file:'],
        ['--cluster-secret-file', '/does/not/exist'],
        ['--listen', '127.0.0.1:99999'],
        ['--members', 'a=x:1,a=x:2'],
    ],
)
def test_bad_argument_is_a_usage_error(
    extra: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a program that starts despite an invalid argument."""
    with pytest.raises(SystemExit) as info:
        read_control(*ARGV, *extra)
    assert info.value.code == 2
    captured = capsys.readouterr()
    assert captured.out == ''
    assert captured.err.startswith('galenareel-control: ')
    assert 'Traceback' not in captured.err


@pytest.mark.parametrize(
    'model', [ControlSettings, EntrySettings, OperatorSettings]
)
def test_help_lists_all_flags(
    model: type, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as info:
        read_settings('program', model, argv=['--name', '--help'], environ={})
    assert info.value.code == 0
    out = capsys.readouterr().out
    for name in list_flag_names(model):
        assert '--' + name.replace('_', '-') in out


@pytest.mark.parametrize('value', ['0', '-1', 'many', '1e3', '99999999999'])
def test_limit_out_of_range_is_rejected(value: str) -> None:
    """Guards against a limit that is disabled by a zero or invalid value."""
    with pytest.raises(SystemExit):
        read_settings(
            'program', EntrySettings, argv=['--max-queue', value], environ={}
        )


def run_python(code: str, *argv: str) -> subprocess.CompletedProcess[str]:
    environ = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
    return subprocess.run(
        [sys.executable, '-c', code, *argv],
        env=environ,
        capture_output=True,
        text=True,
    )


def test_flag_parser_does_not_stay_in_memory() -> None:
    """Guards against a control process that keeps Fire in memory.

    Fire takes 8 MB of the 32 MB that the process may use.
    """
    code = (
        'import os, sys\n'
        'from galenareel._common.settings import *\n'
        'print(os.getpid(), flush=True)\n'
        'cfg = read_settings("it", ControlSettings)\n'
        'print(cfg.zone, cfg.join, "fire" in sys.modules)'
    )
    secret = Path(__file__)
    argv = [*ARGV, '--cluster-secret-file', str(secret), '--join']
    first, second, shown = run_python(code, *argv).stdout.splitlines()
    assert first == second
    assert shown == 'a True False'


def test_sdk_is_not_loaded_when_metrics_are_off() -> None:
    """Guards against the memory of the SDK in processes without metrics."""
    code = (
        'import sys; from galenareel._common.metrics import Metrics; '
        'Metrics("p").create_counter("n").add(1); '
        'sys.exit(any("opentelemetry.sdk" in name for name in sys.modules))'
    )
    assert run_python(code).returncode == 0
