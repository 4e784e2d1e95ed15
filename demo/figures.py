"""Compute the figures of a run from the recorded requests and events.

Times are of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from dataclasses import dataclass
from typing import Any

from galenareel._document.model import Environment
from testing.standins.checker import check_records
from testing.standins.checker import Kill
from testing.standins.checker import Verdict
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome

# A run fails if the document is not in force at all entries within this time.
DOCUMENT_LIMIT_S = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Actions:
    """What the demo did during a run.

    :param entries: caller addresses of the entries that were in service
        when the document was promoted.
    :param kills: entries that were killed, and when.
    """

    version: int
    promoted_at: float
    entries: tuple[str, ...]
    kills: tuple[Kill, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Figures that the demo prints in its last line; ``None`` if unknown.

    :param document_in_force_s: time from the promotion until callers had seen
        the version at each entry in service.
    :param wave_s: time from the promotion until the last rebooted instance
        was ready.
    """

    verdict: Verdict
    document_in_force_s: float | None
    wave_s: float | None
    wave_instances: int
    urgent_p50_s: float | None
    urgent_p99_s: float | None

    def list_problems(self) -> list[str]:
        """Return why the run counts as failed; empty if it passed."""
        problems = [
            f'{name} is {count}'
            for name, count in self.verdict.count_violations().items()
            if count
        ]
        if not self.verdict.answers_whole:
            problems.append('no request was answered completely')
        if self.document_in_force_s is None:
            problems.append('the document was not seen at every entry')
        elif self.document_in_force_s > DOCUMENT_LIMIT_S:
            problems.append(
                'the document was in force only after '
                f'{self.document_in_force_s} s; the limit is '
                f'{DOCUMENT_LIMIT_S} s'
            )
        if not self.wave_instances:
            problems.append('no instance was maintained')
        if not self.verdict.moves:
            problems.append('no instance was moved')
        return problems

    def as_json(self) -> dict[str, Any]:
        values = dataclasses.asdict(self.verdict)
        del values['details']
        return {
            **values,
            'document_in_force_s': self.document_in_force_s,
            'wave_s': self.wave_s,
            'wave_instances': self.wave_instances,
            'urgent_p50_s': self.urgent_p50_s,
            'urgent_p99_s': self.urgent_p99_s,
        }


def make_figures(
    seen: Sequence[BackendEvent],
    attempts: Sequence[Attempt],
    document: Environment,
    actions: Actions,
    *,
    slots: int,
) -> Figures:
    """Compute the figures after a run.

    :param slots: slots of each backend server.
    """
    verdict = check_records(
        seen, attempts, document, slots=slots, kills=actions.kills
    )
    ready_after_reboot = _find_ready_after_reboot(seen)
    waits = sorted(
        attempt.ended_at - attempt.sent_at
        for attempt in attempts
        if attempt.urgent and attempt.outcome is Outcome.ANSWERED
    )
    return Figures(
        verdict=verdict,
        document_in_force_s=_compute_in_force_s(attempts, actions),
        wave_s=_compute_elapsed_s(
            max(ready_after_reboot.values(), default=None), actions.promoted_at
        ),
        wave_instances=len(ready_after_reboot),
        urgent_p50_s=_compute_quantile(waits, 0.5),
        urgent_p99_s=_compute_quantile(waits, 0.99),
    )


def _compute_elapsed_s(at: float | None, since: float) -> float | None:
    return None if at is None else round(at - since, 3)


def _compute_quantile(ordered: Sequence[float], share: float) -> float | None:
    if not ordered:
        return None
    return round(ordered[int(share * (len(ordered) - 1))], 3)


def _find_ready_after_reboot(seen: Sequence[BackendEvent]) -> dict[str, float]:
    """Return when each rebooted instance was ready again."""
    rebooting: set[str] = set()
    ready: dict[str, float] = {}
    for event in sorted(seen, key=lambda event: event.at):
        if event.kind is EventKind.DOWN and event.cause == 'reboot':
            rebooting.add(event.instance)
        elif event.kind is EventKind.READY and event.instance in rebooting:
            ready[event.instance] = event.at
    return ready


def _compute_in_force_s(
    attempts: Sequence[Attempt], actions: Actions
) -> float | None:
    """Return the time until callers saw the version at each entry in service.

    It is ``None`` if they did not see it everywhere.
    """
    first_seen_at: dict[str, float] = {}
    for attempt in sorted(attempts, key=lambda attempt: attempt.ended_at):
        if attempt.version == str(actions.version):
            first_seen_at.setdefault(attempt.entry, attempt.ended_at)
    if not actions.entries or not set(actions.entries) <= first_seen_at.keys():
        return None
    last_seen_at = max(first_seen_at[entry] for entry in actions.entries)
    return round(last_seen_at - actions.promoted_at, 3)
