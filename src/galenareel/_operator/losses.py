"""Summary of late, refused and failed jobs by cause, from log files.

Log files are read instead of asking the processes, so that it also works when
none of them runs any more.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from typing import Any

from galenareel._operator.job_log import LogLine
from galenareel._operator.job_log import parse_line

# An answer later than this multiple of the objective is worthless.
LATE_LIMIT_FACTOR = 3.0
# Causes besides the reasons for which tasks wait.
EARLIER_LEADER = 'earlier_leader'  # the time before the last change of leader
RAN_LONG = 'ran_long'  # tasks took longer than estimated, or ran again
FAILED_TASKS = 'failed_tasks'
# Calls that were answered so without the job having run.
_REJECTED = frozenset(('refused', 'no_leader', 'not_leader'))


@dataclass(frozen=True, slots=True, kw_only=True)
class LostJob:
    """A job that was not done within its objective.

    :param kind: ``late``, ``worthless``, ``failed`` or ``refused``.
    :param ended_at: ISO 8601 time of its end or last refusal.
    """

    job: str
    queue: str
    kind: str
    cause: str
    ended_at: str
    work_core_s: float


@dataclass(slots=True, kw_only=True)
class Losses:
    """All losses, and the work that was owed.

    :param owed_core_s: expected work of the jobs that have ended, without
        lasting ones. That of refused jobs is not known.
    """

    jobs: list[LostJob] = field(default_factory=list)
    ended: int = 0
    owed_core_s: float = 0.0

    def sum_up(self) -> list[dict[str, Any]]:
        """Return a row for each cause, kind and queue; largest share first."""
        groups: dict[tuple[str, str, str], list[LostJob]] = (
            collections.defaultdict(list)
        )
        for lost in self.jobs:
            groups[lost.cause, lost.kind, lost.queue].append(lost)
        rows = [
            {
                'cause': cause,
                'kind': kind,
                'queue': queue,
                'jobs': len(group),
                'share': round(
                    sum(lost.work_core_s for lost in group)
                    / max(self.owed_core_s, 1.0),
                    4,
                ),
                'from': min(lost.ended_at for lost in group),
                'to': max(lost.ended_at for lost in group),
            }
            for (cause, kind, queue), group in groups.items()
        ]
        return sorted(rows, key=lambda row: (-row['share'], -row['jobs']))


def find_losses(texts: Iterable[str]) -> Losses:
    """Find the jobs that were not done in time, with the main cause of each.

    :param texts: lines of the log files of all processes, in any order.
    """
    losses = Losses()
    accepted: set[str] = set()
    rejections: dict[str, LogLine] = {}
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        if line.event == 'job_accepted':
            accepted.add(line.fields.get('job', ''))
        elif line.event == 'job_ended':
            accepted.add(line.fields.get('job', ''))
            _add_end(losses, line)
        elif line.event in ('job_refused', 'call_answered'):
            _add_rejection(rejections, line)
    losses.jobs += [
        LostJob(
            job=job,
            queue=line.fields.get('queue', ''),
            kind='refused',
            cause=line.fields.get('outcome') or line.fields.get('why', ''),
            ended_at=line.time,
            work_core_s=0.0,
        )
        for job, line in rejections.items()
        if job not in accepted
    ]
    return losses


def _add_end(losses: Losses, line: LogLine) -> None:
    fields = line.fields
    if 'objective_s' not in fields:
        return  # lasting, timed, or written by an earlier build
    losses.ended += 1
    work_core_s = float(fields['work_core_s'])
    losses.owed_core_s += work_core_s
    age_s = float(fields['age_s'])
    objective_s = float(fields['objective_s'])
    if fields.get('outcome') == 'failed':
        kind = 'failed'
    elif age_s <= objective_s:
        return
    else:
        is_late = age_s <= objective_s * LATE_LIMIT_FACTOR
        kind = 'late' if is_late else 'worthless'
    losses.jobs.append(
        LostJob(
            job=fields['job'],
            queue=fields['queue'],
            kind=kind,
            cause=FAILED_TASKS if kind == 'failed' else _find_cause(fields),
            ended_at=line.time,
            work_core_s=work_core_s,
        )
    )


def _find_cause(fields: Mapping[str, str]) -> str:
    """Return what a late job has spent most time on beside its work."""
    causes = {EARLIER_LEADER: float(fields['earlier_s'])}
    for text in filter(None, fields['waits'].split(',')):
        reason, _, seconds = text.partition(':')
        causes[reason] = float(seconds)
    explained_s = sum(causes.values()) + float(fields['path_s'])
    causes[RAN_LONG] = float(fields['age_s']) - explained_s
    return max(causes, key=lambda cause: causes[cause])


def _add_rejection(rejections: dict[str, LogLine], line: LogLine) -> None:
    """Keep the last rejection of a job that may never be accepted."""
    fields = line.fields
    job = fields.get('job', '')
    if line.event == 'call_answered':
        is_submission = fields.get('operation') == 'submit'
        if not is_submission or fields.get('outcome') not in _REJECTED:
            return
        job = fields.get('path', '').rpartition('/')[2]
    known = rejections.get(job)
    if known is None or known.time <= line.time:
        rejections[job] = line


def format_losses(losses: Losses) -> str:
    """Return the losses as a table, with the time of day of each group."""
    lost = sum(job.work_core_s for job in losses.jobs)
    lines = [
        f'{losses.ended} jobs ended, {len(losses.jobs)} lost; '
        f'{lost / max(losses.owed_core_s, 1.0):.1%} of the work that was owed'
    ]
    for row in losses.sum_up():
        lines.append(
            f'{row["share"]:7.1%} {row["jobs"]:5} jobs  {row["kind"]:9} '
            f'{row["cause"]}  {row["queue"]}  '
            f'{_format_clock(row["from"])} to {_format_clock(row["to"])}'
        )
    return '\n'.join(lines)


def _format_clock(time: str) -> str:
    return f'{datetime.fromisoformat(time):%H:%M:%S.%f}'[:-5]
