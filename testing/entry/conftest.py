"""Fixtures for the tests of the entry."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from testing.entry.fakes import Cluster


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    """Return a cluster without entries; it is closed after the test."""
    cluster = Cluster()
    yield cluster
    cluster.close()
