"""Checks the invariants on the records of backend servers and callers.

The checks do not rely on the system under test: a request is identified by
its caller's token, and the pool of an instance by the services of the
requests that its backend server ran.
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
from testing.standins.fleet_checks import find_late_work
from testing.standins.fleet_checks import find_pool_overlaps
from testing.standins.fleet_checks import RecordIndex
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome

# The connections of a killed entry close within this time. A request that is
# cut in it counts as cut by the kill.
KILL_WINDOW_S = 3.0
TIME_TOLERANCE_S = 0.25
MAX_DETAILS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """Kill or freeze of an entry by the test.

    :param entry: address at which the entry serves callers.
    """

    entry: str
    at: float


@dataclass(slots=True, kw_only=True)
class Verdict:
    """Counts of what the records show.

    The counts that :meth:`count_violations` returns must be zero.

    :param answers_failed: answers of backend servers with status 5xx.
    :param cut_by_kill: requests cut by the kill of an entry.
    :param cut_by_death: requests cut because their backend server died.
    :param cut_by_deadline: requests cut at their deadline.
    :param cut_in_flight: requests cut for any other reason.
    :param details: descriptions of the first violations of each kind.
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
        """Return the number of violations by kind."""
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
    events: Sequence[BackendEvent],
    attempts: Sequence[Attempt],
    document: Environment,
    *,
    slots: int = 8,
    connections: int = 64,
    kills: Sequence[Kill] = (),
) -> Verdict:
    """Check all invariants.

    :param events: events of the backend servers.
    :param attempts: attempts of the callers.
    :param document: document that was in force.
    :param slots: slots of each backend server.
    :param connections: connections that each backend server allows.
    :param kills: kills of entries during the run.
    """
    verdict = Verdict()
    index = RecordIndex.build(events, document)
    _check_answers(attempts, verdict)
    _check_runs(events, attempts, verdict)
    _check_cuts(events, attempts, kills, verdict)
    _check_versions(attempts, verdict)
    for name, found in (
        ('slots_exceeded', check_slots(index, slots)),
        ('connections_exceeded', check_connections(index, connections)),
        ('work_after_leaving', find_late_work(index)),
        ('two_pools_at_once', find_pool_overlaps(index)),
        ('budget_violations', check_budgets(index)),
    ):
        _add_findings(verdict, name, found)
    verdict.moves = count_moves(index)
    return verdict


def _add_findings(verdict: Verdict, name: str, found: Sequence[str]) -> None:
    before = getattr(verdict, name)
    setattr(verdict, name, before + len(found))
    if name in verdict.count_violations():
        free = max(0, MAX_DETAILS - before)
        verdict.details += [f'{name}: {detail}' for detail in found[:free]]


def _check_answers(attempts: Sequence[Attempt], verdict: Verdict) -> None:
    for attempt in attempts:
        if attempt.outcome is Outcome.NOT_RUN:
            verdict.not_run += 1
        elif attempt.outcome is Outcome.UNKNOWN:
            verdict.outcome_unknown += 1
        elif attempt.outcome is Outcome.MISLABELLED:
            _add_findings(
                verdict,
                'answers_wrong',
                [f'{attempt.token}: no known outcome'],
            )
        elif attempt.outcome is Outcome.ANSWERED:
            _check_answer(attempt, verdict)


def _check_answer(attempt: Attempt, verdict: Verdict) -> None:
    if attempt.has_expected_body:
        verdict.answers_whole += 1
    elif attempt.status >= 500:
        # A failure of the backend server, which the entry passed on.
        verdict.answers_failed += 1
    else:
        _add_findings(
            verdict, 'answers_wrong', [f'{attempt.token}: the body is wrong']
        )


def _check_runs(
    events: Sequence[BackendEvent],
    attempts: Sequence[Attempt],
    verdict: Verdict,
) -> None:
    runs: dict[str, int] = {}
    for event in events:
        if event.kind is EventKind.STARTED:
            runs[event.token] = runs.get(event.token, 0) + 1
    outcomes: dict[str, list[Outcome]] = {}
    for attempt in attempts:
        outcomes.setdefault(attempt.token, []).append(attempt.outcome)
    for token, token_outcomes in outcomes.items():
        if runs.get(token) and set(token_outcomes) == {Outcome.NOT_RUN}:
            _add_findings(verdict, 'not_run_but_ran', [token])
    idempotent = {attempt.token for attempt in attempts if attempt.idempotent}
    for token, count in runs.items():
        if count > 1 and token not in idempotent:
            _add_findings(verdict, 'ran_twice', [f'{token}: {count} times'])


def _check_cuts(
    events: Sequence[BackendEvent],
    attempts: Sequence[Attempt],
    kills: Sequence[Kill],
    verdict: Verdict,
) -> None:
    sent: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        sent.setdefault(attempt.token, []).append(attempt)
    counted: set[str] = set()
    for event in events:
        if event.kind is not EventKind.CUT or event.token in counted:
            continue
        counted.add(event.token)
        name = _classify_cut(event, sent.get(event.token, ()), kills)
        _add_findings(verdict, name, [f'{event.token}: {event.cause}'])
    for attempt in attempts:
        if attempt.outcome is not Outcome.BROKEN or attempt.token in counted:
            continue
        counted.add(attempt.token)
        name = _classify_broken_attempt(attempt, kills)
        _add_findings(verdict, name, [f'{attempt.token}: {attempt.reason}'])


def _classify_cut(
    event: BackendEvent, attempts: Sequence[Attempt], kills: Sequence[Kill]
) -> str:
    if event.cause == 'died':
        return 'cut_by_death'
    if event.cause != 'peer_closed':
        return 'cut_in_flight'
    if any(0 <= event.at - kill.at <= KILL_WINDOW_S for kill in kills):
        return 'cut_by_kill'
    # Leave out attempts after the cut: a request with an idempotency key
    # may have been resent.
    earlier = [attempt for attempt in attempts if attempt.sent_at <= event.at]
    if earlier:
        last = max(earlier, key=lambda attempt: attempt.sent_at)
        age_s = event.at - last.sent_at
        if age_s >= last.deadline_s - TIME_TOLERANCE_S:
            return 'cut_by_deadline'
    return 'cut_in_flight'


def _classify_broken_attempt(attempt: Attempt, kills: Sequence[Kill]) -> str:
    for kill in kills:
        ended_after_kill = attempt.ended_at >= kill.at - TIME_TOLERANCE_S
        if attempt.entry == kill.entry and ended_after_kill:
            return 'cut_by_kill'
    if attempt.ended_at - attempt.sent_at >= attempt.deadline_s:
        return 'late_answers'
    return 'cut_in_flight'


def _check_versions(attempts: Sequence[Attempt], verdict: Verdict) -> None:
    """Count answers of an entry with an older document version than before.

    An answer is compared only with those that ended before its request was
    sent.
    """
    answered: dict[str, list[tuple[float, int]]] = {}
    for attempt in sorted(attempts, key=lambda attempt: attempt.ended_at):
        if attempt.version.isdigit():
            pairs = answered.setdefault(attempt.entry, [])
            pairs.append((attempt.ended_at, int(attempt.version)))
    for attempt in attempts:
        if not attempt.version.isdigit():
            continue
        newer = [
            version
            for ended_at, version in answered[attempt.entry]
            if ended_at < attempt.sent_at and version > int(attempt.version)
        ]
        if newer:
            detail = f'{attempt.entry}: {max(newer)} to {attempt.version}'
            _add_findings(verdict, 'versions_reverted', [detail])
