"""What each command does once its command line was read."""

from __future__ import annotations

from collections.abc import Mapping
import json
from pathlib import Path
from random import Random
import sys
import time
from typing import Any

import gevent
import msgspec

from galenareel._common.events import Event
from galenareel._common.events import LOGICAL_BITS
from galenareel._common.findings import FindingsError
from galenareel._common.sentinels import Absent
from galenareel._document.model import Environment
from galenareel._document.reading import digest
from galenareel._document.reading import read_environment
from galenareel._operator.client import OperatorClient
from galenareel._operator.measures import measure
from galenareel._operator.show import show
from galenareel._operator.timeline import Filter
from galenareel._operator.timeline import format_event
from galenareel._operator.timeline import format_json
from galenareel._operator.timeline import merged
from galenareel._operator.timeline import read_events

DONE = 0
FAILED = 1
USAGE = 2
FOLLOW_S = 1.0
LATE_MS = 10_000


def run(command: str, values: Mapping[str, str], cfg: Any) -> int:
    """Run a command and return the exit status."""
    if command == 'validate':
        return _validate(values['file'])
    client = OperatorClient(
        cfg.entry,
        secret=cfg.secret.reveal(),
        timeout_s=cfg.timeout_s,
        now=time.monotonic,
        rng=Random(),
    )
    if command == 'submit':
        return _submit(client, values['file'], cfg)
    if command == 'promote':
        return _promote(client, values['version'], cfg)
    if command == 'timeline':
        return _timeline(client, cfg)
    if command == 'measure':
        return _measure(client, cfg)
    return _show_answer(client, command, _body(command, values, cfg), cfg)


def _body(command: str, values: Mapping[str, str], cfg: Any) -> dict[str, Any]:
    if command == 'explain':
        return {'subject': values['subject']}
    if command == 'retry-wave':
        return {'wave': values['wave']}
    if command == 'members':
        return {'add': cfg.add or None, 'remove': cfg.remove or None}
    return {}


def _fail(problem: str) -> int:
    print(f'galenareel: {problem}', file=sys.stderr)
    return FAILED


def _refused(answer: Absent, *, command: str) -> int:
    problem = f'{command}: {answer.reason}'
    if answer.detail:
        problem += f': {answer.detail}'
    if answer.reason == 'unreachable':
        problem += '; it is safe to run the command again'
    return _fail(problem)


def _print(body: Any, cfg: Any) -> int:
    print(json.dumps(body) if cfg.json else show(body))
    return DONE


def _show_answer(
    client: OperatorClient, command: str, body: dict[str, Any], cfg: Any
) -> int:
    answer = client.call(command, body)
    if isinstance(answer, Absent):
        return _refused(answer, command=command)
    return _print(answer, cfg)


def _read_file(path: str) -> str | int:
    """Text of a document, or the exit status."""
    try:
        return Path(path).read_text(encoding='utf-8')
    except OSError as exc:
        _fail(f"can't read {path!r}: {exc.strerror}")
    except UnicodeDecodeError as exc:
        _fail(f'{path!r} is not UTF-8: byte {exc.start} is not valid')
    return USAGE


def _check(path: str, text: str) -> Environment | int:
    try:
        return read_environment(text)
    except FindingsError as exc:
        for one in exc.findings:
            print(f'{path}: {one}', file=sys.stderr)
        return FAILED


def _validate(path: str) -> int:
    text = _read_file(path)
    if isinstance(text, int):
        return text
    cfg = _check(path, text)
    if isinstance(cfg, int):
        return cfg
    print(
        f'{path}: environment {cfg.environment} version {cfg.version} is '
        f'valid: {len(cfg.pools)} pools, {len(cfg.services)} services, '
        f'{len(cfg.waves)} waves, digest {digest(text)}'
    )
    return DONE


def _submit(client: OperatorClient, path: str, cfg: Any) -> int:
    text = _read_file(path)
    if isinstance(text, int):
        return text
    checked = _check(path, text)
    if isinstance(checked, int):
        return checked
    return _show_answer(client, 'submit', {'text': text}, cfg)


def _promote(client: OperatorClient, raw: str, cfg: Any) -> int:
    if not raw.isascii() or not raw.isdigit():
        print(
            f'galenareel: VERSION: {raw!r} is not valid; give a whole number',
            file=sys.stderr,
        )
        return USAGE
    version = int(raw)
    body = {'version': version, 'digest': cfg.digest}
    if not cfg.digest:
        found = client.call('document', {'version': version})
        if isinstance(found, Absent):
            return _refused(found, command='document')
        body['digest'] = _digest_of(found, version)
    if not body['digest']:
        return _fail(f'promote: version {version} was not submitted')
    return _show_answer(client, 'promote', body, cfg)


def _digest_of(answer: Any, version: int) -> str:
    """Digest of a version, from the answer to ``document``."""
    items = answer.get('documents', [answer])
    for item in items:
        if item.get('version') == version:
            return str(item.get('digest', ''))
    return ''


def _gather(
    client: OperatorClient, cfg: Any, since: int
) -> tuple[list[list[Event]], list[Absent]]:
    """Events of every entry that answers; each one answers for its peers."""
    jobs = [
        gevent.spawn(client.call_at, entry, 'events', {'since': since})
        for entry in cfg.entry
    ]
    gevent.joinall(jobs)
    answers = [job.get() for job in jobs]
    problems = [one for one in answers if isinstance(one, Absent)]
    good = [one for one in answers if not isinstance(one, Absent)]
    return [read_events(one) for one in good], problems


def _timeline(client: OperatorClient, cfg: Any) -> int:
    wanted = Filter(
        instance=cfg.instance,
        pool=cfg.pool,
        document=cfg.document,
        request=cfg.request,
    )
    line = format_json if cfg.json else format_event
    shown: set[tuple[str, int, int]] = set()
    since = 0
    while True:
        batches, problems = _gather(client, cfg, since)
        if not batches:
            return _refused(problems[0], command='timeline')
        for event in merged(batches, wanted):
            identity = (event.process, event.seq, event.time)
            if identity not in shown:
                shown.add(identity)
                print(line(event), flush=True)
        for problem in problems:
            _refused(problem, command='timeline is partial')
        if not cfg.follow:
            return FAILED if problems else DONE
        newest = max((one.time for each in batches for one in each), default=0)
        # An event of a process with a slow clock may arrive late.
        since = max(since, newest - (LATE_MS << LOGICAL_BITS))
        gevent.sleep(FOLLOW_S)


def _measure(client: OperatorClient, cfg: Any) -> int:
    status = client.call('status', {})
    if isinstance(status, Absent):
        return _refused(status, command='measure')
    batches, _problems = _gather(client, cfg, 0)
    events = merged(batches, Filter())
    measures = measure(status, events, now=time.time())
    return _print(msgspec.to_builtins(measures), cfg)
