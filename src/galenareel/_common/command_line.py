"""Command lines, parsed by Fire and kept as raw strings.

Fire calls a function before it notices a left-over argument. So Fire only
fills a private object here; the caller acts after the whole line was read.
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
class Syntax:
    """What one command accepts.

    :param positional: names of the positional arguments, all required.
    :param flags: names of the flags, with underscores.
    """

    positional: tuple[str, ...] = ()
    flags: tuple[str, ...] = ()


class _Values:
    """Values of one command line; Fire finds no public member here."""

    __slots__ = ('_command', '_raw')

    def __init__(self, command: str, raw: dict[str, str]) -> None:
        self._command = command
        self._raw = raw


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandLine:
    """One parsed command line; flags that were not given are absent."""

    command: str = ''
    values: dict[str, str] = field(default_factory=dict)


def parse_command_line(
    program: str,
    syntax: Syntax | dict[str, Syntax],
    argv: Sequence[str],
    findings: Findings,
) -> CommandLine:
    """Parse the arguments of a program with one or with several commands.

    What can't be understood is added to ``findings``; the values that were
    understood are returned all the same, so that all findings can be
    reported together.
    """
    remedy = f'see {program} --help'
    separators = [arg for arg in argv if arg in FIRE_SEPARATORS]
    for arg in separators:
        findings.add(
            place=arg, problem='argument is not understood', remedy=remedy
        )
    rest = [arg for arg in argv if arg not in FIRE_SEPARATORS]
    made: list[_Values] = []
    component: Any
    if isinstance(syntax, Syntax):
        component = _collector('', syntax, made)
    else:
        component = {
            name: _collector(name, one, made) for name, one in syntax.items()
        }
    problem = _run_fire(component, rest, program, made)
    if problem:
        findings.add(place=program, problem=problem, remedy=remedy)
    if not made:
        return CommandLine()
    return CommandLine(command=made[0]._command, values=made[0]._raw)


def _collector(
    command: str, syntax: Syntax, made: list[_Values]
) -> Callable[..., _Values]:
    """A function with the signature of the command, for Fire to call."""

    def collect(*args: str, **flags: str | None) -> _Values:
        raw = dict(zip(syntax.positional, args, strict=False))
        for name, value in flags.items():
            if value is not None:
                raw[name] = value
        made.append(_Values(command, raw))
        return made[-1]

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
    collected: Callable[..., _Values] = SetParseFn(str)(collect)
    return collected


def _run_fire(
    component: Any, argv: Sequence[str], program: str, made: list[_Values]
) -> str:
    """Run Fire silently; returns what it objected to, or nothing.

    Fire opens a pager when its output is a terminal, so its output is
    caught and dropped.
    """
    sink = io.StringIO()
    try:
        with redirect_stdout(sink), redirect_stderr(sink):
            result = Fire(component, command=list(argv), name=program)
    except FireExit as exc:
        last = exc.trace.elements[-1]
        if not made:
            return str(last)
        left = ' '.join(last.args or ()) or str(last)
        return f'argument {left!r} is not understood'
    if not made:
        return 'no command was given'
    if result is not made[0]:
        return 'there are arguments that are not understood'
    return ''
