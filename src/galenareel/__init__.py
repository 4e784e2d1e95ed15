"""Fleet capacity and maintenance manager.

The public names are exported here once; every other module is private.
"""

from __future__ import annotations

__version__ = '0.1.0'

__all__ = ['__version__']
