"""A short soak of the real programs."""

from __future__ import annotations

from pathlib import Path

import pytest

from soak.promises import PROMISES
from soak.run import SoakRun

SECONDS = 6.0


@pytest.mark.parametrize('seed', [7])
def test_promises_are_kept_under_faults(tmp_path: Path, seed: int) -> None:
    run = SoakRun(seed, tmp_path)
    try:
        run.start()
        run.play(SECONDS)
    finally:
        run.close()
    assert run.promises.broken == []
    assert run.fault_counts
    always = set(PROMISES) - {'answered', 'wave_cap', 'draining', 'holder'}
    assert always <= set(run.promises.checked)
