"""Memory and file descriptors of this process, as reported by the kernel."""

from __future__ import annotations

import os
import resource

PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory from /proc/self/statm, or 0 if that cannot be read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except OSError:
        return 0


def open_descriptors() -> int:
    """Return the number of open file descriptors, or 0 if /proc/self/fd cannot be read."""
    try:
        # One of the listed descriptors is the one used to read the directory.
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return 0


def max_descriptors() -> int:
    """Return the maximum number of file descriptors that the process may have open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
