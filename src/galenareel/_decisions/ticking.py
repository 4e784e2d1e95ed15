"""One tick: every system over the tables, in order of precedence."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from galenareel._decisions.admission import admit
from galenareel._decisions.buffer import make_room
from galenareel._decisions.census import Census
from galenareel._decisions.demand import observe
from galenareel._decisions.drains import continue_drains
from galenareel._decisions.ejection import eject
from galenareel._decisions.ejection import observe_health
from galenareel._decisions.lending import lend
from galenareel._decisions.placement import place
from galenareel._decisions.waves import run_waves

if TYPE_CHECKING:
    from galenareel._decisions.decisions import Decision
    from galenareel._decisions.tables import Tables

TICK_S = 0.5


def tick(tables: Tables, *, now: float, rng: Random) -> list[Decision]:
    """Decide what to do now.

    The rows of ``tables`` are only read. A decision that the caller does not
    commit is proposed again after a short time if it still makes sense.

    :param now: monotonic seconds, on the same clock as the rows.
    :param rng: seeded generator, for choices among equals.
    """
    observe(tables, now)
    observe_health(tables, now)
    census = Census(tables, now)
    decisions: list[Decision] = []
    for system in (
        admit,
        continue_drains,
        eject,
        lend,
        make_room,
        run_waves,
    ):
        decisions += system(census)
    return decisions + place(census, rng)
