"""Settings of the programs, from flags and environment variables.

A settings model is a frozen data class. Each field is declared with
:func:`declare_setting`, which gives its help text and its reader. A flag
takes precedence over the environment variable of the same name, and the
variable over the default.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from dataclasses import dataclass
import os
from pathlib import Path
import sys
from typing import Any
from typing import NoReturn
from typing import TypeVar

from galenareel._common.findings import Findings
from galenareel._common.findings import FindingsError
from galenareel._common.readers import make_choice_reader
from galenareel._common.readers import make_int_reader
from galenareel._common.readers import make_seconds_reader
from galenareel._common.readers import Member
from galenareel._common.readers import read_address
from galenareel._common.readers import read_addresses
from galenareel._common.readers import read_bool
from galenareel._common.readers import read_members
from galenareel._common.readers import read_metrics
from galenareel._common.readers import read_name
from galenareel._common.readers import read_url
from galenareel._common.readers import Secret
from galenareel._common.setting_fields import declare_secret
from galenareel._common.setting_fields import declare_setting
from galenareel._common.setting_fields import Setting

# Start of the names of environment variables.
PREFIX = 'GALENAREEL_'
# Exit status of a usage error.
USAGE_STATUS = 2
# Column of the help text of a flag.
HELP_COLUMN = 34
HELP_FLAGS = ('-h', '--help')

T = TypeVar('T')


def _declare_address(text: str) -> Any:
    return declare_setting(text, reader=read_address, metavar='HOST:PORT')


def _declare_log_level() -> Any:
    return declare_setting(
        'lowest level of the log lines on standard output',
        reader=make_choice_reader('debug', 'info', 'warning', 'error'),
        metavar='LEVEL',
        default='info',
    )


def _declare_metrics() -> Any:
    return declare_setting(
        'where metrics go: off, console or file:PATH',
        reader=read_metrics,
        metavar='TARGET',
        default='off',
    )


def _declare_count(text: str, default: int, *, high: int = 2**31 - 1) -> Any:
    reader = make_int_reader(low=1, high=high)
    return declare_setting(text, reader=reader, metavar='N', default=default)


def _declare_seconds(
    text: str, default: float, *, high: float = 3600.0
) -> Any:
    reader = make_seconds_reader(low=0.01, high=high)
    return declare_setting(text, reader=reader, metavar='S', default=default)


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of ``galenareel-control``."""

    name: str = declare_setting(
        'name of this member; one of --members unless --join is set',
        reader=read_name,
        metavar='NAME',
    )
    zone: str = declare_setting(
        'availability zone of this instance', reader=read_name, metavar='ZONE'
    )
    listen: str = _declare_address('address of the frames')
    members: tuple[Member, ...] = declare_setting(
        'initial control members of the system',
        reader=read_members,
        metavar='NAME=HOST:PORT,...',
    )
    data_dir: Path = declare_setting(
        'folder of the durable state; made if it is missing',
        reader=Path,
        metavar='PATH',
    )
    cluster_secret: Secret = declare_secret(
        'secret shared by the processes of the system'
    )
    platform_url: str = declare_setting(
        'the platform that reboots instances; waves need it',
        reader=read_url,
        metavar='URL',
        default='',
    )
    join: bool = declare_setting(
        'start as a new member of a system that is already running',
        reader=read_bool,
        metavar='BOOL',
        default=False,
    )
    log_level: str = _declare_log_level()
    metrics: str = _declare_metrics()


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of ``galenareel-entry``."""

    name: str = declare_setting(
        'name of this entry instance', reader=read_name, metavar='NAME'
    )
    zone: str = declare_setting(
        'availability zone of this instance', reader=read_name, metavar='ZONE'
    )
    callers: str = _declare_address('address of the HTTP for callers')
    announcements: str = _declare_address(
        'address of the HTTP for backend servers'
    )
    operators: str = _declare_address('address of the HTTP for operators')
    frames: str = _declare_address('address of the frames')
    advertise: str = declare_setting(
        'address at which other entries reach --frames, if it differs',
        reader=read_address,
        metavar='HOST:PORT',
        default='',
    )
    control: tuple[str, ...] = declare_setting(
        'frame addresses of the control members',
        reader=read_addresses,
        metavar='HOST:PORT,...',
    )
    cluster_secret: Secret = declare_secret(
        'secret shared by the processes of the system'
    )
    announce_secret: Secret = declare_secret(
        'secret that backend servers announce themselves with'
    )
    operator_secret: Secret = declare_secret('secret that operators call with')
    max_header_bytes: int = _declare_count(
        'size of the headers of a request', 16384
    )
    max_headers: int = _declare_count('headers of a request', 100)
    max_body_bytes: int = _declare_count(
        'size of the body of a request', 1 << 20
    )
    max_receive_bytes: int = _declare_count(
        'memory for the requests of all connections, until their answers',
        64 << 20,
    )
    max_answer_bytes: int = _declare_count(
        'size of the body of an answer', 8 << 20
    )
    max_answer_head_bytes: int = _declare_count(
        'size of the status and headers of an answer', 64 << 10
    )
    header_timeout_s: float = _declare_seconds(
        'time for the headers to arrive', 5.0
    )
    body_timeout_s: float = _declare_seconds(
        'time for the body to arrive', 20.0
    )
    idle_timeout_s: float = _declare_seconds(
        'time that a caller connection stays open without a request', 75.0
    )
    send_timeout_s: float = _declare_seconds(
        'time for a caller to receive a part of an answer', 20.0
    )
    connect_timeout_s: float = _declare_seconds(
        'time to connect to a backend server', 1.0
    )
    max_deadline_s: float = _declare_seconds(
        'longest deadline that a caller may set', 3600.0, high=86400.0
    )
    max_connections: int = _declare_count('caller connections in all', 2000)
    max_connections_per_address: int = _declare_count(
        'caller connections from one address, e.g. of a load balancer',
        1000,
    )
    max_queue: int = _declare_count(
        'requests that wait in the queue of each pool', 1000
    )
    max_queue_bytes: int = _declare_count(
        'size of the requests that wait, over all pools', 16 << 20
    )
    stop_grace_s: float = _declare_seconds(
        'time from not ready to refusing new requests, at a planned stop',
        3.0,
    )
    stop_limit_s: float = _declare_seconds(
        'longest wait for requests in flight at a planned stop', 60.0
    )
    log_level: str = _declare_log_level()
    metrics: str = _declare_metrics()


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of ``galenareel``."""

    entry: tuple[str, ...] = declare_setting(
        'operator addresses of entry instances, tried in this order',
        reader=read_addresses,
        metavar='HOST:PORT,...',
    )
    secret: Secret = declare_secret('the operator secret')
    timeout_s: float = _declare_seconds(
        'time for an operation, with retries', 15.0
    )


def get_flag_name(model_field: dataclasses.Field[Any]) -> str:
    """Return the name of a field's flag, with underscores.

    The name for a secret ends with ``_file``.
    """
    secret = model_field.metadata['setting'].secret
    return model_field.name + ('_file' if secret else '')


def list_flag_names(model: Any) -> tuple[str, ...]:
    return tuple(
        get_flag_name(model_field) for model_field in dataclasses.fields(model)
    )


def format_flag(flag: str) -> str:
    """Return a flag as it is written on the command line."""
    return '--' + flag.replace('_', '-')


def fill_model(
    model: type[T],
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    findings: Findings,
) -> T | None:
    """Read the values of all fields and create the settings model.

    :param flags: raw strings by flag name, with underscores.
    :param environ: environment variables.
    :param findings: receives what is wrong with the values.
    :returns: ``None`` if there are findings.
    """
    previous_count = len(findings.items)
    values: dict[str, Any] = {}
    for model_field in dataclasses.fields(model):  # type: ignore[arg-type]
        value = _read_field(model_field, flags, environ, findings)
        if value is not None:
            values[model_field.name] = value
    if len(findings.items) > previous_count:
        return None
    return model(**values)


def _read_field(
    model_field: dataclasses.Field[Any],
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    findings: Findings,
) -> Any:
    """Return the value of a field.

    :returns: ``None`` if the default applies or a finding was added.
    """
    declared: Setting = model_field.metadata['setting']
    flag = get_flag_name(model_field)
    variable = PREFIX + flag.upper()
    if flag in flags:
        place, raw = format_flag(flag), flags[flag]
    elif variable in environ:
        place, raw = variable, environ[variable]
    elif declared.secret and PREFIX + model_field.name.upper() in environ:
        place = PREFIX + model_field.name.upper()
        return _read(declared, place, environ[place], findings)
    else:
        if model_field.default is dataclasses.MISSING:
            findings.add(
                place=format_flag(flag),
                problem='not set',
                remedy=f'set the flag or {variable}',
            )
        return None
    if place.startswith('--') and raw == 'True' and declared.metavar != 'BOOL':
        findings.add(
            place=place, problem='no value', remedy=f'give {declared.metavar}'
        )
        return None
    if declared.secret:
        return _read_secret_file(declared, place, raw, findings)
    return _read(declared, place, raw, findings)


def _read(declared: Setting, place: str, raw: str, findings: Findings) -> Any:
    try:
        return declared.reader(raw)
    except ValueError as exc:
        shown = 'the secret' if declared.secret else repr(raw)
        findings.add(
            place=place,
            problem=f'{shown} is not valid',
            remedy=f'it {exc}',
        )
        return None


def _read_secret_file(
    declared: Setting, place: str, path: str, findings: Findings
) -> Any:
    try:
        raw = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not text'
        findings.add(
            place=place,
            problem=f'cannot read {path!r}: {reason}',
            remedy='name a text file that holds only the secret',
        )
        return None
    return _read(declared, place, raw, findings)


def describe_flags(model: Any) -> str:
    """Return the lines of ``--help`` about the flags of a model."""
    lines = []
    for model_field in dataclasses.fields(model):
        declared: Setting = model_field.metadata['setting']
        flag = (
            f'  {format_flag(get_flag_name(model_field))} {declared.metavar}'
        )
        default = _format_default(model_field.default)
        lines.append(f'{flag:<{HELP_COLUMN}} {declared.help} ({default})')
    return '\n'.join(lines)


def _format_default(default: Any) -> str:
    if default is dataclasses.MISSING:
        return 'required'
    return f'default: {default}' if default != '' else 'default: none'


HELP_EPILOG = f"""\
Each flag can also be set by a variable: {PREFIX} and the name of the flag in
capitals, e.g. {PREFIX}LOG_LEVEL; the flag takes precedence. A secret can be
given by the variable without _FILE instead of a file, e.g.
{PREFIX}CLUSTER_SECRET.
"""


def exit_with_findings(program: str, error: FindingsError) -> NoReturn:
    """Print all findings and exit with the status of a usage error."""
    for finding in error.findings:
        print(f'{program}: {finding}', file=sys.stderr)
    sys.exit(USAGE_STATUS)


def read_settings(
    program: str,
    model: type[T],
    *,
    summary: str = '',
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> T:
    """Return the settings of a program without commands.

    For ``--help`` and for invalid settings, the help or all findings are
    printed and the process exits. If the process was given flags, it restarts
    itself with environment variables in their place once they are valid; see
    :func:`_restart_without_flags`.

    :param summary: description of the program in its help.
    :param argv: arguments instead of those of the process; does not restart.
    :param environ: variables instead of those of the process.
    """
    is_own_argv = argv is None
    argv = sys.argv[1:] if argv is None else argv
    environ = os.environ if environ is None else environ
    if any(arg in HELP_FLAGS for arg in argv):
        print(f'usage: {program} [flags]\n\n{summary}\n\nflags:')
        print(f'{describe_flags(model)}\n\n{HELP_EPILOG}', end='')
        sys.exit(0)
    findings = Findings()
    flags = _parse_flags(program, model, argv, findings) if argv else {}
    cfg = fill_model(model, flags, environ, findings)
    if cfg is None or findings.items:
        exit_with_findings(program, FindingsError(tuple(findings.items)))
    if is_own_argv and argv:
        _restart_without_flags(len(argv), flags, environ)
    return cfg


def _parse_flags(
    program: str, model: Any, argv: Sequence[str], findings: Findings
) -> dict[str, str]:
    # Fire adds 8 MB of resident memory, a quarter of what a control process
    # may use, so it is imported only if there are flags to parse.
    from galenareel._common.command_line import CommandSyntax
    from galenareel._common.command_line import parse_command_line

    syntax = CommandSyntax(flags=list_flag_names(model))
    return parse_command_line(program, syntax, argv, findings).values


def _restart_without_flags(
    count: int, flags: Mapping[str, str], environ: Mapping[str, str]
) -> NoReturn:
    """Restart the program in the same process, with variables for flags.

    This releases the memory of the flag parser; the process keeps its id.

    :param count: number of arguments to leave out.
    """
    variables = {PREFIX + name.upper(): raw for name, raw in flags.items()}
    command = [sys.executable, *sys.orig_argv[1:-count]]
    os.execve(sys.executable, command, {**environ, **variables})
