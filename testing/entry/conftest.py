"""Fixtures of the entry's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from testing.entry.fakes import Cluster


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    cluster = Cluster()
    yield cluster
    cluster.close()
