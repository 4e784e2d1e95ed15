"""Findings about bad input, collected with their place."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One thing that is wrong with an input.

    :param place: where: a flag, a variable, or a line and a field.
    :param problem: what is wrong, with the value that was found.
    :param remedy: what the reader can do about it.
    """

    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.place}: {self.problem}; {self.remedy}'


class FindingsError(Exception):
    """An input was refused; carries every finding about it."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__('\n'.join(str(one) for one in findings))
        self.findings = findings


@dataclass(slots=True)
class Findings:
    """Collector that reports all findings together."""

    items: list[Finding] = field(default_factory=list)

    def add(self, *, place: str, problem: str, remedy: str) -> None:
        finding = Finding(place=place, problem=problem, remedy=remedy)
        self.items.append(finding)
