"""Figures of the process that the kernel reports: memory and file descriptors."""

from __future__ import annotations

import os
import resource

PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory by the kernel's statm; 0 where that cannot be read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except OSError:
        return 0


def open_descriptors() -> int:
    """Return the number of file descriptors that are open; 0 where the kernel does not tell."""
    try:
        # One of those listed is the descriptor by which the folder is read.
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return 0


def max_descriptors() -> int:
    """Return the number of file descriptors that the process may have open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
