"""Names of the platform's protocol are used only inside ``platform/``.

Guards against other packages that would have to change with the protocol.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
WIRE_NAMES = frozenset(
    """
    memoryRequestMb estimatedMs gangScheduled rackSensitive dataRack
    antiAffinity missAllowance longRunning firstRunMs intervalMs untilMs
    lastSeen waitMs clockMs fencingToken coldRemainingMs heartbeatMs
    heartbeatAddress remainingMs pathPrefix targetLatencyMs maxAttempts
    enforcesCapacity internalPortRange listenAddresses cloudApi dutyPerS
    ratePerS nextPageToken X-Expected-Instance X-Duty-Holder
    X-Fencing-Token X-Deadline-Remaining-Ms /api/run-start /api/run-stop
    /api/hold /api/pace /api/advise /api/machines /api/machine-move
    /api/machine-upkeep /api/wave-start /api/readiness
    """.split()
)
SOURCES = sorted(
    path
    for folder in ('src', 'demo', 'experiment')
    for path in (ROOT / folder).rglob('*.py')
)


def _collect_words(path: Path) -> set[str]:
    """Return the identifiers, and the words in the texts, of a module."""
    words: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            words.update(node.value.replace('"', ' ').split())
        elif isinstance(node, ast.Name):
            words.add(node.id)
        elif isinstance(node, ast.Attribute):
            words.add(node.attr)
        elif isinstance(node, ast.arg | ast.keyword) and node.arg:
            words.add(node.arg)
    return words


@pytest.mark.parametrize(
    'path', SOURCES, ids=lambda path: str(path.relative_to(ROOT))
)
def test_module_outside_the_adapter_uses_no_wire_name(path: Path) -> None:
    assert not _collect_words(path) & WIRE_NAMES


def test_wire_name_in_a_module_is_detected(tmp_path: Path) -> None:
    path = tmp_path / 'module.py'
    path.write_text("fields = {'untilMs': 1}\n")
    assert _collect_words(path) & WIRE_NAMES


def test_no_module_outside_the_adapter_imports_it() -> None:
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                assert not (node.module or '').startswith('adapter'), path


def test_platform_folder_is_not_a_package() -> None:
    """As a package it would hide ``platform`` of the standard library."""
    assert not (ROOT / 'platform' / '__init__.py').exists()
