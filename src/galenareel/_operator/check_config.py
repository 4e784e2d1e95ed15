"""Check a configuration of the jobs with the program of the adapter.

Only the adapter knows the format of the document, so it reads, checks and
prints; this command passes its arguments and its exit status on.
"""

from __future__ import annotations

from pathlib import Path
import subprocess
import sys

import galenareel

USAGE_ERROR = 2


def run_check(file: str, *, against: str, as_json: bool, adapter: str) -> int:
    """Run the check and return its exit status.

    :param adapter: program of the adapter, or empty for the one beside the
        sources of this package.
    """
    program = Path(adapter) if adapter else _find_adapter()
    if not program.is_file():
        print(
            f'{program}: there is no adapter; name its run.py with --adapter',
            file=sys.stderr,
        )
        return USAGE_ERROR
    arguments = [sys.executable, str(program), 'check-config', file]
    if against:
        arguments += ['--against', against]
    if as_json:
        arguments.append('--json')
    sys.stdout.flush()
    return subprocess.run(arguments).returncode


def _find_adapter() -> Path:
    sources = Path(galenareel.__file__).resolve().parents[1]
    return sources.parent / 'platform' / 'run.py'
