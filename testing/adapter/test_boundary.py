"""The platform's names stay inside ``platform/``."""

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


def _words(path: Path) -> set[str]:
    """Identifiers and texts of a module."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            found.update(node.value.replace('"', ' ').split())
        elif isinstance(node, ast.Name):
            found.add(node.id)
        elif isinstance(node, ast.Attribute):
            found.add(node.attr)
        elif isinstance(node, ast.arg | ast.keyword) and node.arg:
            found.add(node.arg)
    return found


@pytest.mark.parametrize(
    'path', SOURCES, ids=lambda one: str(one.relative_to(ROOT))
)
def test_no_wire_name_outside_the_adapter(path: Path) -> None:
    assert not _words(path) & WIRE_NAMES


def test_a_wire_name_is_found(tmp_path: Path) -> None:
    path = tmp_path / 'module.py'
    path.write_text("fields = {'untilMs': 1}\n")
    assert _words(path) & WIRE_NAMES


def test_the_package_does_not_import_the_adapter() -> None:
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                assert not (node.module or '').startswith('adapter'), path


def test_the_folder_hides_no_module_of_the_standard_library() -> None:
    assert not (ROOT / 'platform' / '__init__.py').exists()
