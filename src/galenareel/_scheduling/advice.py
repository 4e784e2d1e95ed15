"""Choose the workers about which the advisor of a queue is asked.

Load pattern: the policy allows few of many workers, and a step needs several
of them at once. A call names few workers, as each adds to its answer time, so
the allowed ones are found by several calls while their tickets run out. The
workers that were never asked about come before those that were refused, and
those that were allowed before are asked about again together.
"""

from __future__ import annotations

from collections.abc import Sequence

from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# Workers named in a call that are not known to be allowed; each one adds to
# its answer time.
MAX_ADVICE_WORKERS = 6
MAX_CALL_WORKERS = 100  # workers that the advisor takes in a call
# The advisor is asked again about a worker that it did not allow, as nothing
# tells when it would.
REFUSED_ADVICE_S = 5.0


def choose_workers(
    step: StepWork,
    eligible: Sequence[Worker],
    now: float,
    *,
    allowed_share: float = 0.0,
) -> tuple[Worker, ...]:
    """Return the workers about which the advisor is to be asked now.

    None are returned while a call has no answer yet, or if the workers with a
    ticket have room for all waiting tasks.

    :param eligible: workers that could take a task of the step with a ticket.
    :param allowed_share: expected share of the workers that the policy
        allows. Fewer are named if more of them are allowed.
    """
    drop_expired(step, now)
    if step.advice_pending:
        return ()
    wanted = len(step.waiting)
    if step.step.gang and wanted < step.step.count:
        return ()
    for worker in eligible:
        if worker.name in step.tickets:
            wanted -= count_room(worker, step, wanted)
    if wanted <= 0:
        return ()
    others = [worker for worker in eligible if worker.name not in step.tickets]
    others.sort(key=lambda worker: worker.cpu_used)
    chosen: list[Worker] = []
    expected = 0.0  # tasks that find room on the named workers
    for worker in others:
        is_allowed = worker.name in step.advice_allowed
        if is_allowed and len(chosen) < MAX_CALL_WORKERS - MAX_ADVICE_WORKERS:
            chosen.append(worker)
            wanted -= count_room(worker, step, wanted)
            if wanted <= 0:
                return tuple(chosen)
    unknown = _list_unknown(step, others, now)
    if step.advice_refused:
        allowed_share = 0.0  # its policy is stricter than that of others
    for worker in unknown[:MAX_ADVICE_WORKERS]:
        chosen.append(worker)
        expected += allowed_share * count_room(worker, step, wanted)
        if expected >= wanted:
            break
    return tuple(chosen)


def record_advice(
    step: StepWork,
    workers: Sequence[Worker],
    tickets: dict[str, str],
    valid_until: float,
    now: float,
) -> None:
    """Store the tickets of an answer and which workers it did not allow."""
    for worker in workers:
        ticket = tickets.get(worker.name)
        if ticket is None:
            step.advice_refused[worker.name] = now
            step.advice_allowed.discard(worker.name)
        else:
            step.tickets[worker.name] = (ticket, valid_until)
            step.advice_refused.pop(worker.name, None)
            step.advice_allowed.add(worker.name)


def count_room(worker: Worker, step: StepWork, most: int) -> int:
    """Return how many tasks of a step fit on a worker, up to ``most``."""
    if worker.unsized_runs:
        return 0
    wanted = step.step
    free = worker.record.resources
    rooms = [
        (free.cpu - worker.cpu_used, 0 if wanted.fills else wanted.cpu),
        (free.memory_mb - worker.memory_used, wanted.memory_mb),
        (free.gpus - worker.gpus_used, wanted.gpus),
    ]
    if wanted.per_worker:
        used = step.runs_per_worker.get(worker.name, 0)
        rooms.append((wanted.per_worker - used, 1))
    counts = [room // need for room, need in rooms if need]
    return max(min([most, *counts]), 0)


def drop_expired(step: StepWork, now: float) -> None:
    """Forget the tickets of a step that have run out."""
    for name, (_ticket, valid_until) in list(step.tickets.items()):
        if valid_until <= now:
            del step.tickets[name]


def _list_unknown(
    step: StepWork, workers: Sequence[Worker], now: float
) -> list[Worker]:
    """Return the workers that may be allowed, the first to ask about first.

    Those that were refused follow the others, the longest ago first, so that
    each worker is asked about in turn.
    """
    refused = step.advice_refused
    unknown = [
        worker
        for worker in workers
        if worker.name not in step.advice_allowed
        and now - refused.get(worker.name, -REFUSED_ADVICE_S)
        >= REFUSED_ADVICE_S
    ]
    unknown.sort(key=lambda worker: refused.get(worker.name, float('-inf')))
    return unknown
