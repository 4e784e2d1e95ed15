"""Shifts the time of day of a Python process.

Python imports this module at its start where its folder is on PYTHONPATH.
The file that SOAK_CLOCK names holds the shift in seconds and may change.
"""

import mmap
import os
import struct
import time

_FORMAT = struct.Struct('d')
_true_time = time.time

with open(os.environ['SOAK_CLOCK'], 'rb') as _file:
    _shift = mmap.mmap(_file.fileno(), _FORMAT.size, access=mmap.ACCESS_READ)


def _shifted_time() -> float:
    return _true_time() + float(_FORMAT.unpack(_shift[: _FORMAT.size])[0])


time.time = _shifted_time
