"""Findings about an input are bounded in number."""

from __future__ import annotations

from galenareel._common.findings import Findings
from galenareel._common.findings import MAX_FINDINGS


def test_large_input_has_a_bounded_number_of_findings() -> None:
    """Guards against an input whose findings take more memory than it."""
    findings = Findings()
    for number in range(MAX_FINDINGS + 1000):
        findings.add(place=f'{number}', problem='p', remedy='r')
    places = [finding.place for finding in findings.items]
    expected = [f'{number}' for number in range(MAX_FINDINGS)]
    assert places == [*expected, 'the rest']


def test_few_findings_are_all_reported() -> None:
    findings = Findings()
    for number in range(MAX_FINDINGS):
        findings.add(place=f'{number}', problem='p', remedy='r')
    assert len(findings.items) == MAX_FINDINGS
