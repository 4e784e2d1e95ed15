"""Connections of the leader to the workers in use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._common.log import Log
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import WorkerDialer
from galenareel._jobs.worker_checks import find_link_problem
from galenareel._jobs.worker_link import WorkerLink
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

if TYPE_CHECKING:
    from galenareel._jobs.term import Term


class WorkerLinks:
    """Keeps a link to each worker in use, and hands orders to the links."""

    def __init__(self, term: Term, *, dialer: WorkerDialer, log: Log) -> None:
        self._term = term
        self._dialer = dialer
        self._log = log
        self._links: dict[str, WorkerLink] = {}
        self._invalid_addresses: set[str] = set()

    def update(self) -> None:
        """Open links to new workers, and close those that are out of date."""
        workers = self._term.engine.workers
        for name, link in list(self._links.items()):
            worker = workers.get(name)
            if worker is not link.worker or link.is_stale():
                del self._links[name]
                for order in link.close():
                    self.report_unsent(order)
        for name, worker in workers.items():
            if name not in self._links:
                self._open_link(worker)

    def send(self, order: Order) -> None:
        """Hand an order to the link of its worker."""
        worker = get_worker(order)
        link = self._links.get(worker.name) if worker else None
        if link is not None:
            link.send(order)
        else:
            self.report_unsent(order)

    def report_unsent(self, order: Order) -> None:
        """Let a start that was not sent be placed again.

        Stops are resent until they are answered, and paces set again.
        """
        if isinstance(order, StartTask):
            self._term.engine.handle_start_answer(
                order.run, Answer(outcome=Outcome.NOT_SENT), self._term.now()
            )
        elif isinstance(order, PaceTask):
            self._term.engine.handle_pace_answer(
                order, Answer(outcome=Outcome.NOT_SENT)
            )

    def close(self) -> None:
        """Close all links; their orders are not reported."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _open_link(self, worker: Worker) -> None:
        """Open a link to a worker, unless its address is invalid.

        An older build may have admitted such a worker. It counts as silent,
        so that the tasks of earlier epochs do not wait for its list forever.
        """
        try:
            if problem := find_link_problem(worker.record):
                raise ValueError(problem)
            client = self._dialer.open(worker.record)
        except ValueError as exc:
            if worker.record.address not in self._invalid_addresses:
                self._invalid_addresses.add(worker.record.address)
                self._log.error(
                    'worker_address_invalid',
                    worker=worker.name,
                    address=worker.record.address,
                    detail=str(exc),
                )
            self._term.engine.note_poll_sent(worker, self._term.now(), 0.0)
            return
        self._links[worker.name] = WorkerLink(
            worker, client, self._term, log=self._log
        )


def get_worker(order: Order) -> Worker | None:
    """Return the worker to which an order is sent, if it has one."""
    if isinstance(order, StopTask):
        return order.worker
    if isinstance(order, StartTask | PaceTask):
        return order.run.worker
    return None
