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

from galenareel._common.events import LOGICAL_BITS
from galenareel._common.findings import FindingsError
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import Unreachable
from galenareel._document.model import Environment
from galenareel._document.reading import digest
from galenareel._document.reading import read_environment
from galenareel._operator.client import OperatorClient
from galenareel._operator.gather import gather
from galenareel._operator.gather import Gathered
from galenareel._operator.job_log import tell
from galenareel._operator.measures import measure
from galenareel._operator.show import show
from galenareel._operator.timeline import Filter
from galenareel._operator.timeline import format_event
from galenareel._operator.timeline import format_json
from galenareel._operator.timeline import merged

DONE = 0
FAILED = 1
USAGE = 2
FOLLOW_S = 1.0
LATE_MS = 10_000


def run(command: str, values: Mapping[str, str], cfg: Any) -> int:
    """Run a command and return the exit status."""
    if command == 'validate':
        return _validate(values['file'])
    if command == 'job':
        return _job(values['job'], cfg.logs.split(','))
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


def _refused(answer: NoResult, *, command: str) -> int:
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
    if isinstance(answer, NoResult):
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


def _job(job: str, paths: list[str]) -> int:
    texts: list[str] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            _fail(f"can't read {path!r}: {exc.strerror}")
            return USAGE
        texts += text.splitlines()
    story = tell(job, texts)
    for line in story.lines:
        print(line.text())
    print()
    for sentence in story.conclusion:
        print(f'- {sentence}')
    return DONE if story.lines else FAILED


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
        if isinstance(found, NoResult):
            return _refused(found, command='document')
        body['digest'] = str(found['digest'])
    return _show_answer(client, 'promote', body, cfg)


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
        found = gather(client, cfg.entry, since=since)
        if isinstance(found, NoResult):
            return _refused(found, command='timeline')
        for event in merged(found.batches, wanted):
            identity = (event.process, event.seq, event.time)
            if identity not in shown:
                shown.add(identity)
                print(line(event), flush=True)
        if not cfg.follow:
            return _report_missing(found)
        # An event of a process with a slow clock may arrive late.
        since = max(since, found.newest() - (LATE_MS << LOGICAL_BITS))
        gevent.sleep(FOLLOW_S)


def _report_missing(found: Gathered) -> int:
    """Partial events are printed, but don't pass for the whole."""
    if not found.missing:
        return DONE
    names = ', '.join(found.missing)
    return _fail(f'timeline: partial: no events from {names}')


def _measure(client: OperatorClient, cfg: Any) -> int:
    status = client.call('status', {})
    if isinstance(status, NoResult):
        return _refused(status, command='measure')
    document = client.call('document', {})
    if isinstance(document, Unreachable):
        return _refused(document, command='measure')
    found = gather(client, cfg.entry, since=0)
    if isinstance(found, NoResult):
        return _refused(found, command='measure')
    measures = measure(
        status,
        None if isinstance(document, NoResult) else document,
        merged(found.batches, Filter()),
        now=time.time(),
    )
    return _print(msgspec.to_builtins(measures), cfg)
