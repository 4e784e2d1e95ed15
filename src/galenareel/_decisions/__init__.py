"""Decision functions over tables: lending, placement, budgets and waves."""

from __future__ import annotations

from galenareel._decisions.ticking import tick
from galenareel._decisions.ticking import TICK_S

__all__ = ['TICK_S', 'tick']
