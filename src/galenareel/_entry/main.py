"""Program ``galenareel-entry``."""

from __future__ import annotations

import argparse
import os
from random import SystemRandom
import secrets
import signal
import sys

from gevent import signal_handler
import msgspec

from galenareel._entry.lifecycle import Lifecycle
from galenareel._entry.process import Entry
from galenareel._entry.settings import EntrySettings
from galenareel._entry.settings import Limits


def main() -> int:
    """Run one entry instance until a signal ends it."""
    entry = Entry(
        _settings(sys.argv[1:]),
        incarnation=secrets.token_hex(4),
        rng=SystemRandom(),
    )
    lifecycle = Lifecycle(entry)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, lifecycle.signal)
    return lifecycle.run()


def _settings(args: list[str]) -> EntrySettings:
    parser = argparse.ArgumentParser(prog='galenareel-entry')
    for name in ('name', 'zone', 'callers', 'announcements', 'operators'):
        parser.add_argument(f'--{name}', required=True)
    for name in ('frames', 'control'):
        parser.add_argument(f'--{name}', required=True)
    for name in ('cluster', 'announce', 'operator'):
        parser.add_argument(f'--{name}-secret-file')
    for field in msgspec.structs.fields(Limits):
        flag = '--' + field.name.replace('_', '-')
        parser.add_argument(flag, type=field.type, default=field.default)
    given = vars(parser.parse_args(args))
    for name in ('cluster', 'announce', 'operator'):
        path = given.pop(f'{name}_secret_file')
        given[f'{name}_secret'] = _secret(name, path)
    given['control'] = tuple(given['control'].split(','))
    limits = {
        field.name: given.pop(field.name)
        for field in msgspec.structs.fields(Limits)
    }
    return EntrySettings(limits=Limits(**limits), **given)


def _secret(name: str, path: str | None) -> str:
    if path is not None:
        with open(path, encoding='utf-8') as file:
            return file.read().strip()
    return os.environ[f'GALENAREEL_{name.upper()}_SECRET']


if __name__ == '__main__':
    sys.exit(main())
