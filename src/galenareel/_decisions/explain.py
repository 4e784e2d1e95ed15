"""Explanations for operators: why rows are in their present state."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.tables import JobState
from galenareel._decisions.tick_context import TickContext

if TYPE_CHECKING:
    from galenareel._decisions.decisions import Decision
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tables import Pool
    from galenareel._decisions.tables import Tables
    from galenareel._decisions.tables import Wave


def explain(
    tables: Tables,
    decisions: Iterable[tuple[float, Decision]],
    subject: str,
    *,
    now: float,
) -> tuple[str, ...]:
    """Return sentences about one instance, pool, wave or job.

    :param decisions: the latest decisions with the times at which they were
        made, oldest first.
    :param subject: name of a row; if no row has it, the only sentence says so.
    :param now: monotonic seconds, on the same clock as the rows.
    """
    lines: list[str] = []
    if subject in tables.instances:
        lines += _describe_instance(tables, tables.instances[subject], now)
    if subject in tables.pools:
        lines += _describe_pool(tables, tables.pools[subject], now)
    if subject in tables.waves:
        lines += _describe_wave(tables, tables.waves[subject])
    if subject in tables.jobs:
        lines += _describe_job(tables, tables.jobs[subject], now)
    if not lines:
        return (f'no instance, pool, wave or job is called {subject!r}',)
    for at, decision in decisions:
        if subject in _list_subjects(decision):
            type_name = type(decision).__name__
            lines.append(
                f'{now - at:.0f} s ago {type_name}: {decision.reason}'
            )
    return tuple(lines)


def _list_subjects(decision: Decision) -> set[str]:
    fields = ('instance', 'source', 'target', 'wave', 'job')
    return {getattr(decision, name, '') for name in fields}


def _describe_instance(tables: Tables, row: Instance, now: float) -> list[str]:
    lines = [f'{row.name} is {row.phase} in {row.pool}']
    if row.target_pool:
        lines.append(f'it drains to go to {row.target_pool}')
    if row.reason:
        lines.append(row.reason)
    if row.phase is Phase.SERVING:
        refusal = TickContext(tables, now).find_refusal(row)
        if refusal:
            lines.append(f'it may not be stopped now: {refusal}')
    return lines


def _describe_pool(tables: Tables, row: Pool, now: float) -> list[str]:
    budget = TickContext(tables, now).budgets[row.name]
    lines = [
        f'{row.name} has {budget.available} instances available, '
        f'{budget.inbound} on their way, and needs {row.min_available}'
    ]
    if row.survive_rack:
        left = budget.available - budget.get_largest_rack_size()
        lines.append(f'it would keep {left} if it lost its largest rack')
    estimate = tables.soft_state.demand.get(row.name)
    if estimate is not None and estimate.is_peak:
        since = now - estimate.peak_began_at
        lines.append(
            f'it has been at its peak for {since:.0f} s and needs '
            f'{estimate.offered_slots:.0f} slots'
        )
    return lines


def _describe_wave(tables: Tables, row: Wave) -> list[str]:
    lines = [
        f'{row.name} is {row.state}: {len(row.done)} maintained, '
        f'{len(row.failed)} failed, {len(row.skipped)} skipped'
    ]
    if row.reason:
        lines.append(row.reason)
    wait_reason = tables.soft_state.wave_waits.get(row.name)
    if wait_reason and row.state is not WaveState.DONE:
        lines.append(f'it waits: {wait_reason}')
    return lines


def _describe_job(tables: Tables, row: Job, now: float) -> list[str]:
    lines = [f'{row.name} is {row.state}']
    lines += [str(finding) for finding in row.findings]
    lease = tables.leases.get(row.name)
    if lease is not None and lease.standby:
        lines.append(
            f'it stands by at {lease.instance} until a slot is free and no '
            f'urgent request waits'
        )
    wait_reason = tables.soft_state.job_waits.get(row.name)
    if wait_reason and row.state is JobState.WAITING:
        lines.append(
            f'it has waited {now - row.submitted_at:.0f} s: {wait_reason}'
        )
    elif row.state is JobState.WAITING and lease is None:
        lines.append('jobs that have waited longer take every free slot')
    return lines
