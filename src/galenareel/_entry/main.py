"""The program ``galenareel-entry``."""

from __future__ import annotations

from collections.abc import Sequence
from random import SystemRandom
import secrets
import signal
import sys

from gevent import signal_handler

from galenareel._common.bounded_log import BoundedLog
from galenareel._common.loops import log_unhandled_errors
from galenareel._common.metrics import Metrics
from galenareel._common.settings import EntrySettings
from galenareel._common.settings import read_settings
from galenareel._entry.lifecycle import Lifecycle
from galenareel._entry.process import Entry
from galenareel._entry.settings import make_config

SUMMARY = 'Runs an entry instance, which routes requests to backend servers.'


def main(argv: Sequence[str] | None = None) -> int:
    """Run an entry instance until a signal and return the exit status."""
    settings = read_settings(
        'galenareel-entry', EntrySettings, summary=SUMMARY, argv=argv
    )
    metrics = Metrics(settings.name, settings.metrics)
    log = BoundedLog(settings.name, level=settings.log_level)
    log.start()
    log_unhandled_errors(log)
    entry = Entry(
        make_config(settings),
        incarnation=secrets.token_hex(4),
        rng=SystemRandom(),
        log=log,
        metrics=metrics,
    )
    lifecycle = Lifecycle(entry)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, lifecycle.signal)
    try:
        return lifecycle.run()
    except OSError as exc:
        log.error('entry.failed', problem=exc)
        return 1
    finally:
        log.close()
        metrics.close()


if __name__ == '__main__':
    sys.exit(main())
