"""Execution of the commands after their command lines were parsed."""

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
from galenareel._document.reading import compute_digest
from galenareel._document.reading import read_environment
from galenareel._operator.check_config import run_check
from galenareel._operator.client import OperatorClient
from galenareel._operator.gather import gather_events
from galenareel._operator.gather import GatheredEvents
from galenareel._operator.job_log import trace_job
from galenareel._operator.losses import find_losses
from galenareel._operator.losses import format_losses
from galenareel._operator.measures import compute_measures
from galenareel._operator.show import format_answer
from galenareel._operator.timeline import EventFilter
from galenareel._operator.timeline import format_event
from galenareel._operator.timeline import format_json
from galenareel._operator.timeline import merge_batches

# Exit statuses.
DONE = 0
FAILED = 1
USAGE_ERROR = 2
# Interval at which ``timeline --follow`` asks for new events.
FOLLOW_INTERVAL_S = 1.0
# ``timeline --follow`` asks again for events up to this age, because those of
# a process with a slow clock may arrive late.
MAX_CLOCK_LAG_MS = 10_000


def run_command(command: str, values: Mapping[str, str], cfg: Any) -> int:
    """Run a command and return the exit status.

    :param values: positional arguments and flags as raw strings, by name.
    :param cfg: settings of the command's model.
    """
    if command == 'validate':
        return _run_validate(values['file'])
    if command == 'check-config':
        return run_check(
            values['file'],
            against=cfg.against,
            as_json=cfg.json,
            adapter=cfg.adapter,
        )
    if command == 'job':
        return _run_job(values['job'], cfg.logs.split(','))
    if command == 'losses':
        return _run_losses(values['logs'].split(','), as_json=cfg.json)
    client = OperatorClient(
        cfg.entry,
        secret=cfg.secret.reveal(),
        timeout_s=cfg.timeout_s,
        now=time.monotonic,
        rng=Random(),
    )
    if command == 'submit':
        return _run_submit(client, values['file'], cfg)
    if command == 'promote':
        return _run_promote(client, values['version'], cfg)
    if command == 'timeline':
        return _run_timeline(client, cfg)
    if command == 'measure':
        return _run_measure(client, cfg)
    return _run_operation(
        client, command, _make_body(command, values, cfg), cfg
    )


def _make_body(
    command: str, values: Mapping[str, str], cfg: Any
) -> dict[str, Any]:
    if command == 'explain':
        return {'subject': values['subject']}
    if command == 'retry-wave':
        return {'wave': values['wave']}
    if command == 'members':
        return {'add': cfg.add or None, 'remove': cfg.remove or None}
    return {}


def _report_error(problem: str) -> int:
    """Print an error and return the exit status of a failure."""
    print(f'galenareel: {problem}', file=sys.stderr)
    return FAILED


def _report_no_result(answer: NoResult, *, command: str) -> int:
    """Print why a command has no result and return the exit status."""
    problem = f'{command}: {answer.reason}'
    if answer.detail:
        problem += f': {answer.detail}'
    if answer.reason == 'unreachable':
        problem += '; it is safe to run the command again'
    return _report_error(problem)


def _print_answer(body: Any, cfg: Any) -> int:
    print(json.dumps(body) if cfg.json else format_answer(body))
    return DONE


def _run_operation(
    client: OperatorClient, command: str, body: dict[str, Any], cfg: Any
) -> int:
    """Call an operation, print its answer and return the exit status."""
    answer = client.call(command, body)
    if isinstance(answer, NoResult):
        return _report_no_result(answer, command=command)
    return _print_answer(answer, cfg)


def _read_file(path: str) -> str | int:
    """Return the text of a file, or the exit status after an error."""
    try:
        return Path(path).read_text(encoding='utf-8')
    except OSError as exc:
        _report_error(f'cannot read {path!r}: {exc.strerror}')
    except UnicodeDecodeError as exc:
        _report_error(f'{path!r} is not UTF-8: byte {exc.start} is not valid')
    return USAGE_ERROR


def _check_document(path: str, text: str) -> Environment | int:
    """Return the parsed document, or the exit status after findings."""
    try:
        return read_environment(text)
    except FindingsError as exc:
        for finding in exc.findings:
            print(f'{path}: {finding}', file=sys.stderr)
        return FAILED


def _run_validate(path: str) -> int:
    text = _read_file(path)
    if isinstance(text, int):
        return text
    cfg = _check_document(path, text)
    if isinstance(cfg, int):
        return cfg
    print(
        f'{path}: environment {cfg.environment} version {cfg.version} is '
        f'valid: {len(cfg.pools)} pools, {len(cfg.services)} services, '
        f'{len(cfg.waves)} waves, digest {compute_digest(text)}'
    )
    return DONE


def _read_logs(paths: list[str]) -> list[str] | int:
    """Return the lines of log files, or the exit status after an error."""
    texts: list[str] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            _report_error(f'cannot read {path!r}: {exc.strerror}')
            return USAGE_ERROR
        texts += text.splitlines()
    return texts


def _run_losses(paths: list[str], *, as_json: bool) -> int:
    texts = _read_logs(paths)
    if isinstance(texts, int):
        return texts
    losses = find_losses(texts)
    if as_json:
        print(json.dumps(losses.sum_up()))
    else:
        print(format_losses(losses))
    return DONE


def _run_job(job: str, paths: list[str]) -> int:
    texts = _read_logs(paths)
    if isinstance(texts, int):
        return texts
    trace = trace_job(job, texts)
    for line in trace.lines:
        print(line.text())
    print()
    for sentence in trace.summary:
        print(f'- {sentence}')
    return DONE if trace.lines else FAILED


def _run_submit(client: OperatorClient, path: str, cfg: Any) -> int:
    text = _read_file(path)
    if isinstance(text, int):
        return text
    checked = _check_document(path, text)
    if isinstance(checked, int):
        return checked
    return _run_operation(client, 'submit', {'text': text}, cfg)


def _run_promote(client: OperatorClient, raw: str, cfg: Any) -> int:
    if not raw.isascii() or not raw.isdigit():
        print(
            f'galenareel: VERSION: {raw!r} is not valid; give a whole number',
            file=sys.stderr,
        )
        return USAGE_ERROR
    version = int(raw)
    body = {'version': version, 'digest': cfg.digest}
    if not cfg.digest:
        document = client.call('document', {'version': version})
        if isinstance(document, NoResult):
            return _report_no_result(document, command='document')
        body['digest'] = str(document['digest'])
    return _run_operation(client, 'promote', body, cfg)


def _run_timeline(client: OperatorClient, cfg: Any) -> int:
    event_filter = EventFilter(
        instance=cfg.instance,
        pool=cfg.pool,
        document=cfg.document,
        request=cfg.request,
    )
    format_line = format_json if cfg.json else format_event
    printed: set[tuple[str, int, int]] = set()
    since = 0
    while True:
        gathered = gather_events(client, cfg.entry, since=since)
        if isinstance(gathered, NoResult):
            return _report_no_result(gathered, command='timeline')
        for event in merge_batches(gathered.batches, event_filter):
            identity = (event.process, event.seq, event.time)
            if identity not in printed:
                printed.add(identity)
                print(format_line(event), flush=True)
        if not cfg.follow:
            return _report_missing(gathered)
        since = max(
            since, gathered.newest() - (MAX_CLOCK_LAG_MS << LOGICAL_BITS)
        )
        gevent.sleep(FOLLOW_INTERVAL_S)


def _report_missing(gathered: GatheredEvents) -> int:
    """Report an error if events are missing and return the exit status.

    The other events have been printed, but the result must not look complete.
    """
    if not gathered.missing:
        return DONE
    names = ', '.join(gathered.missing)
    return _report_error(f'timeline: partial: no events from {names}')


def _run_measure(client: OperatorClient, cfg: Any) -> int:
    status = client.call('status', {})
    if isinstance(status, NoResult):
        return _report_no_result(status, command='measure')
    document = client.call('document', {})
    if isinstance(document, Unreachable):
        return _report_no_result(document, command='measure')
    gathered = gather_events(client, cfg.entry, since=0)
    if isinstance(gathered, NoResult):
        return _report_no_result(gathered, command='measure')
    measures = compute_measures(
        status,
        None if isinstance(document, NoResult) else document,
        merge_batches(gathered.batches, EventFilter()),
        now=time.time(),
    )
    return _print_answer(msgspec.to_builtins(measures), cfg)
