"""Instruments of the OpenTelemetry API in Prometheus text format.

The instruments of the API are implemented here without the SDK, because
importing the SDK takes 17 MB of memory. Values are kept in the instruments
and rendered on request.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from typing import Any

from opentelemetry.metrics import _Gauge
from opentelemetry.metrics import Counter
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import NoOpMeter

# Upper bounds of the histogram buckets, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
# Limit of one instrument; further sets of attributes are counted together in
# one series with the label other="true".
MAX_SERIES = 200

_Key = tuple[tuple[str, str], ...]
_OTHER: _Key = (('other', 'true'),)


def _make_key(attributes: Any, known: dict[_Key, Any]) -> _Key:
    """Return the key of the series, ``_OTHER`` beyond the series limit."""
    if not attributes:
        return ()
    key = tuple(sorted((str(k), str(v)) for k, v in attributes.items()))
    if key not in known and len(known) >= MAX_SERIES:
        return _OTHER
    return key


class TextCounter(Counter):
    """Counter whose values can be rendered as text."""

    def __init__(self, name: str, unit: str = '', description: str = ''):
        self.name = name
        self.description = description
        self.values: dict[_Key, float] = {}

    def add(
        self, amount: float, attributes: Any = None, context: Any = None
    ) -> None:
        key = _make_key(attributes, self.values)
        self.values[key] = self.values.get(key, 0.0) + amount

    def format_lines(self) -> list[str]:
        return [
            f'{self.name}_total{_format_labels(key)} {value:g}'
            for key, value in self.values.items()
        ]


class TextGauge(_Gauge):  # the API exports its class under this name
    """Gauge whose last values can be rendered as text."""

    def __init__(self, name: str, unit: str = '', description: str = ''):
        self.name = name
        self.description = description
        self.values: dict[_Key, float] = {}

    def set(
        self, amount: float, attributes: Any = None, context: Any = None
    ) -> None:
        self.values[_make_key(attributes, self.values)] = amount

    def format_lines(self) -> list[str]:
        return [
            f'{self.name}{_format_labels(key)} {value:g}'
            for key, value in self.values.items()
        ]


class TextHistogram(Histogram):
    """Histogram of seconds whose values can be rendered as text."""

    def __init__(self, name: str, unit: str = '', description: str = ''):
        self.name = name
        self.description = description
        self.values: dict[_Key, list[int]] = {}
        self.sums: dict[_Key, float] = {}

    def record(
        self, amount: float, attributes: Any = None, context: Any = None
    ) -> None:
        key = _make_key(attributes, self.values)
        if key not in self.values:
            self.values[key] = [0] * (len(BUCKETS_S) + 1)
            self.sums[key] = 0.0
        self.values[key][bisect_left(BUCKETS_S, amount)] += 1
        self.sums[key] += amount

    def format_lines(self) -> list[str]:
        lines = []
        for key, counts in self.values.items():
            total = 0
            for bound, count in zip((*BUCKETS_S, '+Inf'), counts, strict=True):
                total += count
                labels = _format_labels((*key, ('le', str(bound))))
                lines.append(f'{self.name}_bucket{labels} {total}')
            lines.append(
                f'{self.name}_sum{_format_labels(key)} {self.sums[key]:g}'
            )
            lines.append(f'{self.name}_count{_format_labels(key)} {total}')
        return lines


_Instrument = TextCounter | TextGauge | TextHistogram
_KINDS: dict[type, str] = {
    TextCounter: 'counter',
    TextGauge: 'gauge',
    TextHistogram: 'histogram',
}


class TextMeter(NoOpMeter):
    """Creates the instruments of one process and renders them as text."""

    def __init__(self, process: str) -> None:
        super().__init__('galenareel')
        self._process = process
        self._instruments: dict[str, _Instrument] = {}

    def create_counter(
        self, name: str, unit: str = '', description: str = ''
    ) -> TextCounter:
        instrument = TextCounter(name, unit, description)
        self._instruments[name] = instrument
        return instrument

    def create_gauge(
        self, name: str, unit: str = '', description: str = ''
    ) -> TextGauge:
        instrument = TextGauge(name, unit, description)
        self._instruments[name] = instrument
        return instrument

    def create_histogram(
        self,
        name: str,
        unit: str = '',
        description: str = '',
        *,
        explicit_bucket_boundaries_advisory: Sequence[float] | None = None,
    ) -> TextHistogram:
        instrument = TextHistogram(name, unit, description)
        self._instruments[name] = instrument
        return instrument

    def render_text(self) -> str:
        """Return all instruments in the Prometheus text format."""
        lines = [f'# process {self._process}']
        for name, instrument in sorted(self._instruments.items()):
            kind = _KINDS[type(instrument)]
            lines.append(f'# HELP {name} {instrument.description}')
            lines.append(f'# TYPE {name} {kind}')
            lines += instrument.format_lines()
        return '\n'.join(lines) + '\n'


def _format_labels(key: _Key) -> str:
    if not key:
        return ''
    inner = ','.join(f'{name}="{value}"' for name, value in key)
    return '{' + inner + '}'
