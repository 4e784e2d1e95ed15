"""Counters and histograms of the OpenTelemetry API, read as text.

The API's instruments are implemented here without the SDK, whose import
takes 17 MB of memory: counts are kept in place and written out when somebody
asks, in the text format that most collectors read.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from typing import Any

from opentelemetry.metrics import Counter
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import NoOpMeter

# Upper bounds of latency histograms, in seconds.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MAX_SERIES = 200  # of one instrument; more attributes are counted as "other"

_Key = tuple[tuple[str, str], ...]
_OTHER: _Key = (('other', 'true'),)


def _key(attributes: Any, known: dict[_Key, Any]) -> _Key:
    if not attributes:
        return ()
    key = tuple(sorted((str(k), str(v)) for k, v in attributes.items()))
    if key not in known and len(known) >= MAX_SERIES:
        return _OTHER
    return key


class TextCounter(Counter):
    """A counter that can be read."""

    def __init__(self, name: str, unit: str = '', description: str = ''):
        self.name = name
        self.description = description
        self.values: dict[_Key, float] = {}

    def add(
        self, amount: float, attributes: Any = None, context: Any = None
    ) -> None:
        key = _key(attributes, self.values)
        self.values[key] = self.values.get(key, 0.0) + amount

    def lines(self) -> list[str]:
        return [
            f'{self.name}_total{_labels(key)} {value:g}'
            for key, value in self.values.items()
        ]


class TextHistogram(Histogram):
    """A histogram of seconds that can be read."""

    def __init__(self, name: str, unit: str = '', description: str = ''):
        self.name = name
        self.description = description
        self.values: dict[_Key, list[int]] = {}
        self.sums: dict[_Key, float] = {}

    def record(
        self, amount: float, attributes: Any = None, context: Any = None
    ) -> None:
        key = _key(attributes, self.values)
        if key not in self.values:
            self.values[key] = [0] * (len(BOUNDS_S) + 1)
            self.sums[key] = 0.0
        self.values[key][bisect_left(BOUNDS_S, amount)] += 1
        self.sums[key] += amount

    def lines(self) -> list[str]:
        found = []
        for key, counts in self.values.items():
            total = 0
            for bound, count in zip((*BOUNDS_S, '+Inf'), counts, strict=True):
                total += count
                labels = _labels((*key, ('le', str(bound))))
                found.append(f'{self.name}_bucket{labels} {total}')
            found.append(f'{self.name}_sum{_labels(key)} {self.sums[key]:g}')
            found.append(f'{self.name}_count{_labels(key)} {total}')
        return found


class TextMeter(NoOpMeter):
    """Makes the instruments of one process and writes them as text."""

    def __init__(self, process: str) -> None:
        super().__init__('galenareel')
        self._process = process
        self._instruments: dict[str, TextCounter | TextHistogram] = {}

    def create_counter(
        self, name: str, unit: str = '', description: str = ''
    ) -> TextCounter:
        made = TextCounter(name, unit, description)
        self._instruments[name] = made
        return made

    def create_histogram(
        self,
        name: str,
        unit: str = '',
        description: str = '',
        *,
        explicit_bucket_boundaries_advisory: Sequence[float] | None = None,
    ) -> TextHistogram:
        made = TextHistogram(name, unit, description)
        self._instruments[name] = made
        return made

    def render_text(self) -> str:
        """All instruments in the text format of collectors."""
        lines = [f'# process {self._process}']
        for name, one in sorted(self._instruments.items()):
            kind = 'counter' if isinstance(one, Counter) else 'histogram'
            lines.append(f'# HELP {name} {one.description}')
            lines.append(f'# TYPE {name} {kind}')
            lines += one.lines()
        return '\n'.join(lines) + '\n'


def _labels(key: _Key) -> str:
    if not key:
        return ''
    inner = ','.join(f'{name}="{value}"' for name, value in key)
    return '{' + inner + '}'
