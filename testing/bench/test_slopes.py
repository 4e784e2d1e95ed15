"""Tests of the line fits behind the capacity page."""

from __future__ import annotations

import pytest

from bench.slopes import fit_line


def test_fit_recovers_the_line() -> None:
    slope = fit_line([1, 2, 5], [13, 16, 25])
    assert slope.per_unit == pytest.approx(3)
    assert slope.fixed == pytest.approx(10)
    assert slope.is_straight


def test_quadratic_cost_is_not_straight() -> None:
    """Guards against extrapolating a quadratic cost as a line."""
    assert not fit_line([10, 100, 1000], [100, 10000, 1000000]).is_straight


def test_fit_rejects_fewer_than_three_sizes() -> None:
    """Guards against fits that always succeed: a line fits any two points."""
    with pytest.raises(ValueError, match='three different sizes'):
        fit_line([1, 2, 2], [1, 2, 2])
