"""Figures of a run, from what backend servers and callers recorded."""

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

DOCUMENT_LIMIT_S = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Actions:
    """What the demo did, with monotonic times.

    :param entries: caller addresses of the entries that were in service
        when the document was promoted.
    """

    version: int
    promoted_at: float
    entries: tuple[str, ...]
    kills: tuple[Kill, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """The last line of the demo, and whether the run was good."""

    verdict: Verdict
    document_in_force_s: float | None
    wave_s: float | None
    wave_instances: int
    urgent_p50_s: float | None
    urgent_p99_s: float | None

    def problems(self) -> list[str]:
        """Why the run must not count as good; empty if it may."""
        found = [
            f'{name} is {count}'
            for name, count in self.verdict.count_violations().items()
            if count
        ]
        if not self.verdict.answers_whole:
            found.append('nothing was served')
        if self.document_in_force_s is None:
            found.append('the document was not seen at every entry')
        elif self.document_in_force_s > DOCUMENT_LIMIT_S:
            found.append(f'the document took over {DOCUMENT_LIMIT_S} s')
        if not self.wave_instances:
            found.append('nothing was maintained')
        if not self.verdict.moves:
            found.append('nothing was moved')
        return found

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
    """Count everything after a run."""
    verdict = check_records(
        seen, attempts, document, slots=slots, kills=actions.kills
    )
    reboots = _reboots(seen)
    waits = sorted(
        one.ended_at - one.sent_at
        for one in attempts
        if one.urgent and one.outcome is Outcome.ANSWERED
    )
    return Figures(
        verdict=verdict,
        document_in_force_s=_document_in_force(attempts, actions),
        wave_s=_rounded(
            max(reboots.values(), default=None), actions.promoted_at
        ),
        wave_instances=len(reboots),
        urgent_p50_s=_quantile(waits, 0.5),
        urgent_p99_s=_quantile(waits, 0.99),
    )


def _rounded(at: float | None, since: float) -> float | None:
    return None if at is None else round(at - since, 3)


def _quantile(ordered: Sequence[float], share: float) -> float | None:
    if not ordered:
        return None
    return round(ordered[int(share * (len(ordered) - 1))], 3)


def _reboots(seen: Sequence[BackendEvent]) -> dict[str, float]:
    """When each rebooted instance was ready again."""
    down: set[str] = set()
    ready: dict[str, float] = {}
    for one in sorted(seen, key=lambda one: one.at):
        if one.kind is EventKind.DOWN and one.cause == 'reboot':
            down.add(one.instance)
        elif one.kind is EventKind.READY and one.instance in down:
            ready[one.instance] = one.at
    return ready


def _document_in_force(
    attempts: Sequence[Attempt], actions: Actions
) -> float | None:
    """Until callers had seen the version at each entry in service."""
    first: dict[str, float] = {}
    for one in sorted(attempts, key=lambda one: one.ended_at):
        if one.version == str(actions.version):
            first.setdefault(one.entry, one.ended_at)
    if not actions.entries or not set(actions.entries) <= first.keys():
        return None
    last = max(first[entry] for entry in actions.entries)
    return round(last - actions.promoted_at, 3)
