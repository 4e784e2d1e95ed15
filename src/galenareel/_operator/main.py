"""Entry point of ``galenareel``, the command line of operators.

Exit status: 0 done, 1 refused or failed, 2 wrong usage.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import os
import sys

from galenareel._common.command_line import CommandLine
from galenareel._common.command_line import CommandSyntax
from galenareel._common.command_line import parse_command_line
from galenareel._common.findings import Findings
from galenareel._common.findings import FindingsError
from galenareel._common.settings import exit_with_findings
from galenareel._common.settings import fill_model
from galenareel._common.settings import HELP_FLAGS
from galenareel._common.settings import list_flag_names
from galenareel._operator.commands import COMMANDS
from galenareel._operator.commands import format_command_usage
from galenareel._operator.commands import format_usage
from galenareel._operator.run import FAILED
from galenareel._operator.run import run_command

PROGRAM = 'galenareel'
# Exit statuses; the last one is 128 plus the number of SIGINT, as in a shell.
USAGE_ERROR = 2
INTERRUPTED = 130


def main(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> None:
    """Run one command and exit with its status.

    :param argv: arguments instead of those of the process.
    :param environ: environment variables instead of those of the process.
    """
    argv = sys.argv[1:] if argv is None else argv
    environ = os.environ if environ is None else environ
    if any(arg in HELP_FLAGS for arg in argv):
        is_command = argv[0] in COMMANDS
        print(
            format_command_usage(argv[0]) if is_command else format_usage(),
            end='',
        )
        sys.exit(0)
    if not argv:
        print(format_usage(), end='', file=sys.stderr)
        sys.exit(USAGE_ERROR)
    sys.exit(_run(argv, environ))


def _run(argv: Sequence[str], environ: Mapping[str, str]) -> int:
    findings = Findings()
    line = _parse(argv, findings)
    if not line.command:
        exit_with_findings(PROGRAM, FindingsError(tuple(findings.items)))
    model = COMMANDS[line.command].model
    cfg = fill_model(model, line.values, environ, findings)
    if findings.items:
        exit_with_findings(PROGRAM, FindingsError(tuple(findings.items)))
    try:
        status = run_command(line.command, line.values, cfg)
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return INTERRUPTED
    except BrokenPipeError:
        # The reader of the output has exited. Replace standard output, so that
        # the interpreter does not flush into the closed pipe at its exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return FAILED
    except Exception as exc:
        problem = f'{type(exc).__name__}: {exc}'
        print(f'{PROGRAM}: unexpected error: {problem}', file=sys.stderr)
        return FAILED


def _parse(argv: Sequence[str], findings: Findings) -> CommandLine:
    if argv[0] not in COMMANDS:
        findings.add(
            place=argv[0],
            problem='no such command',
            remedy=f'use one of {", ".join(COMMANDS)}',
        )
        return CommandLine()
    syntax = {
        name: CommandSyntax(
            positional=command.arguments,
            flags=list_flag_names(command.model),
        )
        for name, command in COMMANDS.items()
    }
    return parse_command_line(PROGRAM, syntax, argv, findings)


if __name__ == '__main__':
    main()
