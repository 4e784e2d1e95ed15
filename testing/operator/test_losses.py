"""Losses by cause from the logs of several processes.

Guards against a late or refused job that is left out or blamed on the wrong
cause.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from galenareel._common.bounded_log import BoundedLog
from galenareel._operator.losses import find_losses
from galenareel._operator.main import main

END = (
    'time=2026-01-01T00:00:{second}.000Z level=info process=core-1 '
    'event=job_ended job={job} outcome={outcome} queue=view pool=lots '
    'age_s={age_s} objective_s=2.0 path_s=1.0 work_core_s=10.0 '
    'earlier_s={earlier_s} waits="{waits}"'
)
REFUSED = (
    'time=2026-01-01T00:00:04.000Z level=info process=core-1 '
    'event=job_refused job={job} queue=view why=late wait_s=9.1'
)
NO_LEADER = (
    'time=2026-01-01T00:00:05.000Z level=info process=front-1 '
    'event=call_answered operation=submit path=/q/{job} outcome=no_leader '
    'detail=""'
)


def format_end(
    job: str,
    age_s: float,
    waits: str = '',
    *,
    outcome: str = 'completed',
    earlier_s: float = 0.0,
) -> str:
    return END.format(
        second='09',
        job=job,
        outcome=outcome,
        age_s=age_s,
        waits=waits,
        earlier_s=earlier_s,
    )


@pytest.mark.parametrize(
    ('line', 'kind', 'cause'),
    [
        (format_end('j', 3.0, 'no_room:1.5,silent:0.2'), 'late', 'no_room'),
        (format_end('j', 7.0, 'silent:5.5'), 'worthless', 'silent'),
        (format_end('j', 4.0, 'no_room:0.5'), 'late', 'ran_long'),
        (format_end('j', 5.0, earlier_s=3.0), 'late', 'earlier_leader'),
        (format_end('j', 1.0, outcome='failed'), 'failed', 'failed_tasks'),
        (REFUSED.format(job='j'), 'refused', 'late'),
        (NO_LEADER.format(job='j'), 'refused', 'no_leader'),
    ],
)
def test_lost_job_has_its_main_cause(line: str, kind: str, cause: str) -> None:
    (lost,) = find_losses([line]).jobs
    assert (lost.kind, lost.cause) == (kind, cause)


def test_lost_job_of_a_cut_line_has_its_main_cause(tmp_path: Path) -> None:
    path = tmp_path / 'core-1.log'
    fd = os.open(path, os.O_WRONLY | os.O_CREAT)
    log = BoundedLog('core-1', fd=fd)
    log.info(
        'job_ended',
        job='j' * 1_000_000,
        outcome='completed',
        queue='q"' * 1_000_000,
        pool='p ' * 1_000_000,
        age_s=7.0,
        objective_s=2.0,
        path_s=1.0,
        work_core_s=10.0,
        earlier_s=0.0,
        waits='no_room:5.5,silent:0.2',
    )
    log.close()
    os.close(fd)
    text = path.read_text()
    assert len(text) < 100_000
    (lost,) = find_losses([text]).jobs
    assert (lost.kind, lost.cause) == ('worthless', 'no_room')
    assert lost.queue.startswith('q"q"')


def test_jobs_in_time_and_repeated_calls_are_no_losses() -> None:
    lines = [
        format_end('j1', 1.9, 'no_room:0.8'),
        REFUSED.format(job='j2'),
        NO_LEADER.format(job='j2'),
        format_end('j2', 1.0),
        'time=2026-01-01T00:00:09.500Z process=core-2 event=job_ended job=j3',
    ]
    losses = find_losses(lines)
    assert (losses.jobs, losses.ended, losses.owed_core_s) == ([], 2, 20.0)


def test_command_prints_the_share_of_each_cause(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / 'core.log'
    lines = [format_end(f'j{n}', 1.0) for n in range(3)]
    path.write_text('\n'.join([*lines, format_end('k', 9.0, 'silent:7.0')]))
    with pytest.raises(SystemExit) as exc_info:
        main(['losses', str(path)])
    assert exc_info.value.code == 0
    text = capsys.readouterr().out
    assert '4 jobs ended, 1 lost; 25.0%' in text
    assert 'worthless silent  view  00:00:09.0' in text
    with pytest.raises(SystemExit):
        main(['losses', str(path), '--json', 'true'])
    (row,) = json.loads(capsys.readouterr().out)
    assert (row['cause'], row['jobs'], row['share']) == ('silent', 1, 0.25)
