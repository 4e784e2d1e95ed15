"""Read CPU time and memory of other processes from /proc."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

# Indexes in /proc/PID/stat, counted after the command since that may contain
# spaces.
UTIME_INDEX = 11
STIME_INDEX = 12


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds of a process so far, user and system."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[UTIME_INDEX]) + int(fields[STIME_INDEX])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in units of 10^6 bytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / 1e6
