"""Entry point of ``galenareel-control``."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import sys

from gevent.event import Event

from galenareel._common.bounded_log import BoundedLog
from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.log import Log
from galenareel._common.loops import log_unhandled_errors
from galenareel._common.settings import ControlSettings
from galenareel._common.settings import read_settings
from galenareel._common.stopping import catch_stop_signals
from galenareel._common.stopping import start_unless_stopped
from galenareel._consensus.driver import Driver
from galenareel._consensus.errors import StorageError
from galenareel._control.platform import NoPlatform
from galenareel._control.platform import Platform
from galenareel._control.program import Control
from galenareel._control.program import Member
from galenareel._state.state import State

PROGRAM = 'galenareel-control'
SUMMARY = 'Runs one member of the replicated control of an environment.'

EXIT_FAILURE = 1


def main(argv: Sequence[str] | None = None) -> int:
    """Run a control member until SIGTERM or SIGINT.

    :returns: the exit status.
    """
    cfg = read_settings(PROGRAM, ControlSettings, summary=SUMMARY, argv=argv)
    log = BoundedLog(cfg.name, level=cfg.log_level)
    log.start()
    log_unhandled_errors(log)
    stop = catch_stop_signals()
    failed = Event()
    failed.rawlink(lambda _event: stop.set())
    control = _assemble(cfg, log, failed.set)
    try:
        has_started = start_unless_stopped(control.start, stop)
    except (OSError, StorageError) as exc:
        log.error('start_failed', detail=str(exc))
        log.close()
        return EXIT_FAILURE
    if not has_started:
        log.info('stopped', detail='while it was starting')
        log.close()
        return 0
    log.info('started', zone=cfg.zone, listen=cfg.listen)
    stop.wait()
    if failed.is_set():
        log.error('ended', detail='the member of the log has failed')
        log.close()
        return EXIT_FAILURE
    control.close()
    log.info('stopped')
    log.close()
    return 0


def _assemble(
    cfg: ControlSettings, log: Log, on_failure: Callable[[], None]
) -> Control:
    clock = SystemClock()
    hybrid = HybridClock(clock)
    state = State()
    secret = cfg.cluster_secret.reveal()
    members = {member.name: member.address for member in cfg.members}
    members.setdefault(cfg.name, cfg.listen)
    driver = Driver(
        name=cfg.name,
        members=members,
        data_dir=str(cfg.data_dir),
        machine=state,
        clock=hybrid,
        secret=secret,
        join_existing=cfg.join,
        log=log,
        on_failure=on_failure,
    )
    return Control(
        Member(name=cfg.name, listen=cfg.listen, secret=secret),
        state=state,
        replicator=driver,
        receive=driver.receive,
        members=driver.list_members,
        platform=_make_platform(cfg.platform_url),
        clock=clock,
        hybrid=hybrid,
        log=log,
    )


def _make_platform(url: str) -> Platform:
    if not url:
        return NoPlatform()
    # Imported only when a platform is set: the HTTP client takes 3 MB.
    from galenareel._control.http_platform import HttpPlatform

    return HttpPlatform(url)


if __name__ == '__main__':
    sys.exit(main())
