"""Problems found in an input, each with its place and its remedy."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# A large input may have any number of problems.
MAX_FINDINGS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One problem in an input.

    :param place: flag, variable, or line and field that is wrong.
    :param problem: description that includes the value found.
    :param remedy: what the operator can do about it.
    """

    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.place}: {self.problem}; {self.remedy}'


class FindingsError(Exception):
    """Raised for an invalid input; holds all findings about it."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings


@dataclass(slots=True)
class Findings:
    """Collects findings so that all are reported together.

    Beyond ``MAX_FINDINGS`` only one more says that there are others.
    """

    items: list[Finding] = field(default_factory=list)

    def add(self, *, place: str, problem: str, remedy: str) -> None:
        if len(self.items) == MAX_FINDINGS:
            place = 'the rest'
            problem = 'there are more findings than are reported'
            remedy = 'correct the others first'
        elif len(self.items) > MAX_FINDINGS:
            return
        finding = Finding(place=place, problem=problem, remedy=remedy)
        self.items.append(finding)
