"""Ends of runs and crashes on their way into the replicated state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._jobs.model import CrashRecord
from galenareel._jobs.model import TaskId
from galenareel._scheduling.crashes import Incarnation


@dataclass(slots=True)
class EndBatch:
    """Ends of runs and crashes that are to be stored together.

    :param failed: task and run number of each failed run.
    :param crashed: tasks that are implicated in crashes of workers.
    :param lost: tasks that are implicated if a worker has crashed.
    :param regained: incarnations that have answered since they were lost.
    :param positions: by worker name, start of its incarnation and position of
        its last end in this batch.
    """

    done: list[TaskId] = field(default_factory=list)
    failed: list[tuple[TaskId, int]] = field(default_factory=list)
    crashed: list[CrashRecord] = field(default_factory=list)
    lost: list[CrashRecord] = field(default_factory=list)
    regained: list[Incarnation] = field(default_factory=list)
    positions: dict[str, tuple[int, int]] = field(default_factory=dict)

    def needs_record(self) -> bool:
        """Return whether anything changes the replicated state."""
        return bool(
            self.done
            or self.failed
            or self.crashed
            or self.lost
            or self.regained
        )
