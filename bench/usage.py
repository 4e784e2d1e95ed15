"""CPU time and memory of other processes, from /proc."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

# Fields of /proc/PID/stat after the command, which may hold spaces.
UTIME = 11
STIME = 12


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, user and system."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[UTIME]) + int(fields[STIME])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Resident memory in units of 10^6 bytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / 1e6
