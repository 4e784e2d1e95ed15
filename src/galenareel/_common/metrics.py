"""Counters and histograms of the OpenTelemetry API.

Metrics are off by default; the no-op instruments of the API then cost one
empty call each. The SDK is imported only when metrics are on, because it
increases the resident memory.
"""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Any
from typing import TextIO

from opentelemetry.metrics import Counter
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import Meter
from opentelemetry.metrics import NoOpMeterProvider

OFF = 'off'
CONSOLE = 'console'
FILE = 'file:'
EXPORT_INTERVAL_S = 10.0


class Metrics:
    """Creates and exports the instruments of one process.

    :param process: name of the process, on every exported line.
    :param target: ``off``, ``console`` or ``file:PATH``.
    :param interval_s: time between exports.
    :raises OSError: if the file cannot be opened.
    """

    def __init__(
        self,
        process: str,
        target: str = OFF,
        *,
        interval_s: float = EXPORT_INTERVAL_S,
    ) -> None:
        self._process = process
        self._target = target
        self._interval_s = interval_s
        self._provider: Any = NoOpMeterProvider()
        self._out: TextIO | None = None
        if target != OFF:
            self._provider = self._open()
        self._meter: Meter = self._provider.get_meter('galenareel')

    def create_counter(
        self, name: str, *, unit: str = '1', description: str = ''
    ) -> Counter:
        return self._meter.create_counter(
            name, unit=unit, description=description
        )

    def create_histogram(
        self, name: str, *, unit: str = 's', description: str = ''
    ) -> Histogram:
        return self._meter.create_histogram(
            name, unit=unit, description=description
        )

    def close(self) -> None:
        """Export the last values and close the file."""
        if self._target == OFF:
            return
        self._provider.shutdown()
        if self._out is not None and self._out is not sys.stdout:
            self._out.close()

    def _open(self) -> Any:
        """Open the target and return the meter provider of the SDK.

        :raises OSError: if the file cannot be opened.
        """
        from galenareel._common.metrics_export import open_provider

        if self._target == CONSOLE:
            self._out = sys.stdout
        else:
            self._out = Path(self._target.removeprefix(FILE)).open('a')
        return open_provider(self._process, self._out, self._interval_s)
