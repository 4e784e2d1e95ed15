"""Export of metrics by the OpenTelemetry SDK; imported only when on."""

from __future__ import annotations

from typing import TextIO

from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource


def open_provider(
    process: str, out: TextIO, interval_s: float
) -> MeterProvider:
    """A provider that writes one JSON line per interval."""
    exporter = export.ConsoleMetricExporter(
        out=out, formatter=lambda data: data.to_json(indent=None) + '\n'
    )
    reader = export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=interval_s * 1000
    )
    resource = Resource({'service.instance.id': process})
    return MeterProvider([reader], resource=resource)
