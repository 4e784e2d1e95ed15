"""Commands of ``galenareel`` with their arguments, flags and help."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from galenareel._common.readers import read_bool
from galenareel._common.readers import read_name
from galenareel._common.setting_fields import declare_setting
from galenareel._common.settings import describe_flags
from galenareel._common.settings import HELP_EPILOG
from galenareel._common.settings import OperatorSettings


def _declare_switch(text: str) -> Any:
    return declare_setting(
        text, reader=read_bool, metavar='BOOL', default=False
    )


def _declare_text(text: str, metavar: str) -> Any:
    return declare_setting(text, reader=str, metavar=metavar, default='')


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalSettings:
    """Settings of a command that calls no process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShowSettings(OperatorSettings):
    """Settings of a command that shows an answer."""

    json: bool = _declare_switch('print the answer as JSON')


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteSettings(ShowSettings):
    """Settings of ``promote``."""

    digest: str = _declare_text(
        'digest of the text, as submit printed it; asked for if absent',
        'DIGEST',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberSettings(ShowSettings):
    """Settings of ``members``."""

    add: str = _declare_text('add this control member', 'NAME=HOST:PORT')
    remove: str = declare_setting(
        'remove this control member',
        reader=read_name,
        metavar='NAME',
        default='',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class TimelineSettings(ShowSettings):
    """Settings of ``timeline``."""

    instance: str = _declare_text(
        'only events about this instance', 'ZONE/NAME'
    )
    pool: str = _declare_text('only events about this pool', 'POOL')
    document: str = _declare_text('only events about this version', 'VERSION')
    request: str = _declare_text('only events about this request', 'ID')
    follow: bool = _declare_switch('keep printing new events')


@dataclass(frozen=True, slots=True, kw_only=True)
class JobLogSettings:
    """Settings of ``job``."""

    logs: str = declare_setting(
        'log files of the processes, with commas between them',
        reader=str,
        metavar='FILE,...',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class LossesSettings:
    """Settings of ``losses``."""

    json: bool = _declare_switch('print the losses as JSON')


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckConfigSettings:
    """Settings of ``check-config``."""

    against: str = _declare_text('configuration in force, to compare', 'FILE')
    json: bool = _declare_switch('print the findings as JSON')
    adapter: str = _declare_text(
        'run.py of the adapter that reads the configuration; that of the '
        'checkout if absent',
        'FILE',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """Definition of a command.

    :param model: settings model, whose fields become the flags.
    :param help: description in the output of ``--help``.
    :param arguments: names of the positional arguments, all required.
    """

    model: type[Any]
    help: str
    arguments: tuple[str, ...] = ()


COMMANDS: Mapping[str, Command] = {
    'validate': Command(
        model=LocalSettings,
        arguments=('file',),
        help='check a document without sending it anywhere',
    ),
    'check-config': Command(
        model=CheckConfigSettings,
        arguments=('file',),
        help='check a configuration of the jobs without sending it anywhere',
    ),
    'submit': Command(
        model=ShowSettings,
        arguments=('file',),
        help='submit a document as a trial; changes nothing that is served',
    ),
    'promote': Command(
        model=PromoteSettings,
        arguments=('version',),
        help='put a submitted version in force',
    ),
    'status': Command(
        model=ShowSettings,
        help='pools, instances, entries, documents and waves as they are now',
    ),
    'explain': Command(
        model=ShowSettings,
        arguments=('subject',),
        help='why an instance, pool, wave or document is in its state',
    ),
    'timeline': Command(
        model=TimelineSettings,
        help='events of all processes in causal order',
    ),
    'job': Command(
        model=JobLogSettings,
        arguments=('job',),
        help='what happened to a job, from the logs of the processes',
    ),
    'losses': Command(
        model=LossesSettings,
        arguments=('logs',),
        help='late, refused and failed jobs by cause, from log files with '
        'commas between them',
    ),
    'members': Command(
        model=MemberSettings,
        help='show, add or remove the control members',
    ),
    'retry-wave': Command(
        model=ShowSettings,
        arguments=('wave',),
        help='resume a wave that stopped after failures',
    ),
    'measure': Command(
        model=ShowSettings,
        help='buffer cost, roll-out time and moves, as they are now',
    ),
}


def format_usage() -> str:
    """Return the help of the program, with all commands."""
    lines = ['usage: galenareel COMMAND [arguments] [flags]', '']
    lines += ['Operates galenareel over the operator HTTP of its entries.', '']
    lines.append('commands:')
    for name, command in COMMANDS.items():
        lines.append(f'  {_format_synopsis(name, command):<22} {command.help}')
    lines += ['', 'flags of each command that calls an entry:']
    lines.append(describe_flags(OperatorSettings))
    lines += ['', 'Exit status: 0 done, 1 refused or failed, 2 wrong usage.']
    lines += ['galenareel COMMAND --help shows all flags of a command.', '']
    return '\n'.join(lines) + HELP_EPILOG


def format_command_usage(name: str) -> str:
    """Return the help of one command."""
    command = COMMANDS[name]
    lines = [
        f'usage: galenareel {_format_synopsis(name, command)} [flags]',
        '',
    ]
    lines += [command.help[0].upper() + command.help[1:] + '.', '']
    flags = describe_flags(command.model)
    if flags:
        lines += ['flags:', flags, '']
    return '\n'.join(lines) + HELP_EPILOG


def _format_synopsis(name: str, command: Command) -> str:
    """Return the command with its arguments, e.g. ``submit FILE``."""
    return ' '.join([name, *(word.upper() for word in command.arguments)])
