"""A tick: runs all decision systems in their order of precedence."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from galenareel._decisions.admission import admit_jobs
from galenareel._decisions.demand import update_demand
from galenareel._decisions.drains import continue_drains
from galenareel._decisions.ejection import eject_instances
from galenareel._decisions.ejection import update_health
from galenareel._decisions.lending import lend_instances
from galenareel._decisions.placement import place_jobs
from galenareel._decisions.throttling import adjust_deferrable_jobs
from galenareel._decisions.tick_context import TickContext
from galenareel._decisions.waves import run_waves

if TYPE_CHECKING:
    from galenareel._decisions.decisions import Decision
    from galenareel._decisions.tables import Tables

# Time between two ticks.
TICK_S = 0.5


def tick(tables: Tables, *, now: float, rng: Random) -> list[Decision]:
    """Return the decisions that the tables call for now.

    The rows of ``tables`` are only read; ``tables.soft_state`` is updated. A
    decision that the caller does not commit is proposed again after a short
    time if it still applies.

    :param now: monotonic seconds, on the same clock as the rows.
    :param rng: seeded generator, for choices among equal instances.
    """
    update_demand(tables, now)
    update_health(tables, now)
    ctx = TickContext(tables, now)
    decisions: list[Decision] = []
    for system in (
        admit_jobs,
        continue_drains,
        eject_instances,
        lend_instances,
        adjust_deferrable_jobs,
        run_waves,
    ):
        decisions += system(ctx)
    return decisions + place_jobs(ctx, rng)
