"""Watches the resident size of the process, which may grow by what has no bound of its own.

The bounds of `MemoryBudget` are worked out from estimates. If the process comes near its limit all
the same, large requests are rejected, idle client connections are closed and garbage is collected,
until it has shrunk. Small requests are served as before: each holds little, and for a short time.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from dockthread import process_memory

# Shares of the limit above which memory is short, and below which it is not any more.
SHORT_SHARE = 0.97
RELAXED_SHARE = 0.95


@dataclass(slots=True)
class MemoryGuard:
    """Tells when memory is short.

    Attributes:
        limit_bytes: What the process may hold.
        measure: Returns what it holds.
        is_short: Whether it is near its limit.
    """

    limit_bytes: float
    measure: Callable[[], int] = field(default_factory=lambda: process_memory.resident_bytes)
    is_short: bool = False

    def check(self) -> None:
        """Measure, and collect garbage when memory becomes short."""
        resident = self.measure()
        share = RELAXED_SHARE if self.is_short else SHORT_SHARE
        is_short = resident > share * self.limit_bytes
        if is_short == self.is_short:
            return
        self.is_short = is_short
        if is_short:
            gc.collect()
        logger.warning(
            "memory is {}: {} of {} bytes",
            "short, large requests are rejected" if is_short else "not short any more",
            resident,
            round(self.limit_bytes),
        )
