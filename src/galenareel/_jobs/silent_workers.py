"""Record what workspaces may have running on workers that do not answer.

Load pattern: a rack goes dark at a peak, and then the leader is lost. The
next leader can't read the workers of the rack for seconds. Without a record
it would have to count all unfinished tasks of a workspace as running there,
and start nothing for it meanwhile.

A leader starts nothing on a silent worker, so the record stays true until the
worker answers. Nothing is started there either until the end of the silence
is recorded.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from galenareel._jobs.model import SilentUsage
from galenareel._jobs.model import SilentWorker
from galenareel._jobs.state import JobState
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.tables import Worker


class SilentWorkers:
    """Silent workers of one epoch, and the records that they need.

    :param workers: workers of the epoch, which may change later.
    """

    def __init__(self, state: JobState, workers: Mapping[str, Worker]) -> None:
        self._workers = workers
        self._rows = dict(state.silent_workers)
        stored = self._list_rows()
        # What is known to be stored; ``None`` while a proposal is open.
        self._stored: tuple[SilentWorker, ...] | None = stored
        for row in stored:
            worker = workers.get(row.name)
            if worker is not None:
                worker.silence_recorded = True

    def update(
        self, unread: Collection[str], *, has_limits: bool
    ) -> tuple[SilentWorker, ...] | None:
        """Return the records that are to be stored, or ``None``.

        They are returned again until they are confirmed: a proposal without
        a result may be stored or not.

        :param unread: workers whose runs this leader does not know.
        :param has_limits: whether any workspace has a limit.
        """
        for name, row in list(self._rows.items()):
            worker = self._workers.get(name)
            if worker is None or worker.record.born != row.born:
                del self._rows[name]
            elif worker.silent_since is None and name not in unread:
                del self._rows[name]
        for worker in self._workers.values():
            is_new = worker.silent_since is not None and has_limits
            if is_new and worker.name not in (*self._rows, *unread):
                worker.silence_recorded = True
                self._rows[worker.name] = _make_row(worker)
        rows = self._list_rows()
        if rows == self._stored:
            return None
        self._stored = None
        return rows

    def confirm(self, rows: tuple[SilentWorker, ...]) -> list[Worker]:
        """Note that records are stored.

        :returns: workers that may get tasks again.
        """
        self._stored = rows
        names = {row.name for row in rows} | self._rows.keys()
        regained = [
            worker
            for worker in self._workers.values()
            if worker.silence_recorded and worker.name not in names
        ]
        for worker in regained:
            worker.silence_recorded = False
        return regained

    def _list_rows(self) -> tuple[SilentWorker, ...]:
        return tuple(self._rows[name] for name in sorted(self._rows))


def _make_row(worker: Worker) -> SilentWorker:
    usage: dict[str, Usage] = {}
    for run in worker.runs.values():
        if run.workspace:
            usage.setdefault(run.workspace, Usage()).add_run(run)
    return SilentWorker(
        name=worker.name,
        born=worker.record.born,
        usage=tuple(
            SilentUsage(
                workspace=name,
                cpu=used.cpu,
                memory_mb=used.memory_mb,
                gpus=used.gpus,
                runs=used.runs,
            )
            for name, used in sorted(usage.items())
        ),
    )
