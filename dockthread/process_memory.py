"""The memory of this process, as the system counts it against the platform's limit."""

from __future__ import annotations

import os
from pathlib import Path

BYTES_PER_MB = 1_000_000
STATM = Path("/proc/self/statm")  # Sizes of this process in pages; the second is the resident size.


def resident_bytes() -> int:
    """Return the resident size of this process; 0 if the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
