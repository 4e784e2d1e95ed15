"""Fit straight lines to costs that were measured at several sizes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# A fit is straight if no point is further off, as a share of its value.
MAX_STRAIGHT_ERROR = 0.15


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Least-squares line through the measured points.

    :param per_unit: cost of one more unit, in the unit of the values.
    :param fixed: cost at size 0.
    :param max_error: largest distance of a point, as a share of its value.
    """

    sizes: tuple[float, ...]
    values: tuple[float, ...]
    per_unit: float
    fixed: float
    max_error: float

    @property
    def is_straight(self) -> bool:
        return self.max_error <= MAX_STRAIGHT_ERROR

    def as_dict(self) -> dict[str, object]:
        return {
            'sizes': list(self.sizes),
            'values': [round(value, 3) for value in self.values],
            'per_unit': float(f'{self.per_unit:.4g}'),
            'fixed': float(f'{self.fixed:.4g}'),
            'worst': round(self.max_error, 3),
            'straight': self.is_straight,
        }


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line by least squares.

    :raises ValueError: if there are fewer than three different sizes, since
        two points always lie on a line, or not one value per size.
    """
    if len(set(sizes)) < 3 or len(sizes) != len(values):
        raise ValueError('measure at three different sizes or more')
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    rise = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    per_unit = rise / spread
    fixed = mean_y - per_unit * mean_x
    max_error = max(
        abs(fixed + per_unit * x - y) / abs(y) if y else 0.0
        for x, y in zip(sizes, values, strict=True)
    )
    return Slope(
        sizes=tuple(sizes),
        values=tuple(values),
        per_unit=per_unit,
        fixed=fixed,
        max_error=max_error,
    )
