"""Entry point of ``galenareel-control``."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
import os
from pathlib import Path
import signal
import sys

import gevent
from gevent.event import Event
from logbook import Logger
from logbook import StreamHandler

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.messages import PeerMessage
from galenareel._control.platform import NoPlatform
from galenareel._control.platform import Platform
from galenareel._control.program import Control
from galenareel._control.program import Member
from galenareel._control.solo import SoloReplicator
from galenareel._document.model import Environment
from galenareel._state.state import State

log = Logger('galenareel.control')


def main(argv: Sequence[str] | None = None) -> int:
    """Run a control member until SIGTERM or SIGINT."""
    options = _parse(argv)
    StreamHandler(sys.stderr).push_application()
    clock = SystemClock()
    hybrid = HybridClock(clock)
    state = State()
    replicator = SoloReplicator(state, options.listen)
    member = Member(
        name=options.name,
        listen=options.listen,
        secret=_secret(options.cluster_secret_file),
    )
    control = Control(
        member,
        state=state,
        replicator=replicator,
        receive=_ignore,
        read_document=_read_document,
        platform=_platform(options.platform_url),
        clock=clock,
        hybrid=hybrid,
    )
    control.start()
    log.info('{} listens on {}', options.name, options.listen)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    stop.wait()
    control.close()
    return 0


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='galenareel-control')
    for flag in ('name', 'zone', 'listen', 'members', 'data-dir'):
        variable = 'GALENAREEL_' + flag.upper().replace('-', '_')
        parser.add_argument(f'--{flag}', default=os.environ.get(variable, ''))
    parser.add_argument('--cluster-secret-file', default='')
    parser.add_argument('--platform-url', default='')
    parser.add_argument('--join', action='store_true')
    return parser.parse_args(argv)


def _secret(path: str) -> str:
    if path:
        return Path(path).read_text().strip()
    return os.environ.get('GALENAREEL_CLUSTER_SECRET', '')


def _platform(url: str) -> Platform:
    if not url:
        return NoPlatform()
    # The HTTP client costs 3 MB; members without a platform do without.
    from galenareel._control.http_platform import HttpPlatform

    return HttpPlatform(url)


def _ignore(_msg: PeerMessage) -> None:
    pass


def _read_document(text: str) -> Environment:
    # The reader of documents brings a YAML parser; it is loaded when the
    # first document is submitted.
    from galenareel._document.reading import read_environment

    environment: Environment = read_environment(text)
    return environment


if __name__ == '__main__':
    sys.exit(main())
