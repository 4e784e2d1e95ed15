"""Handover of homes to an entry that has too few, e.g. after a restart.

The present home stops new work on the instance and reports when nothing is in
flight; only then another entry becomes its home.
"""

from __future__ import annotations

from collections.abc import Iterator

from galenareel._common.rendezvous import rendezvous
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._control.sessions import Session
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import AssignHome
from galenareel._state.commands import BeginHandover
from galenareel._state.state import State

# An entry gets homes back only once its session has lasted; one that restarts
# again and again would move them each time.
STEADY_S = 10.0

# An entry below this share of the mean gets homes. Rendezvous hashing of 500
# homes or more stays above it by three standard deviations.
FAIR_SHARE = 0.9

# An instance with longer work in flight would leave its other slots unused
# until that work has ended.
LONGEST_WORK_S = 5.0


def plan_handovers(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """End the handovers that run, and begin at most one in each zone."""
    zones: dict[str, dict[str, Session]] = {}
    for session in sessions:
        entry = state.entries.get(session.entry)
        live = entry is not None and entry.state is EntryState.LIVE
        if live and session.is_fresh(now):
            zones.setdefault(session.zone, {})[session.entry] = session
    running = set()
    for name in sorted(state.tables.handovers):
        row = state.instances[name]
        running.add(row.zone)
        if row.zone not in state.cut_zones:
            yield from _end(row, zones.get(row.zone, {}))
    for zone, found in zones.items():
        if zone not in running and zone not in state.cut_zones:
            yield from _begin(state, found, now)


def _end(row: InstanceRow, found: dict[str, Session]) -> Iterator[AnyCommand]:
    home = found.get(row.home)
    if home is None:
        return
    released = home.report.released if home.report is not None else ()
    if row.phase is not Phase.SERVING or row.next_home not in found:
        yield AssignHome(
            instance=row.instance, home_epoch=row.home_epoch, home=row.home
        )
    elif (row.instance, row.home_epoch) in released:
        yield AssignHome(
            instance=row.instance,
            home_epoch=row.home_epoch,
            home=row.next_home,
            released=True,
        )


def _begin(
    state: State, found: dict[str, Session], now: float
) -> Iterator[AnyCommand]:
    homes = state.tables.homes
    counts = {entry: len(homes.get(entry, ())) for entry in found}
    entry = min(counts, key=lambda one: (counts[one], one))
    mean = sum(counts.values()) / len(counts)
    if counts[entry] >= FAIR_SHARE * mean:
        return
    if now - found[entry].opened_at < STEADY_S:
        return
    names = sorted(found)
    for home in names:
        for name in sorted(homes.get(home, ())):
            if home == entry or rendezvous(name, names) != entry:
                continue
            row = state.instances[name]
            if _may_wait(state, row, found[home]):
                yield BeginHandover(
                    instance=name, home_epoch=row.home_epoch, home=entry
                )
                return


def _may_wait(state: State, row: InstanceRow, home: Session) -> bool:
    """Whether its pool can do without the instance for a moment."""
    load = home.loads.get(row.instance)
    if row.phase is not Phase.SERVING or load is None:
        return False
    if load.work_left_s > LONGEST_WORK_S:
        return False
    others = (
        state.instances[one]
        for one in state.tables.pools[row.pool]
        if one != row.instance
    )
    return any(
        one.phase is Phase.SERVING
        and not one.next_home
        and one.zone not in state.cut_zones
        for one in others
    )
