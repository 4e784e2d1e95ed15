"""Export of metrics with the OpenTelemetry SDK.

Imported only when metrics are on; see :mod:`galenareel._common.metrics`.
"""

from __future__ import annotations

from typing import TextIO

from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource


def open_provider(
    process: str, out: TextIO, interval_s: float
) -> MeterProvider:
    """Return a provider that writes one JSON line per interval.

    :param process: name of the process, exported as ``service.instance.id``.
    """
    exporter = export.ConsoleMetricExporter(
        out=out, formatter=lambda data: data.to_json(indent=None) + '\n'
    )
    reader = export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=interval_s * 1000
    )
    resource = Resource({'service.instance.id': process})
    return MeterProvider([reader], resource=resource)
