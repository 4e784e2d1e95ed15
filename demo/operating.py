"""Operator commands of the demo, as ``galenareel`` runs them."""

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
class Result:
    """What one command printed and its exit status."""

    status: int
    output: str

    def json(self) -> Any:
        return msgspec.json.decode(self.output)


class Operator:
    """Runs commands against the entries of a topology."""

    def __init__(self, topology: Topology) -> None:
        self._environ = {
            'GALENAREEL_ENTRY': ','.join(
                one.operators for one in topology.entries
            ),
            'GALENAREEL_SECRET': topology.secrets['operator'],
            'GALENAREEL_TIMEOUT_S': str(TIMEOUT_S),
        }

    def run(self, *argv: str) -> Result:
        output = io.StringIO()
        status: Any = 0
        try:
            with redirect_stdout(output), redirect_stderr(output):
                main(argv, self._environ)
        except SystemExit as exc:
            status = exc.code
        return Result(status=int(status or 0), output=output.getvalue())
