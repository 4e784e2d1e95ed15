"""Run operator commands as the command line ``galenareel`` does."""

from __future__ import annotations

from contextlib import redirect_stderr
from contextlib import redirect_stdout
from dataclasses import dataclass
import io
from typing import Any

import msgspec

from demo.topology import Topology
from galenareel._operator.main import main

TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """Output and exit status of a command."""

    status: int
    output: str

    def json(self) -> Any:
        """Decode the output as JSON."""
        return msgspec.json.decode(self.output)


class Operator:
    """Runs operator commands against the entries of a topology."""

    def __init__(self, topology: Topology) -> None:
        self._environ = {
            'GALENAREEL_ENTRY': ','.join(
                entry.operators for entry in topology.entries
            ),
            'GALENAREEL_SECRET': topology.secrets['operator'],
            'GALENAREEL_TIMEOUT_S': str(TIMEOUT_S),
        }

    def run(self, *argv: str) -> CommandResult:
        output = io.StringIO()
        status: Any = 0
        try:
            with redirect_stdout(output), redirect_stderr(output):
                main(argv, self._environ)
        except SystemExit as exc:
            status = exc.code
        return CommandResult(status=int(status or 0), output=output.getvalue())
