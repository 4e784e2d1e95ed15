"""Fleet capacity and maintenance manager.

This module is the only public one; all others are private.
"""

from __future__ import annotations

__version__ = '0.1.0'

__all__ = ['__version__']
