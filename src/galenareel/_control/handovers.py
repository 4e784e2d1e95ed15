"""Plans the handover of instances to an entry that is the home of too few.

An entry is the home of too few after a restart, for example. The present home
gives the instance no new work and reports when none is in flight; only then
does the other entry become its home.
"""

from __future__ import annotations

from collections.abc import Iterator

from galenareel._common.rendezvous import choose_entry
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._control.sessions import Session
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import AssignHome
from galenareel._state.commands import BeginHandover
from galenareel._state.state import State

# An entry becomes a home again only after its session has lasted this long.
# Otherwise an entry that keeps restarting would cause handovers each time.
MIN_SESSION_AGE_S = 10.0

# An entry whose number of homes is below this share of the mean gets more.
# The numbers that rendezvous hashing gives for 500 homes or more stay above
# it by three standard deviations.
MIN_HOME_SHARE = 0.9

# An instance with longer work in flight is not handed over, because its other
# slots would stay unused until that work has ended.
MAX_WORK_LEFT_S = 5.0


def plan_handovers(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Yield commands that end handovers and begin new ones.

    There is at most one handover in a zone at a time.
    """
    sessions_by_zone: dict[str, dict[str, Session]] = {}
    for session in sessions:
        entry = state.entries.get(session.entry)
        is_live = entry is not None and entry.state is EntryState.LIVE
        if is_live and session.is_fresh(now):
            sessions_by_zone.setdefault(session.zone, {})[session.entry] = (
                session
            )
    busy_zones = set()
    for name in sorted(state.tables.handovers):
        row = state.instances[name]
        busy_zones.add(row.zone)
        if row.zone not in state.cut_zones:
            yield from _end_handover(row, sessions_by_zone.get(row.zone, {}))
    for zone, zone_sessions in sessions_by_zone.items():
        if zone not in busy_zones and zone not in state.cut_zones:
            yield from _begin_handover(state, zone_sessions, now)


def _end_handover(
    row: InstanceRow, zone_sessions: dict[str, Session]
) -> Iterator[AnyCommand]:
    home = zone_sessions.get(row.home)
    if home is None:
        return
    released = home.report.released if home.report is not None else ()
    if row.phase is not Phase.SERVING or row.next_home not in zone_sessions:
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


def _begin_handover(
    state: State, zone_sessions: dict[str, Session], now: float
) -> Iterator[AnyCommand]:
    homes = state.tables.homes
    counts = {entry: len(homes.get(entry, ())) for entry in zone_sessions}
    entry = min(counts, key=lambda name: (counts[name], name))
    mean = sum(counts.values()) / len(counts)
    if counts[entry] >= MIN_HOME_SHARE * mean:
        return
    if now - zone_sessions[entry].opened_at < MIN_SESSION_AGE_S:
        return
    names = sorted(zone_sessions)
    for home in names:
        for name in sorted(homes.get(home, ())):
            if home == entry or choose_entry(name, names) != entry:
                continue
            row = state.instances[name]
            if _can_be_handed_over(state, row, zone_sessions[home]):
                yield BeginHandover(
                    instance=name, home_epoch=row.home_epoch, home=entry
                )
                return


def _can_be_handed_over(state: State, row: InstanceRow, home: Session) -> bool:
    """Return whether the pool can spare the instance during its handover."""
    load = home.loads.get(row.instance)
    if row.phase is not Phase.SERVING or load is None:
        return False
    if load.work_left_s > MAX_WORK_LEFT_S:
        return False
    others = (
        state.instances[name]
        for name in state.tables.pools[row.pool]
        if name != row.instance
    )
    return any(
        other.phase is Phase.SERVING
        and not other.next_home
        and other.zone not in state.cut_zones
        for other in others
    )
