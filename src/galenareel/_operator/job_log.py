"""Tracing of a job through the log files of several processes.

Log files are read instead of asking the processes, so that it also works when
none of them runs any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json
import re

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
# Events that do not name the job but may explain why it waited.
_CONTEXT_EVENTS = frozenset(
    (
        'leading',
        'leading_ended',
        'leader_lost',
        'leader_found',
        'worker_lost',
        'lease_over',
        'worker_retired',
        'worker_restarted',
        'worker_crashed',
        'worker_capacity_changed',
        'worker_overfull',
        'storage_failed',
        'started',
        'stopping',
        'lines_left_out',
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed log line.

    :param time: wall time of the process in ISO 8601, which sorts as text.
    """

    time: str
    process: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line without its level and the keys of common fields."""
        details = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in ('time', 'level', 'process', 'event')
        )
        return f'{self.time} {self.process} {self.event} {details}'.rstrip()


@dataclass(slots=True)
class JobTrace:
    """Log lines about one job, in order of time, and a summary of them."""

    job: str
    lines: list[LogLine] = field(default_factory=list)
    summary: list[str] = field(default_factory=list)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line.

    :returns: ``None`` for other text, such as a traceback.
    """
    start = text.find('time=')
    if start < 0:
        return None
    pairs = _PAIR.findall(text[start:])
    fields = {key: _parse_value(value) for key, value in pairs}
    if 'event' not in fields or 'process' not in fields:
        return None
    return LogLine(fields['time'], fields['process'], fields['event'], fields)


def _parse_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


def trace_job(job: str, texts: Iterable[str]) -> JobTrace:
    """Find the log lines that concern a job and summarize them.

    :param texts: lines of the log files of all processes, in any order.
    """
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    lines.sort(key=lambda line: line.time)
    trace = JobTrace(job)
    job_lines = [line for line in lines if _names_job(job, line)]
    if not job_lines:
        trace.summary.append(
            f'no line names {job}; check whether its calls reached a front'
        )
        return trace
    first, last = job_lines[0].time, job_lines[-1].time
    workers = {line.fields.get('worker', '') for line in job_lines}
    trace.lines = [
        line
        for line in lines
        if _names_job(job, line)
        or (first <= line.time <= last and _is_context(line, workers))
    ]
    trace.summary = _summarize(job, trace.lines)
    return trace


def _names_job(job: str, line: LogLine) -> bool:
    fields = line.fields
    if fields.get('job') == job:
        return True
    if fields.get('task', '').startswith(f'{job}.'):
        return True
    return fields.get('path', '').endswith(f'/{job}')


def _is_context(line: LogLine, workers: set[str]) -> bool:
    """Return whether the line may explain what happened on these workers."""
    if line.event not in _CONTEXT_EVENTS:
        return False
    worker = line.fields.get('worker')
    return worker is None or worker in workers


def _summarize(job: str, lines: list[LogLine]) -> list[str]:
    """Return one sentence for each event that affected the job."""
    summary: list[str] = []
    events: dict[str, list[LogLine]] = {}
    for line in lines:
        events.setdefault(line.event, []).append(line)
    refused_calls = events.get('key_refused', [])
    for line in (*events.get('call_answered', ()), *refused_calls):
        fields = line.fields
        summary.append(
            f'{line.process} answered {fields.get("operation")} with '
            f'{fields.get("outcome")} {fields.get("detail", "")}'.rstrip()
        )
    for line in events.get('job_refused', ()):
        summary.append(
            f'refused: {line.fields.get("why")}, expected wait '
            f'{line.fields.get("wait_s")} s, retry after '
            f'{line.fields.get("retry_after_s")} s'
        )
    accepted = events.get('job_accepted', ())
    if accepted:
        line = accepted[0]
        summary.append(
            f'accepted by {line.process} at {line.time} for queue '
            f'{line.fields.get("queue")}, {line.fields.get("tasks")} tasks'
        )
    starts = events.get('task_placed', ())
    if starts:
        summary.append(
            f'{len(starts)} starts seen, the first at {starts[0].time}'
        )
    for line in events.get('run_released', ()):
        summary.append(
            f'{line.fields.get("task")} had to start again: '
            f'{line.fields.get("why")} on {line.fields.get("worker")}'
        )
    for line in events.get('run_unexpected', ()):
        others = line.fields.get('others') or 'nowhere else'
        summary.append(
            f'{line.fields.get("task")} ran on {line.fields.get("worker")} '
            f'unknown to the leader; known runs: {others}'
        )
    failed = [
        line
        for line in events.get('run_ended', ())
        if _get_end_kind(line) == 'failed'
    ]
    if failed:
        workers = ', '.join(
            sorted({line.fields.get('worker', '') for line in failed})
        )
        summary.append(f'{len(failed)} runs failed, on {workers}')
    for line in events.get('task_suspected', ()):
        summary.append(
            f'{line.fields.get("task")} was implicated in the crash of '
            f'{line.fields.get("worker")}, its number '
            f'{line.fields.get("crashes")}'
        )
    for line in events.get('job_given_up', ()):
        summary.append(f'given up: {line.fields.get("why")}')
    change_count = len(events.get('leading', ()))
    if change_count:
        summary.append(f'the leader changed {change_count} times meanwhile')
    for event in ('job_cancelled', 'job_ended'):
        for line in events.get(event, ()):
            outcome = line.fields.get('outcome', 'cancelled')
            summary.append(f'ended at {line.time}: {outcome}')
    left_out = events.get('lines_left_out', ())
    if left_out:
        left_out_count = sum(
            int(line.fields.get('lines', 0)) for line in left_out
        )
        summary.append(
            f'{left_out_count} lines were left out of the logs meanwhile'
        )
    return summary


def _get_end_kind(line: LogLine) -> str:
    return line.fields.get('how', '')
