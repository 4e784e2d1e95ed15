"""Checks the invariants from the records of backend servers and callers.

Nothing here comes from the system: requests are joined by the caller's token,
and pools by the service that a backend server ran.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from galenareel._document.model import Environment
from testing.standins.fleet_checks import check_budgets
from testing.standins.fleet_checks import check_connections
from testing.standins.fleet_checks import check_slots
from testing.standins.fleet_checks import count_moves
from testing.standins.fleet_checks import Ground
from testing.standins.fleet_checks import late_work
from testing.standins.fleet_checks import two_pools_at_once
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome

# How long after the death of an entry its connections are still closed.
KILL_WINDOW_S = 3.0
CLOCK_SLACK_S = 0.25
SHOWN_DETAILS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """An entry instance that was killed on purpose."""

    entry: str
    at: float


@dataclass(slots=True, kw_only=True)
class Verdict:
    """What the records show; the violations must all be zero.

    :param cut_by_kill: requests that ended with an entry that was killed on
        purpose; ``cut_by_death`` with a backend server, ``cut_by_deadline``
        at their deadline.
    :param details: a sentence for each of the first violations.
    """

    answers_whole: int = 0
    answers_failed: int = 0
    answers_wrong: int = 0
    not_run: int = 0
    outcome_unknown: int = 0
    not_run_but_ran: int = 0
    ran_twice: int = 0
    cut_in_flight: int = 0
    cut_by_kill: int = 0
    cut_by_death: int = 0
    cut_by_deadline: int = 0
    late_answers: int = 0
    slots_exceeded: int = 0
    connections_exceeded: int = 0
    work_after_leaving: int = 0
    two_pools_at_once: int = 0
    budget_violations: int = 0
    versions_reverted: int = 0
    moves: int = 0
    details: list[str] = field(default_factory=list)

    def count_violations(self) -> dict[str, int]:
        names = (
            'answers_wrong',
            'not_run_but_ran',
            'ran_twice',
            'cut_in_flight',
            'late_answers',
            'slots_exceeded',
            'connections_exceeded',
            'work_after_leaving',
            'two_pools_at_once',
            'budget_violations',
            'versions_reverted',
        )
        return {name: getattr(self, name) for name in names}


def check_records(
    seen: Sequence[BackendEvent],
    attempts: Sequence[Attempt],
    document: Environment,
    *,
    slots: int = 8,
    connections: int = 64,
    kills: Sequence[Kill] = (),
) -> Verdict:
    """Join both sets of records and count."""
    verdict = Verdict()
    ground = Ground.of(seen, document)
    _check_answers(attempts, verdict)
    _check_runs(seen, attempts, verdict)
    _check_cuts(seen, attempts, kills, verdict)
    _check_versions(attempts, verdict)
    for name, found in (
        ('slots_exceeded', check_slots(ground, slots)),
        ('connections_exceeded', check_connections(ground, connections)),
        ('work_after_leaving', late_work(ground)),
        ('two_pools_at_once', two_pools_at_once(ground)),
        ('budget_violations', check_budgets(ground)),
    ):
        _count(verdict, name, found)
    verdict.moves = count_moves(ground)
    return verdict


def _count(verdict: Verdict, name: str, found: Sequence[str]) -> None:
    before = getattr(verdict, name)
    setattr(verdict, name, before + len(found))
    if name in verdict.count_violations():
        room = max(0, SHOWN_DETAILS - before)
        verdict.details += [f'{name}: {one}' for one in found[:room]]


def _check_answers(attempts: Sequence[Attempt], verdict: Verdict) -> None:
    for one in attempts:
        if one.outcome is Outcome.NOT_RUN:
            verdict.not_run += 1
        elif one.outcome is Outcome.UNKNOWN:
            verdict.outcome_unknown += 1
        elif one.outcome is Outcome.MISLABELLED:
            _count(verdict, 'answers_wrong', [f'{one.token}: no outcome'])
        elif one.outcome is Outcome.ANSWERED:
            _check_answer(one, verdict)


def _check_answer(one: Attempt, verdict: Verdict) -> None:
    if one.has_expected_body:
        verdict.answers_whole += 1
    elif one.status >= 500:
        # The backend server's own failure, passed on as its answer.
        verdict.answers_failed += 1
    else:
        _count(verdict, 'answers_wrong', [f'{one.token}: another body'])


def _check_runs(
    seen: Sequence[BackendEvent], attempts: Sequence[Attempt], verdict: Verdict
) -> None:
    runs: dict[str, int] = {}
    for record in seen:
        if record.kind is EventKind.STARTED:
            runs[record.token] = runs.get(record.token, 0) + 1
    outcomes: dict[str, list[Outcome]] = {}
    for one in attempts:
        outcomes.setdefault(one.token, []).append(one.outcome)
    for token, known in outcomes.items():
        if runs.get(token) and set(known) == {Outcome.NOT_RUN}:
            _count(verdict, 'not_run_but_ran', [token])
    idempotent = {one.token for one in attempts if one.idempotent}
    for token, count in runs.items():
        if count > 1 and token not in idempotent:
            _count(verdict, 'ran_twice', [f'{token}: {count} times'])


def _check_cuts(
    seen: Sequence[BackendEvent],
    attempts: Sequence[Attempt],
    kills: Sequence[Kill],
    verdict: Verdict,
) -> None:
    sent: dict[str, list[Attempt]] = {}
    for one in attempts:
        sent.setdefault(one.token, []).append(one)
    counted: set[str] = set()
    for record in seen:
        if record.kind is not EventKind.CUT or record.token in counted:
            continue
        counted.add(record.token)
        name = _kind_of_cut(record, sent.get(record.token, ()), kills)
        _count(verdict, name, [f'{record.token}: {record.cause}'])
    for one in attempts:
        if one.outcome is not Outcome.BROKEN or one.token in counted:
            continue
        counted.add(one.token)
        name = _kind_of_break(one, kills)
        _count(verdict, name, [f'{one.token}: {one.reason}'])


def _kind_of_cut(
    record: BackendEvent, attempts: Sequence[Attempt], kills: Sequence[Kill]
) -> str:
    if record.cause == 'died':
        return 'cut_by_death'
    if record.cause != 'peer_closed':
        return 'cut_in_flight'
    if any(0 <= record.at - kill.at <= KILL_WINDOW_S for kill in kills):
        return 'cut_by_kill'
    # A keyed request may have been sent again after it was cut.
    before = [one for one in attempts if one.sent_at <= record.at]
    if before:
        last = max(before, key=lambda one: one.sent_at)
        waited_s = record.at - last.sent_at
        if waited_s >= last.deadline_s - CLOCK_SLACK_S:
            return 'cut_by_deadline'
    return 'cut_in_flight'


def _kind_of_break(one: Attempt, kills: Sequence[Kill]) -> str:
    for kill in kills:
        after = one.ended_at >= kill.at - CLOCK_SLACK_S
        if one.entry == kill.entry and after:
            return 'cut_by_kill'
    if one.ended_at - one.sent_at >= one.deadline_s:
        return 'late_answers'
    return 'cut_in_flight'


def _check_versions(attempts: Sequence[Attempt], verdict: Verdict) -> None:
    """No entry goes back to an older document."""
    latest: dict[str, list[tuple[float, int]]] = {}
    for one in sorted(attempts, key=lambda one: one.ended_at):
        if one.version.isdigit():
            pairs = latest.setdefault(one.entry, [])
            pairs.append((one.ended_at, int(one.version)))
    for one in attempts:
        if not one.version.isdigit():
            continue
        before = [
            version
            for ended_at, version in latest[one.entry]
            if ended_at < one.sent_at and version > int(one.version)
        ]
        if before:
            detail = f'{one.entry}: {max(before)} to {one.version}'
            _count(verdict, 'versions_reverted', [detail])
