"""Parsing of command lines with Fire into raw strings.

Fire calls a command's function before it reports unused arguments. Therefore
Fire only collects the values into a private object here, and the caller runs
the command after the whole line has been accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from contextlib import redirect_stderr
from contextlib import redirect_stdout
from dataclasses import dataclass
from dataclasses import field
from inspect import Parameter
from inspect import Signature
import io
from typing import Any

from fire.core import Fire
from fire.core import FireExit
from fire.decorators import SetParseFn

from galenareel._common.findings import Findings

FIRE_SEPARATORS = ('--', '-')


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandSyntax:
    """Arguments and flags that a command accepts.

    :param positional: names of the positional arguments, all required.
    :param flags: names of the flags, with underscores.
    """

    positional: tuple[str, ...] = ()
    flags: tuple[str, ...] = ()


class _Values:
    """Values of one command line.

    It has no public members, because Fire would accept their names as further
    arguments.
    """

    __slots__ = ('_command', '_raw')

    def __init__(self, command: str, raw: dict[str, str]) -> None:
        self._command = command
        self._raw = raw


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandLine:
    """A parsed command line.

    :param command: name of the command; empty if there is only one.
    :param values: raw strings by name; flags that were not given are missing.
    """

    command: str = ''
    values: dict[str, str] = field(default_factory=dict)


def parse_command_line(
    program: str,
    syntax: CommandSyntax | dict[str, CommandSyntax],
    argv: Sequence[str],
    findings: Findings,
) -> CommandLine:
    """Parse the arguments of a program with one or with several commands.

    Invalid arguments are added to ``findings``. The valid ones are returned
    all the same, so that their values can be checked too and all findings be
    reported together.

    :param program: name of the program, used in the findings.
    :param syntax: of the only command, or of each command by its name.
    """
    remedy = f'see {program} --help'
    separators = [arg for arg in argv if arg in FIRE_SEPARATORS]
    for arg in separators:
        findings.add(
            place=arg, problem='argument is not understood', remedy=remedy
        )
    remaining = [arg for arg in argv if arg not in FIRE_SEPARATORS]
    collected: list[_Values] = []
    component: Any
    if isinstance(syntax, CommandSyntax):
        component = _make_collector('', syntax, collected)
    else:
        component = {
            name: _make_collector(name, command_syntax, collected)
            for name, command_syntax in syntax.items()
        }
    problem = _run_fire(component, remaining, program, collected)
    if problem:
        findings.add(place=program, problem=problem, remedy=remedy)
    if not collected:
        return CommandLine()
    return CommandLine(command=collected[0]._command, values=collected[0]._raw)


def _make_collector(
    command: str, syntax: CommandSyntax, collected: list[_Values]
) -> Callable[..., _Values]:
    """Return a function with the signature of the command for Fire to call.

    The function appends the values that it receives to ``collected``.
    """

    def collect(*args: str, **flags: str | None) -> _Values:
        raw = dict(zip(syntax.positional, args, strict=False))
        for name, value in flags.items():
            if value is not None:
                raw[name] = value
        collected.append(_Values(command, raw))
        return collected[-1]

    positional = [
        Parameter(name, Parameter.POSITIONAL_OR_KEYWORD)
        for name in syntax.positional
    ]
    flags = [
        Parameter(name, Parameter.KEYWORD_ONLY, default=None)
        for name in syntax.flags
    ]
    collect.__signature__ = Signature(  # type: ignore[attr-defined]
        [*positional, *flags]
    )
    collector: Callable[..., _Values] = SetParseFn(str)(collect)
    return collector


def _run_fire(
    component: Any, argv: Sequence[str], program: str, collected: list[_Values]
) -> str:
    """Run Fire without output.

    Fire opens a pager if its output is a terminal, so the output is captured
    and dropped.

    :returns: the error that Fire reported; empty if there was none.
    """
    sink = io.StringIO()
    try:
        with redirect_stdout(sink), redirect_stderr(sink):
            result = Fire(component, command=list(argv), name=program)
    except FireExit as exc:
        last = exc.trace.elements[-1]
        if not collected:
            return str(last)
        unused = ' '.join(last.args or ()) or str(last)
        return f'argument {unused!r} is not understood'
    if not collected:
        return 'no command was given'
    if result is not collected[0]:
        return 'there are arguments that are not understood'
    return ''
