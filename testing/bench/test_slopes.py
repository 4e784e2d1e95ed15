"""The fits behind the capacity page."""

from __future__ import annotations

import pytest

from bench.slopes import fit


def test_line_is_recovered() -> None:
    slope = fit([1, 2, 5], [13, 16, 25])
    assert slope.per_unit == pytest.approx(3)
    assert slope.fixed == pytest.approx(10)
    assert slope.is_straight


def test_curve_is_called_not_straight() -> None:
    """Guards against a quadratic cost that is extrapolated as a line."""
    assert not fit([10, 100, 1000], [100, 10000, 1000000]).is_straight


def test_two_sizes_are_refused() -> None:
    """Two points fit every line, so they show nothing."""
    with pytest.raises(ValueError, match='three different sizes'):
        fit([1, 2, 2], [1, 2, 2])
