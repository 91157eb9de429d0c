"""Settings of the garbage collector for a process that serves requests."""

from __future__ import annotations

import gc

# Allocations between two collections of the youngest generation. Requests leave no reference
# cycles, so frequent collections would only cost time.
GC_THRESHOLD = 20_000
# The same in a process with little memory, where garbage must not pile up.
SMALL_MEMORY_MB = 64.0
SMALL_MEMORY_GC_THRESHOLD = 2_000


def tune_garbage_collector(memory_mb: float) -> None:
    """Exclude the objects created during startup from garbage collection, and collect less often.

    These objects live until the process ends, so scanning them would only cost time.
    """
    gc.collect()
    gc.freeze()
    is_small = memory_mb <= SMALL_MEMORY_MB
    gc.set_threshold(SMALL_MEMORY_GC_THRESHOLD if is_small else GC_THRESHOLD)
