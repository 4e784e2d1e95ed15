"""Metrics and log lines that show operators the use of workspaces."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from galenareel._common.log import Log
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.metrics import MAX_WORKSPACE_LABELS
from galenareel._jobs.model import Resources
from galenareel._jobs.workspaces import WorkspaceTables
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.refusals import BEYOND_SHARE
from galenareel._scheduling.refusals import LIMIT_FILLED
from galenareel._scheduling.refusals import TOO_LATE
from galenareel._scheduling.shares import add_up_rooms
from galenareel._scheduling.shares import find_dominant_share
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Worker

REPORT_EVERY_S = 5.0
REFUSAL_LABELS = {
    BEYOND_SHARE: 'share',
    LIMIT_FILLED: 'limit',
    TOO_LATE: 'too_late',
}


@dataclass(slots=True)
class _Row:
    """Values of one label; all workspaces beyond the limit share one."""

    running: Usage = field(default_factory=Usage)
    cpu_limit: int = 0
    memory_limit_mb: int = 0
    gpu_limit: int = 0
    waiting: int = 0

    def add_limit(self, limit: Resources) -> None:
        self.cpu_limit += limit.cpu
        self.memory_limit_mb += limit.memory_mb
        self.gpu_limit += limit.gpus


class WorkspaceReport:
    """Reports running, waiting and refused work at intervals.

    Nothing is reported before a configuration has workspaces.
    """

    def __init__(
        self, spaces: WorkspaceTables, *, log: Log, metrics: JobMetrics
    ) -> None:
        self._spaces = spaces
        self._log = log
        self._metrics = metrics
        self._due = 0.0

    def count_refusal(self, workspace: str, reason: str) -> None:
        self._metrics.workspace_refusals.add(
            1,
            {
                'workspace': self._metrics.label_workspace(workspace),
                'reason': REFUSAL_LABELS[reason],
            },
        )

    def report(
        self,
        pools: Iterable[PoolWork],
        workers: Iterable[Worker],
        now: float,
    ) -> None:
        """Set the gauges, and log the workspaces that were held back."""
        if now < self._due or not self._spaces.weights:
            return
        self._due = now + REPORT_EVERY_S
        waiting: dict[str, int] = {}
        for pool in pools:
            for step in pool.waiting.values():
                name = step.job.workspace
                waiting[name] = waiting.get(name, 0) + len(step.waiting)
        capacity = add_up_rooms(w for w in workers if w.is_open())
        self._set_gauges(waiting, capacity)
        self._log_held(waiting)

    def clear(self) -> None:
        """Set all gauges to 0, as another process leads from now on."""
        if self._spaces.weights:
            for label in self._metrics.list_workspace_labels():
                self._set_row(label, _Row(), Resources(0, 0))

    def _set_gauges(self, waiting: dict[str, int], room: Resources) -> None:
        rows: dict[str, _Row] = {}
        quotas = self._spaces.quotas
        for name in self._spaces.weights:
            label = self._metrics.label_workspace(name)
            row = rows.setdefault(label, _Row())
            row.running.add_usage(quotas.get_usage(name))
            row.waiting += waiting.get(name, 0)
            row.add_limit(quotas.limits.get(name, Resources(0, 0)))
        for label in self._metrics.list_workspace_labels():
            self._set_row(label, rows.get(label, _Row()), room)

    def _set_row(self, label: str, row: _Row, room: Resources) -> None:
        metrics = self._metrics
        name = {'workspace': label}
        for resource, used, limit in (
            ('cpu', row.running.cpu, row.cpu_limit),
            ('memory_mb', row.running.memory_mb, row.memory_limit_mb),
            ('gpus', row.running.gpus, row.gpu_limit),
        ):
            attributes = {**name, 'resource': resource}
            metrics.workspace_running.set(used, attributes)
            metrics.workspace_limit.set(limit, attributes)
        share = find_dominant_share(row.running, room)
        metrics.workspace_share.set(share, name)
        metrics.workspace_waiting.set(row.waiting, name)

    def _log_held(self, waiting: dict[str, int]) -> None:
        """Log each workspace whose limit has held back a start lately."""
        quotas = self._spaces.quotas
        held = sorted(quotas.take_held_names())
        for name in held[:MAX_WORKSPACE_LABELS]:
            used = quotas.get_usage(name)
            limit = quotas.limits.get(name, Resources(0, 0))
            self._log.info(
                'workspace_limited',
                workspace=name,
                waiting=waiting.get(name, 0),
                runs=used.runs,
                cpu=f'{used.cpu}/{limit.cpu}',
                memory_mb=f'{used.memory_mb}/{limit.memory_mb}',
                gpus=f'{used.gpus}/{limit.gpus}',
                more=max(len(held) - MAX_WORKSPACE_LABELS, 0),
            )
