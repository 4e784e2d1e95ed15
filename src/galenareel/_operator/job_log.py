"""What happened to a job, from the log lines of several processes.

It reads files, so that it works when no process is up any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json
import re

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
# Lines without the job's name that say why it waited.
_CONTEXT = frozenset(
    (
        'leading',
        'leading_ended',
        'leader_lost',
        'leader_found',
        'worker_lost',
        'lease_over',
        'worker_retired',
        'storage_failed',
        'started',
        'stopping',
        'lines_left_out',
    )
)


@dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param time: wall time of its process, as text that sorts.
    """

    time: str
    process: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        rest = ' '.join(
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in ('time', 'level', 'process', 'event')
        )
        return f'{self.time} {self.process} {self.event} {rest}'.rstrip()


@dataclass(slots=True)
class JobStory:
    """The lines about one job, and what they come to."""

    job: str
    lines: list[Line] = field(default_factory=list)
    conclusion: list[str] = field(default_factory=list)


def parse_line(text: str) -> Line | None:
    """A log line; ``None`` for anything else, as a trace back."""
    start = text.find('time=')
    if start < 0:
        return None
    pairs = _PAIR.findall(text[start:])
    fields = {key: _value(value) for key, value in pairs}
    if 'event' not in fields or 'process' not in fields:
        return None
    return Line(fields['time'], fields['process'], fields['event'], fields)


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


def tell(job: str, texts: Iterable[str]) -> JobStory:
    """Follow a job through the lines of all processes."""
    lines = [one for text in texts if (one := parse_line(text)) is not None]
    lines.sort(key=lambda one: one.time)
    story = JobStory(job)
    about = [one for one in lines if _is_about(job, one)]
    if not about:
        story.conclusion.append(
            f'no line names {job}; look for calls that never reached a front'
        )
        return story
    first, last = about[0].time, about[-1].time
    workers = {one.fields.get('worker', '') for one in about}
    story.lines = [
        one
        for one in lines
        if _is_about(job, one)
        or (first <= one.time <= last and _explains(one, workers))
    ]
    story.conclusion = _conclude(job, story.lines)
    return story


def _is_about(job: str, line: Line) -> bool:
    fields = line.fields
    if fields.get('job') == job:
        return True
    if fields.get('task', '').startswith(f'{job}.'):
        return True
    return fields.get('path', '').endswith(f'/{job}')


def _explains(line: Line, workers: set[str]) -> bool:
    if line.event not in _CONTEXT:
        return False
    worker = line.fields.get('worker')
    return worker is None or worker in workers


def _conclude(job: str, lines: list[Line]) -> list[str]:
    """One sentence for each thing that decided."""
    found: list[str] = []
    events: dict[str, list[Line]] = {}
    for one in lines:
        events.setdefault(one.event, []).append(one)
    for one in events.get('call_answered', ()):
        fields = one.fields
        found.append(
            f'{one.process} answered {fields.get("operation")} with '
            f'{fields.get("outcome")} {fields.get("detail", "")}'.rstrip()
        )
    for one in events.get('job_refused', ()):
        found.append(
            f'refused: {one.fields.get("why")}, expected wait '
            f'{one.fields.get("wait_s")} s, come back after '
            f'{one.fields.get("retry_after_s")} s'
        )
    accepted = events.get('job_accepted', ())
    if accepted:
        one = accepted[0]
        found.append(
            f'accepted by {one.process} at {one.time} for queue '
            f'{one.fields.get("queue")}, {one.fields.get("tasks")} tasks'
        )
    placed = events.get('task_placed', ())
    if placed:
        found.append(
            f'{len(placed)} starts seen, the first at {placed[0].time}'
        )
    for one in events.get('run_released', ()):
        found.append(
            f'{one.fields.get("task")} had to start again: '
            f'{one.fields.get("why")} on {one.fields.get("worker")}'
        )
    failed = [
        one for one in events.get('run_ended', ()) if _how(one) == 'failed'
    ]
    if failed:
        places = ', '.join(
            sorted({one.fields.get('worker', '') for one in failed})
        )
        found.append(f'{len(failed)} runs failed, on {places}')
    changes = len(events.get('leading', ()))
    if changes:
        found.append(f'the leader changed {changes} times meanwhile')
    for event in ('job_cancelled', 'job_ended'):
        for one in events.get(event, ()):
            outcome = one.fields.get('outcome', 'cancelled')
            found.append(f'over at {one.time}: {outcome}')
    left_out = events.get('lines_left_out', ())
    if left_out:
        lines_left = sum(int(one.fields.get('lines', 0)) for one in left_out)
        found.append(f'{lines_left} lines were left out of the logs meanwhile')
    return found


def _how(line: Line) -> str:
    return line.fields.get('how', '')
