"""A pool with workers and the instances that they run on."""

from __future__ import annotations

import pytest

from testing.jobs.harness import Harness
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker


@pytest.fixture
def harness() -> Harness:
    """Six workers of one pool, ready for tasks."""
    harness = Harness(*(FakeWorker(name=f'w{n}') for n in range(6)))
    harness.pass_time(0.3)
    return harness


@pytest.fixture
def platform() -> FakePlatform:
    """An instance for each worker, and three that are switched off."""
    platform = FakePlatform()
    for number in range(6):
        platform.add(f'm{number}', 'lots', worker=f'w{number}')
    for number in range(3):
        platform.add(f's{number}', 'spare')
    return platform
